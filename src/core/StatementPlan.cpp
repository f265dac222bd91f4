#include "sesameway/StatementPlan.h"

#include <algorithm>

namespace sesameway {

namespace {

constexpr Duration kRetryPause = milliseconds(10);
constexpr Duration kRetryAfter = milliseconds(200);
// A group without a primary rarely gets one in less time than this.
constexpr Duration kNoPrimaryRetryAfter = seconds(1);
// A replica that takes longer than this is abandoned for another database.
constexpr Duration kReplicaAttempt = milliseconds(200);
// Minimum time that the primary has to answer a statement that may be repeated.
constexpr Duration kPrimaryAttempt = seconds(1);
// After this long in a connection queue the route is chosen again, as the primary may
// have changed.
constexpr Duration kQueueAttempt = seconds(1);
constexpr int kMaxReplicaFailures = 2;

// The operation of a lookup. It records the request id with a result that holds this
// key, unless the id already has a result. The original request is then refused
// wherever it arrives later, so "not recorded" stays true. CheckForm keeps callers from
// using the key.
const Operation kCancellation{ OperationKind::Add,
                               std::string(kReservedKeyPrefix) + "cancelled",
                               "0" };

void AppendPart(std::string& aTo, const std::string& aPart)
{
  aTo += std::to_string(aPart.size()) + ':' + aPart;
}

} // namespace

std::string RecordedId(const GroupRequest& aRequest)
{
  const auto& statement = aRequest.mStatement;
  if (statement.mRequestId.empty()) {
    return {};
  }
  std::string id;
  AppendPart(id, aRequest.mOrganisation);
  AppendPart(id, statement.mRoute);
  return id + statement.mRequestId;
}

bool IsCancelled(const DatabaseReply& aReply)
{
  return aReply.mRows.size() == 1 && aReply.mRows.front().mKey == kCancellation.mKey;
}

StatementPlan::StatementPlan(GroupRequest aRequest)
  : mRequest(std::move(aRequest))
  , mIsRead(mRequest.mStatement.mKind == StatementKind::Execute &&
            !mRequest.mStatement.Writes())
  , mMayRepeat(mIsRead || !mRequest.mStatement.mRequestId.empty())
{
}

PlanAction StatementPlan::Start(TimePoint aNow)
{
  return Route(aNow);
}

PlanAction StatementPlan::Route(TimePoint aNow)
{
  if (mRequest.mStatement.mDeadline <= aNow) {
    return GiveUp(Reason::DeadlinePassed, aNow);
  }
  return ChooseRoute{ mIsRead && !mPrimaryOnly };
}

PlanAction StatementPlan::OnRoute(const RouteDecision& aDecision,
                                  std::uint64_t aTerm,
                                  TimePoint aNow)
{
  mTerm = aTerm;
  if (std::holds_alternative<WaitForPrimary>(aDecision)) {
    return AwaitPrimary{ 0, mRequest.mStatement.mDeadline };
  }
  mIsReplica = std::holds_alternative<ToReplica>(aDecision);
  mDatabase = mIsReplica ? std::get<ToReplica>(aDecision).mDatabase
                         : std::get<ToPrimary>(aDecision).mDatabase;
  Duration timeout = mIsReplica ? kReplicaAttempt : kQueueAttempt;
  return AcquireConnection{ mDatabase,
                            std::min(mRequest.mStatement.mDeadline, aNow + timeout) };
}

PlanAction StatementPlan::OnConnection(bool aIsGranted, Reason aReason, TimePoint aNow)
{
  if (!aIsGranted) {
    // Reason::NoPrimary means that the database was replaced while the statement waited
    // in its queue.
    bool isAttemptOver =
      (aReason == Reason::DeadlinePassed || aReason == Reason::NoPrimary) &&
      aNow < mRequest.mStatement.mDeadline;
    if (isAttemptOver) {
      CountReplicaFailure();
      return Route(aNow);
    }
    return GiveUp(aReason, aNow);
  }
  if (mRequest.mStatement.mDeadline <= aNow) {
    // The connection is released unused.
    return GiveUp(Reason::DeadlinePassed, aNow);
  }
  mReadBegan = aNow;
  return SendCommand{ MakeCommand(), AttemptDeadline(aNow) };
}

DatabaseCommand StatementPlan::MakeCommand() const
{
  DatabaseCommand command;
  command.mKind = StatementKind::Execute;
  command.mRequestId = mIsRead ? std::string() : RecordedId(mRequest);
  command.mTerm = mIsRead ? 0 : mTerm;
  if (mRequest.mStatement.mKind == StatementKind::Lookup) {
    command.mOperations.push_back(kCancellation);
  } else {
    command.mOperations = mRequest.mStatement.mOperations;
  }
  return command;
}

TimePoint StatementPlan::AttemptDeadline(TimePoint aNow) const
{
  auto deadline = mRequest.mStatement.mDeadline;
  if (!mMayRepeat) {
    return deadline;
  }
  if (mIsReplica) {
    return std::min(deadline, aNow + kReplicaAttempt);
  }
  return std::min(deadline, aNow + std::max(kPrimaryAttempt, (deadline - aNow) / 2));
}

PlanAction StatementPlan::OnReply(DatabaseReply aReply,
                                  bool aMeetsRequirement,
                                  TimePoint aNow)
{
  mReply = std::move(aReply);
  switch (mReply.mStatus) {
    case ReplyStatus::Ok:
      if (mIsRead) {
        return OnReadReply(aMeetsRequirement, aNow);
      }
      // The recorded entry of a repeated request may be inherited from an older term.
      // It is safe once a majority holds a log that ends in the current term and
      // reaches the entry.
      return AwaitSafe{ { mTerm, mReply.mPosition.mPosition },
                        mRequest.mStatement.mDeadline };
    case ReplyStatus::NotPrimary:
      // The refused attempt had no effect; the next one goes to a newer primary.
      return AwaitPrimary{ mTerm, mRequest.mStatement.mDeadline };
    case ReplyStatus::TooManyConnections:
      return AwaitRetry{ aNow + kRetryPause };
    case ReplyStatus::Conflict:
      return GiveUp(Reason::Conflict, aNow);
    case ReplyStatus::Malformed:
    case ReplyStatus::NotFound:
      return GiveUp(Reason::Malformed, aNow);
    case ReplyStatus::Lost:
      return OnLost(aNow);
  }
  // A status outside the enumeration leaves the outcome unknown.
  return OnLost(aNow);
}

PlanAction StatementPlan::OnReadReply(bool aMeetsRequirement, TimePoint aNow)
{
  if (mIsReplica) {
    if (aMeetsRequirement) {
      return Done();
    }
    mPrimaryOnly = true;
    return Route(aNow);
  }
  if (mReply.mPosition.mTerm > mTerm) {
    // The database follows a newer primary by now, and may lag behind it.
    return AwaitPrimary{ mTerm, mRequest.mStatement.mDeadline };
  }
  if (mReply.mPosition.mTerm < mTerm) {
    return AwaitRetry{ aNow + kRetryPause };
  }
  return AwaitConfirmed{ mReply.mPosition, mReadBegan, mRequest.mStatement.mDeadline };
}

PlanAction StatementPlan::OnLost(TimePoint aNow)
{
  mMayHaveRun = mMayHaveRun || !mIsRead;
  if (!mMayRepeat) {
    return GiveUp(Reason::ConnectionLost, aNow);
  }
  CountReplicaFailure();
  return AwaitRetry{ aNow + kRetryPause };
}

void StatementPlan::CountReplicaFailure()
{
  if (mIsReplica) {
    ++mReplicaFailures;
    mPrimaryOnly = mPrimaryOnly || mReplicaFailures >= kMaxReplicaFailures;
  }
}

PlanAction StatementPlan::OnPrimary(WaitResult aEnd, TimePoint aNow)
{
  if (aEnd != WaitResult::Reached || mRequest.mStatement.mDeadline <= aNow) {
    return GiveUp(Reason::NoPrimary, aNow);
  }
  return Route(aNow);
}

PlanAction StatementPlan::OnSafe(WaitResult aEnd, TimePoint aNow)
{
  if (aEnd == WaitResult::Reached) {
    return IsCancelled(mReply) ? Cancelled() : Done();
  }
  // At least one log holds the entry, which a later term may or may not keep.
  mMayHaveRun = true;
  if (aEnd == WaitResult::Overtaken && mMayRepeat) {
    return Route(aNow);
  }
  return GiveUp(Reason::NotSafeInTime, aNow);
}

PlanAction StatementPlan::OnConfirmed(WaitResult aEnd, TimePoint aNow)
{
  if (aEnd == WaitResult::Overtaken) {
    return Route(aNow);
  }
  if (aEnd == WaitResult::Expired) {
    return GiveUp(Reason::NotSafeInTime, aNow);
  }
  auto token = mRequest.mStatement.mToken.Find(mRequest.mGroup);
  if (token && !mReply.mPosition.Covers(*token)) {
    // Tokens name only safe entries, and a confirmed primary holds every one of them,
    // so the token is invalid.
    return FinishStatement{ NotRun(Reason::BadToken), std::nullopt };
  }
  return Done();
}

PlanAction StatementPlan::OnRetry(TimePoint aNow)
{
  return Route(aNow);
}

PlanAction StatementPlan::Done()
{
  Answer answer;
  answer.mOutcome = Outcome::Done;
  answer.mRows = std::move(mReply.mRows);
  if (!mIsReplica) {
    // The token names the current term, as a log of a term between an inherited entry's
    // and the current one may lack the entry. An entry read at a replica may not be
    // safe yet, so it is not put into a token.
    answer.mToken.Raise(mRequest.mGroup, { mTerm, mReply.mPosition.mPosition });
  }
  return FinishStatement{ std::move(answer), mDatabase };
}

PlanAction StatementPlan::Cancelled() const
{
  return FinishStatement{ NotRun(Reason::NotRecorded), mDatabase };
}

PlanAction StatementPlan::GiveUp(Reason aReason, TimePoint aNow) const
{
  auto pause = aReason == Reason::NoPrimary ? kNoPrimaryRetryAfter : kRetryAfter;
  auto retryAt = aReason == Reason::Malformed ? TimePoint{} : aNow + pause;
  return FinishStatement{ mMayHaveRun ? Unknown(aReason, retryAt)
                                      : NotRun(aReason, retryAt),
                          std::nullopt };
}

} // namespace sesameway
