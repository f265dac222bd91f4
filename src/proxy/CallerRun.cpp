#include "proxy/CallerRun.h"

#include "daemon/Log.h"
#include "proxy/Replies.h"
#include "sesameway/CatalogueText.h"

namespace sesameway::proxy {

namespace {

// Statement timeout of routes that set none.
constexpr Duration kStatementTimeout = seconds(10);
// How long a caller that exceeds its organisation's rate waits for a token. This is
// less than half of the time within which a caller counts as served promptly.
constexpr Duration kAdmissionWait = milliseconds(400);
// Stands for the organisation of a caller without a known key.
constexpr const char* kNoOrganisation = "-";

std::string TextOf(const std::optional<LogPosition>& aPosition)
{
  if (!aPosition) {
    return "-";
  }
  return std::to_string(aPosition->mTerm) + '.' + std::to_string(aPosition->mPosition);
}

} // namespace

CallerRun::CallerRun(std::shared_ptr<CallerStream> aStream,
                     SessionEnvironment& aEnvironment,
                     Backend& aBackend)
  : mStream(std::move(aStream))
  , mEnvironment(aEnvironment)
  , mBackend(aBackend)
  , mTimeoutTimer(aEnvironment.NewOneShotTimer())
  , mRetryTimer(aEnvironment.NewOneShotTimer())
  , mAnsweredAt(aEnvironment.Now())
{
}

void CallerRun::OnConnect(const std::string& aRoute, const std::string& aKey)
{
  mRouteName = aRoute;
  if (!aKey.empty()) {
    mKeyHash = HashKey(aKey);
  }
  if (mEnvironment.EndsSessions()) {
    RefuseSession(ReplyCode::Busy, kStopping);
    return;
  }
  if (CheckPermission()) {
    mStream->Accept();
  }
}

// The catalogue is looked up anew each time, so that changes apply from the next
// operation on.
bool CallerRun::CheckPermission()
{
  mCatalogue = mEnvironment.Current();
  if (!mCatalogue) {
    RefuseSession(ReplyCode::Busy, "starting");
    return false;
  }
  mRoute = mCatalogue->FindRoute(mRouteName);
  if (mRoute == nullptr) {
    RefuseSession(ReplyCode::NoRoute, "no_such_database");
    return false;
  }
  const auto* key = mKeyHash.empty() ? nullptr : mCatalogue->FindKeyByHash(mKeyHash);
  if (key == nullptr && !mRoute->mOpen) {
    RefuseSession(ReplyCode::Denied, "key_unknown");
    return false;
  }
  mOrganisation = key != nullptr ? key->mOrganisation : kNoOrganisation;
  mGrantedRevision = mCatalogue->mRevision;
  return true;
}

void CallerRun::RefuseSession(ReplyCode aCode, std::string_view aReason)
{
  LOG(INFO) << daemon::LogLine("session_refused")
                 .With("id", mAttempt ? mAttempt->mRequest.mId : std::string("-"))
                 .With("route", mRouteName)
                 .With("code", kReplyCodeNames.Name(aCode))
                 .With("reason", aReason)
                 .With("catalogue", mCatalogue ? mCatalogue->mRevision : 0);
  mIsOver = true;
  mStream->Refuse(aCode, std::string(aReason));
}

Withdrawal CallerRun::FindWithdrawn()
{
  auto current = mEnvironment.Current();
  if (!current || current->mRevision == mGrantedRevision) {
    return Withdrawal::None;
  }
  bool hasOrganisation = mOrganisation != kNoOrganisation;
  auto withdrawal = FindWithdrawal(
    *current,
    { mRouteName, mKeyHash, hasOrganisation ? mOrganisation : std::string() });
  if (withdrawal == Withdrawal::None) {
    mGrantedRevision = current->mRevision;
  }
  return withdrawal;
}

// The refusal promises that nothing was kept. The next operation is then refused as one
// with an unknown key or route.
bool CallerRun::RefuseIfWithdrawn()
{
  auto withdrawal = FindWithdrawn();
  if (withdrawal == Withdrawal::None) {
    return false;
  }
  if (mTransaction != TransactionState::Open) {
    ReleaseLease(false);
  }
  Fail(ReplyCode::Aborted, std::string(kWithdrawalNames.Name(withdrawal)));
  return true;
}

void CallerRun::EndWithdrawnGrant()
{
  bool isWaiting = mTicket != 0;
  bool isOpen = mTransaction == TransactionState::Open && !mIsBusy;
  if (mIsOver || mIsDisconnected || !(isWaiting || isOpen)) {
    return;
  }
  auto withdrawal = FindWithdrawn();
  if (withdrawal == Withdrawal::None) {
    return;
  }
  if (isWaiting) {
    mBackend.CancelAcquire(std::exchange(mTicket, 0));
    RefuseIfWithdrawn();
  } else {
    EndTransaction(kWithdrawalNames.Name(withdrawal));
  }
}

void CallerRun::OnRequest(CallerRequest aRequest)
{
  if (mIsOver || mIsDisconnected) {
    return;
  }
  mIsBusy = true;
  mTimeoutTimer->Cancel();
  mAttempt.emplace();
  mAttempt->mNumber = ++mAttempts;
  mAttempt->mReceivedAt = mEnvironment.Now();
  mAttempt->mRequest = std::move(aRequest);
  auto kind = mAttempt->mRequest.mKind;
  if (mTransaction == TransactionState::Failed && kind != RequestKind::Rollback) {
    auto reason = std::exchange(mAbortReason, {});
    if (kind == RequestKind::Commit) {
      mTransaction = TransactionState::None;
      Answer(OwnReply(ReplyCode::Aborted, "transaction_failed", mTransaction));
    } else if (!reason.empty()) {
      Answer(OwnReply(ReplyCode::Aborted, std::string(reason), mTransaction));
    } else {
      Answer(OwnReply(ReplyCode::Malformed, "transaction_failed", mTransaction));
    }
    return;
  }
  switch (kind) {
    case RequestKind::Begin:
    case RequestKind::BeginRead:
      OnBegin();
      return;
    case RequestKind::Commit:
      OnCommit();
      return;
    case RequestKind::Rollback:
      OnRollback();
      return;
    case RequestKind::Read:
    case RequestKind::Write:
    case RequestKind::Execute:
      OnData();
      return;
    case RequestKind::Set:
      mValues[mAttempt->mRequest.mName] = mAttempt->mRequest.mArgument;
      Answer(OwnReply(ReplyCode::Done, {}, mTransaction));
      return;
    case RequestKind::Prepare:
      OnPrepare();
      return;
    case RequestKind::Drop:
      mPrepared.erase(mAttempt->mRequest.mName);
      Answer(OwnReply(ReplyCode::Done, {}, mTransaction));
      return;
    case RequestKind::TooLarge:
      Answer(OwnReply(ReplyCode::TooLarge, "statement", mTransaction));
      return;
    case RequestKind::Malformed:
      Answer(OwnReply(ReplyCode::Malformed, "statement", mTransaction));
      return;
  }
}

void CallerRun::OnPrepare()
{
  const auto& request = mAttempt->mRequest;
  mPrepared[request.mName] = { request.mPreparesWrite, request.mArgument };
  Answer(OwnReply(ReplyCode::Done, {}, mTransaction));
}

bool CallerRun::IsCurrentAttempt(std::uint64_t aNumber) const
{
  return mAttempt && mAttempt->mNumber == aNumber && !mIsDisconnected && !mIsOver;
}

// Begins the transaction in the session only. The database receives the begin command
// together with the first statement.
void CallerRun::OnBegin()
{
  if (mTransaction != TransactionState::None) {
    Answer(OwnReply(ReplyCode::Malformed, "already_in_transaction", mTransaction));
    return;
  }
  if (mEnvironment.EndsSessions()) {
    auto now = mEnvironment.Now();
    Fail(ReplyCode::Busy, RetryText(kStopping, now, now));
    return;
  }
  if (!CheckPermission()) {
    return;
  }
  Admit([this] {
    mTransaction = TransactionState::Open;
    mIsReadOnly = mAttempt->mRequest.mKind == RequestKind::BeginRead;
    mHasWritten = false;
    mHasBegun = false;
    mHasAnswered = false;
    mBegunAt = mAttempt->mReceivedAt;
    Answer(OwnReply(ReplyCode::Done, {}, mTransaction));
  });
}

void CallerRun::OnRollback()
{
  mAbortReason = {};
  mTransaction = TransactionState::None;
  RollBack();
  Answer(OwnReply(ReplyCode::Done, {}, mTransaction));
}

void CallerRun::OnCommit()
{
  if (mTransaction != TransactionState::Open) {
    Answer(OwnReply(ReplyCode::Malformed, "no_transaction", mTransaction));
    return;
  }
  StartAttempt(CommandKind::Commit);
  mLease ? Send() : Acquire();
}

void CallerRun::OnData()
{
  const auto& request = mAttempt->mRequest;
  auto command = CommandKind::Read;
  if (request.mKind == RequestKind::Write) {
    command = CommandKind::Write;
  } else if (request.mKind == RequestKind::Execute) {
    auto it = mPrepared.find(request.mName);
    if (it == mPrepared.end()) {
      Fail(ReplyCode::Malformed, "not_prepared");
      return;
    }
    mAttempt->mPrepared = it->second;
    command =
      it->second.mIsWrite ? CommandKind::ExecuteWrite : CommandKind::ExecuteRead;
  }
  if (IsWrite(command) && mTransaction == TransactionState::Open && mIsReadOnly) {
    Fail(ReplyCode::ReadOnly, "transaction_only_reads");
    return;
  }
  if (mTransaction == TransactionState::Open) {
    StartAttempt(command);
    mLease ? Send() : Acquire();
    return;
  }
  if (!CheckPermission()) {
    return;
  }
  StartAttempt(command);
  Admit([this] { Acquire(); });
}

void CallerRun::StartAttempt(CommandKind aCommand)
{
  auto& attempt = *mAttempt;
  attempt.mCommand = aCommand;
  auto timeout = mRoute->mStatementTimeoutUs > 0
                   ? Duration(microseconds(mRoute->mStatementTimeoutUs))
                   : kStatementTimeout;
  attempt.mDeadline = attempt.mReceivedAt + timeout;
  bool isPlain = mTransaction == TransactionState::Open && !mIsReadOnly;
  attempt.mNeedsPrimary = mRoute->mMaxAgeUs == 0 || IsWrite(aCommand) || isPlain;
  mTimeoutTimer->Set(attempt.mDeadline, [weak = weak_from_this()] {
    if (auto self = weak.lock()) {
      self->OnDeadline();
    }
  });
}

void CallerRun::Admit(std::function<void()> aThen)
{
  const auto* organisation = mCatalogue->FindOrganisation(mOrganisation);
  if (organisation == nullptr) {
    aThen();
    return;
  }
  auto deadline = mEnvironment.Now() + kAdmissionWait;
  mEnvironment.Admit(
    *organisation,
    deadline,
    [self = shared_from_this(), number = mAttempt->mNumber, then = std::move(aThen)](
      bool aIsAdmitted, TimePoint aRetryAt) {
      if (!self->IsCurrentAttempt(number)) {
        return;
      }
      if (aIsAdmitted) {
        then();
        return;
      }
      self->Fail(ReplyCode::Busy,
                 RetryText("over_rate", aRetryAt, self->mEnvironment.Now()));
    });
}

void CallerRun::Answer(ConnectionReply aReply)
{
  auto attempt = std::move(*mAttempt);
  mAttempt.reset();
  mTimeoutTimer->Cancel();
  mRetryTimer->Cancel();
  mIsBusy = false;
  mAnsweredAt = mEnvironment.Now();
  auto took = mAnsweredAt - attempt.mReceivedAt;
  mEnvironment.OnStatement(mRouteName, aReply.mCode, took);
  // Successful answers that involved no database are not logged.
  if (aReply.mCode != ReplyCode::Done || !attempt.mDatabase.empty()) {
    Log(attempt, aReply, took);
  }
  mStream->Answer(aReply);
  if (mTransaction == TransactionState::Open) {
    StartIdleTransactionTimer();
  } else if (mEnvironment.EndsSessions() && IsIdle()) {
    Drain();
  }
}

void CallerRun::Log(const Attempt& aAttempt,
                    const ConnectionReply& aReply,
                    Duration aTook) const
{
  daemon::LogLine line("statement");
  line.With("id", aAttempt.mRequest.mId)
    .With("kind", kRequestKindNames.Name(aAttempt.mRequest.mKind))
    .With("route", mRouteName)
    .With("organisation", mOrganisation)
    .With("outcome", kReplyCodeNames.Name(aReply.mCode))
    .With("took_ms", Millis(aTook));
  if (!aAttempt.mDatabase.empty()) {
    line.With("database", aAttempt.mDatabase)
      .With("primary", aAttempt.mIsAtPrimary)
      .With("change", aAttempt.mChange)
      .With("confirmed", aAttempt.mIsConfirmed)
      .With("sends", aAttempt.mSends)
      .With("sent_after_ms", Millis(aAttempt.mSentAt - aAttempt.mReceivedAt))
      .With("read_after", TextOf(aAttempt.mAfter))
      .With("position", TextOf(aReply.mPosition));
  }
  if (!aAttempt.mCause.empty()) {
    line.With("retried_for", aAttempt.mCause);
  }
  if (aReply.mCode != ReplyCode::Done) {
    line.With("reason", aReply.mDetail);
  }
  line.With("catalogue", mCatalogue ? mCatalogue->mRevision : 0);
  daemon::LogStatement(line);
}

// Connections are scarce, so a transaction is rolled back if its caller sends nothing
// for too long.
void CallerRun::StartIdleTransactionTimer()
{
  if (!mCatalogue || mCatalogue->mIdleTransactionUs == 0) {
    return;
  }
  auto until =
    mEnvironment.Now() + Duration(microseconds(mCatalogue->mIdleTransactionUs));
  mTimeoutTimer->Set(until, [weak = weak_from_this()] {
    auto self = weak.lock();
    if (self && !self->mIsBusy) {
      self->EndTransaction("idle_too_long");
    }
  });
}

void CallerRun::EndTransaction(std::string_view aReason)
{
  if (mTransaction != TransactionState::Open || mIsBusy) {
    return;
  }
  LOG(INFO) << daemon::LogLine("transaction_ended")
                 .With("route", mRouteName)
                 .With("organisation", mOrganisation)
                 .With("reason", aReason);
  RollBack();
  mTransaction = TransactionState::Failed;
  mAbortReason = aReason;
}

void CallerRun::Drain()
{
  if (IsIdle() && !mIsOver) {
    mIsOver = true;
    mStream->Close();
  }
}

void CallerRun::OnDisconnect()
{
  mIsDisconnected = true;
  mTimeoutTimer->Cancel();
  mRetryTimer->Cancel();
  if (mTicket != 0) {
    mBackend.CancelAcquire(std::exchange(mTicket, 0));
  }
  mAttempt.reset();
  if (!mIsSending) {
    RollBack();
  }
}

} // namespace sesameway::proxy
