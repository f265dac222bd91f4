#pragma once

#include "sesameway/Time.h"

#include <string>
#include <vector>

namespace sesameway {

// Number of daemons that ask the same daemon for changes while all are running.
inline constexpr std::size_t kMaxAskingDaemons = 16;

// Decides whether this daemon watches the store for changes. In each region the first
// daemon by name watches it. The others form a tree below it: each asks its parent for
// changes, and watches the store itself only while it gets no fresh answer. The number
// of calls to the store thus grows with the number of regions, not of daemons, and the
// calls that one daemon answers do not grow with either.
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
  // The daemon to ask for changes: the parent, or after a failure another daemon that
  // precedes this one, a different one after each; empty if this daemon is the first.
  std::string PeerToAsk() const;
  void OnNoAnswer() { ++mFailures; }
  void OnAnswer() { mFailures = 0; }

private:
  std::string mSelf;
  // Daemons that precede this one by name, in order.
  std::vector<std::string> mPreceding;
  // Number of daemons between this one and the store, at least 1 unless it is the
  // first.
  int mLevel = 0;
  std::size_t mFailures = 0;
  TimePoint mWatchUntil{};
};

} // namespace sesameway
