#pragma once

#include "sesameway/Time.h"

#include <string>
#include <vector>

namespace sesameway {

// Which daemons of a region follow the store's changes themselves: the first by name.
// The others ask those before them, and follow the store only while they get no fresh
// answer. So calls to the store grow with the regions, not with the daemons.
class StoreWatchers
{
public:
  explicit StoreWatchers(std::string aSelf)
    : mSelf(std::move(aSelf))
  {
  }

  // The daemons of the own region, this one included or not.
  void SetDaemons(std::vector<std::string> aNames);
  // Whether to follow the store now, when it was last known at `aContact` that nothing
  // is missing.
  bool MustWatch(TimePoint aContact, TimePoint aNow);
  // Whom to ask, another one after each failure; empty if nobody comes before this one.
  std::string PeerToAsk() const;
  void OnNoAnswer() { ++mFailures; }
  void OnAnswer() { mFailures = 0; }

private:
  std::string mSelf;
  // Those before this daemon, in order.
  std::vector<std::string> mBefore;
  std::size_t mFailures = 0;
  TimePoint mWatchUntil{};
};

} // namespace sesameway
