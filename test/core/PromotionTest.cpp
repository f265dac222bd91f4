#include "sesameway/Promotion.h"
#include "sesameway/Membership.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <utility>

using namespace sesameway;

namespace {

constexpr TimePoint kStart{ seconds(1000) };
constexpr Duration kStep = milliseconds(60);
constexpr Duration kPromotionTime = milliseconds(300);
// Time within which an unanswered order reaches the platform, if it reaches it at all.
constexpr Duration kMaxOrderDelay = milliseconds(3000);

struct FakeDatabase
{
  ListedDatabase mListed;
  DatabaseReport mReport;
  bool mIsUp = true;
  // Whether the coordinator's list contains the database.
  bool mIsListed = true;
  // Whether the coordinator reaches the database.
  bool mIsReachable = true;
};

struct FakeDaemon
{
  Leadership mLeadership;
  Registration mRegistration{ {}, {} };
  TimePoint mContact{};
  // Whether the daemon answers the coordinator.
  bool mIsReachable = true;
  // Whether the daemon reads the store.
  bool mReadsStore = true;
  bool mReachesPrimary = true;
};

// Simulates a group, its record in the store and the daemons that use the primary. The
// PromotionPlan of one coordinator runs in it; its orders and writes take effect at
// once or late.
class World
{
public:
  explicit World(std::size_t aDaemons)
  {
    for (std::size_t n = 0; n < aDaemons; ++n) {
      Add("d" + std::to_string(n));
    }
    for (int n = 0; n < 3; ++n) {
      auto name = "i-" + std::to_string(n);
      mDatabases[name] = {
        { name, "g", "z", "10.0.0.1:1", 3, false, DatabaseRole::Unknown, 0 },
        { n == 0 ? DatabaseRole::Primary : DatabaseRole::Replica, 1, { 1, 10 }, {}, 0 },
        true
      };
    }
  }

  void Add(const std::string& aName)
  {
    mDaemons[aName].mRegistration = Registration(aName, aName);
  }

  std::string Primary() const { return mRecord.mPrimary; }
  FakeDatabase& At(const std::string& aName) { return mDatabases.at(aName); }

  bool MaySend(const std::string& aDaemon) const
  {
    const auto& daemon = mDaemons.at(aDaemon);
    return daemon.mLeadership.IsPrimaryUsable(daemon.mContact, mNow);
  }

  // Whether any daemon may still send statements to a database other than `aExcept`.
  bool IsAnySending(const std::string& aExcept) const
  {
    return std::any_of(mDaemons.begin(), mDaemons.end(), [&](const auto& aIt) {
      return MaySend(aIt.first) && aIt.second.mLeadership.Record().mPrimary != aExcept;
    });
  }

  void Step()
  {
    mNow += kStep;
    for (auto& it : mDaemons) {
      auto& daemon = it.second;
      if (daemon.mReadsStore) {
        ReadStore(it.first, daemon);
      }
    }
    if (mDoesCoordinatorReadMembers) {
      mSeenMembers = mMembers;
      mSeenRevision = mStoreRevision;
    }
    RunMemberWatch();
    RunPlan();
    FinishPromotions();
  }

  void Run(Duration aTime)
  {
    auto until = mNow + aTime;
    while (mNow < until) {
      Step();
    }
  }

  bool RunUntilServedBy(const std::string& aName, Duration aLimit)
  {
    auto until = mNow + aLimit;
    while (mNow < until) {
      Step();
      if (mRecord.mPhase == GroupPhase::Serving && Primary() == aName) {
        return true;
      }
    }
    return false;
  }

  // Whether a daemon without contact to the store would trust the answers of its
  // primary. It does if that database still reports that it is the primary, each other
  // database that the daemon knows (`aKnown`) reports that it is a replica, and none of
  // them reports a newer term.
  bool DoesConfirm(const std::string& aDaemon,
                   const std::vector<std::string>& aKnown) const
  {
    const auto& record = mDaemons.at(aDaemon).mLeadership.Record();
    return std::all_of(aKnown.begin(), aKnown.end(), [&](const auto& aName) {
      const auto& database = mDatabases.at(aName);
      const auto& report = database.mReport;
      bool isPrimary = aName == record.mPrimary;
      auto role = isPrimary ? DatabaseRole::Primary : DatabaseRole::Replica;
      return database.mIsUp && report.mRole == role && report.mTerm <= record.mTerm;
    });
  }

  // Replaces the coordinator by one that knows only the record in the store.
  void ReplaceCoordinator()
  {
    mPlan = PromotionPlan("g");
    ++mFence;
    mMemberWatch = MemberWatch();
  }

  // What the store holds at one moment.
  struct StoreCopy
  {
    GroupRecord mRecord;
    std::uint64_t mRevision = 0;
    std::map<std::string, MemberRecord> mMembers;
    std::uint64_t mStoreRevision = 0;
  };
  StoreCopy CopyStore() const
  {
    return { mRecord, mRevision, mMembers, mStoreRevision };
  }
  // The store returns with the copy. The coordinator does not learn of it while its
  // lease lasts; the next one waits for that.
  void RestoreStore(const StoreCopy& aCopy)
  {
    ++mGeneration;
    if (mNow >= mCoordinatorSince) {
      mUnawareCoordinator = CopyStore();
      mUnawareUntil = mNow + kCoordinatorLease;
    }
    mCoordinatorSince = mNow + kCoordinatorTakeoverDelay;
    auto present = [&](std::uint64_t aRevision) {
      return MakeRevision(mGeneration, RevisionInStore(aRevision));
    };
    mRecord = aCopy.mRecord;
    mRevision = aCopy.mRevision == 0 ? 0 : present(aCopy.mRevision);
    mMembers = aCopy.mMembers;
    mStoreRevision = present(aCopy.mStoreRevision);
  }

  TimePoint mNow = kStart;
  std::map<std::string, FakeDaemon> mDaemons;
  std::map<std::string, FakeDatabase> mDatabases;
  GroupRecord mRecord;
  std::uint64_t mRevision = 0;
  // The daemons' records in the store, and the coordinator's copy of them.
  std::map<std::string, MemberRecord> mMembers;
  std::map<std::string, MemberRecord> mSeenMembers;
  // Whether the coordinator's copy of the daemons' records is updated.
  bool mDoesCoordinatorReadMembers = true;
  bool mDoesStoreAnswer = true;
  // Whether the coordinator also sends statements, which the primary answers.
  bool mDoesCoordinatorSendStatements = false;
  std::set<std::string> mEvacuatedZones;
  // How many replicas commits wait for; none if the coordinator doesn't know.
  std::optional<std::uint32_t> mSyncReplicas = 0;
  int mOrders = 0;
  std::string mLastOrdered;
  int mDemotions = 0;
  int mProbes = 0;
  std::string mOrderedWhileInUse;
  std::string mPromotedWhileInUse;
  bool mAreOrdersLost = false;
  // While set, promotion orders get no answer. DeliverHeldOrders delivers them later,
  // but not those sent more than kMaxOrderDelay ago.
  bool mAreOrdersHeld = false;
  void DeliverHeldOrders()
  {
    for (const auto& it : std::exchange(mHeldOrders, {})) {
      if (mNow - it.mAt <= kMaxOrderDelay) {
        mPromotions.push_back({ it.mDatabase, mNow + kPromotionTime });
      }
    }
  }
  // While set, record writes get no answer; DeliverHeldWrites applies them later.
  bool mAreWritesHeld = false;
  // Applies the held writes, except those whose expected revision is no longer current.
  void DeliverHeldWrites()
  {
    for (const auto& it : std::exchange(mHeldWrites, {})) {
      Apply(it);
    }
  }

private:
  void ReadStore(const std::string& aName, FakeDaemon& aDaemon)
  {
    auto record = mMembers.find(aName);
    bool isThere = record != mMembers.end();
    aDaemon.mRegistration.OnRecord(isThere ? &record->second : nullptr, mNow);
    if (!isThere || record->second.mIsMissing) {
      mMembers[aName] = { aName, "z", aName, 1, false };
      ++mStoreRevision;
    }
    if (aDaemon.mRegistration.Covers(mNow)) {
      aDaemon.mContact = mNow;
    }
    auto& leadership = aDaemon.mLeadership;
    if (mRevision != 0) {
      leadership.OnRecord(mRecord, mRevision);
    } else {
      leadership.OnRemoved(mStoreRevision);
    }
    if (leadership.IsLostInStore()) {
      Apply({ leadership.Record(), leadership.StoredRevision() });
    }
  }

  void RunMemberWatch()
  {
    std::vector<MemberRecord> records;
    for (const auto& it : mSeenMembers) {
      records.push_back(it.second);
    }
    for (const auto& it : mMemberWatch.Step(records, "d0", mNow)) {
      std::visit([this](const auto& aAction) { Do(aAction); }, it);
    }
  }

  // Whether the store accepts a write of the coordinator to a daemon's record: only if
  // the record is still the one that the coordinator has read.
  bool MayWrite(const std::string& aName) const
  {
    auto record = mMembers.find(aName);
    return mDoesStoreAnswer && record != mMembers.end() &&
           record->second == mSeenMembers.at(aName);
  }
  void Do(const MemberWatch::MarkMissing& aAction)
  {
    if (MayWrite(aAction.mName)) {
      mMembers[aAction.mName].mIsMissing = true;
      ++mStoreRevision;
    }
  }
  void Do(const MemberWatch::Remove& aAction)
  {
    if (MayWrite(aAction.mName)) {
      mMembers.erase(aAction.mName);
      ++mStoreRevision;
    }
  }

  void RunPlan()
  {
    if (mNow < mCoordinatorSince) {
      if (mNow < mUnawareUntil) {
        StepPlan(mUnawareCoordinator);
      }
      return;
    }
    if (mUnawareUntil != TimePoint{}) {
      mUnawareUntil = TimePoint{};
      ReplaceCoordinator();
    }
    StepPlan(CopyStore());
  }

  // Runs the coordinator with what it knows of the store.
  void StepPlan(const StoreCopy& aStore)
  {
    PromotionPlan::ClusterState clusterState;
    clusterState.mSelf = "d0";
    for (const auto& it : mDatabases) {
      if (it.second.mIsListed) {
        clusterState.mDatabases.push_back(&it.second.mListed);
      }
    }
    clusterState.mRevision = mSeenRevision;
    clusterState.mFence = mFence;
    clusterState.mEvacuatedZones = mEvacuatedZones;
    clusterState.mSyncReplicas = mSyncReplicas;
    for (const auto& it : mSeenMembers) {
      clusterState.mDaemons.push_back(it.first);
      if (it.second.mIsMissing) {
        clusterState.mMissing.insert(it.first);
      }
    }
    for (const auto& it : mDaemons) {
      auto primary = mDatabases.find(Primary());
      bool isAnswered = primary != mDatabases.end() && primary->second.mIsUp &&
                        it.second.mReachesPrimary;
      mSilence[it.first] = isAnswered ? Duration::zero() : mSilence[it.first] + kStep;
    }
    if (mDoesCoordinatorSendStatements && mSilence["d0"] == Duration::zero()) {
      mPlan.OnHeard(Primary(), mNow);
    }
    mPlan.OnContactReport("d0", mSilence["d0"], mNow);
    auto actions = mPlan.Step(aStore.mRecord, aStore.mRevision, clusterState, mNow);
    for (const auto& it : actions) {
      std::visit([this](const auto& aAction) { Do(aAction); }, it);
    }
  }

  void Do(const PromotionPlan::Probe& aProbe)
  {
    ++mProbes;
    const auto& database = mDatabases.at(aProbe.mDatabase);
    if (database.mIsUp && database.mIsReachable) {
      mPlan.OnReport(aProbe.mDatabase, database.mReport, mNow);
    }
  }
  void Do(const PromotionPlan::QueryDaemons&)
  {
    for (const auto& it : mDaemons) {
      if (it.second.mIsReachable && it.first != "d0") {
        mPlan.OnContactReport(it.first, mSilence[it.first], mNow);
        mMemberWatch.OnAnswer(it.first, mNow);
      }
    }
  }
  void Do(const PromotionPlan::WriteRecord& aWrite)
  {
    if (mAreWritesHeld) {
      mHeldWrites.push_back(aWrite);
    }
    if (!mDoesStoreAnswer || mAreWritesHeld) {
      mPlan.OnWritten(std::nullopt, mNow);
      return;
    }
    mPlan.OnWritten(Apply(aWrite), mNow);
  }
  // Applies a conditional write; returns false if the expected revision is not current.
  // A write that changes nothing leaves the store's revision as it is.
  bool Apply(const PromotionPlan::WriteRecord& aWrite)
  {
    bool isTaken = aWrite.mExpected == mRevision;
    if (isTaken && (mRevision == 0 || aWrite.mRecord != mRecord)) {
      mRecord = aWrite.mRecord;
      mRevision = ++mStoreRevision;
    }
    return isTaken;
  }
  void Do(const PromotionPlan::AskStandDown& aRequest)
  {
    for (const auto& it : aRequest.mDaemons) {
      auto& daemon = mDaemons.at(it);
      if (daemon.mIsReachable) {
        daemon.mLeadership.StandDown(aRequest.mChange);
        mPlan.OnStoodDown(it, aRequest.mChange);
      }
    }
  }
  void Do(const PromotionPlan::OrderPromotion& aOrder)
  {
    ++mOrders;
    mLastOrdered = aOrder.mDatabase;
    if (IsAnySending(aOrder.mDatabase)) {
      mOrderedWhileInUse = aOrder.mDatabase;
    }
    if (mAreOrdersHeld) {
      mHeldOrders.push_back({ aOrder.mDatabase, mNow });
    }
    if (mAreOrdersLost || mAreOrdersHeld) {
      mPlan.OnOrdered(std::nullopt, mNow);
      return;
    }
    bool isUp = mDatabases.at(aOrder.mDatabase).mIsUp;
    if (isUp) {
      mPromotions.push_back({ aOrder.mDatabase, mNow + kPromotionTime });
    }
    mPlan.OnOrdered(isUp, mNow);
  }
  void Do(const PromotionPlan::OrderDemotion& aOrder)
  {
    ++mDemotions;
    const auto& database = mDatabases.at(aOrder.mDatabase);
    if (!database.mIsUp || !database.mIsReachable) {
      return;
    }
    auto& report = mDatabases.at(aOrder.mDatabase).mReport;
    if (report.mTerm < aOrder.mTerm) {
      report.mRole = DatabaseRole::Replica;
    }
  }

  // A promotion order. mAt is when a held order was sent, or when a delivered one takes
  // effect.
  struct Order
  {
    std::string mDatabase;
    TimePoint mAt{};
  };

  void FinishPromotions()
  {
    for (const auto& it : std::exchange(mPromotions, {})) {
      if (mNow < it.mAt) {
        mPromotions.push_back(it);
      } else if (mDatabases.at(it.mDatabase).mIsUp) {
        MakePrimary(it.mDatabase);
      }
    }
  }

  // Makes the database the primary of the next term, unless it already is the primary
  // of the newest term.
  void MakePrimary(const std::string& aName)
  {
    std::string leader;
    std::uint64_t newest = 0;
    for (const auto& it : mDatabases) {
      const auto& report = it.second.mReport;
      if (report.mTerm > newest) {
        newest = report.mTerm;
        leader = it.first;
      }
    }
    if (leader == aName) {
      return;
    }
    if (IsAnySending(aName)) {
      mPromotedWhileInUse = aName;
    }
    auto& report = mDatabases.at(aName).mReport;
    report.mRole = DatabaseRole::Primary;
    report.mTerm = newest + 1;
  }

  std::uint64_t mGeneration = 0;
  // When the coordinator starts, after the store has returned with a copy. Until
  // mUnawareUntil the former one acts by what it knew of the store.
  TimePoint mCoordinatorSince{};
  StoreCopy mUnawareCoordinator;
  TimePoint mUnawareUntil{};
  PromotionPlan mPlan{ "g" };
  MemberWatch mMemberWatch;
  std::uint64_t mStoreRevision = 0;
  std::uint64_t mSeenRevision = 0;
  std::uint64_t mFence = 1;
  std::map<std::string, Duration> mSilence;
  std::vector<PromotionPlan::WriteRecord> mHeldWrites;
  std::vector<Order> mHeldOrders;
  std::vector<Order> mPromotions;
};

} // namespace

class PromotionTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(PromotionTest);
  CPPUNIT_TEST(RecordsTheFirstPrimary);
  CPPUNIT_TEST(ReplacesAPrimaryThatIsGone);
  CPPUNIT_TEST(PromotesTheReplicaWithTheLongestLog);
  CPPUNIT_TEST(KeepsAPrimaryThatMostDaemonsReach);
  CPPUNIT_TEST(ReplacesAPrimaryThatMostCannotReach);
  CPPUNIT_TEST(HandsOverFromALeavingPrimaryWithoutLoss);
  CPPUNIT_TEST(ReplacesAnEvacuatedPrimaryByTheLongestLogOutside);
  CPPUNIT_TEST(AnEvacuatedPrimaryStaysIfNoDatabaseIsOutside);
  CPPUNIT_TEST(GivesUpATargetWhoseZoneIsEvacuated);
  CPPUNIT_TEST(TwoGroupsLeaveAZoneAtOnce);
  CPPUNIT_TEST(ALeavingReplicaThatAloneHoldsAcknowledgedCommitsIsPromoted);
  CPPUNIT_TEST(AnEvacuatedReplicaThatAloneHoldsAcknowledgedCommitsIsPromoted);
  CPPUNIT_TEST(AReplicaThatMayHoldAcknowledgedCommitsIsWaitedFor);
  CPPUNIT_TEST(AReplicaThatIsGoneIsNotWaitedForWhereCommitsWait);
  CPPUNIT_TEST(ARefusedHolderIsNotPassedOver);
  CPPUNIT_TEST(APrimaryThatEndsBeforeItsReplicasCaughtUpTakesNoCommitAlong);
  CPPUNIT_TEST(APlannedChangeWaitsForTheLeavingPrimarysLog);
  CPPUNIT_TEST(ACoordinatorThatDoesNotKnowWhetherCommitsWaitLosesNone);
  CPPUNIT_TEST(ANewCoordinatorLearnsAllReplicasWhereCommitsWait);
  CPPUNIT_TEST(NoAcknowledgedCommitIsLostWhereCommitsWait);
  CPPUNIT_TEST(NoChangeBeginsOnReportsOfAnEarlierChange);
  CPPUNIT_TEST(WaitsUntilTheContactOfASilentDaemonExpires);
  CPPUNIT_TEST(DaemonThatIsGoneForGoodIsNotWaitedFor);
  CPPUNIT_TEST(FleetThatHasLostMostOfItsDaemonsReplacesAPrimary);
  CPPUNIT_TEST(DaemonThatRegisteredJustBeforeTheChangeIsWaitedFor);
  CPPUNIT_TEST(ANewCoordinatorCompletesAChangeInProgress);
  CPPUNIT_TEST(ANewCoordinatorGivesAPrimaryTimeToBeListed);
  CPPUNIT_TEST(ANewCoordinatorReplacesAPrimaryThatStaysUnlisted);
  CPPUNIT_TEST(RepeatsAnOrderThatHasNoEffect);
  CPPUNIT_TEST(AFormerCoordinatorsLateWriteFailsOnceAnotherHasOrdered);
  CPPUNIT_TEST(AnUnansweredOrderIsRepeatedToTheSameDatabase);
  CPPUNIT_TEST(NoOtherDatabaseIsOrderedWhileAnUnansweredOrderMayTakeEffect);
  CPPUNIT_TEST(ATargetThatDiedWithTheOrderIsReplaced);
  CPPUNIT_TEST(ANewCoordinatorWaitsForThePreviousOnesOrder);
  CPPUNIT_TEST(AFormerPrimaryIsDemotedOnceItIsBack);
  CPPUNIT_TEST(ANewCoordinatorDemotesAFormerPrimary);
  CPPUNIT_TEST(AFormerPrimaryThatIsGoneIsProbedRarely);
  CPPUNIT_TEST(ADaemonOutOfContactDoesNotConfirmBesideADatabaseThatItDoesNotKnow);
  CPPUNIT_TEST(NeverOrdersWhileTheOldPrimaryIsInUse);
  CPPUNIT_TEST(NoPromotionTakesEffectWhileAnotherPrimaryIsInUse);
  CPPUNIT_TEST(DaemonDoesNotUseThePrimaryThatAnOlderCopyOfTheStoreNames);
  CPPUNIT_TEST(GroupServesAgainAfterTheStoreReturnedWithAnOlderCopy);
  CPPUNIT_TEST(OrderWhoseRecordTheStoreHasLostIsWaitedOut);
  CPPUNIT_TEST(NoPromotionTakesEffectBesideAPrimaryInUseWhenTheStoreLosesChanges);
  CPPUNIT_TEST_SUITE_END();

  void RecordsTheFirstPrimary()
  {
    World world(3);
    CPPUNIT_ASSERT(world.RunUntilServedBy("i-0", seconds(1)));
    CPPUNIT_ASSERT_EQUAL(0, world.mOrders);
  }

  void ReplacesAPrimaryThatIsGone()
  {
    World world(3);
    world.Run(seconds(1));
    world.At("i-0").mIsUp = false;
    CPPUNIT_ASSERT(world.RunUntilServedBy("i-1", seconds(3)));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 2 }, world.mRecord.mTerm);
  }

  void PromotesTheReplicaWithTheLongestLog()
  {
    World world(3);
    world.Run(seconds(1));
    world.At("i-2").mReport.mReceived = { 1, 11 };
    world.At("i-0").mIsUp = false;
    CPPUNIT_ASSERT(world.RunUntilServedBy("i-2", seconds(3)));
  }

  void KeepsAPrimaryThatMostDaemonsReach()
  {
    World world(5);
    world.Run(seconds(1));
    world.mDaemons["d0"].mReachesPrimary = false;
    world.mDaemons["d1"].mReachesPrimary = false;
    world.Run(seconds(6));
    CPPUNIT_ASSERT_EQUAL(0, world.mOrders);
    CPPUNIT_ASSERT(world.MaySend("d3"));
  }

  void ReplacesAPrimaryThatMostCannotReach()
  {
    World world(5);
    world.Run(seconds(1));
    for (const char* it : { "d1", "d2", "d3" }) {
      world.mDaemons[it].mReachesPrimary = false;
    }
    CPPUNIT_ASSERT(world.RunUntilServedBy("i-1", seconds(6)));
  }

  // Guards against lost entries in a planned change of primary: no promotion may be
  // ordered until a replica has received the last entries of the leaving primary.
  // Puts each database of the group into a zone of its own: i-0 into z0 and so on.
  static void SpreadOverZones(World& aWorld)
  {
    for (auto& it : aWorld.mDatabases) {
      it.second.mListed.mZone = "z" + it.first.substr(2);
    }
  }

  // Guards against a primary that stays in an evacuated zone, and against a successor
  // in another evacuated zone although its log is longer.
  void ReplacesAnEvacuatedPrimaryByTheLongestLogOutside()
  {
    World world(4);
    SpreadOverZones(world);
    world.Run(seconds(2));
    CPPUNIT_ASSERT_EQUAL(std::string("i-0"), world.Primary());
    world.At("i-1").mReport.mReceived = { 1, 10 };
    world.At("i-2").mReport.mReceived = { 1, 9 };
    world.mEvacuatedZones = { "z0", "z1" };
    CPPUNIT_ASSERT(world.RunUntilServedBy("i-2", seconds(4)));
    CPPUNIT_ASSERT_EQUAL(std::string(), world.mOrderedWhileInUse);
    CPPUNIT_ASSERT_EQUAL(1, world.mOrders);
    world.mEvacuatedZones = { "z2" };
    world.At("i-0").mReport.mReceived = { 2, 13 };
    world.At("i-1").mReport.mReceived = { 2, 12 };
    CPPUNIT_ASSERT(world.RunUntilServedBy("i-0", seconds(4)));
  }

  // Guards against a group that gives up its primary although nothing can replace it.
  void AnEvacuatedPrimaryStaysIfNoDatabaseIsOutside()
  {
    World world(4);
    SpreadOverZones(world);
    world.Run(seconds(2));
    world.mEvacuatedZones = { "z0", "z1", "z2" };
    world.Run(seconds(8));
    CPPUNIT_ASSERT_EQUAL(0, world.mOrders);
    CPPUNIT_ASSERT(world.mRecord.mPhase == GroupPhase::Serving);
    CPPUNIT_ASSERT_EQUAL(std::string("i-0"), world.Primary());
  }

  // Guards against a target that was chosen before its own zone was evacuated, and that
  // is ordered again and again.
  void GivesUpATargetWhoseZoneIsEvacuated()
  {
    World world(4);
    SpreadOverZones(world);
    world.Run(seconds(2));
    world.At("i-2").mReport.mReceived = { 1, 9 };
    world.mAreOrdersLost = true;
    world.mEvacuatedZones = { "z0" };
    world.Run(seconds(2));
    CPPUNIT_ASSERT_EQUAL(std::string("i-1"), world.mLastOrdered);
    world.mAreOrdersLost = false;
    world.mEvacuatedZones = { "z0", "z1" };
    auto orders = world.mOrders;
    for (int n = 0; n < 100 && world.mOrders == orders; ++n) {
      world.Step();
    }
    CPPUNIT_ASSERT_EQUAL(std::string("i-2"), world.mLastOrdered);
    CPPUNIT_ASSERT(world.RunUntilServedBy("i-2", seconds(8)));
    CPPUNIT_ASSERT_EQUAL(std::string(), world.mOrderedWhileInUse);
  }

  // Guards against plans of two groups that disturb each other when a zone holds the
  // primaries of both.
  void TwoGroupsLeaveAZoneAtOnce()
  {
    World first(4);
    World second(4);
    for (auto* it : { &first, &second }) {
      SpreadOverZones(*it);
      it->Run(seconds(2));
      it->mEvacuatedZones = { "z0" };
    }
    second.At("i-1").mIsUp = false;
    for (int n = 0; n < 100; ++n) {
      first.Step();
      second.Step();
    }
    CPPUNIT_ASSERT(first.Primary() != "i-0");
    CPPUNIT_ASSERT_EQUAL(std::string("i-2"), second.Primary());
  }

  void HandsOverFromALeavingPrimaryWithoutLoss()
  {
    World world(3);
    world.Run(seconds(1));
    world.At("i-0").mReport.mReceived = { 1, 14 };
    world.At("i-0").mListed.mIsLeaving = true;
    world.Run(seconds(1));
    CPPUNIT_ASSERT_EQUAL(0, world.mOrders);
    world.At("i-2").mReport.mReceived = { 1, 14 };
    CPPUNIT_ASSERT(world.RunUntilServedBy("i-2", seconds(2)));
  }

  // A group whose commits wait for one replica: the one named has received everything
  // that was acknowledged, the other one nothing for a while.
  static void LetAloneHold(World& aWorld, const std::string& aName)
  {
    aWorld.mSyncReplicas = 1;
    aWorld.Run(seconds(3));
    aWorld.At("i-0").mReport.mReceived = { 1, 15 };
    aWorld.At(aName).mReport.mReceived = { 1, 14 };
  }

  // Guards against the loss of acknowledged commits (review/3): the replica that alone
  // held them was leaving and was passed over when the primary crashed.
  void ALeavingReplicaThatAloneHoldsAcknowledgedCommitsIsPromoted()
  {
    World world(3);
    LetAloneHold(world, "i-1");
    world.At("i-1").mListed.mIsLeaving = true;
    world.At("i-0").mIsUp = false;
    CPPUNIT_ASSERT(world.RunUntilServedBy("i-1", seconds(4)));
    // It hands over as soon as a replica that stays has caught up.
    world.Run(seconds(4));
    CPPUNIT_ASSERT_EQUAL(std::string("i-1"), world.Primary());
    world.At("i-2").mReport.mReceived = world.At("i-1").mReport.mReceived;
    CPPUNIT_ASSERT(world.RunUntilServedBy("i-2", seconds(2)));
    CPPUNIT_ASSERT_EQUAL(2, world.mOrders);
  }

  // Guards against the same loss where the replica's zone is evacuated.
  void AnEvacuatedReplicaThatAloneHoldsAcknowledgedCommitsIsPromoted()
  {
    World world(3);
    SpreadOverZones(world);
    LetAloneHold(world, "i-1");
    world.mEvacuatedZones = { "z1" };
    world.At("i-0").mIsUp = false;
    CPPUNIT_ASSERT(world.RunUntilServedBy("i-1", seconds(4)));
    world.At("i-2").mReport.mReceived = world.At("i-1").mReport.mReceived;
    CPPUNIT_ASSERT(world.RunUntilServedBy("i-2", seconds(4)));
  }

  // Guards against the same loss where the replica doesn't answer the coordinator in
  // time.
  void AReplicaThatMayHoldAcknowledgedCommitsIsWaitedFor()
  {
    World world(3);
    LetAloneHold(world, "i-1");
    world.At("i-1").mIsReachable = false;
    world.At("i-0").mIsUp = false;
    world.Run(seconds(10));
    CPPUNIT_ASSERT_EQUAL(0, world.mOrders);
    world.At("i-1").mIsReachable = true;
    CPPUNIT_ASSERT(world.RunUntilServedBy("i-1", seconds(3)));
  }

  // Guards against a group that stays without a primary for a database that is gone.
  void AReplicaThatIsGoneIsNotWaitedForWhereCommitsWait()
  {
    World world(3);
    LetAloneHold(world, "i-1");
    world.At("i-1").mIsUp = false;
    world.At("i-0").mIsUp = false;
    world.Run(seconds(3));
    CPPUNIT_ASSERT_EQUAL(0, world.mOrders);
    world.At("i-1").mIsListed = false;
    CPPUNIT_ASSERT(world.RunUntilServedBy("i-2", seconds(3)));
  }

  // Guards against the same loss where the holder crashes before it is promoted and the
  // platform refuses the order.
  void ARefusedHolderIsNotPassedOver()
  {
    World world(3);
    LetAloneHold(world, "i-1");
    world.At("i-0").mIsUp = false;
    world.mAreOrdersLost = true;
    for (int n = 0; n < 100 && world.mOrders == 0; ++n) {
      world.Step();
    }
    CPPUNIT_ASSERT_EQUAL(std::string("i-1"), world.mLastOrdered);
    world.mAreOrdersLost = false;
    world.At("i-1").mIsUp = false;
    world.Run(seconds(8));
    CPPUNIT_ASSERT_EQUAL(std::string("i-1"), world.mLastOrdered);
    world.At("i-1").mIsUp = true;
    CPPUNIT_ASSERT(world.RunUntilServedBy("i-1", seconds(6)));
  }

  // Guards against the same loss in the change after: the replica that took over ends
  // before another one has received what it alone holds. Its log comes back with
  // another database, here i-0. If it doesn't, the group serves on without it.
  void APrimaryThatEndsBeforeItsReplicasCaughtUpTakesNoCommitAlong()
  {
    for (bool isBack : { true, false }) {
      World world(3);
      LetAloneHold(world, "i-1");
      world.At("i-1").mListed.mIsLeaving = true;
      world.At("i-0").mIsUp = false;
      CPPUNIT_ASSERT(world.RunUntilServedBy("i-1", seconds(4)));
      world.At("i-0").mIsListed = false;
      world.At("i-1").mIsUp = false;
      world.At("i-1").mIsListed = false;
      world.Run(seconds(1));
      world.ReplaceCoordinator();
      world.Run(seconds(7));
      CPPUNIT_ASSERT_EQUAL(1, world.mOrders);
      auto& returned = world.At("i-0");
      returned.mReport.mRole = DatabaseRole::Replica;
      returned.mIsUp = isBack;
      returned.mIsListed = isBack;
      CPPUNIT_ASSERT(world.RunUntilServedBy(isBack ? "i-0" : "i-2", seconds(10)));
    }
  }

  // Guards against the same loss in a planned change: the replicas are behind the
  // leaving primary for longer than a group without synchronous replicas waits.
  void APlannedChangeWaitsForTheLeavingPrimarysLog()
  {
    World world(3);
    LetAloneHold(world, "i-1");
    world.At("i-1").mListed.mIsLeaving = true;
    world.At("i-0").mListed.mIsLeaving = true;
    world.Run(seconds(6));
    CPPUNIT_ASSERT_EQUAL(0, world.mOrders);
    world.At("i-2").mReport.mReceived = { 1, 15 };
    CPPUNIT_ASSERT(world.RunUntilServedBy("i-2", seconds(2)));
  }

  // Guards against a coordinator that takes commits to wait for no replica because it
  // has no configuration yet.
  void ACoordinatorThatDoesNotKnowWhetherCommitsWaitLosesNone()
  {
    World world(3);
    LetAloneHold(world, "i-1");
    world.mSyncReplicas.reset();
    world.At("i-1").mListed.mIsLeaving = true;
    world.At("i-0").mIsUp = false;
    CPPUNIT_ASSERT(world.RunUntilServedBy("i-1", seconds(4)));
  }

  // Guards against a coordinator that has just taken over and whose list lacks the
  // holder, as its entry is about to come back.
  void ANewCoordinatorLearnsAllReplicasWhereCommitsWait()
  {
    World world(3);
    LetAloneHold(world, "i-1");
    world.At("i-0").mIsUp = false;
    world.At("i-1").mIsListed = false;
    world.ReplaceCoordinator();
    world.Run(seconds(2));
    CPPUNIT_ASSERT_EQUAL(0, world.mOrders);
    world.At("i-1").mIsListed = true;
    CPPUNIT_ASSERT(world.RunUntilServedBy("i-1", seconds(4)));
  }

  // Whatever is leaving, cut off, crashed or evacuated: no order names a database that
  // lacks the last acknowledged commit while one that holds it is listed.
  void NoAcknowledgedCommitIsLostWhereCommitsWait()
  {
    bool isHeld =
      rc::check("an order names a database that holds what was acknowledged", [] {
        World world(3);
        SpreadOverZones(world);
        world.mSyncReplicas = 1;
        world.Run(seconds(3));
        constexpr std::uint64_t kAcknowledged = 20;
        auto holder = *rc::gen::element<std::string>("i-1", "i-2");
        world.At("i-0").mReport.mReceived = { 1,
                                              kAcknowledged + *rc::gen::inRange(0, 3) };
        world.At(holder).mReport.mReceived = { 1, kAcknowledged };
        world.At("i-0").mListed.mIsLeaving = *rc::gen::arbitrary<bool>();
        bool mayCrash = !world.At("i-0").mListed.mIsLeaving;
        for (int n = 0; n < 12; ++n) {
          auto& database =
            world.At(*rc::gen::element<std::string>("i-0", "i-1", "i-2"));
          switch (*rc::gen::inRange(0, 6)) {
            case 0:
              database.mListed.mIsLeaving = !database.mListed.mIsLeaving;
              break;
            case 1:
              database.mIsReachable = !database.mIsReachable;
              break;
            case 2:
              database.mIsUp = !database.mIsUp;
              break;
            case 3:
              world.mEvacuatedZones = { database.mListed.mZone };
              break;
            case 4:
              world.ReplaceCoordinator();
              break;
            default:
              world.At("i-0").mIsUp = !mayCrash;
              break;
          }
          world.Run(milliseconds(*rc::gen::inRange(60, 2500)));
          if (world.mOrders > 0) {
            break;
          }
        }
        RC_TAG(std::string(world.mOrders > 0 ? "ordered" : "not ordered"));
        if (world.mOrders > 0) {
          const auto& report = world.At(world.mLastOrdered).mReport;
          RC_ASSERT(report.mReceived.mPosition >= kAcknowledged);
        }
      });
    CPPUNIT_ASSERT(isHeld);
  }

  // Guards against a group that gives up a primary that leaves for replicas that have
  // not answered since the change before: it would have no primary at all.
  void NoChangeBeginsOnReportsOfAnEarlierChange()
  {
    for (std::uint32_t syncReplicas : { 0, 1 }) {
      World world(3);
      world.mSyncReplicas = syncReplicas;
      world.Run(seconds(3));
      world.At("i-0").mIsUp = false;
      CPPUNIT_ASSERT(world.RunUntilServedBy("i-1", seconds(4)));
      world.Run(seconds(8));
      world.At("i-2").mIsReachable = false;
      world.Run(seconds(2));
      world.At("i-1").mListed.mIsLeaving = true;
      world.Run(seconds(4));
      CPPUNIT_ASSERT(world.mRecord.mPhase == GroupPhase::Serving);
      world.At("i-2").mIsReachable = true;
      CPPUNIT_ASSERT(world.RunUntilServedBy("i-2", seconds(4)));
    }
  }

  void WaitsUntilTheContactOfASilentDaemonExpires()
  {
    World world(3);
    world.Run(seconds(1));
    world.mDaemons["d2"].mIsReachable = false;
    world.mDaemons["d2"].mReadsStore = false;
    world.At("i-0").mIsUp = false;
    world.Run(seconds(3));
    CPPUNIT_ASSERT_EQUAL(0, world.mOrders);
    CPPUNIT_ASSERT(world.RunUntilServedBy("i-1", seconds(4)));
    CPPUNIT_ASSERT(world.mOrderedWhileInUse.empty());
  }

  // Guards against a wait for daemons that no longer exist: a VM that is replaced at
  // another address leaves its record behind.
  void DaemonThatIsGoneForGoodIsNotWaitedFor()
  {
    World world(3);
    world.Run(seconds(1));
    world.mDaemons["d2"].mIsReachable = false;
    world.mDaemons["d2"].mReadsStore = false;
    world.Run(seconds(25));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, world.mMembers.size());
    world.At("i-0").mIsUp = false;
    CPPUNIT_ASSERT(world.RunUntilServedBy("i-1", seconds(3)));
  }

  void FleetThatHasLostMostOfItsDaemonsReplacesAPrimary()
  {
    World world(5);
    world.Run(seconds(1));
    for (const char* it : { "d1", "d2", "d3" }) {
      world.mDaemons[it].mIsReachable = false;
      world.mDaemons[it].mReadsStore = false;
    }
    world.Run(seconds(25));
    world.At("i-0").mIsUp = false;
    CPPUNIT_ASSERT(world.RunUntilServedBy("i-1", seconds(3)));
  }

  // Guards against a promotion while a new daemon uses the old primary: the daemon has
  // registered, but the coordinator has not read its record yet.
  void DaemonThatRegisteredJustBeforeTheChangeIsWaitedFor()
  {
    World world(3);
    world.Run(seconds(1));
    world.mDoesCoordinatorReadMembers = false;
    world.Add("d9");
    world.Run(milliseconds(300));
    CPPUNIT_ASSERT(world.MaySend("d9"));
    world.At("i-0").mIsUp = false;
    world.mDaemons["d9"].mReadsStore = false;
    world.Run(seconds(6));
    CPPUNIT_ASSERT(world.mOrderedWhileInUse.empty());
    CPPUNIT_ASSERT_EQUAL(std::string("i-1"), world.Primary());
  }

  // Guards against the replacement of a working primary: its list entry expired during
  // an outage of the store and has not been written again when the new coordinator
  // starts.
  void ANewCoordinatorGivesAPrimaryTimeToBeListed()
  {
    World world(3);
    CPPUNIT_ASSERT(world.RunUntilServedBy("i-0", seconds(1)));
    world.At("i-0").mIsListed = false;
    world.ReplaceCoordinator();
    world.Run(seconds(2));
    world.At("i-0").mIsListed = true;
    world.Run(seconds(5));
    CPPUNIT_ASSERT_EQUAL(std::string("i-0"), world.Primary());
    CPPUNIT_ASSERT_EQUAL(0, world.mOrders);
  }

  void ANewCoordinatorReplacesAPrimaryThatStaysUnlisted()
  {
    World world(3);
    CPPUNIT_ASSERT(world.RunUntilServedBy("i-0", seconds(1)));
    world.At("i-0").mIsListed = false;
    world.ReplaceCoordinator();
    CPPUNIT_ASSERT(world.RunUntilServedBy("i-1", seconds(5)) ||
                   world.Primary() == "i-2");
  }

  void ANewCoordinatorCompletesAChangeInProgress()
  {
    World world(3);
    world.Run(seconds(1));
    world.At("i-0").mIsUp = false;
    while (world.mRecord.mPhase != GroupPhase::Changing) {
      world.Step();
    }
    world.ReplaceCoordinator();
    CPPUNIT_ASSERT(world.RunUntilServedBy("i-1", seconds(5)));
  }

  void RepeatsAnOrderThatHasNoEffect()
  {
    World world(3);
    world.Run(seconds(1));
    world.At("i-0").mIsUp = false;
    world.mAreOrdersLost = true;
    world.Run(seconds(4));
    CPPUNIT_ASSERT(world.mOrders > 0);
    world.mAreOrdersLost = false;
    CPPUNIT_ASSERT(world.RunUntilServedBy("i-1", seconds(4)));
  }

  // Guards against a delayed write of a former coordinator that the store accepts after
  // the new coordinator has ordered the promotion of another database.
  void AFormerCoordinatorsLateWriteFailsOnceAnotherHasOrdered()
  {
    World world(3);
    world.Run(seconds(1));
    world.At("i-0").mIsUp = false;
    while (world.mOrders == 0) {
      world.Step();
    }
    world.mAreWritesHeld = true;
    world.Run(seconds(1));
    world.mAreWritesHeld = false;
    world.ReplaceCoordinator();
    world.At("i-1").mIsUp = false;
    while (world.mLastOrdered != "i-2") {
      world.Step();
    }
    world.DeliverHeldWrites();
    CPPUNIT_ASSERT_EQUAL(std::string("i-0"), world.Primary());
    CPPUNIT_ASSERT(world.RunUntilServedBy("i-2", seconds(2)));
  }

  // Stops the primary and holds the first promotion order, which is for i-1.
  static void HoldFirstOrder(World& aWorld)
  {
    aWorld.At("i-0").mIsUp = false;
    aWorld.mAreOrdersHeld = true;
    while (aWorld.mOrders == 0) {
      aWorld.Step();
    }
    aWorld.mAreOrdersHeld = false;
  }

  // Guards against an order to a second database while the unanswered order to the
  // first may still take effect; here it does so 2.94 s after it was sent.
  void AnUnansweredOrderIsRepeatedToTheSameDatabase()
  {
    World world(3);
    world.Run(seconds(1));
    HoldFirstOrder(world);
    world.At("i-2").mReport.mReceived = { 1, 12 };
    world.Run(milliseconds(2940));
    world.DeliverHeldOrders();
    world.Run(seconds(2));
    CPPUNIT_ASSERT_EQUAL(std::string(), world.mPromotedWhileInUse);
    CPPUNIT_ASSERT_EQUAL(std::string("i-1"), world.Primary());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 2 }, world.mRecord.mTerm);
  }

  // Guards against an order to a second database while the unanswered order to the
  // first may still take effect. The first database is down in between and comes back
  // just before its order takes effect.
  void NoOtherDatabaseIsOrderedWhileAnUnansweredOrderMayTakeEffect()
  {
    World world(3);
    world.Run(seconds(1));
    HoldFirstOrder(world);
    world.At("i-1").mIsUp = false;
    world.Run(milliseconds(2940));
    world.At("i-1").mIsUp = true;
    world.DeliverHeldOrders();
    world.Run(seconds(2));
    CPPUNIT_ASSERT_EQUAL(std::string(), world.mPromotedWhileInUse);
    CPPUNIT_ASSERT_EQUAL(std::string("i-1"), world.Primary());
  }

  // Guards against endless orders to a database that failed before it was promoted.
  void ATargetThatDiedWithTheOrderIsReplaced()
  {
    World world(3);
    world.Run(seconds(1));
    HoldFirstOrder(world);
    world.At("i-1").mIsUp = false;
    CPPUNIT_ASSERT(world.RunUntilServedBy("i-2", seconds(6)));
  }

  // Guards against two promotions: the former coordinator's unanswered order takes
  // effect after the new coordinator has ordered the promotion of another database.
  void ANewCoordinatorWaitsForThePreviousOnesOrder()
  {
    World world(3);
    world.Run(seconds(1));
    HoldFirstOrder(world);
    world.ReplaceCoordinator();
    world.At("i-1").mIsUp = false;
    world.Run(milliseconds(2940));
    world.At("i-1").mIsUp = true;
    world.DeliverHeldOrders();
    world.Run(seconds(2));
    CPPUNIT_ASSERT_EQUAL(std::string(), world.mPromotedWhileInUse);
    CPPUNIT_ASSERT_EQUAL(std::string("i-1"), world.Primary());
  }

  // Guards against a former primary that stays primary because it was down when the
  // order to demote it was sent.
  void AFormerPrimaryIsDemotedOnceItIsBack()
  {
    World world(3);
    world.Run(seconds(1));
    world.At("i-0").mIsUp = false;
    CPPUNIT_ASSERT(world.RunUntilServedBy("i-1", seconds(3)));
    world.Run(seconds(20));
    world.At("i-0").mIsUp = true;
    world.Run(seconds(6));
    CPPUNIT_ASSERT(world.At("i-0").mReport.mRole == DatabaseRole::Replica);
    auto demotions = world.mDemotions;
    world.Run(seconds(20));
    CPPUNIT_ASSERT_EQUAL(demotions, world.mDemotions);
  }

  // Guards against a former primary that is never demoted because the coordinator that
  // replaced it has itself been replaced.
  void ANewCoordinatorDemotesAFormerPrimary()
  {
    World world(3);
    world.Run(seconds(1));
    world.At("i-0").mIsUp = false;
    CPPUNIT_ASSERT(world.RunUntilServedBy("i-1", seconds(3)));
    world.ReplaceCoordinator();
    world.At("i-0").mIsUp = true;
    world.Run(seconds(2));
    CPPUNIT_ASSERT(world.At("i-0").mReport.mRole == DatabaseRole::Replica);
  }

  // Guards against needless load: a former primary that is gone for good may cost one
  // probe every few seconds, not more.
  void AFormerPrimaryThatIsGoneIsProbedRarely()
  {
    World world(3);
    world.Run(seconds(1));
    world.At("i-0").mIsUp = false;
    CPPUNIT_ASSERT(world.RunUntilServedBy("i-1", seconds(3)));
    world.mDoesCoordinatorSendStatements = true;
    world.Run(seconds(10));
    world.mProbes = 0;
    world.Run(seconds(60));
    CPPUNIT_ASSERT(world.mProbes <= 15);
  }

  // Guards against trust in a replaced primary by a daemon without contact to the
  // store. The new primary (i-3) was added after the daemon lost contact, so the daemon
  // does not know it, and the one replica that the daemon knows has not learned of the
  // new term.
  void ADaemonOutOfContactDoesNotConfirmBesideADatabaseThatItDoesNotKnow()
  {
    World world(3);
    world.Run(seconds(1));
    world.mDatabases.erase("i-2");
    world.mDaemons["d2"].mIsReachable = false;
    world.mDaemons["d2"].mReadsStore = false;
    std::vector<std::string> known{ "i-0", "i-1" };
    world.mDatabases["i-3"] = world.At("i-1");
    world.At("i-3").mListed.mName = "i-3";
    world.At("i-3").mReport.mReceived = { 1, 12 };
    for (const char* it : { "d0", "d1" }) {
      world.mDaemons[it].mReachesPrimary = false;
    }
    world.At("i-0").mIsReachable = false;
    CPPUNIT_ASSERT(world.RunUntilServedBy("i-3", seconds(8)));
    CPPUNIT_ASSERT(!world.DoesConfirm("d2", known));
  }

  // Property: no promotion is ordered or takes effect while a daemon uses another
  // primary. Daemons lose contact with the store, the coordinator and the primary in
  // any order, databases fail and recover, and coordinators are replaced.
  void NeverOrdersWhileTheOldPrimaryIsInUse()
  {
    CPPUNIT_ASSERT(rc::check([] {
      World world(4);
      world.Run(seconds(1));
      for (int n = 0; n < 25; ++n) {
        auto daemon = "d" + std::to_string(*rc::gen::inRange(0, 4));
        auto database = "i-" + std::to_string(*rc::gen::inRange(0, 3));
        switch (*rc::gen::inRange(0, 13)) {
          case 0:
            world.mDaemons[daemon].mReadsStore ^= true;
            break;
          case 1:
            world.mDaemons[daemon].mIsReachable ^= true;
            break;
          case 2:
            world.mDaemons[daemon].mReachesPrimary ^= true;
            break;
          case 3:
            world.At(database).mIsUp ^= true;
            break;
          case 4:
            world.At(database).mListed.mIsLeaving ^= true;
            break;
          case 5:
            world.ReplaceCoordinator();
            break;
          case 6:
            world.mDoesCoordinatorReadMembers ^= true;
            break;
          case 7:
            world.mAreWritesHeld ^= true;
            break;
          case 8:
            world.DeliverHeldWrites();
            break;
          case 9:
            world.mAreOrdersHeld ^= true;
            break;
          case 10:
            world.DeliverHeldOrders();
            break;
          case 11:
            // Up to 25 s, long enough for the records of silent daemons to be removed.
            world.Run(seconds(*rc::gen::inRange(0, 25)));
            RC_ASSERT(world.mOrderedWhileInUse.empty());
            RC_ASSERT(world.mPromotedWhileInUse.empty());
            break;
          default:
            world.mDoesStoreAnswer ^= true;
        }
        world.Run(milliseconds(*rc::gen::inRange(60, 2500)));
        RC_ASSERT(world.mOrderedWhileInUse.empty());
        RC_ASSERT(world.mPromotedWhileInUse.empty());
      }
    }));
  }

  // Property as above, in shorter schedules with many faults: unanswered orders and
  // writes take effect late, databases fail and recover, and coordinators are replaced,
  // all within a few changes of primary.
  void NoPromotionTakesEffectWhileAnotherPrimaryIsInUse()
  {
    CPPUNIT_ASSERT(rc::check([] {
      World world(2);
      world.Run(seconds(1));
      auto isDrawn = [](int aOneIn) { return *rc::gen::inRange(0, aOneIn) == 0; };
      for (int n = 0; n < 60; ++n) {
        auto& database = world.At("i-" + std::to_string(*rc::gen::inRange(0, 3)));
        world.mAreWritesHeld = isDrawn(4);
        world.mAreOrdersHeld = isDrawn(3);
        if (isDrawn(3)) {
          database.mIsUp ^= true;
        }
        if (isDrawn(3)) {
          database.mReport.mReceived.mPosition += 1;
        }
        if (isDrawn(5)) {
          world.At(world.Primary()).mIsUp = false;
        }
        if (isDrawn(8)) {
          world.ReplaceCoordinator();
        }
        if (isDrawn(5)) {
          world.DeliverHeldOrders();
        }
        if (isDrawn(5)) {
          world.DeliverHeldWrites();
        }
        world.Run(milliseconds(*rc::gen::inRange(0, 900)));
        RC_ASSERT(world.mOrderedWhileInUse.empty());
        RC_ASSERT(world.mPromotedWhileInUse.empty());
      }
    }));
  }

  // Guards against writes that are acknowledged at a primary that is being replaced: a
  // daemon that could not be asked to stand down reads in the returned store that no
  // change has begun.
  void DaemonDoesNotUseThePrimaryThatAnOlderCopyOfTheStoreNames()
  {
    World world(4);
    world.Run(seconds(1));
    auto copy = world.CopyStore();
    world.mDaemons["d3"].mIsReachable = false;
    world.mDaemons["d3"].mReadsStore = false;
    for (const auto* it : { "d0", "d1", "d2" }) {
      world.mDaemons[it].mReachesPrimary = false;
    }
    while (world.mOrders == 0) {
      world.Step();
    }
    for (const auto* it : { "d0", "d1", "d2" }) {
      world.mDaemons[it].mReadsStore = false;
    }
    world.RestoreStore(copy);
    world.mDaemons["d3"].mReadsStore = true;
    for (int n = 0; n < 20; ++n) {
      world.Step();
      CPPUNIT_ASSERT(!world.MaySend("d3"));
    }
  }

  void GroupServesAgainAfterTheStoreReturnedWithAnOlderCopy()
  {
    World world(4);
    world.Run(seconds(1));
    auto copy = world.CopyStore();
    world.At("i-0").mIsUp = false;
    CPPUNIT_ASSERT(world.RunUntilServedBy("i-1", seconds(6)));
    world.RestoreStore(copy);
    CPPUNIT_ASSERT_EQUAL(std::string("i-0"), world.Primary());
    world.Run(kCoordinatorTakeoverDelay + seconds(5));
    CPPUNIT_ASSERT_EQUAL(std::string("i-1"), world.Primary());
    CPPUNIT_ASSERT(world.MaySend("d1"));
  }

  // Guards against a promotion beside a primary in use: its order was sent shortly
  // before the former coordinator's lease ended, and no record of it is left.
  void OrderWhoseRecordTheStoreHasLostIsWaitedOut()
  {
    World world(3);
    world.Run(seconds(1));
    auto copy = world.CopyStore();
    for (auto& it : world.mDaemons) {
      it.second.mReadsStore = false;
      it.second.mIsReachable = false;
    }
    world.At("i-0").mListed.mIsLeaving = true;
    world.mAreOrdersHeld = true;
    while (world.mOrders == 0) {
      world.Step();
    }
    world.RestoreStore(copy);
    world.At("i-0").mListed.mIsLeaving = false;
    for (auto& it : world.mDaemons) {
      it.second.mReadsStore = true;
      it.second.mIsReachable = true;
    }
    world.Run(kCoordinatorTakeoverDelay + milliseconds(400));
    world.mAreOrdersHeld = false;
    world.DeliverHeldOrders();
    CPPUNIT_ASSERT(world.RunUntilServedBy("i-1", seconds(6)));
    CPPUNIT_ASSERT(world.mPromotedWhileInUse.empty());
  }

  // Property as above, with a store that returns with older copies of itself.
  void NoPromotionTakesEffectBesideAPrimaryInUseWhenTheStoreLosesChanges()
  {
    CPPUNIT_ASSERT(rc::check([] {
      World world(3);
      world.Run(seconds(1));
      auto copy = world.CopyStore();
      auto isDrawn = [](int aOneIn) { return *rc::gen::inRange(0, aOneIn) == 0; };
      for (int n = 0; n < 60; ++n) {
        auto& daemon = world.mDaemons["d" + std::to_string(*rc::gen::inRange(0, 3))];
        auto& database = world.At("i-" + std::to_string(*rc::gen::inRange(0, 3)));
        world.mAreWritesHeld = isDrawn(6);
        world.mAreOrdersHeld = isDrawn(4);
        if (isDrawn(3)) {
          database.mIsUp ^= true;
        }
        if (isDrawn(4)) {
          daemon.mReadsStore ^= true;
        }
        if (isDrawn(4)) {
          daemon.mIsReachable ^= true;
        }
        if (isDrawn(6)) {
          copy = world.CopyStore();
        }
        if (isDrawn(8)) {
          world.RestoreStore(copy);
        }
        if (isDrawn(5)) {
          world.DeliverHeldOrders();
        }
        if (isDrawn(5)) {
          world.DeliverHeldWrites();
        }
        world.Run(milliseconds(*rc::gen::inRange(0, 2500)));
        RC_ASSERT(world.mOrderedWhileInUse.empty());
        RC_ASSERT(world.mPromotedWhileInUse.empty());
      }
    }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PromotionTest);
