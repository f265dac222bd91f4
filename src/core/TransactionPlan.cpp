#include "sesameway/TransactionPlan.h"

namespace sesameway {

namespace {

constexpr Duration kRetryAfter = milliseconds(200);
// An open transaction holds a scarce connection, and its caller may be gone.
constexpr Duration kIdleLimit = seconds(30);

} // namespace

TransactionPlan::TransactionPlan(std::uint64_t aTerm)
  : mTerm(aTerm)
{
}

TransactionAction TransactionPlan::Begin(GroupRequest aRequest, TimePoint aNow)
{
  mRequest = std::move(aRequest);
  mBegan = aNow;
  DatabaseCommand command;
  command.mKind = StatementKind::Begin;
  command.mTerm = mTerm;
  return SendCommand{ std::move(command), mRequest.mStatement.mDeadline };
}

TransactionAction TransactionPlan::OnStatement(GroupRequest aRequest, TimePoint aNow)
{
  mRequest = std::move(aRequest);
  const auto& statement = mRequest.mStatement;
  bool isOutOfPlace =
    statement.mKind == StatementKind::Begin || statement.mKind == StatementKind::Lookup;
  if (!mIsOpen || isOutOfPlace) {
    return Refuse(NotRun(Reason::TransactionState));
  }
  if (statement.mDeadline <= aNow) {
    return Refuse(NotRun(Reason::DeadlinePassed, aNow));
  }
  mIdleDeadline.reset();
  DatabaseCommand command;
  command.mKind = statement.mKind;
  command.mOperations = statement.mOperations;
  command.mTerm = mTerm;
  if (statement.mKind == StatementKind::Commit) {
    command.mRequestId = RecordedId(mRequest);
  }
  return SendCommand{ std::move(command), statement.mDeadline };
}

TransactionAction TransactionPlan::OnReply(DatabaseReply aReply, TimePoint aNow)
{
  mReply = std::move(aReply);
  auto retryAt = aNow + kRetryAfter;
  switch (mReply.mStatus) {
    case ReplyStatus::Ok:
      return OnOk(aNow);
    case ReplyStatus::Conflict:
      return Conclude(NotRun(Reason::Conflict, retryAt), aNow);
    case ReplyStatus::NotPrimary:
      return Conclude(NotRun(Reason::NoPrimary, retryAt), aNow);
    case ReplyStatus::TooManyConnections:
      return Conclude(NotRun(Reason::NoConnection, retryAt), aNow);
    case ReplyStatus::Malformed:
    case ReplyStatus::NotFound:
      return Conclude(NotRun(Reason::Malformed), aNow);
    case ReplyStatus::Lost:
      return OnLost(aNow);
  }
  return OnLost(aNow);
}

TransactionAction TransactionPlan::OnLost(TimePoint aNow)
{
  // Until the commit has been sent, a lost connection rolls everything back.
  bool mayHaveRun = mRequest.mStatement.mKind == StatementKind::Commit;
  auto retryAt = aNow + kRetryAfter;
  return Conclude(mayHaveRun ? Unknown(Reason::ConnectionLost, retryAt)
                             : NotRun(Reason::ConnectionLost, retryAt),
                  aNow);
}

TransactionAction TransactionPlan::OnOk(TimePoint aNow)
{
  const auto& statement = mRequest.mStatement;
  switch (statement.mKind) {
    case StatementKind::Begin: {
      // A primary that does not know that it has been replaced must not serve its old
      // data.
      if (mReply.mPosition.mTerm != mTerm) {
        return Conclude(NotRun(Reason::NoPrimary, aNow + kRetryAfter), aNow);
      }
      return AwaitConfirmed{ mReply.mPosition, mBegan, statement.mDeadline };
    }
    case StatementKind::Commit:
      mIsOpen = false;
      return AwaitCommitSafe{ { { mTerm, mReply.mPosition.mPosition },
                                statement.mDeadline } };
    default:
      break;
  }
  Answer answer;
  answer.mOutcome = Outcome::Done;
  answer.mRows = std::move(mReply.mRows);
  return Conclude(std::move(answer), aNow);
}

TransactionAction TransactionPlan::OnConfirmed(WaitResult aEnd, TimePoint aNow)
{
  if (aEnd != WaitResult::Reached) {
    return Conclude(NotRun(Reason::NotSafeInTime, aNow + kRetryAfter), aNow);
  }
  auto token = mRequest.mStatement.mToken.Find(mRequest.mGroup);
  if (token && !mReply.mPosition.Covers(*token)) {
    return Conclude(NotRun(Reason::BadToken), aNow);
  }
  Answer answer;
  answer.mOutcome = Outcome::Done;
  return Conclude(std::move(answer), aNow);
}

TransactionAction TransactionPlan::OnSafe(WaitResult aEnd, TimePoint aNow)
{
  if (aEnd != WaitResult::Reached) {
    return Conclude(Unknown(Reason::NotSafeInTime, aNow + kRetryAfter), aNow);
  }
  if (IsCancelled(mReply)) {
    return Conclude(NotRun(Reason::NotRecorded), aNow);
  }
  Answer answer;
  answer.mOutcome = Outcome::Done;
  answer.mRows = std::move(mReply.mRows);
  answer.mToken.Raise(mRequest.mGroup, { mTerm, mReply.mPosition.mPosition });
  return Conclude(std::move(answer), aNow);
}

bool TransactionPlan::OnIdle(TimePoint aNow)
{
  if (!mIsOpen || !mIdleDeadline || aNow < *mIdleDeadline) {
    return false;
  }
  mIdleDeadline.reset();
  mIsOpen = false;
  return true;
}

TransactionAction TransactionPlan::Refuse(Answer aAnswer) const
{
  aAnswer.mId = mRequest.mStatement.mId;
  return KeepOpen{ std::move(aAnswer) };
}

TransactionAction TransactionPlan::Conclude(Answer aAnswer, TimePoint aNow)
{
  aAnswer.mId = mRequest.mStatement.mId;
  auto kind = mRequest.mStatement.mKind;
  bool isDone = aAnswer.mOutcome == Outcome::Done;
  bool staysOpen =
    isDone && (kind == StatementKind::Begin || kind == StatementKind::Execute);
  if (staysOpen) {
    mIdleDeadline = aNow + kIdleLimit;
    return KeepOpen{ std::move(aAnswer) };
  }
  mIsOpen = false;
  bool isClean = isDone && kind == StatementKind::Rollback;
  return FinishTransaction{ std::move(aAnswer), isClean };
}

} // namespace sesameway
