#include "proxy/CallerRun.h"

#include "daemon/Log.h"
#include "proxy/Replies.h"

#include <algorithm>

namespace sesameway::proxy {

namespace {

// How long a read that may be retried waits for a reply before the session checks
// whether its database is unresponsive. Slow replies of a busy group take about this
// long.
constexpr Duration kNoResponseTimeout = milliseconds(500);
constexpr const char* kEvacuated = "zone_evacuated";

} // namespace

void CallerRun::Acquire()
{
  if (!mAttempt || RefuseIfWithdrawn()) {
    return;
  }
  auto& attempt = *mAttempt;
  LeaseRequest request;
  request.mGroup = mRoute->mGroup;
  request.mOrganisation = mOrganisation;
  request.mPriority = mRoute->mPriority;
  request.mDeadline = attempt.mDeadline;
  request.mTerms = Terms();
  request.mNeedsPrimary = attempt.mNeedsPrimary;
  request.mFreshSince = FreshSince(attempt);
  if (mTokenGroup == request.mGroup) {
    request.mToken = mToken;
  }
  request.mAvoid = attempt.mAvoid;
  request.mLaggingDatabases = attempt.mLaggingDatabases;
  const auto* organisation = mCatalogue->FindOrganisation(mOrganisation);
  request.mAllowedRegions =
    organisation == nullptr
      ? mRoute->mAllowedRegions
      : mRoute->mAllowedRegions.And(organisation->mAllowedRegions);
  // The callback may run before Acquire returns; the ticket that Acquire then returns
  // is no longer valid.
  auto isOver = std::make_shared<bool>(false);
  auto ticket = mBackend.Acquire(
    request,
    [self = shared_from_this(), isOver](tl::expected<LeasePtr, Refusal> aLease) {
      *isOver = true;
      self->mTicket = 0;
      self->OnLease(std::move(aLease));
    });
  if (!*isOver) {
    mTicket = ticket;
  }
}

void CallerRun::OnLease(tl::expected<LeasePtr, Refusal> aLease)
{
  if (mIsDisconnected || !mAttempt) {
    if (aLease) {
      mBackend.Release(*aLease, false);
    }
    return;
  }
  if (!aLease) {
    const auto& refusal = aLease.error();
    auto reason = mAttempt->mCause.empty()
                    ? refusal.mReason
                    : refusal.mReason + " after " + mAttempt->mCause;
    Fail(refusal.mCode, RetryText(reason, refusal.mRetryAt, mEnvironment.Now()));
    return;
  }
  mLease = *aLease;
  mLease->mLink->OnBroken([weak = weak_from_this(), lease = mLease] {
    auto self = weak.lock();
    if (!self || self->mLease != lease) {
      return;
    }
    if (std::exchange(self->mIsConfirming, false)) {
      self->OnLost();
    } else {
      self->ReleaseLease(true);
      self->EndTransaction("connection_lost");
    }
  });
  Send();
}

// The statements of a transaction that has results go first: they hold a connection,
// and a refusal would lose the results. The latency target holds for the whole
// operation.
StatementTerms CallerRun::Terms() const
{
  const auto& attempt = *mAttempt;
  bool isInTransaction = mTransaction == TransactionState::Open;
  StatementTerms terms;
  terms.mPriority = mRoute->mPriority;
  if (mRoute->mGoalUs > 0) {
    auto since = isInTransaction ? mBegunAt : attempt.mReceivedAt;
    terms.mGoalAt = since + Duration(microseconds(mRoute->mGoalUs));
  }
  terms.mDeadline = attempt.mDeadline;
  terms.mIsInTransaction = isInTransaction && mHasAnswered;
  terms.mOrganisation = mOrganisation;
  terms.mCostClass = mRouteName + ' ';
  terms.mCostClass += kCommandKindNames.Name(attempt.mCommand);
  return terms;
}

TimePoint CallerRun::FreshSince(const Attempt& aAttempt) const
{
  bool isInTransaction = mTransaction == TransactionState::Open;
  auto since = isInTransaction ? mBegunAt : aAttempt.mReceivedAt;
  return since - Duration(microseconds(mRoute->mMaxAgeUs));
}

std::optional<LogPosition> CallerRun::FreshAfter(const Attempt& aAttempt) const
{
  if (mLease->mIsPrimary) {
    return std::nullopt;
  }
  auto after = mBackend.HeadSince(mLease->mGroup, FreshSince(aAttempt));
  if (mToken && mTokenGroup == mLease->mGroup) {
    after = after ? std::max(*after, *mToken) : *mToken;
  }
  return after;
}

void CallerRun::Send()
{
  if (!mBackend.IsInForce(*mLease)) {
    OnPrimaryReplaced();
    return;
  }
  if (mTransaction == TransactionState::Open && mBackend.MustEndTransaction(*mLease)) {
    Fail(ReplyCode::Aborted, kEvacuated);
    return;
  }
  if (RefuseIfWithdrawn()) {
    return;
  }
  auto& attempt = *mAttempt;
  attempt.mSentAt = mEnvironment.Now();
  attempt.mDatabase = mLease->mDatabase;
  attempt.mIsAtPrimary = mLease->mIsPrimary;
  attempt.mChange = mLease->mChange;
  ++attempt.mSends;
  if (mTransaction == TransactionState::Open && !mHasBegun) {
    SendBegin();
  } else {
    SendStatement();
  }
}

// Sends the statement only after the database has begun the transaction: if the begin
// command were refused, the statement would run outside a transaction.
void CallerRun::SendBegin()
{
  auto commands = mLease->mConnectionState->SyncValues(mValues);
  ConnectionCommand begin;
  begin.mKind = mIsReadOnly ? CommandKind::BeginRead : CommandKind::Begin;
  begin.mAfter = FreshAfter(*mAttempt);
  mAttempt->mAfter = begin.mAfter;
  commands.push_back(std::move(begin));
  mHasBegun = true;
  SendBatch(std::move(commands), [this](ConnectionReply aReply) {
    if (aReply.mCode != ReplyCode::Done) {
      OnOutcome(std::move(aReply));
    } else if (!mBackend.IsInForce(*mLease)) {
      OnPrimaryReplaced();
    } else if (!RefuseIfWithdrawn()) {
      SendStatement();
    }
  });
}

void CallerRun::SendStatement()
{
  auto& attempt = *mAttempt;
  auto commands = mLease->mConnectionState->SyncValues(mValues);
  ConnectionCommand command;
  command.mKind = attempt.mCommand;
  command.mId = attempt.mRequest.mId;
  command.mText = attempt.mRequest.mText;
  if (attempt.mPrepared) {
    command.mName = mLease->mConnectionState->NameOf(*attempt.mPrepared, commands);
    command.mText = attempt.mRequest.mArgument;
  }
  if (mTransaction == TransactionState::None) {
    command.mAfter = FreshAfter(attempt);
    attempt.mAfter = command.mAfter;
  }
  commands.push_back(std::move(command));
  SendBatch(std::move(commands),
            [this](ConnectionReply aReply) { OnOutcome(std::move(aReply)); });
}

void CallerRun::SendBatch(std::vector<ConnectionCommand> aCommands,
                          std::function<void(ConnectionReply)> aThen)
{
  mIsSending = true;
  mBackend.OnSent(*mLease);
  mLease->mLink->SetTerms(Terms());
  mLease->mAfter = aCommands.back().mAfter;
  if (MayRunAgain()) {
    WatchForNoResponse();
  }
  mLease->mLink->Send(std::move(aCommands),
                      [self = shared_from_this(),
                       then = std::move(aThen)](std::vector<ConnectionReply> aReplies) {
                        self->mIsSending = false;
                        self->OnReplies(std::move(aReplies), then);
                      });
}

// The last reply belongs to the statement or the begin command, the ones before it to
// the commands that set up the connection.
void CallerRun::OnReplies(std::vector<ConnectionReply> aReplies,
                          const std::function<void(ConnectionReply)>& aThen)
{
  auto reply = std::move(aReplies.back());
  aReplies.pop_back();
  bool isSetUp = std::all_of(aReplies.begin(), aReplies.end(), [](const auto& aIt) {
    return aIt.mCode == ReplyCode::Done;
  });
  mBackend.OnReply(*mLease, reply, mAttempt ? mAttempt->mSentAt : TimePoint{});
  if (IsUnsent(reply)) {
    // Nothing of the batch was sent, also no value of the session.
    mLease->mConnectionState->SetUnknown();
  }
  if (!isSetUp) {
    // The connection lacks some session values or prepared statements, so that the
    // statement may have run wrongly.
    ReleaseLease(true);
    reply = OwnReply(ReplyCode::Lost, "setup", TransactionState::None);
  }
  if (mIsDisconnected || !mAttempt) {
    if (reply.mTransaction == TransactionState::None) {
      ReleaseLease(reply.mCode == ReplyCode::Lost);
    } else {
      RollBack();
    }
    return;
  }
  aThen(std::move(reply));
}

// Closes the connection if its database has become unresponsive, so that the read is
// retried on another database before its deadline.
void CallerRun::WatchForNoResponse()
{
  mRetryTimer->Set(mEnvironment.Now() + kNoResponseTimeout,
                   [weak = weak_from_this(), number = mAttempt->mNumber] {
                     auto self = weak.lock();
                     bool isWaiting =
                       self && self->IsCurrentAttempt(number) && self->mIsSending;
                     if (isWaiting && self->mBackend.IsUnresponsive(*self->mLease)) {
                       self->mLease->mLink->Close();
                     }
                   });
}

void CallerRun::RollBack()
{
  if (!mLease || mIsSending) {
    return;
  }
  if (!mHasBegun) {
    ReleaseLease(false);
    return;
  }
  auto lease = std::exchange(mLease, nullptr);
  lease->mLink->OnBroken(nullptr);
  ConnectionCommand rollback;
  rollback.mKind = CommandKind::Rollback;
  auto& backend = mBackend;
  lease->mLink->Send({ rollback }, [&backend, lease](auto aReplies) {
    bool isClean = aReplies.back().mCode == ReplyCode::Done &&
                   aReplies.back().mTransaction == TransactionState::None;
    backend.Release(lease, !isClean);
  });
}

void CallerRun::EndTransactionIfEvacuated()
{
  if (mLease && mBackend.MustEndTransaction(*mLease)) {
    EndTransaction(kEvacuated);
  }
}

void CallerRun::ReleaseLease(bool aIsBroken)
{
  if (!mLease) {
    return;
  }
  auto lease = std::exchange(mLease, nullptr);
  lease->mLink->OnBroken(nullptr);
  mBackend.Release(lease, aIsBroken);
}

} // namespace sesameway::proxy
