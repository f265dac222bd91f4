#pragma once

#include "peer/Peer.h"

#include <memory>
#include <string>

namespace sesameway::peer {

// Serves the peer port and makes the calls to peer daemons, both over Cap'n Proto and
// on an event loop thread of its own, the peer thread.
class CapnpPeers : public Peers
{
public:
  // Listens at IP:port and returns once the port is open. The handler must outlive the
  // returned object.
  static std::unique_ptr<CapnpPeers> Start(const std::string& aListenAddress,
                                           Handler* aHandler);
};

} // namespace sesameway::peer
