#pragma once

#include "sesameway/Time.h"

namespace sesameway {

// When a daemon asks a primary for the end of its log. Reads with an age need it, and
// each question takes the primary's time; so one daemon of a region asks, and tells the
// others.
class HeadPollSchedule
{
public:
  // A read needs the primary's position.
  void OnRead(TimePoint aNow) { mReadAt = aNow; }
  // The position was known at that time, by an answer or from a fellow.
  void OnHead(TimePoint aAt);
  // True if a question is to be sent now; OnAnswered follows, with or without answer.
  bool Ask(bool aIsPoller, TimePoint aNow);
  void OnAnswered() { mIsAsking = false; }

private:
  TimePoint mReadAt{};
  TimePoint mHeadAt{};
  bool mIsAsking = false;
};

} // namespace sesameway
