#include "proxy/CallerRun.h"

#include "daemon/Log.h"
#include "proxy/Replies.h"

namespace sesameway::proxy {

namespace {

// Before it is sent again; doubled each time, up to the limit below.
constexpr Duration kRetryPause = milliseconds(15);
constexpr Duration kLongestRetryPause = milliseconds(120);
// More would keep a busy group busy.
constexpr int kMaxSends = 6;
// Of a read that failed: once at each other database of a group of three.
constexpr int kMostFailures = 2;
// More sends than a group has databases come after a pause.
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
  if (IsNotRun(aReply.mCode)) {
    OnNotRun(std::move(aReply));
    return;
  }
  if (aReply.mCode == ReplyCode::Failed && MayRunAgain() &&
      ++mAttempt->mFailures <= kMostFailures) {
    OnFailedRead();
    return;
  }
  // It has run and failed, or the database could not make sense of it.
  if (mTransaction == TransactionState::Open) {
    bool goesOn = aReply.mTransaction == TransactionState::Open;
    if (!goesOn) {
      RollBack();
      bool isCommit = mAttempt->mCommand == CommandKind::Commit;
      mTransaction = isCommit ? TransactionState::None : TransactionState::Failed;
    }
  } else {
    GiveBack(aReply.mTransaction != TransactionState::None);
  }
  aReply.mTransaction = mTransaction;
  Answer(std::move(aReply));
}

// A read has no effect, so that it may run again as long as its caller has seen nothing
// of its transaction.
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
    GiveBack(false);
  }
  RetryOrFail(ReplyCode::Failed, "failed at " + database);
}

// Out of contact, another database may have been promoted before this one ran the
// statement. The others tell whether that is so.
void CallerRun::OnDone(ConnectionReply aReply)
{
  if (mBackend.AreRepliesTrusted(*mLease)) {
    Deliver(std::move(aReply));
    return;
  }
  mIsConfirming = true;
  mBackend.Confirm(*mLease,
                   mHost.Now(),
                   [self = shared_from_this(),
                    number = mAttempt->mNumber,
                    lease = mLease,
                    reply = std::move(aReply)](bool aIsConfirmed) {
                     // The attempt may have lost the connection and be at another one.
                     bool isStill = self->IsAt(number) && self->mLease == lease;
                     if (!isStill || !std::exchange(self->mIsConfirming, false)) {
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

// What was sent last may have taken effect for good, though no answer can be given.
void CallerRun::NoteEffect()
{
  auto& attempt = *mAttempt;
  bool isCommit = attempt.mCommand == CommandKind::Commit;
  bool isSingleWrite =
    mTransaction == TransactionState::None && IsWrite(attempt.mCommand);
  attempt.mIsUnsure |= isSingleWrite || (isCommit && mHasWritten);
}

void CallerRun::OnUnconfirmed()
{
  NoteEffect();
  GiveBack(true);
  RetryOrFail(ReplyCode::Aborted, "primary_not_confirmed");
}

// The lease's database is not the primary by now. Nothing of the request has been sent
// on it.
void CallerRun::OnReplaced()
{
  GiveBack(true);
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
    GiveBack(aReply.mTransaction != TransactionState::None);
  }
  aReply.mTransaction = mTransaction;
  Answer(std::move(aReply));
}

void CallerRun::OnNotRun(ConnectionReply aReply)
{
  auto& attempt = *mAttempt;
  if (aReply.mCode == ReplyCode::NotPrepared && attempt.mPrepared) {
    mLease->mContents->Forget(*attempt.mPrepared);
    if (attempt.mSends < kMaxSends && mTransaction == TransactionState::None) {
      Send();
      return;
    }
  }
  if (aReply.mCode == ReplyCode::Behind) {
    // Others may be fresh enough; the primary is.
    bool isOwnTokenGone = mLease->mIsPrimary;
    if (isOwnTokenGone) {
      mToken.reset();
    } else {
      attempt.mTooOld.insert(mLease->mDatabase);
    }
  }
  auto database = mLease->mDatabase;
  attempt.mAvoid.insert(database);
  bool isClean = mTransaction == TransactionState::None &&
                 aReply.mTransaction == TransactionState::None &&
                 aReply.mCode != ReplyCode::WrongDatabase;
  GiveBack(!isClean);
  auto reason = std::string(kReplyCodeNames.Name(aReply.mCode)) + " at " + database;
  RetryOrFail(ReplyCode::Aborted, reason);
}

void CallerRun::OnLost()
{
  auto& attempt = *mAttempt;
  NoteEffect();
  if (mLease) {
    attempt.mAvoid.insert(mLease->mDatabase);
    GiveBack(true);
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

// Whether the statement can be sent again so that the caller does not notice: nothing
// of it may have taken effect, and no earlier statement of its transaction has been
// answered.
bool CallerRun::MayRetry() const
{
  const auto& attempt = *mAttempt;
  return !attempt.mIsUnsure && attempt.mSends < kMaxSends &&
         mHost.Now() + kRetryPause < attempt.mDeadline;
}

void CallerRun::RetryOrFail(ReplyCode aCode, const std::string& aReason)
{
  auto& attempt = *mAttempt;
  attempt.mCause = aReason;
  if (attempt.mIsUnsure) {
    Fail(ReplyCode::Unknown, aReason);
    return;
  }
  // What the caller has seen of the transaction is gone with its connection.
  bool isMiddle = mTransaction == TransactionState::Open && mHasAnswered;
  if (isMiddle || !MayRetry()) {
    Fail(aCode, aReason);
    return;
  }
  mHasBegun = false;
  RetryLater();
}

// Another database can be asked at once; the same one has to be given time.
void CallerRun::RetryLater()
{
  bool isElsewhere = !mAttempt->mNeedsPrimary && mAttempt->mSends < kQuickRetries;
  if (isElsewhere) {
    Acquire();
    return;
  }
  auto pause = ExponentialBackoff(
    kRetryPause, mAttempt->mSends - kQuickRetries, kLongestRetryPause);
  mPause->Set(mHost.Now() + pause, [weak = weak_from_this()] {
    auto self = weak.lock();
    if (self && self->mAttempt && !self->mIsGone && !self->mLease) {
      self->Acquire();
    }
  });
}

void CallerRun::OnDeadline()
{
  if (!mAttempt || mIsGone) {
    return;
  }
  if (mIsSending) {
    mAttempt->mHasTimedOut = true;
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
  Fail(ReplyCode::Busy, "no_connection_in_time " + mAttempt->mCause);
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
