#include "proxy/DatabasePool.h"

#include "daemon/Log.h"

namespace sesameway::proxy {

namespace {

constexpr Duration kOpenTimeout = milliseconds(1500);
// After a connection could not be opened.
constexpr Duration kOpenPause = milliseconds(250);
// The database has as many connections as it takes: one may be free soon. Doubled each
// time, up to the pause above.
constexpr Duration kFullPause = milliseconds(40);
constexpr Duration kSuspectTime = milliseconds(600);
// A replica that was behind is tried again after this long.
constexpr Duration kPositionAge = milliseconds(500);
constexpr Duration kTickFloor = milliseconds(5);
// A statement sent so long ago and answered says that the database is there.
constexpr Duration kHeardRecently = milliseconds(1000);
// In place of an organisation, on a connection for status commands.
const std::string kOwnOrganisation = "-";

} // namespace

DatabasePool::DatabasePool(Loop& aLoop,
                           DatabaseConnector& aDatabases,
                           ListedDatabase aListed)
  : mLoop(aLoop)
  , mDatabases(aDatabases)
  , mListed(std::move(aListed))
  , mPlan(1)
  , mTick(aLoop)
{
}

// A database that started anew under its name knows nothing of old connections, which
// break by themselves.
void DatabasePool::SetListed(const ListedDatabase& aListed)
{
  mListed = aListed;
}

void DatabasePool::SetLimit(std::size_t aLimit)
{
  Do(mPlan.SetLimit(aLimit, Clock::now()));
}

void DatabasePool::Acquire(std::uint64_t aTicket,
                           const LeaseRequest& aNeed,
                           Granted aDone)
{
  mWaiting[aTicket] = std::move(aDone);
  auto now = Clock::now();
  Do(
    mPlan.Add({ aTicket, aNeed.mOrganisation, aNeed.mPriority, aNeed.mDeadline }, now));
}

void DatabasePool::CancelAcquire(std::uint64_t aTicket)
{
  mPlan.Drop(aTicket);
  mWaiting.erase(aTicket);
}

void DatabasePool::Release(const LeasePtr& aLease, bool aIsBroken)
{
  auto id = aLease->mConnection;
  mBusy.erase(id);
  auto now = Clock::now();
  if (aIsBroken || mIsRetired) {
    mHeld.erase(id);
    aLease->mLink->Close();
    Do(mPlan.OnGone(id, now));
    return;
  }
  WatchIdle(id);
  Do(mPlan.OnReleased(id, now));
}

void DatabasePool::Retire()
{
  mIsRetired = true;
  Do(mPlan.SetLimit(0, Clock::now()));
  Do(mPlan.RefuseAll(Clock::now()));
}

std::vector<LeasePtr> DatabasePool::Leases() const
{
  std::vector<LeasePtr> leases;
  for (const auto& it : mBusy) {
    if (auto lease = it.second.lock()) {
      leases.push_back(std::move(lease));
    }
  }
  return leases;
}

void DatabasePool::OnReply(const ConnectionReply& aReply, TimePoint aSentAt)
{
  if (aReply.mCode == ReplyCode::Lost) {
    return;
  }
  OnHeard(aSentAt);
  if (aReply.mPosition) {
    mPosition = aReply.mPosition;
    mPositionAt = Clock::now();
  }
}

// What a well database says for a reason is no failure. Nor is being busy: its reads
// would crowd at the others, which would be busy next.
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
  }
}

std::optional<LogPosition> DatabasePool::Position(TimePoint aNow) const
{
  return aNow - mPositionAt < kPositionAge ? mPosition : std::nullopt;
}

void DatabasePool::OnHeard(TimePoint aSentAt)
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
  if (aNow - mHeardAt < kHeardRecently) {
    return Duration::zero();
  }
  return std::nullopt;
}

void DatabasePool::Do(const ConnectionPlan::Actions& aActions)
{
  // An action's callback may lead to further actions and end the pool's last use.
  auto self = shared_from_this();
  for (const auto& it : aActions) {
    std::visit([this](const auto& aAction) { Do(aAction); }, it);
  }
  SetTick();
}

void DatabasePool::Do(const ConnectionPlan::Grant& aGrant)
{
  auto node = mWaiting.extract(aGrant.mTicket);
  auto held = mHeld.find(aGrant.mConnection);
  if (held == mHeld.end() || node.empty()) {
    // Closed, or dropped, by an action before this one.
    Do(mPlan.OnGone(aGrant.mConnection, Clock::now()));
    return;
  }
  node.mapped()(LeaseOf(aGrant.mConnection));
}

void DatabasePool::Do(const ConnectionPlan::Open& aOpen)
{
  auto now = Clock::now();
  OnSent(now);
  const auto& organisation =
    aOpen.mOrganisation.empty() ? kOwnOrganisation : aOpen.mOrganisation;
  LinkTarget target{ mListed.mAddress, mListed.mGroup, organisation, mListed.mName };
  mDatabases.Open(
    target, now + kOpenTimeout, [self = shared_from_this(), aOpen, now](auto aLink) {
      self->OnOpened(aOpen.mConnection, aOpen.mOrganisation, now, std::move(aLink));
    });
}

void DatabasePool::OnOpened(std::uint64_t aConnection,
                            const std::string& aOrganisation,
                            TimePoint aSentAt,
                            tl::expected<DatabaseLinkPtr, ReplyCode> aLink)
{
  auto now = Clock::now();
  if (aLink && mIsRetired) {
    (*aLink)->Close();
    Do(mPlan.OnGone(aConnection, now));
    return;
  }
  if (aLink) {
    OnHeard(aSentAt);
    mRefusals = 0;
    mHeld[aConnection] = { *aLink, std::make_shared<SharedConnectionState>() };
    WatchIdle(aConnection);
    Do(mPlan.OnOpened(aConnection, now));
    return;
  }
  LOG(INFO) << daemon::LogLine("connection_failed")
                 .With("database", mListed.mName)
                 .With("address", mListed.mAddress)
                 .With("organisation", aOrganisation)
                 .With("code", kReplyCodeNames.Name(aLink.error()))
                 .With("took_ms", (now - aSentAt) / milliseconds(1))
                 .With("waiting", mPlan.Waiting());
  bool isFull =
    aLink.error() == ReplyCode::TooManyConnections || aLink.error() == ReplyCode::Busy;
  if (!isFull) {
    mSuspectUntil = now + kSuspectTime;
  }
  auto pause =
    isFull ? ExponentialBackoff(kFullPause, mRefusals++, kOpenPause) : kOpenPause;
  Do(mPlan.OnOpenFailed(aConnection, now + pause, now));
  if (!isFull || mPlan.IsRefusingConnections()) {
    // They may find another database.
    Do(mPlan.RefuseAll(now + kOpenPause));
  }
}

void DatabasePool::WatchIdle(std::uint64_t aConnection)
{
  auto it = mHeld.find(aConnection);
  if (it == mHeld.end()) {
    return;
  }
  it->second.mLink->OnBroken([weak = weak_from_this(), aConnection] {
    if (auto self = weak.lock()) {
      self->mHeld.erase(aConnection);
      self->Do(self->mPlan.OnGone(aConnection, Clock::now()));
    }
  });
}

void DatabasePool::Do(const ConnectionPlan::Close& aClose)
{
  auto it = mHeld.find(aClose.mConnection);
  if (it != mHeld.end()) {
    auto link = it->second.mLink;
    mHeld.erase(it);
    link->Close();
  }
}

void DatabasePool::Do(const ConnectionPlan::Refuse& aRefuse)
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
  mTick.Set(std::max(next, Clock::now() + kTickFloor), [weak = weak_from_this()] {
    if (auto self = weak.lock()) {
      self->Do(self->mPlan.OnTick(Clock::now()));
    }
  });
}

void DatabasePool::Ask(const ConnectionCommand& aCommand,
                       TimePoint aDeadline,
                       std::function<void(std::optional<ConnectionReply>)> aDone)
{
  auto idle = mPlan.TakeIdle(Clock::now());
  if (idle != 0 && mHeld.count(idle) > 0) {
    AskOn(LeaseOf(idle), aCommand, aDeadline, std::move(aDone));
    return;
  }
  LeaseRequest need;
  need.mDeadline = aDeadline;
  Acquire(mNextTicket++,
          need,
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
      self->Release(aLease, isLost);
      done(isLost ? std::nullopt : std::optional(std::move(reply)));
    };
  aLease->mLink->Send({ aCommand }, std::move(onReplies));
}

LeasePtr DatabasePool::LeaseOf(std::uint64_t aConnection)
{
  const auto& held = mHeld.at(aConnection);
  auto lease = std::make_shared<ConnectionLease>();
  lease->mPool = weak_from_this();
  lease->mConnection = aConnection;
  lease->mDatabase = mListed.mName;
  lease->mGroup = mListed.mGroup;
  lease->mLink = held.mLink;
  lease->mContents = held.mContents;
  mBusy[aConnection] = lease;
  return lease;
}

} // namespace sesameway::proxy
