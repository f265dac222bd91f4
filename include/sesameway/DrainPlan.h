#pragma once

#include "sesameway/Time.h"

namespace sesameway {

// Decides when a daemon that is shutting down closes its callers' sessions. New callers
// arrive until the load balancer has noticed the shutdown, and a caller that was just
// answered often sends its next statement at once. Sessions are therefore closed while
// they have no statement in flight, if possible.
class DrainPlan
{
public:
  // `aKillAt` is when the process is killed if it has not ended by itself.
  DrainPlan(TimePoint aSince, TimePoint aKillAt);

  // Whether to close a session that has been idle since `aIdleSince`.
  bool ClosesIdle(TimePoint aIdleSince, TimePoint aNow) const;
  // Whether a session is closed together with the answer that leaves it idle.
  bool ClosesWithAnswer(TimePoint aNow) const;
  // Whether open transactions are rolled back.
  bool EndsTransactions(TimePoint aNow) const;
  bool IsOver(bool aIsAnyOpen, TimePoint aNow) const;

private:
  TimePoint mOutOfRotation;
  TimePoint mEndTransactionsAt;
  TimePoint mLimit;
  TimePoint mCloseWithAnswerAt;
};

} // namespace sesameway
