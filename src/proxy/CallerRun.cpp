#include "proxy/CallerRun.h"

#include "daemon/Log.h"
#include "sesameway/CatalogueText.h"

#include <algorithm>

namespace sesameway::proxy {

namespace {

// Where a route sets no limit.
constexpr Duration kStatementTimeout = seconds(10);
// A caller over its organisation's rate waits this long for a token at most: less than
// half of the time in which callers here count as served promptly.
constexpr Duration kAdmissionWait = milliseconds(400);
// Before it is sent again; doubled each time, up to the limit below.
constexpr Duration kRetryPause = milliseconds(15);
constexpr Duration kLongestRetryPause = milliseconds(120);
// More would keep a busy group busy.
constexpr int kMaxSends = 6;
// Of a read that failed: once at each other database of a group of three.
constexpr int kMostFailures = 2;
// About as long as slow answers take in a busy group.
constexpr Duration kSilentPatience = milliseconds(500);
// More sends than a group has databases come after a pause.
constexpr int kQuickRetries = 3;

ConnectionReply Reply(ReplyCode aCode, std::string aDetail, TransactionState aState)
{
  ConnectionReply reply;
  reply.mCode = aCode;
  reply.mDetail = std::move(aDetail);
  reply.mTransaction = aState;
  return reply;
}

std::string RetryText(const std::string& aReason, TimePoint aRetryAt, TimePoint aNow)
{
  auto wait = std::chrono::duration_cast<milliseconds>(aRetryAt - aNow).count();
  return aReason + " retry_after_ms=" + std::to_string(std::max<std::int64_t>(0, wait));
}

std::string TextOf(const std::optional<LogPosition>& aPosition)
{
  if (!aPosition) {
    return "-";
  }
  return std::to_string(aPosition->mTerm) + '.' + std::to_string(aPosition->mPosition);
}

std::int64_t Millis(Duration aDuration)
{
  return std::chrono::duration_cast<milliseconds>(aDuration).count();
}

} // namespace

CallerRun::CallerRun(std::shared_ptr<CallerStream> aStream,
                     SessionHost& aHost,
                     Backend& aBackend)
  : mStream(std::move(aStream))
  , mHost(aHost)
  , mBackend(aBackend)
  , mAlarm(aHost.NewAlarm())
  , mPause(aHost.NewAlarm())
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
    LOG(INFO) << daemon::Line("session_refused")
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
      Answer(Reply(ReplyCode::Aborted, "transaction_failed", mTransaction));
    } else if (reason != nullptr) {
      Answer(Reply(ReplyCode::Aborted, reason, mTransaction));
    } else {
      Answer(Reply(ReplyCode::Malformed, "transaction_failed", mTransaction));
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
      Answer(Reply(ReplyCode::Done, {}, mTransaction));
      return;
    case RequestKind::Prepare:
      OnPrepare();
      return;
    case RequestKind::Drop:
      mPrepared.erase(mAttempt->mRequest.mName);
      Answer(Reply(ReplyCode::Done, {}, mTransaction));
      return;
    case RequestKind::TooLarge:
      Answer(Reply(ReplyCode::TooLarge, "statement", mTransaction));
      return;
    case RequestKind::Malformed:
      Answer(Reply(ReplyCode::Malformed, "statement", mTransaction));
      return;
  }
}

void CallerRun::OnPrepare()
{
  const auto& request = mAttempt->mRequest;
  mPrepared[request.mName] = { request.mPreparesWrite, request.mArgument };
  Answer(Reply(ReplyCode::Done, {}, mTransaction));
}

bool CallerRun::IsAt(std::uint64_t aNumber) const
{
  return mAttempt && mAttempt->mNumber == aNumber && !mIsGone && !mIsOver;
}

// The database hears of the transaction with its first statement.
void CallerRun::OnBegin()
{
  if (mTransaction != TransactionState::None) {
    Answer(Reply(ReplyCode::Malformed, "already_in_transaction", mTransaction));
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
    Answer(Reply(ReplyCode::Done, {}, mTransaction));
  });
}

void CallerRun::OnRollback()
{
  mEndedBy = nullptr;
  mTransaction = TransactionState::None;
  RollBack();
  Answer(Reply(ReplyCode::Done, {}, mTransaction));
}

void CallerRun::OnCommit()
{
  if (mTransaction != TransactionState::Open) {
    Answer(Reply(ReplyCode::Malformed, "no_transaction", mTransaction));
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

void CallerRun::Acquire()
{
  if (!mAttempt) {
    return;
  }
  auto& attempt = *mAttempt;
  LeaseNeed need;
  need.mGroup = mRoute->mGroup;
  need.mOrganisation = mOrganisation;
  need.mPriority = mRoute->mPriority;
  need.mDeadline = attempt.mDeadline;
  need.mNeedsPrimary = attempt.mNeedsPrimary;
  need.mFreshSince = FreshSince(attempt);
  if (mTokenGroup == need.mGroup) {
    need.mToken = mToken;
  }
  need.mAvoid = attempt.mAvoid;
  need.mTooOld = attempt.mTooOld;
  // The callback may come before Acquire returns; its ticket is void then.
  auto isOver = std::make_shared<bool>(false);
  auto ticket = mBackend.Acquire(
    need, [self = shared_from_this(), isOver](tl::expected<LeasePtr, Refusal> aLease) {
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
  if (mIsGone || !mAttempt) {
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
    Fail(refusal.mCode, RetryText(reason, refusal.mRetryAt, mHost.Now()));
    return;
  }
  mLease = *aLease;
  mLease->mLink->OnBroken([weak = weak_from_this(), lease = mLease] {
    auto self = weak.lock();
    if (self && self->mLease == lease) {
      self->GiveBack(true);
      self->EndTransaction("connection_lost");
    }
  });
  Send();
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
    OnReplaced();
    return;
  }
  auto& attempt = *mAttempt;
  attempt.mSentAt = mHost.Now();
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

// The statement goes out once the database has begun the transaction: after a refused
// beginning it would run outside of one.
void CallerRun::SendBegin()
{
  auto commands = mLease->mContents->CatchUp(mValues);
  ConnectionCommand begin;
  begin.mKind = mIsReadOnly ? CommandKind::BeginRead : CommandKind::Begin;
  begin.mAfter = FreshAfter(*mAttempt);
  mAttempt->mAfter = begin.mAfter;
  commands.push_back(std::move(begin));
  mHasBegun = true;
  SendBatch(std::move(commands), [this](ConnectionReply aReply) {
    if (aReply.mCode != ReplyCode::Done) {
      OnOutcome(std::move(aReply));
    } else if (mBackend.IsInForce(*mLease)) {
      SendStatement();
    } else {
      OnReplaced();
    }
  });
}

void CallerRun::SendStatement()
{
  auto& attempt = *mAttempt;
  auto commands = mLease->mContents->CatchUp(mValues);
  ConnectionCommand command;
  command.mKind = attempt.mCommand;
  command.mId = attempt.mRequest.mId;
  command.mText = attempt.mRequest.mText;
  if (attempt.mPrepared) {
    command.mName = mLease->mContents->NameOf(*attempt.mPrepared, commands);
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
  if (MayRunAgain()) {
    WatchSilence();
  }
  mLease->mLink->Send(std::move(aCommands),
                      [self = shared_from_this(),
                       then = std::move(aThen)](std::vector<ConnectionReply> aReplies) {
                        self->mIsSending = false;
                        self->OnReplies(std::move(aReplies), then);
                      });
}

// The last reply is the statement's; those before are of what had to be sent first.
void CallerRun::OnReplies(std::vector<ConnectionReply> aReplies,
                          const std::function<void(ConnectionReply)>& aThen)
{
  auto reply = std::move(aReplies.back());
  aReplies.pop_back();
  bool isSetUp = std::all_of(aReplies.begin(), aReplies.end(), [](const auto& aIt) {
    return aIt.mCode == ReplyCode::Done;
  });
  mBackend.OnReply(*mLease, reply, mAttempt ? mAttempt->mSentAt : TimePoint{});
  if (!isSetUp) {
    // The connection does not hold what it should; the statement may have run amiss.
    GiveBack(true);
    reply = Reply(ReplyCode::Lost, "setup", TransactionState::None);
  }
  if (mIsGone || !mAttempt) {
    if (reply.mTransaction == TransactionState::None) {
      GiveBack(reply.mCode == ReplyCode::Lost);
    } else {
      RollBack();
    }
    return;
  }
  aThen(std::move(reply));
}

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

// Another database may answer a read in time where this one answers nothing.
void CallerRun::WatchSilence()
{
  mPause->Set(mHost.Now() + kSilentPatience,
              [weak = weak_from_this(), number = mAttempt->mNumber] {
                auto self = weak.lock();
                bool isWaiting = self && self->IsAt(number) && self->mIsSending;
                if (isWaiting && self->mBackend.IsSilent(*self->mLease)) {
                  self->mLease->mLink->Close();
                }
              });
}

// Out of contact, another database may have been promoted before this one ran the
// statement. The others tell whether that is so.
void CallerRun::OnDone(ConnectionReply aReply)
{
  if (mBackend.MayBelieve(*mLease)) {
    Deliver(std::move(aReply));
    return;
  }
  mIsConfirming = true;
  mBackend.Confirm(
    *mLease,
    mHost.Now(),
    [self = shared_from_this(), number = mAttempt->mNumber, reply = std::move(aReply)](
      bool aIsConfirmed) {
      if (!self->IsAt(number) || !std::exchange(self->mIsConfirming, false)) {
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
    Answer(Reply(ReplyCode::TimedOut, "route_timeout", mTransaction));
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
  auto pause =
    Doubled(kRetryPause, mAttempt->mSends - kQuickRetries, kLongestRetryPause);
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
    mBackend.Drop(std::exchange(mTicket, 0));
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
  Answer(Reply(aCode, aDetail, mTransaction));
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
  daemon::Line line("statement");
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

void CallerRun::RollBack()
{
  if (!mLease || mIsSending) {
    return;
  }
  if (!mHasBegun) {
    GiveBack(false);
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

void CallerRun::GiveBack(bool aIsBroken)
{
  if (!mLease) {
    return;
  }
  auto lease = std::exchange(mLease, nullptr);
  lease->mLink->OnBroken(nullptr);
  mBackend.Release(lease, aIsBroken);
}

void CallerRun::Drain()
{
  if (IsIdle() && !mIsOver) {
    mIsOver = true;
    mStream->Close();
  }
}

void CallerRun::OnGone()
{
  mIsGone = true;
  mAlarm->Cancel();
  mPause->Cancel();
  if (mTicket != 0) {
    mBackend.Drop(std::exchange(mTicket, 0));
  }
  mAttempt.reset();
  if (!mIsSending) {
    RollBack();
  }
}

} // namespace sesameway::proxy
