#pragma once

#include "sesameway/Time.h"

namespace sesameway {

// Decides when a daemon polls a primary for the end of its log, which reads with a
// maximum age need. Each poll costs the primary time, so one daemon of a region polls
// and shares the result with the others, which poll only if a read needs the position
// and the shared one is too old.
class HeadPollSchedule
{
public:
  // Call when a read needs the primary's log position.
  void OnRead(TimePoint aNow) { mReadAt = aNow; }
  // Call when the position is known as of `aAt`, from the primary's answer or from
  // another daemon.
  void OnHead(TimePoint aAt);
  // Returns true if the primary is to be polled now. The caller must then call
  // OnAnswered, also if no answer came. `aIsPoller` says whether this daemon polls for
  // its region.
  bool Ask(bool aIsPoller, TimePoint aNow);
  void OnAnswered() { mIsAsking = false; }

private:
  TimePoint mReadAt{};
  TimePoint mHeadAt{};
  bool mIsAsking = false;
};

} // namespace sesameway
