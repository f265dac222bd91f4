#include "proxy/Proxy.h"

#include "daemon/Log.h"

#include <algorithm>

namespace sesameway::proxy {

namespace {

constexpr Duration kTickInterval = milliseconds(60);
// Of a call for changes. The own kind's shows contact with the store as well.
constexpr Duration kOwnWait = milliseconds(700);
constexpr Duration kOtherWait = seconds(3);
// Between questions to the zone's daemon that follows the store.
constexpr Duration kRelayInterval = milliseconds(350);
constexpr Duration kRegisterTimeout = milliseconds(1000);
constexpr Duration kRegisterPause = milliseconds(700);
// Fellows are asked when the store was last heard from this long ago.
constexpr Duration kContactAge = milliseconds(2200);
constexpr Duration kPullPause = milliseconds(300);
constexpr Duration kPullTimeout = milliseconds(600);
constexpr std::size_t kPullFellows = 2;
constexpr Duration kHelloTimeout = seconds(1);
constexpr int kWorkerThreads = 2;
constexpr Duration kTotalsInterval = seconds(10);

class TimerAlarm : public Alarm
{
public:
  explicit TimerAlarm(Loop& aLoop)
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

// Spreads daemons over the turns to become coordinator.
std::uint32_t RankOf(const std::string& aName)
{
  constexpr std::uint32_t kRanks = 8;
  return static_cast<std::uint32_t>(std::hash<std::string>()(aName) % kRanks);
}

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
  , mOwnRecord(FormatMemberRecord(
      { mSelf.mName, mSelf.mZone, mSelf.mAddress, mSelf.mIncarnation, false }))
  , mWorkers(kWorkerThreads)
  , mAdmission(std::make_shared<daemon::FleetAdmission>(mWorkers, mMetrics, mSelf))
  , mShareKeeper(std::make_shared<daemon::ShareKeeper>(mWorkers,
                                                       mMetrics,
                                                       mAdapters.mStore,
                                                       mSelf))
  , mSync(aLoop,
          *mAdapters.mFeed,
          { { kOwnKind, kOwnWait },
            { std::string(KindOf(mAdapters.mConfigurationObject)), kOtherWait },
            { mAdapters.mDatabaseKind, kOtherWait } })
  , mFleet(aLoop, *mAdapters.mDatabases, mSettings, mAdapters.mReadStatus)
  , mRegistration(mSelf.mName, mSelf.mAddress)
  , mWatchers(mSelf.mName)
  , mTick(aLoop)
  , mFellowAddresses(mSettings.mFellowAddresses)
{
  CoordinatorRun::Parts parts{ mLoop,
                               *mAdapters.mStore,
                               mSync,
                               mFleet,
                               *mAdapters.mOrders,
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
  mAdmission->Start(aPeers);
  // A daemon here keeps its slots when it stops, as it comes back mostly.
  mShareKeeper->EnterFellows();
  mShareKeeper->Start([this] { return Members(); },
                      [this](daemon::HoldingPtr aHolding) {
                        mAdmission->OnHolding(std::move(aHolding));
                      });
  mSync.Start({ [this](const StoredObject& aObject) { OnChange(aObject); },
                [this](TimePoint aContact) { OnContact(aContact); },
                [this] { OnKnown(); } });
  Tick();
}

void Proxy::OnKnown()
{
  mIsKnown = true;
  LOG(INFO) << daemon::Line("serving")
                 .With("revision", mSync.Revision())
                 .With("routes", mCatalogue ? mCatalogue->mRoutes.size() : 0);
  if (!mSync.Find(kCoordinatorObject)) {
    mCoordinator->OnRecord(std::nullopt);
  }
}

// A daemon that no coordinator knows of is not told of a change.
void Proxy::OnContact(TimePoint aContact)
{
  if (mRegistration.Covers(aContact)) {
    mFleet.SetContact(aContact);
  }
}

void Proxy::Tick()
{
  auto now = Clock::now();
  mFleet.Tick();
  mCoordinator->Tick();
  UpdateHints(now);
  Register(now);
  FollowStore(now);
  PullFromFellows(now);
  GreetOneFellow();
  if (mIsDraining) {
    DrainSessions();
  }
  LogTotals(now);
  mTick.Set(now + kTickInterval, [this] { Tick(); });
}

// For those who have the log alone.
void Proxy::LogTotals(TimePoint aNow)
{
  if (aNow < mTotalsAt) {
    return;
  }
  mTotalsAt = aNow + kTotalsInterval;
  daemon::Line line("totals");
  for (const auto& it : mMetrics.Counters()) {
    line.With(it.mName, it.mValue);
  }
  LOG(INFO) << line;
  mFleet.LogGroups();
}

void Proxy::OnChange(const StoredObject& aObject)
{
  auto kind = KindOf(aObject.mName);
  if (aObject.mName == mAdapters.mConfigurationObject) {
    OnConfiguration(aObject);
  } else if (kind == mAdapters.mDatabaseKind) {
    OnDatabase(aObject);
  } else if (kind == kOwnKind) {
    OnOwnObject(aObject);
  }
}

void Proxy::OnConfiguration(const StoredObject& aObject)
{
  if (aObject.mDeleted) {
    return;
  }
  auto catalogue = mAdapters.mReadConfiguration(aObject);
  if (!catalogue) {
    LOG(WARNING) << daemon::Line("configuration_rejected")
                      .With("revision", aObject.mRevision)
                      .With("expected", catalogue.error());
    return;
  }
  mCatalogue = std::make_shared<const Catalogue>(std::move(*catalogue));
  LOG(INFO) << daemon::Line("configuration")
                 .With("revision", aObject.mRevision)
                 .With("routes", mCatalogue->mRoutes.size())
                 .With("keys", mCatalogue->mKeys.size())
                 .With("organisations", mCatalogue->mOrganisations.size());
  mFleet.SetCatalogue(mCatalogue);
  mAdmission->OnCatalogue(*mCatalogue);
}

void Proxy::OnDatabase(const StoredObject& aObject)
{
  auto name = std::string(IdOf(aObject.mName));
  if (aObject.mDeleted) {
    LOG(INFO) << daemon::Line("database_unlisted")
                   .With("database", name)
                   .With("revision", aObject.mRevision);
    mFleet.OnRemoved(name);
    return;
  }
  auto database = mAdapters.mReadDatabase(aObject);
  if (!database) {
    LOG(WARNING) << daemon::Line("database_entry_rejected")
                      .With("database", name)
                      .With("revision", aObject.mRevision)
                      .With("expected", database.error());
    return;
  }
  mFleet.OnListed(*database);
}

void Proxy::OnOwnObject(const StoredObject& aObject)
{
  if (aObject.mName == kCoordinatorObject) {
    mCoordinator->OnRecord(aObject);
    return;
  }
  if (aObject.mName.starts_with(kMemberPrefix)) {
    OnMember(aObject);
    return;
  }
  if (!aObject.mName.starts_with(kGroupPrefix) || aObject.mDeleted) {
    return;
  }
  auto record = ParseGroupRecord(aObject.mBody);
  if (!record) {
    LOG(WARNING) << daemon::Line("group_record_unreadable")
                      .With("object", aObject.mName)
                      .With("expected", record.error());
    return;
  }
  mFleet.OnRecord(*record, aObject.mRevision);
}

void Proxy::OnMember(const StoredObject& aObject)
{
  auto name = aObject.mName.substr(std::string_view(kMemberPrefix).size());
  std::optional<MemberRecord> record;
  if (!aObject.mDeleted) {
    auto read = ParseMemberRecord(aObject.mBody);
    if (!read) {
      LOG(WARNING) << daemon::Line("member_unreadable")
                        .With("object", aObject.mName)
                        .With("expected", read.error());
      return;
    }
    record = std::move(*read);
  }
  {
    std::lock_guard lock(mMutex);
    if (record) {
      mMembers[name] = *record;
    } else {
      mMembers.erase(name);
    }
  }
  if (name == mSelf.mName) {
    OnOwnRecord(record ? &*record : nullptr);
  }
  auto members = Members();
  LOG(INFO) << daemon::Line("member")
                 .With("name", name)
                 .With("missing", record && record->mIsMissing)
                 .With("removed", aObject.mDeleted)
                 .With("members", members.size())
                 .With("revision", aObject.mRevision);
  OnFleet(members);
}

void Proxy::OnFleet(const std::vector<peer::Member>& aMembers)
{
  std::vector<std::string> zones;
  std::vector<std::string> near;
  mToGreet.clear();
  for (const auto& it : aMembers) {
    zones.push_back(it.mZone);
    if (IsOwnRegion(it.mZone)) {
      near.push_back(it.mName);
    }
    auto greeted = mGreeted.find(it.mName);
    bool isGreeted = greeted != mGreeted.end() && greeted->second == it.mIncarnation;
    if (!isGreeted && it.mName != mSelf.mName) {
      mToGreet.push_back(it);
    }
  }
  std::stable_partition(mToGreet.begin(), mToGreet.end(), [this](const auto& aIt) {
    return IsOwnRegion(aIt.mZone);
  });
  mFleet.SetDaemonZones(zones);
  mWatchers.SetDaemons(std::move(near));
}

bool Proxy::IsOwnRegion(const std::string& aZone) const
{
  auto own = mSettings.mRegions.find(mSelf.mZone);
  auto other = mSettings.mRegions.find(aZone);
  bool isKnown = own != mSettings.mRegions.end() && other != mSettings.mRegions.end();
  return isKnown ? own->second == other->second : aZone == mSelf.mZone;
}

void Proxy::OnOwnRecord(const MemberRecord* aRecord)
{
  mRegistration.OnRecord(aRecord, Clock::now());
  // The former process of this name has ended if this one listens at its address.
  bool isFormer = aRecord != nullptr && aRecord->mAddress == mSelf.mAddress &&
                  aRecord->mIncarnation != mSelf.mIncarnation;
  if (isFormer) {
    mShareKeeper->UseFormerSlots(mStartedAt);
  }
}

std::vector<MemberRecord> Proxy::Records() const
{
  std::lock_guard lock(mMutex);
  std::vector<MemberRecord> records;
  for (const auto& it : mMembers) {
    records.push_back(it.second);
  }
  return records;
}

// Without those that may be gone for good.
std::vector<peer::Member> Proxy::Members() const
{
  std::vector<peer::Member> members;
  for (const auto& it : Records()) {
    if (!it.mIsMissing) {
      members.push_back({ it.mName, it.mZone, it.mAddress, it.mIncarnation, false });
    }
  }
  return members;
}

void Proxy::Register(TimePoint aNow)
{
  if (!mIsKnown || mIsRegistering || aNow < mRegisterAgainAt) {
    return;
  }
  auto name = kMemberPrefix + mSelf.mName;
  auto known = mSync.Find(name);
  if (known && known->mBody == mOwnRecord) {
    return;
  }
  mIsRegistering = true;
  mAdapters.mStore->Put(name,
                        mOwnRecord,
                        known ? known->mVersion : 0,
                        false,
                        aNow + kRegisterTimeout,
                        [this](std::optional<platform::PutResult> aResult) {
                          mIsRegistering = false;
                          mRegisterAgainAt = Clock::now() + kRegisterPause;
                          mSync.Apply(aResult);
                        });
}

void Proxy::PullFromFellows(TimePoint aNow)
{
  bool isDue = aNow - mSync.Contact() > kContactAge && aNow >= mPullAgainAt;
  if (!isDue || mPeers == nullptr) {
    return;
  }
  mPullAgainAt = aNow + kPullPause;
  std::vector<std::string> addresses = mFellowAddresses;
  for (const auto& it : Members()) {
    addresses.push_back(it.mAddress);
  }
  std::erase(addresses, mSelf.mAddress);
  for (std::size_t n = 0; n < std::min(kPullFellows, addresses.size()); ++n) {
    PullFrom(addresses[mPullTurn++ % addresses.size()], [](bool) {});
  }
}

// A connection takes longer than a question for tokens may. So they stand before the
// first one is asked, near fellows first, and one at a time, as each takes work.
void Proxy::GreetOneFellow()
{
  if (mPeers == nullptr || mToGreet.empty()) {
    return;
  }
  auto next = std::move(mToGreet.front());
  mToGreet.pop_front();
  mGreeted[next.mName] = next.mIncarnation;
  mPeers->Hello(next.mAddress,
                mSelf,
                Clock::now() + kHelloTimeout,
                [](const std::optional<peer::HelloReply>&) {
                  // The connection is what counts.
                });
}

void Proxy::FollowStore(TimePoint aNow)
{
  // The coordinator has to know at once who has come.
  bool mustWatch =
    mWatchers.MustWatch(mSync.Contact(), aNow) || mCoordinator->IsCoordinator();
  // Only then is it known who follows the store.
  if (!mIsKnown) {
    return;
  }
  mSync.SetFollowing(mustWatch);
  mFleet.SetAsksForHeads(mustWatch);
  auto fellow = mWatchers.Fellow();
  if (fellow.empty() || aNow < mRelayAt || mPeers == nullptr) {
    return;
  }
  mRelayAt = aNow + kRelayInterval;
  std::string address;
  for (const auto& it : Members()) {
    if (it.mName == fellow) {
      address = it.mAddress;
    }
  }
  PullFrom(address, [this](bool aHasAnswered) {
    aHasAnswered ? mWatchers.OnAnswer() : mWatchers.OnNoAnswer();
  });
}

void Proxy::PullFrom(const std::string& aAddress, std::function<void(bool)> aDone)
{
  auto askedAt = Clock::now();
  auto onDelta = [this, askedAt, done = std::move(aDone)](
                   std::optional<peer::CatalogueDelta> aDelta) {
    mLoop.Post([this, askedAt, done, delta = std::move(aDelta)] {
      if (delta) {
        OnDelta(*delta, askedAt);
      }
      done(delta && delta->mIsServing);
    });
  };
  peer::CatalogueQuery query{ mSync.Revision(), askedAt - mSync.Contact(), 0 };
  mPeers->Catalogue(aAddress, query, askedAt + kPullTimeout, std::move(onDelta));
}

void Proxy::OnDelta(const peer::CatalogueDelta& aDelta, TimePoint aAskedAt)
{
  if (!aDelta.mIsServing) {
    return;
  }
  std::vector<StoredObject> objects;
  for (const auto& it : aDelta.mChanges) {
    objects.push_back({ it.mName, it.mVersion, it.mRevision, it.mBody, it.mDeleted });
  }
  mSync.Merge(objects, aDelta.mRevision, aAskedAt - aDelta.mContactAge);
  // Counted from the question, so that they seem older rather than newer.
  for (const auto& it : aDelta.mHeads) {
    mFleet.OnFellowHead(it.mGroup, it.mHead, aAskedAt - it.mAge);
  }
}

void Proxy::UpdateHints(TimePoint aNow)
{
  std::map<std::string, peer::PrimaryHint> hints;
  for (const auto& it : mFleet.Groups()) {
    const auto& record = mFleet.FindLeadership(it)->Record();
    auto silence = mFleet.Silence(record.mPrimary, aNow);
    auto& hint = hints[it];
    hint.mTerm = record.mTerm;
    if (silence) {
      hint.mDatabase = record.mPrimary;
      hint.mSeenAge = *silence;
    }
  }
  auto heads = mFleet.Heads();
  std::lock_guard lock(mMutex);
  mHints.swap(hints);
  mHeads.swap(heads);
}

std::unique_ptr<Alarm> Proxy::NewAlarm()
{
  return std::make_unique<TimerAlarm>(mLoop);
}

// The verdict may come at once on this thread, or later on a worker's.
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

void Proxy::Drain(TimePoint aLimit, std::function<void()> aDone)
{
  if (mIsDraining) {
    return;
  }
  LOG(INFO) << daemon::Line("draining").With("sessions", mSessions.size());
  mIsDraining = true;
  mDrainPlan.emplace(Clock::now(), aLimit);
  mOnDrained = std::move(aDone);
  mCoordinator->Leave();
}

void Proxy::DrainSessions()
{
  auto now = Clock::now();
  bool isAnyOpen = false;
  for (const auto& it : mSessions) {
    auto session = it.lock();
    if (!session) {
      continue;
    }
    isAnyOpen = true;
    if (mDrainPlan->EndsTransactions(now) && session->IsInTransaction()) {
      session->EndTransaction("daemon_stopping");
    }
    if (mDrainPlan->ClosesIdle(session->AnsweredAt(), now)) {
      session->Drain();
    }
  }
  if (mOnDrained && mDrainPlan->IsOver(isAnyOpen, now)) {
    std::exchange(mOnDrained, nullptr)();
  }
}

bool Proxy::ClosesWithAnswer() const
{
  return mDrainPlan && mDrainPlan->ClosesWithAnswer(Clock::now());
}

void Proxy::SetFellowAddresses(std::vector<std::string> aAddresses)
{
  mFellowAddresses = std::move(aAddresses);
}

std::vector<daemon::MetricValue> Proxy::Gauges() const
{
  auto age = std::chrono::duration<double>(Clock::now() - mSync.Contact()).count();
  return { { "sessions.open", static_cast<double>(mSessions.size()) },
           { "store.contact_age_s", age },
           { "coordinator", mCoordinator->IsCoordinator() ? 1.0 : 0.0 } };
}

peer::Member Proxy::OnHello(const peer::Member&, bool* aReady)
{
  *aReady = true;
  return mSelf;
}

// Sessions of this kind run at the daemon that the caller is connected to.
void Proxy::OnExecute(GroupRequest aRequest, peer::AnswerCallback aDone)
{
  auto answer = NotRun(Reason::NotReady, Clock::now());
  answer.mId = aRequest.mStatement.mId;
  aDone(std::move(answer));
}

void Proxy::OnBegin(GroupRequest aRequest, peer::BeginCallback aDone)
{
  auto answer = NotRun(Reason::NotReady, Clock::now());
  answer.mId = aRequest.mStatement.mId;
  aDone(std::move(answer), nullptr);
}

peer::CatalogueDelta Proxy::OnCatalogue(const peer::CatalogueQuery& aQuery)
{
  peer::CatalogueDelta delta;
  // In this order: the objects are at least as new as the contact and the revision.
  auto contact = mSync.Contact();
  delta.mRevision = mSync.Revision();
  delta.mIsServing = delta.mRevision != 0;
  delta.mContactAge = Clock::now() - contact;
  for (auto& it : mSync.ChangesSince(aQuery.mRevision)) {
    delta.mChanges.push_back(
      { it.mName, it.mVersion, it.mRevision, std::move(it.mBody), it.mDeleted });
  }
  auto now = Clock::now();
  std::lock_guard lock(mMutex);
  for (const auto& it : mHeads) {
    delta.mHeads.push_back({ it.first, it.second.mHead, now - it.second.mAt });
  }
  return delta;
}

peer::TokenGrant Proxy::OnTakeTokens(const std::string& aOrganisation,
                                     std::uint64_t aIncarnation,
                                     double aWanted)
{
  return mAdmission->Give(aOrganisation, aIncarnation, aWanted);
}

peer::PrimaryHint Proxy::OnPrimary(const std::string& aGroup)
{
  std::lock_guard lock(mMutex);
  auto it = mHints.find(aGroup);
  return it == mHints.end() ? peer::PrimaryHint{} : it->second;
}

void Proxy::OnAnnounce(const std::string&, const peer::PrimaryHint&) {}

void Proxy::OnStandDown(const std::string& aGroup,
                        std::uint64_t aChange,
                        std::function<void()> aDone)
{
  mLoop.Post([this, aGroup, aChange, done = std::move(aDone)] {
    mFleet.StandDown(aGroup, aChange, done);
  });
}

} // namespace sesameway::proxy
