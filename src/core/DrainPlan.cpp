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
// The time in which the process ends by itself before it is killed: at most kExitTime,
// and at most this part of the whole time.
constexpr Duration kExitTime = milliseconds(700);
constexpr int kExitPart = 8;

Duration ExitTime(Duration aWhole)
{
  return std::min(kExitTime, aWhole / kExitPart);
}

} // namespace

DrainPlan::DrainPlan(TimePoint aSince, TimePoint aKillAt)
  : mOutOfRotation(aSince + kOutOfRotation)
  , mEndTransactionsAt(aSince + (aKillAt - aSince) / 2)
  , mLimit(aKillAt - ExitTime(aKillAt - aSince))
  , mCloseWithAnswerAt(aSince + (mLimit - aSince) * 3 / 4)
{
}

bool DrainPlan::ClosesIdle(TimePoint aIdleSince, TimePoint aNow) const
{
  bool isIdle = aNow - aIdleSince >= kIdleBeforeClose || aNow >= mCloseWithAnswerAt;
  return aNow >= mOutOfRotation && isIdle;
}

bool DrainPlan::ClosesWithAnswer(TimePoint aNow) const
{
  return aNow >= mCloseWithAnswerAt;
}

bool DrainPlan::EndsTransactions(TimePoint aNow) const
{
  return aNow >= mEndTransactionsAt;
}

bool DrainPlan::IsOver(bool aIsAnyOpen, TimePoint aNow) const
{
  return (aNow >= mOutOfRotation && !aIsAnyOpen) || aNow >= mLimit;
}

} // namespace sesameway
