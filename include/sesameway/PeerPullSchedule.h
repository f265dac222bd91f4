#pragma once

#include "sesameway/Time.h"

#include <string_view>
#include <vector>

namespace sesameway {

// Decides when a daemon that has lost contact with the store asks peers for changes,
// and which peers. When the store fails, all daemons ask at once: each begins with a
// different peer, and asks more and more rarely while no answer is newer than what it
// has.
class PeerPullSchedule
{
public:
  // A daemon that has just started is given time to reach the store itself.
  PeerPullSchedule(std::string_view aSelf, TimePoint aStart);

  bool IsDue(TimePoint aContact, TimePoint aNow) const;
  // Returns the indices of the peers to ask now, out of `aPeers` in a fixed order;
  // empty if none is to be asked. `aContact` is the last time at which this daemon was
  // known to have all changes.
  std::vector<std::size_t> Next(TimePoint aContact, std::size_t aPeers, TimePoint aNow);

private:
  TimePoint mStart;
  std::size_t mNextPeer;
  TimePoint mAgainAt{};
  TimePoint mContactAtLastPull{};
  // Number of consecutive pulls that brought nothing newer.
  int mFruitless = 0;
};

} // namespace sesameway
