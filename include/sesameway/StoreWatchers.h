#pragma once

#include "sesameway/Time.h"

#include <string>
#include <vector>

namespace sesameway {

// Decides whether this daemon watches the store for changes. In each region the first
// daemon by name watches it; the others ask a preceding daemon for changes, and watch
// the store themselves only while they get no fresh answer. The number of calls to the
// store thus grows with the number of regions, not of daemons.
class StoreWatchers
{
public:
  explicit StoreWatchers(std::string aSelf)
    : mSelf(std::move(aSelf))
  {
  }

  // Sets the daemons of this daemon's region, with or without this daemon itself.
  void SetDaemons(std::vector<std::string> aNames);
  // Whether to watch the store now. `aContact` is the last time at which this daemon
  // was known to have all changes.
  bool MustWatch(TimePoint aContact, TimePoint aNow);
  // Preceding daemon to ask for changes, another one after each failure; empty if this
  // daemon is the first.
  std::string PeerToAsk() const;
  void OnNoAnswer() { ++mFailures; }
  void OnAnswer() { mFailures = 0; }

private:
  std::string mSelf;
  // Daemons that precede this one by name, in order.
  std::vector<std::string> mPreceding;
  std::size_t mFailures = 0;
  TimePoint mWatchUntil{};
};

} // namespace sesameway
