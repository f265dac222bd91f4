#pragma once

#include "sesameway/GroupRequest.h"

#include <variant>

namespace sesameway {

// Send the request to the home of this index with this deadline, then call OnAnswer.
struct ForwardAttempt
{
  std::size_t mHome;
  TimePoint mDeadline;
};
// Wait until mAt, then call OnRetry.
struct ForwardPause
{
  TimePoint mAt;
};
struct ForwardEnd
{
  Answer mAnswer;
};
using ForwardAction = std::variant<ForwardAttempt, ForwardPause, ForwardEnd>;

// Forwards a statement outside transactions from a daemon that is not a home of the
// statement's group. Chooses the home to try, and the outcome to report if answers are
// lost. Passive, like StatementPlan.
class ForwardPlan
{
public:
  // `aHomes` is the number of homes. They are numbered from 0, nearest first.
  ForwardPlan(const GroupRequest& aRequest, std::size_t aHomes);
  ForwardAction Start(TimePoint aNow);
  // A lost answer is passed with Reason::ConnectionLost, and with Outcome::NotRun only
  // if the request was never sent or can have no effect.
  ForwardAction OnAnswer(Answer aAnswer, TimePoint aNow);
  ForwardAction OnRetry(TimePoint aNow);

private:
  ForwardAction Next(TimePoint aNow);
  ForwardAction End(Answer aAnswer) const;
  bool ShouldTryAnother(const Answer& aAnswer, TimePoint aNow) const;

  std::uint64_t mId;
  TimePoint mDeadline;
  std::size_t mHomes;
  bool mMayHaveEffect;
  bool mMayRepeat;
  bool mMayHaveRun = false;
  std::size_t mTried = 0;
  TimePoint mAttemptDeadline{};
};

} // namespace sesameway
