#include "sesameway/DrainPlan.h"

namespace sesameway {

namespace {

// After this long the balancer sends no more connections, so that sessions that are
// closed don't come back here: two probes, a second apart.
constexpr Duration kOutOfRotation = milliseconds(2200);
// A caller that goes on right after an answer has done so by then.
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
  bool isSettled = aNow - aIdleSince >= kIdleBeforeClose || aNow >= mCloseWithAnswerAt;
  return aNow >= mOutOfRotation && isSettled;
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
