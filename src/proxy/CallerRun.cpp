#include "proxy/CallerRun.h"

#include "daemon/Log.h"
#include "proxy/Replies.h"
#include "sesameway/CatalogueText.h"

namespace sesameway::proxy {

namespace {

// Where a route sets no limit.
constexpr Duration kStatementTimeout = seconds(10);
// A caller over its organisation's rate waits this long for a token at most: less than
// half of the time in which callers here count as served promptly.
constexpr Duration kAdmissionWait = milliseconds(400);

std::string TextOf(const std::optional<LogPosition>& aPosition)
{
  if (!aPosition) {
    return "-";
  }
  return std::to_string(aPosition->mTerm) + '.' + std::to_string(aPosition->mPosition);
}

} // namespace

CallerRun::CallerRun(std::shared_ptr<CallerStream> aStream,
                     SessionEnvironment& aHost,
                     Backend& aBackend)
  : mStream(std::move(aStream))
  , mHost(aHost)
  , mBackend(aBackend)
  , mAlarm(aHost.NewOneShotTimer())
  , mPause(aHost.NewOneShotTimer())
  , mAnsweredAt(aHost.Now())
{
}

void CallerRun::OnConnect(const std::string& aRoute, const std::string& aKey)
{
  mRouteName = aRoute;
  if (!aKey.empty()) {
    mKeyHash = HashKey(aKey);
  }
  if (CheckPermission()) {
    mStream->Accept();
  }
}

// Looks route and key up anew, so that a change holds from the next operation on.
// Refuses the session and returns false if it may not go on.
bool CallerRun::CheckPermission()
{
  mCatalogue = mHost.Current();
  auto refuse = [this](ReplyCode aCode, const char* aReason) {
    LOG(INFO) << daemon::LogLine("session_refused")
                   .With("id", mAttempt ? mAttempt->mRequest.mId : std::string("-"))
                   .With("route", mRouteName)
                   .With("code", kReplyCodeNames.Name(aCode))
                   .With("reason", aReason)
                   .With("catalogue", mCatalogue ? mCatalogue->mRevision : 0);
    mIsOver = true;
    mStream->Refuse(aCode, aReason);
    return false;
  };
  if (!mCatalogue) {
    return refuse(ReplyCode::Busy, "starting");
  }
  mRoute = mCatalogue->FindRoute(mRouteName);
  if (mRoute == nullptr) {
    return refuse(ReplyCode::NoRoute, "no_such_database");
  }
  const auto* key = mKeyHash.empty() ? nullptr : mCatalogue->FindKeyByHash(mKeyHash);
  if (key == nullptr && !mRoute->mOpen) {
    return refuse(ReplyCode::Denied, "key_unknown");
  }
  mOrganisation = key != nullptr ? key->mOrganisation : "-";
  return true;
}

void CallerRun::OnRequest(CallerRequest aRequest)
{
  if (mIsOver || mIsGone) {
    return;
  }
  mIsBusy = true;
  mAlarm->Cancel();
  mAttempt.emplace();
  mAttempt->mNumber = ++mAttempts;
  mAttempt->mReceivedAt = mHost.Now();
  mAttempt->mRequest = std::move(aRequest);
  auto kind = mAttempt->mRequest.mKind;
  if (mTransaction == TransactionState::Failed && kind != RequestKind::Rollback) {
    const char* reason = std::exchange(mEndedBy, nullptr);
    if (kind == RequestKind::Commit) {
      mTransaction = TransactionState::None;
      Answer(OwnReply(ReplyCode::Aborted, "transaction_failed", mTransaction));
    } else if (reason != nullptr) {
      Answer(OwnReply(ReplyCode::Aborted, reason, mTransaction));
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

bool CallerRun::IsAt(std::uint64_t aNumber) const
{
  return mAttempt && mAttempt->mNumber == aNumber && !mIsGone && !mIsOver;
}

// The database hears of the transaction with its first statement.
void CallerRun::OnBegin()
{
  if (mTransaction != TransactionState::None) {
    Answer(OwnReply(ReplyCode::Malformed, "already_in_transaction", mTransaction));
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
  mEndedBy = nullptr;
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
  mAlarm->Set(attempt.mDeadline, [weak = weak_from_this()] {
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
  auto deadline = mHost.Now() + kAdmissionWait;
  mHost.Admit(
    *organisation,
    deadline,
    [self = shared_from_this(), number = mAttempt->mNumber, then = std::move(aThen)](
      bool aIsAdmitted, TimePoint aRetryAt) {
      if (!self->IsAt(number)) {
        return;
      }
      if (aIsAdmitted) {
        then();
        return;
      }
      self->Fail(ReplyCode::Busy, RetryText("over_rate", aRetryAt, self->mHost.Now()));
    });
}

void CallerRun::Answer(ConnectionReply aReply)
{
  auto attempt = std::move(*mAttempt);
  mAttempt.reset();
  mAlarm->Cancel();
  mPause->Cancel();
  mIsBusy = false;
  mAnsweredAt = mHost.Now();
  auto took = mAnsweredAt - attempt.mReceivedAt;
  mHost.OnStatement(mRouteName, aReply.mCode, took);
  // What the session answers by itself decides nothing unless it is refused.
  if (aReply.mCode != ReplyCode::Done || !attempt.mDatabase.empty()) {
    Log(attempt, aReply, took);
  }
  mStream->Answer(aReply);
  if (mTransaction == TransactionState::Open) {
    RestInTransaction();
  } else if (mHost.ClosesWithAnswer() && IsIdle()) {
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

// A connection is scarce: a transaction whose caller rests too long is rolled back.
void CallerRun::RestInTransaction()
{
  if (!mCatalogue || mCatalogue->mIdleTransactionUs == 0) {
    return;
  }
  auto until = mHost.Now() + Duration(microseconds(mCatalogue->mIdleTransactionUs));
  mAlarm->Set(until, [weak = weak_from_this()] {
    auto self = weak.lock();
    if (self && !self->mIsBusy) {
      self->EndTransaction("idle_too_long");
    }
  });
}

void CallerRun::EndTransaction(const char* aReason)
{
  if (mTransaction != TransactionState::Open || mIsBusy) {
    return;
  }
  RollBack();
  mTransaction = TransactionState::Failed;
  mEndedBy = aReason;
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
  mIsGone = true;
  mAlarm->Cancel();
  mPause->Cancel();
  if (mTicket != 0) {
    mBackend.CancelAcquire(std::exchange(mTicket, 0));
  }
  mAttempt.reset();
  if (!mIsSending) {
    RollBack();
  }
}

} // namespace sesameway::proxy
