#include "proxy/Proxy.h"

#include "daemon/Log.h"

#include <algorithm>

namespace sesameway::proxy {

namespace {

constexpr Duration kTickInterval = milliseconds(60);
// Timeouts of one call that waits for changes. Calls for kOwnKind are shorter because
// they also show whether the store can be reached.
constexpr Duration kOwnKindPollTimeout = milliseconds(700);
constexpr Duration kConfigurationPollTimeout = milliseconds(1500);
constexpr Duration kOtherKindPollTimeout = seconds(3);
constexpr int kWorkerThreads = 2;
constexpr Duration kTotalsInterval = seconds(10);

// Spreads the daemons over different delays before they try to become coordinator.
std::uint32_t RankOf(const std::string& aName)
{
  constexpr std::uint32_t kRanks = 8;
  return static_cast<std::uint32_t>(std::hash<std::string>()(aName) % kRanks);
}

// Each kind that is followed costs calls to the store, so evacuations are followed only
// if they are handled.
std::vector<FollowedKind> KindsToFollow(const Proxy::Adapters& aAdapters)
{
  std::vector<FollowedKind> kinds{
    { kOwnKind, kOwnKindPollTimeout },
    { std::string(KindOf(aAdapters.mConfigurationObject)), kConfigurationPollTimeout },
    { aAdapters.mDatabaseKind, kOtherKindPollTimeout },
  };
  if (!aAdapters.mEvacuationKind.empty()) {
    kinds.push_back({ aAdapters.mEvacuationKind, kOtherKindPollTimeout });
  }
  return kinds;
}

class LoopOneShotTimer : public OneShotTimer
{
public:
  explicit LoopOneShotTimer(Loop& aLoop)
    : mTimer(aLoop)
  {
  }
  void Set(TimePoint aWhen, std::function<void()> aTask) override
  {
    mTimer.Set(aWhen, std::move(aTask));
  }
  void Cancel() override { mTimer.Cancel(); }

private:
  Timer mTimer;
};

} // namespace

Proxy::Proxy(Loop& aLoop,
             Settings aSettings,
             Adapters aAdapters,
             std::uint64_t aIncarnation)
  : mLoop(aLoop)
  , mSettings(std::move(aSettings))
  , mAdapters(std::move(aAdapters))
  , mSelf{ mSettings.mName,
           mSettings.mZone,
           mSettings.mPeerAddress,
           aIncarnation,
           false }
  , mOwnRecord(FormatMemberRecord({ mSelf.mName,
                                    mSelf.mZone,
                                    mSelf.mAddress,
                                    mSelf.mIncarnation,
                                    false,
                                    mSettings.mSpeed }))
  , mWorkers(kWorkerThreads)
  , mAdmission(std::make_shared<daemon::FleetAdmission>(mWorkers, mMetrics, mSelf))
  , mShareKeeper(std::make_shared<daemon::ShareKeeper>(mWorkers,
                                                       mMetrics,
                                                       mAdapters.mStore,
                                                       mSelf))
  , mSync(aLoop, *mAdapters.mFeed, KindsToFollow(mAdapters))
  , mFleet(aLoop,
           *mAdapters.mDatabases,
           mSettings,
           mAdapters.mReadStatus,
           [this](const std::string& aName) { mMetrics.Count(aName); })
  , mRegistration(mSelf.mName, mSelf.mAddress)
  , mWatchers({ mSelf.mName, mSelf.mZone })
  , mTick(aLoop)
  , mLinkedPeers(mSelf.mName)
  , mPullSchedule(mSelf.mName, mStartedAt)
  , mPulls(
      aLoop,
      mMetrics,
      mSync,
      [this](const auto& aHeads, TimePoint aAskedAt) { OnPeerHeads(aHeads, aAskedAt); })
  , mSeedPeerAddresses(mSettings.mSeedPeerAddresses)
{
  CoordinatorRun::Parts parts{ mLoop,
                               *mAdapters.mStore,
                               mSync,
                               mFleet,
                               *mAdapters.mPromotionClient,
                               [this] { return Records(); },
                               mAdapters.mReadStatus };
  mCoordinator =
    std::make_shared<CoordinatorRun>(std::move(parts), mSelf, RankOf(mSelf.mName));
}

Proxy::~Proxy() noexcept = default;

void Proxy::Start(peer::Peers* aPeers)
{
  mPeers = aPeers;
  mCoordinator->SetPeers(aPeers);
  mPulls.SetPeers(aPeers);
  mFleet.SetPeers(aPeers);
  mAdmission->Start(aPeers);
  // The proxy does not call ShareKeeper::ReleaseSlots: a stopping daemon keeps its
  // slots because it usually restarts soon.
  mShareKeeper->RegisterPeers();
  mShareKeeper->Start([this] { return Members(); },
                      [this](daemon::ShareSnapshotPtr aSnapshot) {
                        mAdmission->OnShareSnapshot(std::move(aSnapshot));
                      });
  mSync.Start({ [this](const StoredObject& aObject, const ObjectSource& aSource) {
                 OnChange(aObject, aSource);
               },
                [this](TimePoint aContact) { OnContact(aContact); },
                [this] { OnInitialSync(); } });
  Tick();
}

void Proxy::Tick()
{
  auto now = Clock::now();
  mFleet.Tick();
  mCoordinator->Tick();
  UpdatePrimaryHints(now);
  ApplyMemberChanges();
  Register(now);
  FollowStore(now);
  WriteLostRecords(now);
  WriteLostEvacuations(now);
  EndEvacuatedTransactions();
  PullFromPeers(now);
  ConnectToOnePeer();
  if (mIsDraining) {
    DrainSessions();
  }
  LogTotals(now);
  mTick.Set(now + kTickInterval, [this] { Tick(); });
}

// Logs the counters periodically, for operators who have only the log.
void Proxy::LogTotals(TimePoint aNow)
{
  if (aNow < mNextTotalsAt) {
    return;
  }
  mNextTotalsAt = aNow + kTotalsInterval;
  daemon::LogLine line("totals");
  for (const auto& it : mMetrics.Counters()) {
    line.With(it.mName, it.mValue);
  }
  LOG(INFO) << line;
  mFleet.LogGroups();
}

std::unique_ptr<OneShotTimer> Proxy::NewOneShotTimer()
{
  return std::make_unique<LoopOneShotTimer>(mLoop);
}

// FleetAdmission calls its callback at once on this thread, or later on a worker
// thread. In the second case the verdict is posted to the event loop.
void Proxy::Admit(const Organisation& aOrganisation,
                  TimePoint aDeadline,
                  std::function<void(bool, TimePoint)> aVerdict)
{
  auto loopThread = std::this_thread::get_id();
  mAdmission->Admit(
    aOrganisation,
    aDeadline,
    [this, loopThread, verdict = std::move(aVerdict)](bool aIsAdmitted,
                                                      TimePoint aRetryAt) {
      if (std::this_thread::get_id() == loopThread) {
        verdict(aIsAdmitted, aRetryAt);
        return;
      }
      mLoop.Post([verdict, aIsAdmitted, aRetryAt] { verdict(aIsAdmitted, aRetryAt); });
    });
}

void Proxy::OnStatement(const std::string& aRoute, ReplyCode aCode, Duration aLatency)
{
  mMetrics.Count("statements." + std::string(kReplyCodeNames.Name(aCode)));
  if (aCode == ReplyCode::Done) {
    mMetrics.Record("latency_us." + aRoute,
                    std::chrono::duration<double, std::micro>(aLatency).count());
  }
}

CallerSessionPtr Proxy::Open(std::shared_ptr<CallerStream> aStream)
{
  std::erase_if(mSessions, [](const auto& aIt) { return aIt.expired(); });
  auto session = std::make_shared<CallerRun>(std::move(aStream), *this, mFleet);
  mSessions.insert(session);
  mMetrics.Count("sessions.opened");
  return session;
}

void Proxy::Drain(TimePoint aKillAt, std::function<void()> aDone)
{
  if (mIsDraining) {
    return;
  }
  LOG(INFO) << daemon::LogLine("draining").With("sessions", mSessions.size());
  mIsDraining = true;
  mDrainPlan.emplace(Clock::now(), aKillAt);
  mOnDrained = std::move(aDone);
  mCoordinator->Leave();
  mFleet.StopLending();
}

void Proxy::DrainSessions()
{
  auto now = Clock::now();
  if (mDrainPlan->EndsStatements(now)) {
    EndStatements();
  }
  if (mDrainPlan->EndsSessions(now)) {
    mFleet.TakeBackIdleLinks();
  }
  auto sessions = OpenSessions();
  for (const auto& it : sessions) {
    if (mDrainPlan->EndsSessions(now)) {
      it->EndTransaction(kStopping);
    }
    if (mDrainPlan->ClosesIdle(it->AnsweredAt(), now)) {
      it->Drain();
    }
  }
  bool isAnyOpen = !sessions.empty() || mFleet.LentCount() > 0;
  if (mOnDrained && mDrainPlan->IsOver(isAnyOpen, now)) {
    std::exchange(mOnDrained, nullptr)();
  }
}

// What waits is ended first, as it would be sent on the connections and slots that the
// other statements leave: a write that has not been sent can be refused.
void Proxy::EndStatements()
{
  mFleet.StopStarting();
  for (const auto& it : OpenSessions()) {
    if (!it->IsSending()) {
      it->EndRequest(kStopping);
    }
  }
  mFleet.TakeBackAllLinks();
  for (const auto& it : OpenSessions()) {
    it->EndRequest(kStopping);
  }
}

std::vector<std::shared_ptr<CallerRun>> Proxy::OpenSessions() const
{
  std::vector<std::shared_ptr<CallerRun>> sessions;
  for (const auto& it : mSessions) {
    if (auto session = it.lock()) {
      sessions.push_back(std::move(session));
    }
  }
  return sessions;
}

void Proxy::EndEvacuatedTransactions()
{
  if (mFleet.CurrentEvacuations().IsEmpty()) {
    return;
  }
  for (const auto& it : OpenSessions()) {
    it->EndTransactionIfEvacuated();
  }
}

void Proxy::EndWithdrawnGrants()
{
  for (const auto& it : OpenSessions()) {
    it->EndWithdrawnGrant();
  }
}

bool Proxy::EndsSessions() const
{
  return mDrainPlan && mDrainPlan->EndsSessions(Clock::now());
}

std::vector<daemon::MetricValue> Proxy::Gauges() const
{
  auto age = std::chrono::duration<double>(Clock::now() - mSync.Contact()).count();
  auto oldest =
    std::chrono::duration<double>(Clock::now() - mSync.OldestContact()).count();
  auto load = mFleet.Load();
  return { { "sessions.open", static_cast<double>(mSessions.size()) },
           { "store.contact_age_s", age },
           { "store.oldest_contact_age_s", oldest },
           { "coordinator", mCoordinator->IsCoordinator() ? 1.0 : 0.0 },
           { "homes.count", static_cast<double>(load.mHomes) },
           { "homes.lent_now", static_cast<double>(mFleet.LentCount()) },
           { "queue.waiting", static_cast<double>(load.mWaiting) },
           { "queue.running", static_cast<double>(load.mRunning) },
           { "zones.evacuated",
             static_cast<double>(mFleet.CurrentEvacuations().Zones().size()) } };
}

} // namespace sesameway::proxy
