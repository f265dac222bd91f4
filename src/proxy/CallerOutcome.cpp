#include "proxy/CallerRun.h"

#include "daemon/Log.h"
#include "proxy/Replies.h"

namespace sesameway::proxy {

namespace {

// Pause before a statement is sent again, unless RetryLater retries it at once. The
// pause stays the same until the statement has been sent kQuickRetries times and
// doubles with each further send, up to kLongestRetryPause.
constexpr Duration kRetryPause = milliseconds(15);
constexpr Duration kLongestRetryPause = milliseconds(120);
// Limits the sends of a statement; more retries would prolong the overload of a busy
// group.
constexpr int kMaxSends = 6;
// Limits the retries of a read that a database reported as failed: once on each other
// database of a group of three.
constexpr int kMaxFailures = 2;
// After this many sends, each database of a group of three has been tried, so further
// sends are made after a pause.
constexpr int kQuickRetries = 3;

} // namespace

void CallerRun::OnOutcome(ConnectionReply aReply)
{
  if (aReply.mCode == ReplyCode::Lost) {
    OnLost();
    return;
  }
  if (aReply.mCode == ReplyCode::Done) {
    OnDone(std::move(aReply));
    return;
  }
  if (IsUnsent(aReply)) {
    OnOverload(aReply);
    return;
  }
  if (IsNotRun(aReply.mCode)) {
    OnNotRun(std::move(aReply));
    return;
  }
  if (aReply.mCode == ReplyCode::Failed && MayRunAgain() &&
      ++mAttempt->mFailures <= kMaxFailures) {
    OnFailedRead();
    return;
  }
  // The statement ran and failed, or the database could not interpret it.
  if (mTransaction == TransactionState::Open) {
    bool goesOn = aReply.mTransaction == TransactionState::Open;
    if (!goesOn) {
      RollBack();
      bool isCommit = mAttempt->mCommand == CommandKind::Commit;
      mTransaction = isCommit ? TransactionState::None : TransactionState::Failed;
    }
  } else {
    ReleaseLease(aReply.mTransaction != TransactionState::None);
  }
  aReply.mTransaction = mTransaction;
  Answer(std::move(aReply));
}

// Whether the statement may be run again, on any database of the group. A read has no
// effect, so it may be repeated as long as the caller has received no successful answer
// from the same transaction. Reads that need the primary are excluded.
bool CallerRun::MayRunAgain() const
{
  bool isFirst = mTransaction == TransactionState::None || !mHasAnswered;
  return IsRead(mAttempt->mCommand) && isFirst && !mAttempt->mNeedsPrimary;
}

void CallerRun::OnFailedRead()
{
  auto database = mLease->mDatabase;
  mAttempt->mAvoid.insert(database);
  if (mTransaction == TransactionState::Open) {
    RollBack();
  } else {
    ReleaseLease(false);
  }
  RetryOrFail(ReplyCode::Failed, "failed at " + database);
}

// If this daemon has lost contact with the store, another database may have been
// promoted before this one ran the statement. The reply is then held back until the
// group's other databases confirm that none has.
void CallerRun::OnDone(ConnectionReply aReply)
{
  if (mBackend.AreRepliesTrusted(*mLease)) {
    Deliver(std::move(aReply));
    return;
  }
  mIsConfirming = true;
  mBackend.Confirm(*mLease,
                   mEnvironment.Now(),
                   [self = shared_from_this(),
                    number = mAttempt->mNumber,
                    lease = mLease,
                    reply = std::move(aReply)](bool aIsConfirmed) {
                     // In the meantime the connection may have been lost and the
                     // request sent on another one.
                     bool isCurrent =
                       self->IsCurrentAttempt(number) && self->mLease == lease;
                     if (!isCurrent || !std::exchange(self->mIsConfirming, false)) {
                       return;
                     }
                     if (aIsConfirmed) {
                       self->mAttempt->mIsConfirmed = true;
                       self->Deliver(reply);
                     } else {
                       self->OnUnconfirmed();
                     }
                   });
}

// Notes that the statement sent last may have taken effect permanently although its
// result cannot be reported.
void CallerRun::NotePossibleEffect()
{
  auto& attempt = *mAttempt;
  bool isCommit = attempt.mCommand == CommandKind::Commit;
  bool isSingleWrite =
    mTransaction == TransactionState::None && IsWrite(attempt.mCommand);
  attempt.mIsOutcomeUnknown |= isSingleWrite || (isCommit && mHasWritten);
}

void CallerRun::OnUnconfirmed()
{
  NotePossibleEffect();
  ReleaseLease(true);
  RetryOrFail(ReplyCode::Aborted, "primary_not_confirmed");
}

// The database of the lease is no longer the primary. It has not run the current
// statement on this lease.
void CallerRun::OnPrimaryReplaced()
{
  ReleaseLease(true);
  RetryOrFail(ReplyCode::Aborted, "primary_replaced");
}

void CallerRun::Deliver(ConnectionReply aReply)
{
  auto& attempt = *mAttempt;
  bool isCommit = attempt.mCommand == CommandKind::Commit;
  bool hasEffect = IsWrite(attempt.mCommand) || (isCommit && mHasWritten);
  if (mTransaction == TransactionState::Open && IsWrite(attempt.mCommand)) {
    mHasWritten = true;
  }
  mHasAnswered = true;
  bool isOver = mTransaction == TransactionState::None || isCommit;
  if (isOver && hasEffect && aReply.mPosition) {
    mToken = aReply.mPosition;
    mTokenGroup = mLease->mGroup;
  }
  if (isOver) {
    mTransaction = TransactionState::None;
    ReleaseLease(aReply.mTransaction != TransactionState::None);
  }
  aReply.mTransaction = mTransaction;
  Answer(std::move(aReply));
}

// A read may be served by another database of the group. Other statements are refused
// at once with the time at which the queue may have room.
void CallerRun::OnOverload(const ConnectionReply& aReply)
{
  auto& attempt = *mAttempt;
  auto reason = EndReasonOr(aReply.mDetail + " at " + mLease->mDatabase);
  attempt.mAvoid.insert(mLease->mDatabase);
  if (mTransaction == TransactionState::Open) {
    RollBack();
  } else {
    ReleaseLease(false);
  }
  if (MayRunAgain() && attempt.mSends < kQuickRetries && MayRetry()) {
    attempt.mCause = reason;
    mHasBegun = false;
    Acquire();
    return;
  }
  Fail(ReplyCode::Busy, RetryText(reason, *aReply.mRetryAt, mEnvironment.Now()));
}

void CallerRun::OnNotRun(ConnectionReply aReply)
{
  auto& attempt = *mAttempt;
  if (aReply.mCode == ReplyCode::NotPrepared && attempt.mPrepared) {
    mLease->mConnectionState->Forget(*attempt.mPrepared);
    if (attempt.mSends < kMaxSends && mTransaction == TransactionState::None) {
      Send();
      return;
    }
  }
  if (aReply.mCode == ReplyCode::Behind) {
    // Another replica may have reached the required log position. The primary always
    // has, unless the position of the session's own commits was lost with a former
    // primary.
    bool isOwnTokenGone = mLease->mIsPrimary;
    if (isOwnTokenGone) {
      mToken.reset();
    } else {
      attempt.mLaggingDatabases.insert(mLease->mDatabase);
    }
  }
  auto database = mLease->mDatabase;
  attempt.mAvoid.insert(database);
  bool isClean = mTransaction == TransactionState::None &&
                 aReply.mTransaction == TransactionState::None &&
                 aReply.mCode != ReplyCode::WrongDatabase;
  ReleaseLease(!isClean);
  auto reason = std::string(kReplyCodeNames.Name(aReply.mCode)) + " at " + database;
  RetryOrFail(ReplyCode::Aborted, reason);
}

void CallerRun::OnLost()
{
  auto& attempt = *mAttempt;
  NotePossibleEffect();
  if (mLease) {
    attempt.mAvoid.insert(mLease->mDatabase);
    ReleaseLease(true);
  }
  if (attempt.mHasTimedOut) {
    if (mTransaction == TransactionState::Open) {
      bool isCommit = attempt.mCommand == CommandKind::Commit;
      mTransaction = isCommit ? TransactionState::None : TransactionState::Failed;
    }
    Answer(OwnReply(ReplyCode::TimedOut, "route_timeout", mTransaction));
    return;
  }
  RetryOrFail(ReplyCode::Aborted, "connection_lost at " + attempt.mDatabase);
}

// Whether the statement may be sent again: it can't have taken effect, it is not being
// ended, and neither the limit of sends nor the deadline has been reached.
bool CallerRun::MayRetry() const
{
  const auto& attempt = *mAttempt;
  return !attempt.mIsOutcomeUnknown && attempt.mEndReason.empty() &&
         attempt.mSends < kMaxSends &&
         mEnvironment.Now() + kRetryPause < attempt.mDeadline;
}

void CallerRun::RetryOrFail(ReplyCode aCode, const std::string& aReason)
{
  auto& attempt = *mAttempt;
  auto reason = EndReasonOr(aReason);
  attempt.mCause = reason;
  if (attempt.mIsOutcomeUnknown) {
    Fail(ReplyCode::Unknown, reason);
    return;
  }
  // The results of the transaction that the caller has already received were lost with
  // the connection.
  bool hasLostResults = mTransaction == TransactionState::Open && mHasAnswered;
  if (hasLostResults || !MayRetry()) {
    Fail(aCode, reason);
    return;
  }
  mHasBegun = false;
  RetryLater();
}

// Retries at once if the statement does not need the primary and has been sent fewer
// than kQuickRetries times, so that another database of the group may serve it;
// otherwise retries after a pause.
void CallerRun::RetryLater()
{
  bool mayUseOtherDatabase =
    !mAttempt->mNeedsPrimary && mAttempt->mSends < kQuickRetries;
  if (mayUseOtherDatabase) {
    Acquire();
    return;
  }
  auto pause = ExponentialBackoff(
    kRetryPause, mAttempt->mSends - kQuickRetries, kLongestRetryPause);
  mRetryTimer->Set(mEnvironment.Now() + pause, [weak = weak_from_this()] {
    auto self = weak.lock();
    if (self && self->mAttempt && !self->mIsDisconnected && !self->mLease) {
      self->Acquire();
    }
  });
}

void CallerRun::OnDeadline()
{
  if (!mAttempt || mIsDisconnected) {
    return;
  }
  mAttempt->mHasTimedOut = mIsSending;
  GiveUp("no_connection_in_time " + mAttempt->mCause);
}

void CallerRun::EndRequest(std::string_view aReason)
{
  if (!mAttempt || mIsDisconnected || mIsOver) {
    return;
  }
  mAttempt->mEndReason = aReason;
  auto now = mEnvironment.Now();
  GiveUp(RetryText(std::string(aReason), now, now));
}

void CallerRun::GiveUp(const std::string& aDetail)
{
  if (mIsSending) {
    mLease->mLink->Close();
    return;
  }
  if (std::exchange(mIsConfirming, false)) {
    OnUnconfirmed();
    return;
  }
  if (mTicket != 0) {
    mBackend.CancelAcquire(std::exchange(mTicket, 0));
  }
  Fail(ReplyCode::Busy, aDetail);
}

std::string CallerRun::EndReasonOr(const std::string& aReason) const
{
  const auto& reason = mAttempt->mEndReason;
  return reason.empty() ? aReason : std::string(reason);
}

void CallerRun::Fail(ReplyCode aCode, const std::string& aDetail)
{
  if (mTransaction == TransactionState::Open) {
    RollBack();
    bool isCommit = mAttempt->mCommand == CommandKind::Commit;
    mTransaction = isCommit ? TransactionState::None : TransactionState::Failed;
  }
  Answer(OwnReply(aCode, aDetail, mTransaction));
}

} // namespace sesameway::proxy
