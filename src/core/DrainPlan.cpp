#include "sesameway/DrainPlan.h"

namespace sesameway {

namespace {

// After this long the load balancer sends no more connections, so closed sessions do
// not reconnect here. The time covers two probes, one second apart.
constexpr Duration kOutOfRotation = milliseconds(2200);
// A caller that sends its next statement right after an answer has done so within this
// time.
constexpr Duration kIdleBeforeClose = milliseconds(100);

} // namespace

DrainPlan::DrainPlan(TimePoint aSince, TimePoint aLimit)
  : mOutOfRotation(aSince + kOutOfRotation)
  , mEndTransactionsAt(aSince + (aLimit - aSince) / 2)
  , mCloseWithAnswerAt(aSince + (aLimit - aSince) * 3 / 4)
  , mLimit(aLimit)
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
