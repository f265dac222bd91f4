#pragma once

#include "sesameway/GroupRequest.h"

#include <variant>

namespace sesameway {

// Send the request to the home of this number, with this deadline; then OnAnswer.
struct ForwardAttempt
{
  std::size_t mHome;
  TimePoint mDeadline;
};
// Until the time given; then OnRetry.
struct ForwardPause
{
  TimePoint mAt;
};
struct ForwardEnd
{
  Answer mAnswer;
};
using ForwardAction = std::variant<ForwardAttempt, ForwardPause, ForwardEnd>;

// A statement outside transactions at a daemon that is no home of its group: which home
// is tried, and what may be said when answers are lost. Passive, as StatementPlan.
class ForwardPlan
{
public:
  // Homes are numbered from 0, nearest first.
  ForwardPlan(const GroupRequest& aRequest, std::size_t aHomes);
  ForwardAction Start(TimePoint aNow);
  // An answer that was lost has the reason ConnectionLost, and is NotRun only if the
  // request never left or can have no effect.
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
