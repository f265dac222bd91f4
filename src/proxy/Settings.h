#pragma once

#include "sesameway/Time.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace sesameway::proxy {

// What a daemon is told of itself and its surroundings. Addresses are IP:port.
struct Settings
{
  std::string mName;
  std::string mZone;
  // Regions by availability zone.
  std::map<std::string, std::string> mRegions;
  std::string mCallerAddress;
  std::string mReadyAddress;
  std::string mPeerAddress;
  std::string mMetricsAddress;
  std::string mStoreAddress;
  std::string mPromotionAddress;
  // Peer addresses of a few daemons, which may be gone.
  std::vector<std::string> mSeedPeerAddresses;
  // Between SIGTERM and the kill.
  Duration mGrace = seconds(5);
};

} // namespace sesameway::proxy
