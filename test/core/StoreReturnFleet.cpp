#include "core/StoreReturnFleet.h"

namespace sesameway::test {

namespace {

constexpr Duration kStep = milliseconds(60);
constexpr Duration kTimeout = milliseconds(1000);
constexpr Duration kReadPause = milliseconds(500);
constexpr Duration kPullInterval = milliseconds(350);
constexpr Duration kRegisterPause = milliseconds(700);

// Each daemon of a large fleet reads the records of all others.
MemberRecord ReadMember(const std::string& aBody)
{
  static std::map<std::string, MemberRecord> known;
  auto it = known.find(aBody);
  if (it == known.end()) {
    it = known.emplace(aBody, *ParseMemberRecord(aBody)).first;
  }
  return it->second;
}

std::size_t NumberOf(const std::string& aDaemon)
{
  return std::stoul(aDaemon.substr(1));
}

// Zones z0 and z1 form a region, z2 and z3 another one.
bool IsNear(const std::string& aZone, const std::string& aOther)
{
  return (aZone < "z2") == (aOther < "z2");
}

} // namespace

void StoreReturnFleet::Rate::Add(TimePoint aNow)
{
  auto second = std::chrono::floor<seconds>(aNow);
  mCount = second == std::exchange(mSecond, second) ? mCount + 1 : 1;
  mPeak = std::max(mPeak, mCount);
}

StoreReturnFleet::StoreReturnFleet(std::size_t aDaemons, std::uint64_t aSeed)
  : mName(std::to_string(aDaemons) + " daemons, seed " + std::to_string(aSeed))
  , mRandom(aSeed)
  , mDaemons(aDaemons)
  , mCutUntil(aDaemons)
  , mStartsAt(aDaemons)
{
  mStore.Write(kConfiguration, std::to_string(++mVersion), mNow);
  for (auto& it : mStartsAt) {
    it = mNow + Between(0, 3000);
  }
}

void StoreReturnFleet::Run(Duration aFor, bool aHasFaults)
{
  mHasFaults = aHasFaults;
  for (auto end = mNow + aFor; mNow < end;) {
    auto next = mNow + kStep;
    while (!mEvents.empty() && mEvents.begin()->first <= next) {
      auto event = mEvents.extract(mEvents.begin());
      mNow = event.key();
      event.mapped()();
    }
    mNow = next;
    if (aHasFaults) {
      InjectFaults(std::chrono::duration<double>(kStep).count());
    }
    Operate();
    for (std::size_t n = 0; n < mDaemons.size(); ++n) {
      if (!mDaemons[n] && mNow >= mStartsAt[n]) {
        mDaemons[n] = std::make_shared<Daemon>(n, ++mIncarnation);
      }
      if (mDaemons[n]) {
        Tick(mDaemons[n]);
      }
    }
    Check();
  }
}

void StoreReturnFleet::Settle()
{
  std::fill(mCutUntil.begin(), mCutUntil.end(), mNow);
  Run(seconds(40), false);
  std::size_t holders = 0;
  for (const auto& it : mDaemons) {
    const auto& name = it->mRecord.mName;
    const auto* record = mStore.Find(kMember + name);
    bool isRegistered =
      record != nullptr && record->mBody == FormatMemberRecord(it->mRecord);
    holders += it->mLease.IsHolder(mNow) ? 1 : 0;
    Require(it->mCatalogue && it->mCatalogue->mVersion == mVersion,
            name + " lacks the newest configuration");
    Require(isRegistered, name + " has no valid member record");
    Require(it->mMembers.size() == mDaemons.size(),
            name + " does not know all members");
    Require(it->mRegistration.Covers(it->mContact),
            name + " has no contact that counts");
  }
  Require(holders == 1, std::to_string(holders) + " coordinators in the end");
}

void StoreReturnFleet::Require(bool aIsTrue, std::string_view aWhat) const
{
  if (!aIsTrue) {
    auto at = std::to_string(Millis(mNow.time_since_epoch()));
    CPPUNIT_FAIL(mName + ", at " + at + " ms: " + std::string(aWhat));
  }
}

bool StoreReturnFleet::Chance(double aShare)
{
  return std::uniform_real_distribution<>()(mRandom) < aShare;
}

Duration StoreReturnFleet::Between(int aFromMs, int aToMs)
{
  return milliseconds(std::uniform_int_distribution<>(aFromMs, aToMs)(mRandom));
}

Duration StoreReturnFleet::Delay()
{
  return mHasFaults && Chance(0.03) ? Between(100, 2500) : Between(5, 80);
}

void StoreReturnFleet::At(TimePoint aAt, std::function<void()> aTask)
{
  mEvents.emplace(aAt, std::move(aTask));
}

void StoreReturnFleet::InjectFaults(double aSeconds)
{
  if (!mStore.mIsAway && Chance(aSeconds / 10)) {
    StopStore();
  }
  if (Chance(aSeconds / 6)) {
    mCutUntil[Any()] = mNow + Between(500, 20000);
  }
  if (Chance(aSeconds / 20)) {
    auto until = mNow + Between(500, 10000);
    for (std::size_t n = Any() % 4; n < mDaemons.size(); n += 4) {
      mCutUntil[n] = until;
    }
  }
  if (Chance(aSeconds / 6)) {
    // In half of the cases the coordinator, if there is one.
    auto stopped = Any();
    for (const auto& it : mDaemons) {
      bool isChosen = it && it->mIsHolder && Chance(0.5);
      stopped = isChosen ? it->mNumber : stopped;
    }
    if (mDaemons[stopped] && Chance(0.5)) {
      mDaemons[stopped]->mLease.Leave();
      At(mNow + milliseconds(1500), [this, stopped] { Stop(stopped); });
    } else {
      Stop(stopped);
    }
  }
  if (Chance(aSeconds / 40)) {
    for (std::size_t n = 0; n < mDaemons.size(); ++n) {
      Stop(n);
    }
  }
  if (!mStore.mIsAway && Chance(aSeconds / 4)) {
    mStore.Write(kConfiguration, std::to_string(++mVersion), mNow);
  }
}

// The store is away for a time, or returns at once, in most cases with an older copy.
void StoreReturnFleet::StopStore()
{
  mStore.mIsAway = true;
  auto away = Chance(0.3) ? Duration::zero() : Between(100, 10000);
  auto copyAt = mNow - Between(500, 15000);
  bool isCopy = Chance(0.7);
  At(mNow + away, [this, copyAt, isCopy] {
    mStore.mIsAway = false;
    if (isCopy) {
      mStore.Return(copyAt);
      mRepeatAt = mNow + Between(2000, 8000);
    }
  });
}

void StoreReturnFleet::Stop(std::size_t aNumber)
{
  mDaemons[aNumber].reset();
  mStartsAt[aNumber] = mNow + Between(100, 4000);
}

// The operator repeats what the store has lost.
void StoreReturnFleet::Operate()
{
  if (!mStore.mIsAway && mNow >= mRepeatAt) {
    mRepeatAt = TimePoint::max();
    mStore.Write(kConfiguration, std::to_string(mVersion), mNow);
  }
}

// Sends a request to the store. The daemon gets no value if the request or the answer
// is lost. A request that is delayed takes effect although its daemon has given up.
template<typename Effect, typename Done>
void StoreReturnFleet::Call(const DaemonPtr& aDaemon, Effect aEffect, Done aDone)
{
  using Result = std::optional<decltype(aEffect())>;
  std::weak_ptr<Daemon> weak = aDaemon;
  auto answer = [this, weak, aDone](TimePoint aAt, const Result& aResult) {
    At(aAt, [weak, aDone, aResult] {
      if (auto daemon = weak.lock()) {
        aDone(*daemon, aResult);
      }
    });
  };
  if (mStore.mIsAway) {
    mTurnedAway.Add(mNow);
    answer(mNow + milliseconds(20), std::nullopt);
    return;
  }
  auto deadline = mNow + kTimeout;
  auto arrival = mNow + Delay();
  if (IsCut(*aDaemon) || arrival >= deadline) {
    answer(deadline, std::nullopt);
  }
  if (IsCut(*aDaemon)) {
    return;
  }
  At(arrival, [this, weak, aEffect, answer, deadline] {
    auto result = mStore.mIsAway ? std::nullopt : Result(aEffect());
    auto back = mNow + Delay();
    auto daemon = weak.lock();
    bool isLost = !daemon || IsCut(*daemon) || (mHasFaults && Chance(0.05));
    if (mNow < deadline) {
      bool isAnswered = !isLost && back < deadline;
      answer(isAnswered ? back : deadline, isAnswered ? result : std::nullopt);
    }
  });
}

void StoreReturnFleet::Put(const DaemonPtr& aDaemon,
                           const std::string& aName,
                           const std::optional<std::string>& aBody,
                           std::uint64_t aExpected,
                           PutDone aDone)
{
  auto effect = [this, aName, aBody, aExpected] {
    mRequests.Add(mNow);
    mWrites.Add(mNow);
    return mStore.Put(aName, aBody, aExpected, mNow);
  };
  auto onAnswer = [this, aExpected, aDone](Daemon& aIt,
                                           std::optional<ModelStore::Written> aResult) {
    if (aResult) {
      // As in platform/ObjectStore: a write that expected a revision of an earlier
      // generation may have found the same number on another version.
      aIt.mGeneration = std::max(aIt.mGeneration, aResult->mGeneration);
      bool isOutdated = aExpected != 0 && GenerationOf(aExpected) < aIt.mGeneration;
      aResult = isOutdated && aResult->mIsApplied ? std::nullopt : aResult;
    }
    aDone(aIt, aResult);
    if (aResult && aResult->mObject.mRevision != 0 && !aResult->mObject.mDeleted) {
      Apply(aIt, { aResult->mObject });
    }
  };
  Call(aDaemon, effect, onAnswer);
}

void StoreReturnFleet::Read(const DaemonPtr& aDaemon)
{
  aDaemon->mIsReading = true;
  auto effect = [this, known = aDaemon->mRevisions] {
    std::map<std::string, ModelStore::Update> updates;
    for (const auto* kind : { "sesameway", "config" }) {
      mRequests.Add(mNow);
      auto revision = known.find(kind);
      updates[kind] = mStore.Read(kind, revision == known.end() ? 0 : revision->second);
    }
    return updates;
  };
  Call(aDaemon, effect, [this, sentAt = mNow](Daemon& aIt, auto aUpdates) {
    aIt.mIsReading = false;
    if (!aUpdates) {
      auto pause =
        ExponentialBackoff(milliseconds(150), aIt.mFailures++, milliseconds(800));
      aIt.mReadAgainAt = mNow + pause;
      return;
    }
    aIt.mFailures = 0;
    aIt.mReadAgainAt = mNow + kReadPause;
    for (auto& it : *aUpdates) {
      auto& update = it.second;
      if (update.mIsListing) {
        for (const auto& object :
             aIt.mTable.ApplyListing(it.first, update.mObjects, update.mRevision)) {
          OnChange(aIt, object);
        }
      } else {
        RaiseRemovalRevisions(update.mObjects, update.mRevision);
        Apply(aIt, update.mObjects);
      }
      auto& revision = aIt.mRevisions[it.first];
      revision = std::max(revision, update.mRevision);
    }
    aIt.mContact = std::max(aIt.mContact, sentAt);
  });
}

void StoreReturnFleet::Apply(Daemon& aDaemon, const std::vector<StoredObject>& aObjects)
{
  for (const auto& it : aObjects) {
    if (aDaemon.mTable.Apply(it)) {
      OnChange(aDaemon, it);
    }
  }
}

void StoreReturnFleet::OnChange(Daemon& aDaemon, const StoredObject& aObject)
{
  const auto& name = aObject.mName;
  if (name == kConfiguration) {
    OnConfiguration(aDaemon, aObject);
  } else if (name == kLease && aObject.mDeleted) {
    aDaemon.mLease.OnRemoved(aObject.mRevision, mNow);
  } else if (name == kLease) {
    auto record = *ParseCoordinatorRecord(aObject.mBody);
    aDaemon.mLease.OnRecord(record, aObject.mRevision, mNow);
  } else if (name.starts_with(kMember)) {
    auto member = name.substr(kMember.size());
    aDaemon.mHasMemberChanges = true;
    aDaemon.mMembers.erase(member);
    if (!aObject.mDeleted) {
      aDaemon.mMembers[member] = ReadMember(aObject.mBody);
    }
    if (member == aDaemon.mRecord.mName) {
      const auto* own = aObject.mDeleted ? nullptr : &aDaemon.mMembers[member];
      aDaemon.mRegistration.OnRecord(own, mNow);
    }
  }
}

void StoreReturnFleet::OnConfiguration(Daemon& aDaemon, const StoredObject& aObject)
{
  Require(aObject.mRevision >= aDaemon.mSeenRevision, "an older object is held again");
  aDaemon.mSeenRevision = aObject.mRevision;
  if (aObject.mDeleted) {
    return;
  }
  Catalogue received;
  received.mVersion = std::stoull(aObject.mBody);
  auto former = aDaemon.mCatalogue ? aDaemon.mCatalogue->mVersion : 0;
  if (MayReplace(aDaemon.mCatalogue.get(), received)) {
    aDaemon.mCatalogue = std::make_unique<Catalogue>(received);
  }
  Require(aDaemon.mCatalogue->mVersion >= former, "an older configuration is in use");
}

void StoreReturnFleet::Tick(const DaemonPtr& aDaemon)
{
  auto& daemon = *aDaemon;
  bool mustWatch = !daemon.IsInitialized() || daemon.mIsHolder ||
                   daemon.mWatchers.MustWatch(daemon.mContact, mNow);
  if (mustWatch && !daemon.mIsReading && mNow >= daemon.mReadAgainAt) {
    Read(aDaemon);
  }
  if (!daemon.IsInitialized()) {
    return;
  }
  bool wasInitialized = std::exchange(daemon.mWasInitialized, true);
  if (!wasInitialized && daemon.mTable.Find(kLease) == nullptr) {
    daemon.mLease.OnNoRecord(mNow);
  }
  StepLease(aDaemon);
  ApplyMemberChanges(daemon);
  Register(aDaemon);
  AskPeer(aDaemon);
}

void StoreReturnFleet::StepLease(const DaemonPtr& aDaemon)
{
  auto& daemon = *aDaemon;
  if (auto write = daemon.mLease.Next(mNow, GenerationOf(daemon.OwnRevision()))) {
    auto onWritten = [this](Daemon& aIt, const auto& aResult) {
      std::optional<std::uint64_t> revision;
      if (aResult) {
        revision = aResult->mIsApplied ? aResult->mObject.mRevision : 0;
      }
      aIt.mLease.OnWritten(revision, mNow);
    };
    auto body = FormatCoordinatorRecord(write->mRecord);
    Put(aDaemon, kLease, body, write->mExpected, onWritten);
  }
  bool isHolder = daemon.mLease.IsHolder(mNow);
  if (isHolder != std::exchange(daemon.mIsHolder, isHolder)) {
    daemon.mMemberWatch = {};
    daemon.mPoll = {};
  }
  if (isHolder) {
    StepMembers(aDaemon);
  }
}

void StoreReturnFleet::StepMembers(const DaemonPtr& aDaemon)
{
  const auto& self = aDaemon->mRecord.mName;
  std::vector<MemberRecord> records;
  std::vector<std::string> others;
  for (const auto& it : aDaemon->mMembers) {
    records.push_back(it.second);
    if (it.first != self) {
      others.push_back(it.first);
    }
  }
  for (const auto& it : aDaemon->mPoll.Next(others, mNow)) {
    if (mDaemons[NumberOf(it.mDaemon)]) {
      aDaemon->mMemberWatch.OnAnswer(it.mDaemon, mNow);
    }
  }
  for (const auto& it : aDaemon->mMemberWatch.Step(records, self, mNow)) {
    const auto* mark = std::get_if<MemberWatch::MarkMissing>(&it);
    auto name = mark != nullptr ? mark->mName : std::get<MemberWatch::Remove>(it).mName;
    auto record = aDaemon->mMembers.at(name);
    record.mIsMissing = true;
    auto body =
      mark != nullptr ? std::optional(FormatMemberRecord(record)) : std::nullopt;
    auto version = aDaemon->mTable.Find(kMember + name)->mVersion;
    Put(aDaemon, kMember + name, body, version, [](Daemon&, const auto&) {});
  }
}

void StoreReturnFleet::ApplyMemberChanges(Daemon& aDaemon)
{
  if (!std::exchange(aDaemon.mHasMemberChanges, false)) {
    return;
  }
  std::vector<NearDaemon> near;
  for (const auto& it : aDaemon.mMembers) {
    const auto& member = it.second;
    if (!member.mIsMissing && IsNear(member.mZone, aDaemon.mRecord.mZone)) {
      near.push_back({ it.first, member.mZone });
    }
  }
  aDaemon.mWatchers.SetDaemons(std::move(near));
}

void StoreReturnFleet::Register(const DaemonPtr& aDaemon)
{
  auto own = aDaemon->mMembers.find(aDaemon->mRecord.mName);
  bool isDone = own != aDaemon->mMembers.end() && own->second == aDaemon->mRecord;
  if (isDone || mNow < aDaemon->mRegisterAgainAt) {
    return;
  }
  aDaemon->mRegisterAgainAt = TimePoint::max();
  auto name = kMember + aDaemon->mRecord.mName;
  const auto* known = aDaemon->mTable.Find(name);
  Put(
    aDaemon,
    name,
    FormatMemberRecord(aDaemon->mRecord),
    known != nullptr ? known->mVersion : 0,
    [this](Daemon& aIt, const auto&) { aIt.mRegisterAgainAt = mNow + kRegisterPause; });
}

void StoreReturnFleet::AskPeer(const DaemonPtr& aDaemon)
{
  auto peer = aDaemon->mWatchers.PeerToAsk();
  if (!peer.empty() && mNow >= aDaemon->mNextPullAt) {
    aDaemon->mNextPullAt = mNow + kPullInterval;
    Pull(aDaemon, NumberOf(peer), ChangePull(aDaemon->mRevisions));
  }
}

// Asks a peer until it has told all. The answers of two peers may overtake each other.
void StoreReturnFleet::Pull(const DaemonPtr& aDaemon,
                            std::size_t aPeer,
                            const ChangePull& aPull)
{
  const auto& peer = mDaemons[aPeer];
  if (!peer || !peer->IsInitialized()) {
    aDaemon->mWatchers.OnNoAnswer();
    return;
  }
  if (!aDaemon->mAsked.insert(aPeer).second) {
    return;
  }
  ChangeRequest request{ aPull.Revisions(), std::nullopt };
  auto batch = peer->mSender.Next(peer->mTable, peer->mRevisions, request);
  auto onAnswer = [this,
                   weak = std::weak_ptr(aDaemon),
                   aPeer,
                   pull = aPull,
                   batch = std::move(batch),
                   contact = peer->mContact]() mutable {
    auto daemon = weak.lock();
    if (!daemon) {
      return;
    }
    daemon->mAsked.erase(aPeer);
    Apply(*daemon, batch.mObjects);
    for (const auto& it : pull.OnAnswer(batch.mRevisions, batch.mIncompleteKinds)) {
      auto& revision = daemon->mRevisions[it.first];
      revision = std::max(revision, it.second);
    }
    if (batch.IsComplete("sesameway")) {
      daemon->mContact = std::max(daemon->mContact, contact);
    }
    daemon->mWatchers.OnAnswer(daemon->mContact, mNow);
    if (!batch.mObjects.empty() && !batch.mIncompleteKinds.empty()) {
      Pull(daemon, aPeer, pull);
    }
  };
  At(mNow + std::min<Duration>(Delay(), milliseconds(590)), std::move(onAnswer));
}

void StoreReturnFleet::CheckRates() const
{
  auto check = [this](const Rate& aRate, double aBase, double aPerDaemon, auto aWhat) {
    auto limit = aBase + aPerDaemon * static_cast<double>(mDaemons.size());
    Require(static_cast<double>(aRate.mPeak) <= limit, aWhat);
  };
  check(mRequests, 24, 2.2, "too many requests in a second");
  check(mWrites, 12, 1.1, "too many writes in a second");
  check(mTurnedAway, 30, 3.2, "too many requests in a second to a store that is away");
}

void StoreReturnFleet::Check()
{
  std::size_t holders = 0;
  for (const auto& it : mDaemons) {
    if (!it || !it->mLease.IsHolder(mNow)) {
      continue;
    }
    ++holders;
    auto fence = it->mLease.Fence();
    bool isSame = mHolder == it->mRecord.mIncarnation;
    Require(fence != mFence || isSame, "two holders use one token");
    Require(fence >= mFence, "a token is below an earlier one");
    mHolder = it->mRecord.mIncarnation;
    mFence = fence;
  }
  Require(holders <= 1, "two coordinators");
  CheckRates();
}

} // namespace sesameway::test
