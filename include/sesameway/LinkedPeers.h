#pragma once

#include "sesameway/Membership.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace sesameway {

// Rank of a peer among the peers of a daemon; lower ranks are preferred. Each daemon
// ranks its peers differently, so that the load spreads over all of them.
std::uint64_t PeerRank(std::string_view aSelf, std::string_view aPeer);

// Number of peers to which a daemon opens connections before it needs them. The tokens
// of a small organisation lie with a few daemons anywhere in the fleet, and a
// connection across regions takes longer to open than a statement may wait for a token.
inline constexpr std::size_t kMaxLinkedPeers = 256;

// Chooses the peers to which a daemon opens a connection in advance. Opening one takes
// longer than a request for tokens may wait, but a connection to every peer would make
// the fleet's connections grow with the square of its size. Connections to other peers
// are opened when they are needed.
class LinkedPeers
{
public:
  explicit LinkedPeers(std::string aSelf)
    : mSelf(std::move(aSelf))
  {
  }

  // Sets the running daemons, with or without this one. `aDistance` returns the
  // distance of an availability zone; nearer peers are preferred.
  void SetPeers(const std::vector<MemberRecord>& aPeers,
                const std::function<int(const std::string&)>& aDistance);
  // Returns the next peer to connect to and counts it as connected, until the process
  // of that name is another one; nullptr if there is none.
  const MemberRecord* Next();

private:
  std::string mSelf;
  std::vector<MemberRecord> mChosen;
  // Incarnation of each connected peer, by name.
  std::map<std::string, std::uint64_t> mConnected;
};

} // namespace sesameway
