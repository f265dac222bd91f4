#include "proxy/Proxy.h"

#include "daemon/Log.h"

#include <algorithm>
#include <sstream>
#include <toml++/toml.h>

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
// After this long the balancer sends no more connections, so that idle sessions can be
// closed without coming back here.
constexpr Duration kOutOfRotation = milliseconds(2200);
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

std::string FormatMember(const peer::Member& aMember)
{
  std::ostringstream text;
  text << toml::table{ { "name", aMember.mName },
                       { "zone", aMember.mZone },
                       { "address", aMember.mAddress },
                       { "incarnation", std::to_string(aMember.mIncarnation) } };
  return text.str();
}

std::optional<peer::Member> ParseMember(const std::string& aBody)
{
  try {
    auto table = toml::parse(aBody);
    peer::Member member;
    member.mName = table["name"].value_or(std::string());
    member.mZone = table["zone"].value_or(std::string());
    member.mAddress = table["address"].value_or(std::string());
    auto incarnation = table["incarnation"].value_or(std::string());
    member.mIncarnation = std::strtoull(incarnation.c_str(), nullptr, 10);
    if (member.mName.empty() || member.mAddress.empty()) {
      return std::nullopt;
    }
    return member;
  } catch (const toml::parse_error&) {
    return std::nullopt;
  }
}

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
  , mWatchers(mSelf.mName)
  , mTick(aLoop)
  , mFellowAddresses(mSettings.mFellowAddresses)
{
  CoordinatorRun::Parts parts{ mLoop,
                               *mAdapters.mStore,
                               mSync,
                               mFleet,
                               *mAdapters.mOrders,
                               [this] { return Members(); },
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
  mShareKeeper->Start([this] { return Members(); },
                      [this](daemon::HoldingPtr aHolding) {
                        mAdmission->OnHolding(std::move(aHolding));
                      });
  mSync.Start({ [this](const StoredObject& aObject) { OnChange(aObject); },
                [this](TimePoint aContact) { mFleet.SetContact(aContact); },
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

void Proxy::Tick()
{
  auto now = Clock::now();
  mFleet.Tick();
  mCoordinator->Tick();
  UpdateHints(now);
  Register(now);
  FollowStore(now);
  PullFromFellows(now);
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
  for (const auto& it : mMetrics.Read()) {
    if (!it.mName.starts_with("latency_us.")) {
      line.With(it.mName, it.mValue);
    }
  }
  LOG(INFO) << line;
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
  auto member = aObject.mDeleted ? std::nullopt : ParseMember(aObject.mBody);
  std::vector<std::string> zones;
  std::vector<std::string> near;
  {
    std::lock_guard lock(mMutex);
    if (member) {
      mMembers[name] = *member;
    } else {
      mMembers.erase(name);
    }
    for (const auto& it : mMembers) {
      zones.push_back(it.second.mZone);
      if (it.second.mZone == mSelf.mZone) {
        near.push_back(it.first);
      }
    }
  }
  // The former process of this name has ended if this one listens at its address.
  if (member && name == mSelf.mName && member->mAddress == mSelf.mAddress &&
      member->mIncarnation != mSelf.mIncarnation) {
    mShareKeeper->UseFormerSlots();
  }
  LOG(INFO) << daemon::Line("member")
                 .With("name", name)
                 .With("removed", aObject.mDeleted)
                 .With("members", zones.size());
  mFleet.SetDaemonZones(zones);
  mWatchers.SetDaemons(std::move(near));
}

std::vector<peer::Member> Proxy::Members() const
{
  std::lock_guard lock(mMutex);
  std::vector<peer::Member> members;
  for (const auto& it : mMembers) {
    members.push_back(it.second);
  }
  return members;
}

void Proxy::Register(TimePoint aNow)
{
  if (!mIsKnown || mIsRegistering || aNow < mRegisterAgainAt) {
    return;
  }
  auto name = kMemberPrefix + mSelf.mName;
  auto body = FormatMember(mSelf);
  auto known = mSync.Find(name);
  if (known && known->mBody == body) {
    return;
  }
  mIsRegistering = true;
  mAdapters.mStore->Put(name,
                        body,
                        known ? known->mVersion : 0,
                        false,
                        aNow + kRegisterTimeout,
                        [this](std::optional<platform::PutResult> aResult) {
                          mIsRegistering = false;
                          mRegisterAgainAt = Clock::now() + kRegisterPause;
                          if (aResult && aResult->mObject.mRevision != 0) {
                            mSync.Apply(aResult->mObject);
                          }
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

void Proxy::FollowStore(TimePoint aNow)
{
  bool mustWatch = !mIsKnown || mWatchers.MustWatch(mSync.Contact(), aNow);
  mSync.SetFollowing(mustWatch);
  auto fellow = mWatchers.Fellow();
  if (mustWatch && !mIsKnown) {
    return;
  }
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
  std::lock_guard lock(mMutex);
  mHints.swap(hints);
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
  LOG(INFO) << daemon::Line("draining").With("sessions", mSessions.size());
  mIsDraining = true;
  mDrainSince = Clock::now();
  mDrainLimit = aLimit;
  mOnDrained = std::move(aDone);
  mCoordinator->Leave();
}

// Sessions end after the answer that leaves them idle. Those that ask nothing are
// closed once new connections go elsewhere; transactions have half of the time.
void Proxy::DrainSessions()
{
  auto now = Clock::now();
  bool isOut = now >= mDrainSince + kOutOfRotation;
  bool isHalf = now >= mDrainSince + (mDrainLimit - mDrainSince) / 2;
  bool isAnyOpen = false;
  for (const auto& it : mSessions) {
    auto session = it.lock();
    if (!session) {
      continue;
    }
    isAnyOpen = true;
    if (isHalf && session->IsInTransaction()) {
      session->EndTransaction("daemon_stopping");
    }
    if (isOut) {
      session->Drain();
    }
  }
  if (mOnDrained && ((isOut && !isAnyOpen) || now >= mDrainLimit)) {
    std::exchange(mOnDrained, nullptr)();
  }
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
  return delta;
}

double Proxy::OnTakeTokens(const std::string& aOrganisation,
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
