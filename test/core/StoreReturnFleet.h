#pragma once

#include "sesameway/Catalogue.h"
#include "sesameway/DaemonPoll.h"
#include "sesameway/Leadership.h"
#include "sesameway/Membership.h"
#include "sesameway/ObjectTransfer.h"
#include "sesameway/StoreWatchers.h"

#include <cppunit/TestAssert.h>

#include <functional>
#include <memory>
#include <random>
#include <set>

namespace sesameway::test {

constexpr const char* kLease = "sesameway/coordinator";
constexpr const char* kConfiguration = "config/main";
const std::string kMember = "sesameway/member.";

// A store that numbers its changes and may return with an older copy of itself.
class ModelStore
{
public:
  struct Written
  {
    bool mIsApplied = false;
    // The object after the write; revision 0 if there is none.
    StoredObject mObject;
    std::uint64_t mGeneration = 0;
  };
  // The objects of a kind, or their changes after a revision.
  struct Update
  {
    bool mIsListing = false;
    std::uint64_t mRevision = 0;
    std::vector<StoredObject> mObjects;
  };

  bool mIsAway = false;

  // Returns null if there is no such object.
  const StoredObject* Find(const std::string& aName) const
  {
    auto it = mObjects.find(aName);
    return it == mObjects.end() ? nullptr : &it->second;
  }

  // Compares only the number in the expected revision, as the platform's store does.
  // Without a body the object is removed.
  Written Put(const std::string& aName,
              const std::optional<std::string>& aBody,
              std::uint64_t aExpected,
              TimePoint aNow)
  {
    const auto* known = Find(aName);
    auto number = known != nullptr ? known->mRevision : 0;
    if (number != RevisionInStore(aExpected)) {
      return { false, number != 0 ? Answer(*known) : StoredObject{}, mGeneration };
    }
    ++mNumber;
    // The event of a removal shows the revision of the object's previous change.
    StoredObject object{
      aName, 0, aBody ? mNumber : number, aBody.value_or(""), !aBody
    };
    mEvents.push_back({ aNow, mNumber, object });
    Take(object);
    return { true, Answer(object), mGeneration };
  }

  void Write(const std::string& aName, const std::string& aBody, TimePoint aNow)
  {
    Put(aName, aBody, Find(aName) != nullptr ? Find(aName)->mRevision : 0, aNow);
  }

  Update Read(std::string_view aKind, std::uint64_t aRevision) const
  {
    Update update{ aRevision == 0 || GenerationOf(aRevision) != mGeneration,
                   MakeRevision(mGeneration, mNumber),
                   {} };
    auto add = [&](const StoredObject& aObject) {
      if (KindOf(aObject.mName) == aKind) {
        update.mObjects.push_back(Answer(aObject));
      }
    };
    if (update.mIsListing) {
      for (const auto& it : mObjects) {
        add(it.second);
      }
      return update;
    }
    auto isNewer = [&](const Event& aIt) {
      return aIt.mNumber > RevisionInStore(aRevision);
    };
    for (auto it = std::find_if(mEvents.begin(), mEvents.end(), isNewer);
         it != mEvents.end();
         ++it) {
      add(it->mObject);
    }
    return update;
  }

  // Forgets all changes after `aCopyAt`. Their numbers are given out again.
  void Return(TimePoint aCopyAt)
  {
    mIsAway = false;
    ++mGeneration;
    std::erase_if(mEvents, [&](const auto& aIt) { return aIt.mAt > aCopyAt; });
    mNumber = mEvents.empty() ? 0 : mEvents.back().mNumber;
    mObjects.clear();
    for (const auto& it : mEvents) {
      Take(it.mObject);
    }
  }

private:
  struct Event
  {
    TimePoint mAt;
    std::uint64_t mNumber = 0;
    StoredObject mObject;
  };

  StoredObject Answer(StoredObject aObject) const
  {
    aObject.mRevision = MakeRevision(mGeneration, aObject.mRevision);
    aObject.mVersion = aObject.mRevision;
    return aObject;
  }
  void Take(const StoredObject& aObject)
  {
    mObjects[aObject.mName] = aObject;
    if (aObject.mDeleted) {
      mObjects.erase(aObject.mName);
    }
  }

  // Revisions in both are without the generation.
  std::map<std::string, StoredObject> mObjects;
  std::vector<Event> mEvents;
  std::uint64_t mNumber = 0;
  std::uint64_t mGeneration = 0;
};

// A daemon made of the core modules.
struct ModelDaemon
{
  ModelDaemon(std::size_t aNumber, std::uint64_t aIncarnation)
    : mNumber(aNumber)
    , mRecord{ "d" + std::to_string(aNumber),
               "z" + std::to_string(aNumber % 4),
               "10.0.0.1:" + std::to_string(aNumber),
               aIncarnation }
    , mLease(mRecord.mName, mRecord.mAddress, aIncarnation, aNumber % 8)
    , mRegistration(mRecord.mName, mRecord.mAddress)
    , mWatchers({ mRecord.mName, mRecord.mZone })
  {
  }

  std::uint64_t OwnRevision() const
  {
    auto it = mRevisions.find("sesameway");
    return it == mRevisions.end() ? 0 : it->second;
  }
  bool IsInitialized() const { return mRevisions.size() == 2; }

  std::size_t mNumber;
  MemberRecord mRecord;
  ObjectTable mTable;
  KindRevisions mRevisions;
  ChangeSender mSender;
  // The highest generation in any answer to a write.
  std::uint64_t mGeneration = 0;
  TimePoint mContact{};
  bool mWasInitialized = false;
  bool mIsReading = false;
  int mFailures = 0;
  TimePoint mReadAgainAt{};
  CoordinatorLease mLease;
  bool mIsHolder = false;
  MemberWatch mMemberWatch;
  DaemonPoll mPoll;
  Registration mRegistration;
  std::map<std::string, MemberRecord> mMembers;
  bool mHasMemberChanges = false;
  TimePoint mRegisterAgainAt{};
  StoreWatchers mWatchers;
  std::set<std::size_t> mAsked;
  TimePoint mNextPullAt{};
  std::unique_ptr<Catalogue> mCatalogue;
  // Revision of the latest configuration seen.
  std::uint64_t mSeenRevision = 0;
};

// Simulates daemons, their store and the operator in simulated time. The glue between
// the modules is a short form of that in src/proxy: a daemon that follows the store
// asks it every 0.5 s for the changes of both kinds of objects.
class StoreReturnFleet
{
public:
  StoreReturnFleet(std::size_t aDaemons, std::uint64_t aSeed);
  void Run(Duration aFor, bool aHasFaults);
  // Ends all faults, lets the operator repeat what the store has lost, and checks the
  // result.
  void Settle();

private:
  using Daemon = ModelDaemon;
  using DaemonPtr = std::shared_ptr<Daemon>;
  using PutDone = std::function<void(Daemon&, std::optional<ModelStore::Written>)>;
  // Counts events, with the largest count of a second.
  struct Rate
  {
    TimePoint mSecond{};
    std::size_t mCount = 0;
    std::size_t mPeak = 0;
    void Add(TimePoint aNow);
  };

  void Require(bool aIsTrue, std::string_view aWhat) const;
  bool Chance(double aShare);
  Duration Between(int aFromMs, int aToMs);
  std::size_t Any() { return mRandom() % mDaemons.size(); }
  Duration Delay();
  bool IsCut(const Daemon& aDaemon) const { return mNow < mCutUntil[aDaemon.mNumber]; }
  void At(TimePoint aAt, std::function<void()> aTask);

  void InjectFaults(double aSeconds);
  void StopStore();
  void Stop(std::size_t aNumber);
  void Operate();

  template<typename Effect, typename Done>
  void Call(const DaemonPtr& aDaemon, Effect aEffect, Done aDone);
  void Put(const DaemonPtr& aDaemon,
           const std::string& aName,
           const std::optional<std::string>& aBody,
           std::uint64_t aExpected,
           PutDone aDone);
  void Read(const DaemonPtr& aDaemon);
  void Apply(Daemon& aDaemon, const std::vector<StoredObject>& aObjects);
  void OnChange(Daemon& aDaemon, const StoredObject& aObject);
  void OnConfiguration(Daemon& aDaemon, const StoredObject& aObject);
  void Tick(const DaemonPtr& aDaemon);
  void StepLease(const DaemonPtr& aDaemon);
  void StepMembers(const DaemonPtr& aDaemon);
  void ApplyMemberChanges(Daemon& aDaemon);
  void Register(const DaemonPtr& aDaemon);
  void AskPeer(const DaemonPtr& aDaemon);
  void Pull(const DaemonPtr& aDaemon, std::size_t aPeer, const ChangePull& aPull);
  void Check();
  // The store's load may grow with the fleet, but no faster.
  void CheckRates() const;

  std::string mName;
  std::mt19937_64 mRandom;
  TimePoint mNow{ seconds(1000) };
  bool mHasFaults = false;
  ModelStore mStore;
  std::multimap<TimePoint, std::function<void()>> mEvents;
  std::vector<DaemonPtr> mDaemons;
  std::vector<TimePoint> mCutUntil;
  std::vector<TimePoint> mStartsAt;
  std::uint64_t mIncarnation = 0;
  // The newest version of the configuration.
  std::uint64_t mVersion = 0;
  TimePoint mRepeatAt = TimePoint::max();
  // The last coordinator seen, by its incarnation, and its fencing token.
  std::uint64_t mHolder = 0;
  std::uint64_t mFence = 0;
  // Requests that the store got, the writes among them, and requests made while it was
  // away.
  Rate mRequests;
  Rate mWrites;
  Rate mTurnedAway;
};

} // namespace sesameway::test
