#include "sesameway/DrainPlan.h"

#include <algorithm>

namespace sesameway {

namespace {

// After this long the load balancer sends no more connections, so closed sessions do
// not reconnect here. The time covers two probes, one second apart.
constexpr Duration kOutOfRotation = milliseconds(2200);
// A caller that sends its next statement right after an answer has done so within this
// time.
constexpr Duration kIdleBeforeClose = milliseconds(100);
// The time before the kill in which the last answers are sent and the process ends: at
// most kEndTime, and at most this part of the whole time.
constexpr Duration kEndTime = milliseconds(700);
constexpr int kEndPart = 8;

Duration EndTime(Duration aWhole)
{
  return std::min(kEndTime, aWhole / kEndPart);
}

} // namespace

// A statement that is taken in the second half may reach the kill before its timeout,
// so sessions end with the first half.
DrainPlan::DrainPlan(TimePoint aSince, TimePoint aKillAt)
  : mEndSessionsAt(aSince + (aKillAt - aSince) / 2)
  , mOutOfRotation(std::min(aSince + kOutOfRotation, mEndSessionsAt))
  , mEndStatementsAt(aKillAt - EndTime(aKillAt - aSince))
  , mEndAt(aKillAt - EndTime(aKillAt - aSince) / 2)
{
}

bool DrainPlan::ClosesIdle(TimePoint aIdleSince, TimePoint aNow) const
{
  bool isIdle = aNow - aIdleSince >= kIdleBeforeClose || EndsStatements(aNow);
  return aNow >= mOutOfRotation && isIdle;
}

bool DrainPlan::EndsSessions(TimePoint aNow) const
{
  return aNow >= mEndSessionsAt;
}

bool DrainPlan::EndsStatements(TimePoint aNow) const
{
  return aNow >= mEndStatementsAt;
}

bool DrainPlan::IsOver(bool aIsAnyOpen, TimePoint aNow) const
{
  return (aNow >= mOutOfRotation && !aIsAnyOpen) || aNow >= mEndAt;
}

} // namespace sesameway
