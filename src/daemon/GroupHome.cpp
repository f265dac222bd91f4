#include "daemon/GroupHome.h"

#include "daemon/Log.h"
#include "daemon/StatementRun.h"
#include "daemon/TransactionRun.h"

#include <algorithm>

namespace sesameway::daemon {

namespace {

// While statements wait, for their deadlines; and else, for the failover machine's.
constexpr Duration kBusyTick = milliseconds(5);
constexpr Duration kQuietTick = milliseconds(25);
// While reads come that accept an age, to date the replicas' data; and else, to hear of
// databases whose watch is cut.
constexpr Duration kBusyRoundInterval = milliseconds(100);
constexpr Duration kQuietRoundInterval = milliseconds(300);
// How long after an aged read more of them are expected.
constexpr Duration kAgedReadsExpected = seconds(2);
constexpr Duration kRoundTimeout = milliseconds(200);
// For the last replies of a replaced primary that is up, from another region too.
constexpr Duration kReplyGrace = milliseconds(100);
constexpr Duration kSilentPrimary = milliseconds(300);
constexpr Duration kRewatchPause = milliseconds(50);
// Sent with a pushed report, whose age is not known.
constexpr TimePoint kPushed{};

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
        self->Settle();
      }
    });
  for (std::size_t n = 0; n < mNodes.size(); ++n) {
    WatchNode(n);
  }
  StartRound();
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

void GroupHome::SetConnections(int aPerDatabase)
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
  ReadRequirement need{ aRequest.mStatement.mToken.Find(mGroup.mName),
                        aRequest.mTokenKnown,
                        aRequest.mMaxAge };
  auto now = Clock::now();
  if (aRequest.mMaxAge > Duration::zero()) {
    mNextRound = std::min(mNextRound, now + kBusyRoundInterval);
    mAgedReadsUntil = now + kAgedReadsExpected;
  }
  return ChooseForRead(mView, mHistory, need, mContext.mZone, now, mTurn++);
}

bool GroupHome::Meets(const GroupRequest& aRequest, const LogPosition& aPosition) const
{
  std::lock_guard lock(mMutex);
  ReadRequirement need{ aRequest.mStatement.mToken.Find(mGroup.mName),
                        aRequest.mTokenKnown,
                        aRequest.mMaxAge };
  return MeetsRequirement(need, mHistory, aPosition, Clock::now());
}

void GroupHome::WaitForPrimary(std::uint64_t aAfterTerm,
                               TimePoint aDeadline,
                               Resume aResume)
{
  auto isOver = [aAfterTerm](const GroupView& aView) {
    return aView.mPrimary.has_value() && aView.mTerm > aAfterTerm;
  };
  // The group may have no primary for long: whoever waits can do better elsewhere.
  auto isHopeless = [this] { return mLacksMajority && !mView.mPrimary; };
  AddWait({ isOver, isHopeless, aDeadline, std::move(aResume) });
}

void GroupHome::WaitUntilSafe(const LogPosition& aEntry,
                              TimePoint aDeadline,
                              Resume aResume)
{
  auto isOver = [aEntry](const GroupView& aView) { return IsSafe(aView, aEntry); };
  auto isHopeless = [this, aEntry] { return IsSuperseded(aEntry.mTerm); };
  AddWait({ isOver, isHopeless, aDeadline, std::move(aResume) });
}

void GroupHome::WaitUntilConfirmed(const LogPosition& aEntry,
                                   TimePoint aSince,
                                   TimePoint aDeadline,
                                   Resume aResume)
{
  auto isOver = [aEntry, aSince](const GroupView& aView) {
    return IsConfirmed(aView, aEntry.mTerm, aSince) && IsSafe(aView, aEntry);
  };
  auto isHopeless = [this, aEntry] { return IsSuperseded(aEntry.mTerm); };
  AddWait({ isOver, isHopeless, aDeadline, std::move(aResume), true });
}

void GroupHome::WatchNode(std::size_t aDatabase)
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
      self->OnStatus(aDatabase, aStatus, kPushed);
      if (!aStatus) {
        self->mContext.mWorkers->RunAt(Clock::now() + kRewatchPause, [self, aDatabase] {
          self->WatchNode(aDatabase);
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
      if (isPrimary && aSentAt != kPushed) {
        mHistory.Propose(aStatus->mHead, aSentAt);
      }
      mHistory.Confirm(mView);
    }
  }
  Settle();
}

void GroupHome::UpdatePrimary()
{
  auto state = mFailover->State();
  std::optional<std::size_t> replaced;
  {
    std::lock_guard lock(mMutex);
    // States that were read at the same time may come here crossed.
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
    LeaveReplaced(*replaced);
  }
}

void GroupHome::LeaveReplaced(std::size_t aDatabase)
{
  auto& pool = *mNodes[aDatabase].mPool;
  pool.DismissWaiters();
  // One that is up answers by itself, and what it wrote may have been safe in time.
  bool isSilent = mFailover->SilenceOf(aDatabase) >= kSilentPrimary;
  auto breakAt = Clock::now() + (isSilent ? Duration::zero() : kReplyGrace);
  auto lent = pool.Lent();
  mContext.mWorkers->RunAt(breakAt, [lent = std::move(lent)] {
    for (const auto& it : lent) {
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
  Settle();
}

void GroupHome::Settle()
{
  std::list<Wait> over;
  std::list<Wait> overtaken;
  std::list<Wait> expired;
  bool needsRound = false;
  {
    std::lock_guard lock(mMutex);
    auto now = Clock::now();
    for (auto it = mWaits.begin(); it != mWaits.end();) {
      auto next = std::next(it);
      if (it->mIsOver(mView)) {
        over.splice(over.end(), mWaits, it);
      } else if (it->mIsHopeless()) {
        overtaken.splice(overtaken.end(), mWaits, it);
      } else if (it->mDeadline <= now) {
        expired.splice(expired.end(), mWaits, it);
      } else {
        needsRound = needsRound || it->mNeedsRound;
      }
      it = next;
    }
    needsRound = needsRound && !mRoundInFlight;
  }
  auto resumeAll = [this](std::list<Wait>& aWaits, WaitResult aEnd) {
    for (auto& it : aWaits) {
      mContext.mWorkers->Post([resume = std::move(it.mResume), aEnd] { resume(aEnd); });
    }
  };
  resumeAll(over, WaitResult::Reached);
  resumeAll(overtaken, WaitResult::Overtaken);
  resumeAll(expired, WaitResult::Expired);
  if (needsRound) {
    StartRound();
  }
}

void GroupHome::StartRound()
{
  {
    std::lock_guard lock(mMutex);
    if (mRoundInFlight || mStopped) {
      return;
    }
    mRoundInFlight = true;
    auto now = Clock::now();
    bool isBusy = now < mAgedReadsUntil;
    mNextRound = now + (isBusy ? kBusyRoundInterval : kQuietRoundInterval);
  }
  auto sentAt = Clock::now();
  auto answers = std::make_shared<std::atomic<std::size_t>>(0);
  for (std::size_t n = 0; n < mNodes.size(); ++n) {
    mNodes[n].mDatabase->Status(sentAt + kRoundTimeout,
                                [self = shared_from_this(), n, sentAt, answers](
                                  std::optional<DatabaseStatus> aStatus) {
                                  // The round is over for the next one as soon as a
                                  // majority has answered.
                                  std::size_t majority = self->mNodes.size() / 2 + 1;
                                  if (++*answers == majority) {
                                    std::lock_guard lock(self->mMutex);
                                    self->mRoundInFlight = false;
                                  }
                                  self->OnStatus(n, aStatus, sentAt);
                                });
  }
}

void GroupHome::Tick()
{
  bool isOver = mRetired && mOpenWork == 0;
  if (isOver && !mStopped) {
    LOG(INFO) << LogLine("home_over").With("group", mGroup.mName);
    Stop();
  }
  if (mStopped) {
    return;
  }
  bool isDue = false;
  {
    std::lock_guard lock(mMutex);
    isDue = Clock::now() >= mNextRound;
  }
  if (isDue) {
    StartRound();
  }
  for (std::size_t n = 0; n < mNodes.size(); ++n) {
    mFailover->OnConnections(n, mNodes[n].mPool->FailingSince());
  }
  mFailover->Tick();
  UpdatePrimary();
  Settle();
  bool isBusy = false;
  {
    std::lock_guard lock(mMutex);
    isBusy = !mWaits.empty();
  }
  mContext.mWorkers->RunAtNextMultiple(isBusy ? kBusyTick : kQuietTick,
                                       [self = shared_from_this()] { self->Tick(); });
}

} // namespace sesameway::daemon
