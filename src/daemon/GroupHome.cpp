#include "daemon/GroupHome.h"

#include "daemon/Log.h"
#include "daemon/StatementRun.h"
#include "daemon/TransactionRun.h"

#include <algorithm>

namespace sesameway::daemon {

namespace {

// Tick intervals. The shorter one applies while statements wait, because of their
// deadlines. The longer one suffices for the deadlines of the failover state machine.
constexpr Duration kBusyTick = milliseconds(5);
constexpr Duration kIdleTick = milliseconds(25);
// Intervals between probe rounds. The shorter one applies while reads with a maximum
// age arrive, so that the age of the replicas' data is known. The longer one suffices
// to get the status of databases whose watch is interrupted.
constexpr Duration kBusyProbeInterval = milliseconds(100);
constexpr Duration kIdleProbeInterval = milliseconds(300);
// How long after a read with a maximum age more such reads are expected.
constexpr Duration kBoundedReadsExpected = seconds(2);
constexpr Duration kProbeTimeout = milliseconds(200);
// How long a replaced primary that still runs may take to send its last replies, also
// from another region.
constexpr Duration kReplyGrace = milliseconds(100);
constexpr Duration kSilentPrimary = milliseconds(300);
constexpr Duration kRewatchDelay = milliseconds(50);
// The send time that is passed with a pushed status report, whose age is unknown.
constexpr TimePoint kNoSendTime{};

} // namespace

GroupHome::GroupHome(HomeContext aContext, Group aGroup, int aConnectionsPerDatabase)
  : mContext(std::move(aContext))
  , mGroup(std::move(aGroup))
{
  mView.mName = mGroup.mName;
  for (const auto& it : mGroup.mDatabases) {
    Node node;
    node.mEntry = it;
    node.mDatabase = mContext.mFactory(it.mName, it.mAddress);
    node.mPool = std::make_shared<ConnectionPool>(
      *mContext.mWorkers, node.mDatabase, aConnectionsPerDatabase);
    mNodes.push_back(std::move(node));
    DatabaseView view;
    view.mName = it.mName;
    view.mZone = it.mZone;
    mView.mDatabases.push_back(view);
  }
}

void GroupHome::Start()
{
  FailoverContext context{ mContext.mPeers, mContext.mMetrics, mGroup, {} };
  for (const auto& it : mNodes) {
    context.mDatabases.push_back(it.mDatabase);
  }
  mFailover =
    std::make_shared<FailoverRun>(std::move(context), [weak = weak_from_this()] {
      if (auto self = weak.lock()) {
        self->UpdatePrimary();
        self->ResumeWaits();
      }
    });
  for (std::size_t n = 0; n < mNodes.size(); ++n) {
    WatchDatabase(n);
  }
  StartProbeRound();
  Tick();
}

void GroupHome::Stop()
{
  mStopped = true;
  mFailover->Stop();
  for (auto& it : mNodes) {
    it.mWatch.reset();
  }
}

void GroupHome::SetConnectionLimit(int aPerDatabase)
{
  for (auto& it : mNodes) {
    it.mPool->SetLimit(aPerDatabase);
  }
}

void GroupHome::Execute(GroupRequest aRequest, peer::AnswerCallback aDone)
{
  BeginWork();
  StatementRun::Start(
    shared_from_this(),
    std::move(aRequest),
    [self = shared_from_this(), done = std::move(aDone)](Answer aAnswer) {
      done(std::move(aAnswer));
      self->EndWork();
    });
}

void GroupHome::Begin(GroupRequest aRequest, peer::BeginCallback aDone)
{
  BeginWork();
  TransactionRun::Begin(shared_from_this(),
                        std::move(aRequest),
                        [self = shared_from_this(), done = std::move(aDone)](
                          Answer aAnswer, peer::TransactionPtr aTransaction) {
                          done(std::move(aAnswer), std::move(aTransaction));
                          self->EndWork();
                        });
}

PoolLoad GroupHome::ConnectionLoad() const
{
  PoolLoad sum;
  for (const auto& it : mNodes) {
    auto load = it.mPool->Load();
    sum.mOpen += load.mOpen;
    sum.mWaiting += load.mWaiting;
  }
  return sum;
}

GroupView GroupHome::View() const
{
  std::lock_guard lock(mMutex);
  return mView;
}

RouteChoice GroupHome::Choose(const GroupRequest& aRequest,
                              bool aIsRead,
                              std::uint64_t* aTerm)
{
  std::lock_guard lock(mMutex);
  *aTerm = mView.mTerm;
  if (!aIsRead) {
    return ChooseForWrite(mView);
  }
  ReadRequirement requirement{ aRequest.mStatement.mToken.Find(mGroup.mName),
                               aRequest.mTokenKnown,
                               aRequest.mMaxAge };
  auto now = Clock::now();
  if (aRequest.mMaxAge > Duration::zero()) {
    mNextProbeRound = std::min(mNextProbeRound, now + kBusyProbeInterval);
    mBoundedReadsUntil = now + kBoundedReadsExpected;
  }
  return ChooseForRead(
    mView, mHistory, requirement, mContext.mZone, now, mRoundRobin++);
}

bool GroupHome::Meets(const GroupRequest& aRequest, const LogPosition& aPosition) const
{
  std::lock_guard lock(mMutex);
  ReadRequirement requirement{ aRequest.mStatement.mToken.Find(mGroup.mName),
                               aRequest.mTokenKnown,
                               aRequest.mMaxAge };
  return MeetsRequirement(requirement, mHistory, aPosition, Clock::now());
}

void GroupHome::WaitForPrimary(std::uint64_t aAfterTerm,
                               TimePoint aDeadline,
                               Resume aResume)
{
  auto isMet = [aAfterTerm](const GroupView& aView) {
    return aView.mPrimary.has_value() && aView.mTerm > aAfterTerm;
  };
  // Without a majority the group may have no primary for a long time. The wait ends at
  // once, so that the caller can try elsewhere.
  auto cannotBeMet = [this] { return mLacksMajority && !mView.mPrimary; };
  AddWait({ isMet, cannotBeMet, aDeadline, std::move(aResume) });
}

void GroupHome::WaitUntilSafe(const LogPosition& aEntry,
                              TimePoint aDeadline,
                              Resume aResume)
{
  auto isMet = [aEntry](const GroupView& aView) { return IsSafe(aView, aEntry); };
  auto cannotBeMet = [this, aEntry] { return IsSuperseded(aEntry.mTerm); };
  AddWait({ isMet, cannotBeMet, aDeadline, std::move(aResume) });
}

void GroupHome::WaitUntilConfirmed(const LogPosition& aEntry,
                                   TimePoint aSince,
                                   TimePoint aDeadline,
                                   Resume aResume)
{
  auto isMet = [aEntry, aSince](const GroupView& aView) {
    return IsConfirmed(aView, aEntry.mTerm, aSince) && IsSafe(aView, aEntry);
  };
  auto cannotBeMet = [this, aEntry] { return IsSuperseded(aEntry.mTerm); };
  AddWait({ isMet, cannotBeMet, aDeadline, std::move(aResume), true });
}

void GroupHome::WatchDatabase(std::size_t aDatabase)
{
  if (mStopped) {
    return;
  }
  auto weak = weak_from_this();
  auto watch = mNodes[aDatabase].mDatabase->Watch(
    [weak, aDatabase](std::optional<DatabaseStatus> aStatus) {
      auto self = weak.lock();
      if (!self) {
        return;
      }
      self->OnStatus(aDatabase, aStatus, kNoSendTime);
      if (!aStatus) {
        self->mContext.mWorkers->RunAt(Clock::now() + kRewatchDelay, [self, aDatabase] {
          self->WatchDatabase(aDatabase);
        });
      }
    });
  std::lock_guard lock(mMutex);
  mNodes[aDatabase].mWatch = std::move(watch);
}

void GroupHome::OnStatus(std::size_t aDatabase,
                         const std::optional<DatabaseStatus>& aStatus,
                         TimePoint aSentAt)
{
  mFailover->OnStatus(aDatabase, aStatus);
  UpdatePrimary();
  {
    std::lock_guard lock(mMutex);
    auto& view = mView.mDatabases[aDatabase];
    view.mReachable = aStatus.has_value();
    if (aStatus) {
      ApplyReport(&view, *aStatus, aSentAt);
      bool isPrimary = mView.mPrimary == aDatabase && aStatus->mPrimary;
      if (isPrimary && aSentAt != kNoSendTime) {
        mHistory.Propose(aStatus->mHead, aSentAt);
      }
      mHistory.Confirm(mView);
    }
  }
  ResumeWaits();
}

void GroupHome::UpdatePrimary()
{
  auto state = mFailover->State();
  std::optional<std::size_t> replaced;
  {
    std::lock_guard lock(mMutex);
    // Concurrent calls may arrive in another order than they read the state, so a state
    // with an older term is ignored.
    if (state.mTerm < mView.mTerm) {
      return;
    }
    if (state.mTerm > mView.mTerm) {
      replaced = std::exchange(mLastPrimary, state.mPrimary);
    }
    mView.mTerm = state.mTerm;
    mView.mPrimary = state.mServing;
    mLacksMajority = state.mLacksMajority;
  }
  if (replaced && replaced != state.mPrimary) {
    AbandonPrimary(*replaced);
  }
}

void GroupHome::AbandonPrimary(std::size_t aDatabase)
{
  auto& pool = *mNodes[aDatabase].mPool;
  pool.FailWaiters();
  // A replaced primary that still runs sends its replies itself, and its last writes
  // may have become safe in time. Its connections are broken only after a grace period.
  bool isSilent = mFailover->SilenceOf(aDatabase) >= kSilentPrimary;
  auto breakAt = Clock::now() + (isSilent ? Duration::zero() : kReplyGrace);
  auto inUse = pool.InUse();
  mContext.mWorkers->RunAt(breakAt, [inUse = std::move(inUse)] {
    for (const auto& it : inUse) {
      if (auto connection = it.lock()) {
        connection->Abandon();
      }
    }
  });
}

bool GroupHome::IsSuperseded(std::uint64_t aTerm) const
{
  return aTerm < mView.mTerm && mView.mPrimary.has_value();
}

void GroupHome::AddWait(Wait aWait)
{
  {
    std::lock_guard lock(mMutex);
    mWaits.push_back(std::move(aWait));
  }
  ResumeWaits();
}

void GroupHome::ResumeWaits()
{
  std::list<Wait> over;
  std::list<Wait> overtaken;
  std::list<Wait> expired;
  bool needsProbe = false;
  {
    std::lock_guard lock(mMutex);
    auto now = Clock::now();
    for (auto it = mWaits.begin(); it != mWaits.end();) {
      auto next = std::next(it);
      if (it->mIsMet(mView)) {
        over.splice(over.end(), mWaits, it);
      } else if (it->mCannotBeMet()) {
        overtaken.splice(overtaken.end(), mWaits, it);
      } else if (it->mDeadline <= now) {
        expired.splice(expired.end(), mWaits, it);
      } else {
        needsProbe = needsProbe || it->mNeedsProbe;
      }
      it = next;
    }
    needsProbe = needsProbe && !mProbeRoundInFlight;
  }
  auto resumeAll = [this](std::list<Wait>& aWaits, WaitResult aEnd) {
    for (auto& it : aWaits) {
      mContext.mWorkers->Post([resume = std::move(it.mResume), aEnd] { resume(aEnd); });
    }
  };
  resumeAll(over, WaitResult::Reached);
  resumeAll(overtaken, WaitResult::Overtaken);
  resumeAll(expired, WaitResult::Expired);
  if (needsProbe) {
    StartProbeRound();
  }
}

void GroupHome::StartProbeRound()
{
  {
    std::lock_guard lock(mMutex);
    if (mProbeRoundInFlight || mStopped) {
      return;
    }
    mProbeRoundInFlight = true;
    auto now = Clock::now();
    bool isBusy = now < mBoundedReadsUntil;
    mNextProbeRound = now + (isBusy ? kBusyProbeInterval : kIdleProbeInterval);
  }
  auto sentAt = Clock::now();
  auto answers = std::make_shared<std::atomic<std::size_t>>(0);
  for (std::size_t n = 0; n < mNodes.size(); ++n) {
    mNodes[n].mDatabase->Status(sentAt + kProbeTimeout,
                                [self = shared_from_this(), n, sentAt, answers](
                                  std::optional<DatabaseStatus> aStatus) {
                                  // The next round may start as soon as a majority has
                                  // answered.
                                  std::size_t majority = self->mNodes.size() / 2 + 1;
                                  if (++*answers == majority) {
                                    std::lock_guard lock(self->mMutex);
                                    self->mProbeRoundInFlight = false;
                                  }
                                  self->OnStatus(n, aStatus, sentAt);
                                });
  }
}

void GroupHome::Tick()
{
  bool isOver = mRetired && mOpenWork == 0;
  if (isOver && !mStopped) {
    LOG(INFO) << LogLine("home_stopped").With("group", mGroup.mName);
    Stop();
  }
  if (mStopped) {
    return;
  }
  bool isDue = false;
  {
    std::lock_guard lock(mMutex);
    isDue = Clock::now() >= mNextProbeRound;
  }
  if (isDue) {
    StartProbeRound();
  }
  for (std::size_t n = 0; n < mNodes.size(); ++n) {
    mFailover->OnConnections(n, mNodes[n].mPool->FailingSince());
  }
  mFailover->Tick();
  UpdatePrimary();
  ResumeWaits();
  bool isBusy = false;
  {
    std::lock_guard lock(mMutex);
    isBusy = !mWaits.empty();
  }
  mContext.mWorkers->RunAtNextMultiple(isBusy ? kBusyTick : kIdleTick,
                                       [self = shared_from_this()] { self->Tick(); });
}

} // namespace sesameway::daemon
