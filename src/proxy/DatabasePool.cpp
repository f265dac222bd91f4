#include "proxy/DatabasePool.h"

#include "daemon/Log.h"

#include <algorithm>

namespace sesameway::proxy {

namespace {

constexpr Duration kOpenTimeout = milliseconds(1500);
// Pause after a failed attempt to open a connection.
constexpr Duration kOpenRetryPause = milliseconds(250);
// Pause after the database refused a connection because it has reached its connection
// limit or is busy. A connection may become free soon, so the pause starts short and
// doubles with each further refusal up to kOpenRetryPause.
constexpr Duration kConnectionLimitPause = milliseconds(40);
constexpr Duration kSuspectDuration = milliseconds(600);
// Age after which the last known log position is ignored, so that a replica that had
// fallen behind is tried again.
constexpr Duration kMaxPositionAge = milliseconds(500);
constexpr Duration kMinTickInterval = milliseconds(5);
// The database counts as responsive if a statement that it answered was sent no longer
// ago than this.
constexpr Duration kRecentAnswerAge = milliseconds(1000);
// Stands for the organisation on a connection that is opened for status commands.
const std::string kOwnOrganisation = "-";

// Status commands are short, and what they report decides where statements go, so they
// wait behind no statement.
StatementTerms OwnTerms(TimePoint aDeadline)
{
  StatementTerms terms;
  terms.mDeadline = aDeadline;
  terms.mIsInTransaction = true;
  terms.mCostClass = "status";
  return terms;
}

} // namespace

DatabasePool::DatabasePool(Loop& aLoop,
                           DatabaseConnector& aDatabases,
                           ListedDatabase aListed,
                           PoolKind aKind,
                           DatabaseQueue::Counter aCount)
  : mLoop(aLoop)
  , mDatabases(aDatabases)
  , mListed(std::move(aListed))
  , mKind(aKind)
  , mPlan(1, aKind != PoolKind::Borrowing)
  , mTick(aLoop)
{
  if (mKind == PoolKind::Home) {
    mQueue = std::make_shared<DatabaseQueue>(
      aLoop, mListed.mName, mListed.mSlots, std::move(aCount));
  }
}

// Connections to a former process of the database break by themselves, so they need no
// action here.
void DatabasePool::SetListed(const ListedDatabase& aListed)
{
  bool isRestarted = aListed.mStartedAtMs != mListed.mStartedAtMs;
  mListed = aListed;
  if (mQueue && isRestarted) {
    mQueue->Restart("database_restarted");
  }
}

void DatabasePool::SetSlots(std::size_t aSlots)
{
  if (mQueue) {
    mQueue->SetSlots(aSlots);
  }
}

void DatabasePool::StopStarting()
{
  if (mQueue) {
    mQueue->StopStarting();
  }
}

void DatabasePool::SetStartRate(std::optional<double> aPerSecond)
{
  if (mQueue && aPerSecond != mStartRate) {
    mStartRate = aPerSecond;
    mQueue->SetStartRate(aPerSecond);
  }
}

Duration DatabasePool::ExpectedWait(const StatementTerms& aTerms) const
{
  auto wait = mPlan.ExpectedWait(aTerms.mOrganisation);
  return mQueue ? std::max(wait, mQueue->ExpectedWait(aTerms)) : wait;
}

std::optional<TimePoint> DatabasePool::RefusedUntil(const StatementTerms& aTerms) const
{
  return mQueue ? mQueue->RefusedUntil(aTerms) : std::nullopt;
}

void DatabasePool::SetLimit(std::size_t aLimit)
{
  Execute(mPlan.SetLimit(aLimit, Clock::now()));
}

void DatabasePool::Acquire(std::uint64_t aTicket,
                           const LeaseRequest& aRequest,
                           GrantCallback aDone)
{
  mWaiting[aTicket] = std::move(aDone);
  auto now = Clock::now();
  Execute(mPlan.Add(
    { aTicket, aRequest.mOrganisation, aRequest.mPriority, aRequest.mDeadline }, now));
}

void DatabasePool::CancelAcquire(std::uint64_t aTicket)
{
  mPlan.Drop(aTicket);
  mWaiting.erase(aTicket);
}

void DatabasePool::Release(const LeasePtr& aLease, bool aIsBroken)
{
  auto id = aLease->mConnection;
  mLeases.erase(id);
  auto now = Clock::now();
  // A connection that was closed while its statement waited for a slot is told from an
  // idle one only by its state.
  if (aIsBroken || mIsRetired || aLease->mLink->IsClosed()) {
    mConnections.erase(id);
    aLease->mLink->Close();
    Execute(mPlan.OnGone(id, now));
    return;
  }
  WatchIdle(id);
  Execute(mPlan.OnReleased(id, now));
}

void DatabasePool::RefuseWaiting()
{
  Execute(mPlan.RefuseAll(Clock::now()));
}

void DatabasePool::Retire()
{
  mIsRetired = true;
  Execute(mPlan.SetLimit(0, Clock::now()));
  RefuseWaiting();
}

std::vector<LeasePtr> DatabasePool::Leases() const
{
  std::vector<LeasePtr> leases;
  for (const auto& it : mLeases) {
    if (auto lease = it.second.lock()) {
      leases.push_back(std::move(lease));
    }
  }
  return leases;
}

void DatabasePool::OnReply(const ConnectionReply& aReply, TimePoint aSentAt)
{
  if (aReply.mCode == ReplyCode::Lost || IsUnsent(aReply)) {
    return;
  }
  OnAnswered(aSentAt);
  if (aReply.mPosition) {
    mPosition = aReply.mPosition;
    mPositionAt = Clock::now();
  }
}

// Only lost connections, failed statements and timeouts count as failures. Refusals
// that are right, such as those of a replica that is behind, do not count. Neither does
// Busy: the reads would move to the other databases and overload them next.
void DatabasePool::OnResult(ReplyCode aCode)
{
  auto now = Clock::now();
  bool isBad = aCode == ReplyCode::Lost || aCode == ReplyCode::Failed ||
               aCode == ReplyCode::TimedOut;
  bool wasEjected = mHealth.IsEjected(now);
  mHealth.OnResult(!isBad, now);
  if (!wasEjected && mHealth.IsEjected(now)) {
    LOG(INFO) << daemon::LogLine("database_ejected")
                   .With("database", mListed.mName)
                   .With("group", mListed.mGroup)
                   .With("last", kReplyCodeNames.Name(aCode));
    if (mQueue) {
      mQueue->Restart("ejected");
    }
  }
}

// Where every daemon connects to the databases, reads try each replica as before.
void DatabasePool::NoteLag(const std::optional<LogPosition>& aAfter, ReplyCode aCode)
{
  if (mKind == PoolKind::Direct) {
    return;
  }
  if (aAfter && aCode == ReplyCode::Behind) {
    mLag.OnBehind(*aAfter, Clock::now());
  } else if (aAfter && aCode == ReplyCode::Done) {
    mLag.OnServed(*aAfter);
  }
}

std::optional<LogPosition> DatabasePool::Position(TimePoint aNow) const
{
  return aNow - mPositionAt < kMaxPositionAge ? mPosition : std::nullopt;
}

void DatabasePool::OnAnswered(TimePoint aSentAt)
{
  mHeardAt = std::max(mHeardAt, aSentAt);
  mUnansweredSince.reset();
  mSuspectUntil = TimePoint{};
}

void DatabasePool::OnSent(TimePoint aNow)
{
  if (!mUnansweredSince) {
    mUnansweredSince = aNow;
  }
}

std::optional<Duration> DatabasePool::Silence(TimePoint aNow) const
{
  if (mUnansweredSince) {
    return aNow - *mUnansweredSince;
  }
  if (aNow - mHeardAt < kRecentAnswerAge) {
    return Duration::zero();
  }
  return std::nullopt;
}

void DatabasePool::Execute(const ConnectionPlan::Actions& aActions)
{
  // An action's callback may cause further actions and release the last reference to
  // the pool.
  auto self = shared_from_this();
  for (const auto& it : aActions) {
    std::visit([this](const auto& aAction) { Execute(aAction); }, it);
  }
  SetTick();
}

void DatabasePool::Execute(const ConnectionPlan::Grant& aGrant)
{
  auto node = mWaiting.extract(aGrant.mTicket);
  auto held = mConnections.find(aGrant.mConnection);
  if (held == mConnections.end() || node.empty()) {
    // An action before this one closed the connection or cancelled the request.
    Execute(mPlan.OnGone(aGrant.mConnection, Clock::now()));
    return;
  }
  node.mapped()(MakeLease(aGrant.mConnection));
}

void DatabasePool::Execute(const ConnectionPlan::Open& aOpen)
{
  auto now = Clock::now();
  OnSent(now);
  const auto& organisation =
    aOpen.mOrganisation.empty() ? kOwnOrganisation : aOpen.mOrganisation;
  LinkTarget target{ mListed.mAddress, mListed.mGroup, organisation, mListed.mName };
  if (mQueue) {
    mQueue->OnOpening();
  }
  mDatabases.Open(
    target, now + kOpenTimeout, [self = shared_from_this(), aOpen, now](auto aLink) {
      if (self->mQueue) {
        self->mQueue->OnOpeningEnded();
      }
      self->OnOpened(aOpen, now, std::move(aLink));
    });
}

void DatabasePool::OnOpened(const ConnectionPlan::Open& aOpen,
                            TimePoint aSentAt,
                            tl::expected<DatabaseLinkPtr, ReplyCode> aLink)
{
  auto now = Clock::now();
  auto id = aOpen.mConnection;
  if (aLink && mIsRetired) {
    (*aLink)->Close();
    Execute(mPlan.OnGone(id, now));
    return;
  }
  if (!aLink) {
    OnOpenFailed(aOpen, aSentAt, aLink.error());
    return;
  }
  bool wasUnreachable = mSuspectUntil != TimePoint{};
  OnAnswered(aSentAt);
  if (mQueue && wasUnreachable) {
    mQueue->Restart("reachable_again");
  }
  mConsecutiveRefusals = 0;
  mConnections[id] = { *aLink, std::make_shared<SharedConnectionState>() };
  WatchIdle(id);
  Execute(mPlan.OnOpened(id, now));
}

void DatabasePool::OnOpenFailed(const ConnectionPlan::Open& aOpen,
                                TimePoint aSentAt,
                                ReplyCode aCode)
{
  auto now = Clock::now();
  LOG(INFO) << daemon::LogLine("connection_failed")
                 .With("database", mListed.mName)
                 .With("address", mListed.mAddress)
                 .With("organisation", aOpen.mOrganisation)
                 .With("code", kReplyCodeNames.Name(aCode))
                 .With("took_ms", (now - aSentAt) / milliseconds(1))
                 .With("waiting", mPlan.Waiting());
  bool isFull = aCode == ReplyCode::TooManyConnections || aCode == ReplyCode::Busy;
  if (!isFull) {
    mSuspectUntil = now + kSuspectDuration;
  }
  auto pause = isFull ? ExponentialBackoff(kConnectionLimitPause,
                                           mConsecutiveRefusals++,
                                           kOpenRetryPause)
                      : kOpenRetryPause;
  Execute(mPlan.OnOpenFailed(aOpen.mConnection, now + pause, now));
  if (!isFull || mPlan.IsRefusingConnections()) {
    // The waiting requests may be served by another database.
    Execute(mPlan.RefuseAll(now + kOpenRetryPause));
  }
}

// Those who lease the connection and do not watch it themselves, such as status
// commands, rely on this callback while they hold it.
void DatabasePool::WatchIdle(std::uint64_t aConnection)
{
  auto it = mConnections.find(aConnection);
  if (it == mConnections.end()) {
    return;
  }
  it->second.mLink->OnBroken([weak = weak_from_this(), aConnection] {
    if (auto self = weak.lock()) {
      self->mConnections.erase(aConnection);
      self->Execute(self->mPlan.OnGone(aConnection, Clock::now()));
    }
  });
}

void DatabasePool::Execute(const ConnectionPlan::Close& aClose)
{
  auto it = mConnections.find(aClose.mConnection);
  if (it != mConnections.end()) {
    auto link = it->second.mLink;
    mConnections.erase(it);
    link->Close();
  }
}

void DatabasePool::Execute(const ConnectionPlan::Refuse& aRefuse)
{
  auto node = mWaiting.extract(aRefuse.mTicket);
  if (!node.empty()) {
    Refusal refusal{ ReplyCode::Busy, "no_connection", aRefuse.mRetryAt };
    node.mapped()(tl::unexpected(std::move(refusal)));
  }
}

void DatabasePool::SetTick()
{
  auto next = mPlan.NextTick();
  if (next == TimePoint::max()) {
    mTick.Cancel();
    return;
  }
  mTick.Set(std::max(next, Clock::now() + kMinTickInterval), [weak = weak_from_this()] {
    if (auto self = weak.lock()) {
      self->Execute(self->mPlan.OnTick(Clock::now()));
    }
  });
}

void DatabasePool::Ask(const ConnectionCommand& aCommand,
                       TimePoint aDeadline,
                       std::function<void(std::optional<ConnectionReply>)> aDone)
{
  auto idle = mPlan.TakeIdle(Clock::now());
  if (idle != 0 && mConnections.count(idle) > 0) {
    AskOn(MakeLease(idle), aCommand, aDeadline, std::move(aDone));
    return;
  }
  LeaseRequest request;
  request.mDeadline = aDeadline;
  request.mTerms = OwnTerms(aDeadline);
  Acquire(mNextTicket++,
          request,
          [this, aCommand, aDeadline, done = std::move(aDone)](
            const tl::expected<LeasePtr, Refusal>& aLease) {
            if (aLease) {
              AskOn(*aLease, aCommand, aDeadline, done);
            } else {
              done(std::nullopt);
            }
          });
}

void DatabasePool::AskOn(const LeasePtr& aLease,
                         const ConnectionCommand& aCommand,
                         TimePoint aDeadline,
                         std::function<void(std::optional<ConnectionReply>)> aDone)
{
  auto sentAt = Clock::now();
  OnSent(sentAt);
  auto timer = std::make_shared<Timer>(mLoop);
  timer->Set(aDeadline, [link = aLease->mLink] { link->Close(); });
  auto onReplies =
    [self = shared_from_this(), aLease, sentAt, timer, done = std::move(aDone)](
      std::vector<ConnectionReply> aReplies) {
      timer->Cancel();
      auto& reply = aReplies.back();
      self->OnReply(reply, sentAt);
      bool isLost = reply.mCode == ReplyCode::Lost;
      bool isUnsent = IsUnsent(reply);
      self->Release(aLease, isLost);
      done(isLost || isUnsent ? std::nullopt : std::optional(std::move(reply)));
    };
  aLease->mLink->SetTerms(OwnTerms(aDeadline));
  aLease->mLink->Send({ aCommand }, std::move(onReplies));
}

LeasePtr DatabasePool::MakeLease(std::uint64_t aConnection)
{
  const auto& held = mConnections.at(aConnection);
  auto lease = std::make_shared<ConnectionLease>();
  lease->mPool = weak_from_this();
  lease->mConnection = aConnection;
  lease->mDatabase = mListed.mName;
  lease->mGroup = mListed.mGroup;
  lease->mLink = mQueue ? mQueue->Wrap(held.mLink) : held.mLink;
  lease->mConnectionState = held.mConnectionState;
  mLeases[aConnection] = lease;
  return lease;
}

} // namespace sesameway::proxy
