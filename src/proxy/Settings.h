#pragma once

#include "sesameway/Membership.h"
#include "sesameway/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sesameway::proxy {

// Settings of a daemon. Addresses have the form IP:port.
struct Settings
{
  std::string mName;
  std::string mZone;
  // Maps each availability zone to its region.
  std::map<std::string, std::string> mRegions;
  // Processing speed of the VM, as a share of a core.
  double mSpeed = kDefaultSpeed;
  std::string mCallerAddress;
  std::string mReadyAddress;
  std::string mPeerAddress;
  std::string mMetricsAddress;
  std::string mStoreAddress;
  std::string mPromotionAddress;
  // Peer addresses of a few daemons for the first contact. Some may no longer exist.
  std::vector<std::string> mSeedPeerAddresses;
  // The time from SIGTERM to SIGKILL.
  Duration mGrace = seconds(6);
  // The time within which an evacuation must be in force on every daemon. Evacuations,
  // allowed regions and cold databases are handled only if it is set.
  std::optional<Duration> mEvacuateWithin;
  // A cold database must get at most its rate times mColdOver plus mColdSlack
  // statements in any second.
  double mColdOver = 1.5;
  double mColdSlack = 5;
  // Keys of optional values that can't be used; their defaults are in force.
  std::vector<std::string> mIgnoredKeys;
};

} // namespace sesameway::proxy
