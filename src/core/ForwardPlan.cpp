#include "sesameway/ForwardPlan.h"

#include <algorithm>

namespace sesameway {

namespace {

constexpr Duration kReadAttempt = milliseconds(500);
constexpr Duration kWriteAttempt = seconds(1);
constexpr Duration kRoundPause = milliseconds(20);
constexpr Duration kRetryAfter = milliseconds(200);
// If all homes refuse, they are asked again, as their lists of homes may just be
// changing.
constexpr std::size_t kMaxRounds = 10;

} // namespace

ForwardPlan::ForwardPlan(const GroupRequest& aRequest, std::size_t aHomes)
  : mId(aRequest.mStatement.mId)
  , mDeadline(aRequest.mStatement.mDeadline)
  , mHomes(aHomes)
  , mMayHaveEffect(aRequest.mStatement.MayHaveEffect())
  , mMayRepeat(!mMayHaveEffect || !aRequest.mStatement.mRequestId.empty())
{
}

ForwardAction ForwardPlan::Start(TimePoint aNow)
{
  if (mHomes == 0) {
    return End(
      NotRun(Reason::NotReady, aNow + kRetryAfter, "no home of the group known"));
  }
  return Next(aNow);
}

ForwardAction ForwardPlan::Next(TimePoint aNow)
{
  if (mDeadline <= aNow) {
    return End(NotRun(Reason::DeadlinePassed, aNow + kRetryAfter));
  }
  Duration timeout = mDeadline - aNow;
  if (!mMayHaveEffect) {
    timeout = std::min(timeout, kReadAttempt);
  } else if (mMayRepeat) {
    timeout = std::min(timeout, std::max(kWriteAttempt, timeout / 2));
  }
  mAttemptDeadline = aNow + timeout;
  return ForwardAttempt{ mTried++ % mHomes, mAttemptDeadline };
}

ForwardAction ForwardPlan::OnAnswer(Answer aAnswer, TimePoint aNow)
{
  if (aAnswer.mOutcome == Outcome::Done || aAnswer.mReason == Reason::NotRecorded) {
    return End(std::move(aAnswer));
  }
  mMayHaveRun = mMayHaveRun || aAnswer.mOutcome == Outcome::Unknown;
  bool isOver = mMayHaveRun && !mMayRepeat;
  if (isOver || !ShouldTryAnother(aAnswer, aNow)) {
    return End(std::move(aAnswer));
  }
  bool isRoundOver = mTried % mHomes == 0;
  if (isRoundOver) {
    return ForwardPause{ aNow + kRoundPause };
  }
  return Next(aNow);
}

ForwardAction ForwardPlan::OnRetry(TimePoint aNow)
{
  return Next(aNow);
}

bool ForwardPlan::ShouldTryAnother(const Answer& aAnswer, TimePoint aNow) const
{
  if (mDeadline <= aNow || mTried >= mHomes * kMaxRounds) {
    return false;
  }
  switch (aAnswer.mReason) {
    case Reason::NotReady:
    case Reason::Draining:
    case Reason::ConnectionLost:
      return true;
    case Reason::DeadlinePassed:
    case Reason::NotSafeInTime:
    case Reason::NoPrimary:
      // Another attempt is worthwhile only if the home was given less time than the
      // statement has.
      return mAttemptDeadline < mDeadline;
    default:
      return false;
  }
}

ForwardAction ForwardPlan::End(Answer aAnswer) const
{
  // The refusal of a later attempt does not prove that an earlier attempt did not run.
  bool isProved = aAnswer.mReason == Reason::NotRecorded;
  if (mMayHaveRun && aAnswer.mOutcome == Outcome::NotRun && !isProved) {
    aAnswer.mOutcome = Outcome::Unknown;
  }
  aAnswer.mId = mId;
  return ForwardEnd{ std::move(aAnswer) };
}

} // namespace sesameway
