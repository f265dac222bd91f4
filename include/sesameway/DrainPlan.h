#pragma once

#include "sesameway/Time.h"

namespace sesameway {

// Decides when a daemon that is shutting down closes its callers' sessions and ends
// what they still have under way, so that each request is answered before the process
// is killed. New callers arrive until the load balancer has noticed the shutdown, and a
// caller that was just answered often sends its next statement at once. Sessions are
// therefore closed while they have no statement in flight, if possible.
class DrainPlan
{
public:
  // `aKillAt` is when the process is killed if it has not ended by itself.
  DrainPlan(TimePoint aSince, TimePoint aKillAt);

  // Whether to close a session that has been idle since `aIdleSince`.
  bool ClosesIdle(TimePoint aIdleSince, TimePoint aNow) const;
  // Whether sessions end: open transactions are rolled back, a session is closed with
  // the answer that leaves it idle, and new sessions and transactions are refused.
  bool EndsSessions(TimePoint aNow) const;
  // Whether statements in progress are ended with an answer.
  bool EndsStatements(TimePoint aNow) const;
  // Whether the process ends. `aIsAnyOpen` says whether a session is still open.
  bool IsOver(bool aIsAnyOpen, TimePoint aNow) const;

private:
  TimePoint mEndSessionsAt;
  TimePoint mOutOfRotation;
  TimePoint mEndStatementsAt;
  TimePoint mEndAt;
};

} // namespace sesameway
