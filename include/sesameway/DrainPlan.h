#pragma once

#include "sesameway/Time.h"

namespace sesameway {

// When a daemon that is to end closes its callers' sessions. Callers come until the
// balancer has noticed, and one that was just answered often asks again at once: a
// session is closed while nothing is on its way, if that can be had.
class DrainPlan
{
public:
  // `aLimit`: the process ends then.
  DrainPlan(TimePoint aSince, TimePoint aLimit);

  // Whether to close a session that has been idle since then.
  bool ClosesIdle(TimePoint aIdleSince, TimePoint aNow) const;
  // Whether sessions end with the answer that leaves them idle.
  bool ClosesWithAnswer(TimePoint aNow) const;
  // Whether open transactions are rolled back.
  bool EndsTransactions(TimePoint aNow) const;
  bool IsOver(bool aIsAnyOpen, TimePoint aNow) const;

private:
  TimePoint mOutOfRotation;
  TimePoint mEndTransactionsAt;
  TimePoint mCloseWithAnswerAt;
  TimePoint mLimit;
};

} // namespace sesameway
