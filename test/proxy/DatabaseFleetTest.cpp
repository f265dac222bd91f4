#include "FakeDatabases.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace sesameway;
using namespace sesameway::proxy;
using namespace sesameway::test;

class DatabaseFleetTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(DatabaseFleetTest);
  CPPUNIT_TEST(StatementThatWaitedAtAReplacedPrimaryRunsAtTheNewOne);
  CPPUNIT_TEST(ReadThatWaitedAtAReplacedPrimaryRunsElsewhere);
  CPPUNIT_TEST(TransactionBegunAtAReplacedPrimaryIsNotCommittedThere);
  CPPUNIT_TEST(AnswerOfAReplacedPrimaryIsNotTrusted);
  CPPUNIT_TEST(ConfirmationBegunBeforeAChangeDoesNotCountAfterIt);
  CPPUNIT_TEST(StandingDownWaitsForStatementsOnConnectionsOfAnEarlierEntry);
  CPPUNIT_TEST(ConnectionOfAnEarlierEntryIsNotTakenForOneOfTheNewEntry);
  CPPUNIT_TEST(ReplyToAStatementSentToAReplicaDoesNotSetThePrimarysHead);
  CPPUNIT_TEST(HeadProposedForAReplacedPrimaryIsNotConfirmedByTheNextOne);
  CPPUNIT_TEST(ReadThatWaitedAtAReplicaThatLeavesRunsElsewhere);
  CPPUNIT_TEST(NextReadPassesOverAReplicaThatWasBehind);
  CPPUNIT_TEST(SynchronousReplicasAreUnknownWithoutTheGroupsConfiguration);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override { mWorld = std::make_unique<FleetWorld>(); }
  void tearDown() override
  {
    mSession.reset();
    mWorld.reset();
  }

private:
  static std::string Outcome(const char* aCode) { return aCode; }

  // Begins a transaction at the old primary and runs a write in it.
  std::shared_ptr<FakeLink> BeginAndWrite()
  {
    auto& world = *mWorld;
    mSession = world.Connect("strict");
    world.Ask(*mSession, RequestKind::Begin);
    world.Ask(*mSession, RequestKind::Write, "WRITE a b");
    auto link = world.mDatabases.Accept("old");
    link->Answer(FleetWorld::Done(TransactionState::Open));
    link->Answer(FleetWorld::Done(TransactionState::Open));
    CPPUNIT_ASSERT_EQUAL(Outcome("done"), world.LastCode());
    return link;
  }

  // Guards against a write that a replaced primary acknowledges. This happens when the
  // connection for the write was requested before the change of primary and opens after
  // it.
  void StatementThatWaitedAtAReplacedPrimaryRunsAtTheNewOne()
  {
    auto& world = *mWorld;
    mSession = world.Connect("strict");
    world.Ask(*mSession, RequestKind::Write, "WRITE a b");
    CPPUNIT_ASSERT(world.StandDown(2));
    world.ReplacePrimary("new");
    auto link = world.mDatabases.Accept("old");
    CPPUNIT_ASSERT_EQUAL(0, link->mBatches);
    world.mFleet.Tick();
    world.mDatabases.Accept("new")->Answer(FleetWorld::Done());
    CPPUNIT_ASSERT_EQUAL(Outcome("done"), world.LastCode());
  }

  // Guards against a read with a maximum age that a replaced primary answers with data
  // that is too old. This happens when the connection for the read was requested before
  // the change of primary and opens after it.
  void ReadThatWaitedAtAReplacedPrimaryRunsElsewhere()
  {
    auto& world = *mWorld;
    mSession = world.Connect("aged");
    world.Ask(*mSession, RequestKind::Read, "READ a");
    CPPUNIT_ASSERT(world.mDatabases.IsOpening("old"));
    world.ReplacePrimary("new");
    auto link = world.mDatabases.Accept("old");
    CPPUNIT_ASSERT_EQUAL(0, link->mBatches);
  }

  // Guards against a commit that is sent to a replaced primary by a daemon that wasn't
  // asked to stand down and learns of the change only from the store.
  void TransactionBegunAtAReplacedPrimaryIsNotCommittedThere()
  {
    auto& world = *mWorld;
    auto link = BeginAndWrite();
    world.ReplacePrimary("new");
    auto sent = link->mBatches;
    world.Ask(*mSession, RequestKind::Commit, "COMMIT");
    bool isCommitSent =
      link->mBatches > sent && link->mSent.back().mKind == CommandKind::Commit;
    CPPUNIT_ASSERT(!isCommitSent);
    CPPUNIT_ASSERT_EQUAL(Outcome("aborted"), world.LastCode());
  }

  // Guards against a commit that is reported as done although its primary was replaced
  // while the commit was in progress. The reply arrives once the daemon knows the new
  // primary.
  void AnswerOfAReplacedPrimaryIsNotTrusted()
  {
    auto& world = *mWorld;
    auto link = BeginAndWrite();
    world.Ask(*mSession, RequestKind::Commit, "COMMIT");
    world.ReplacePrimary("new");
    if (link->IsBusy()) {
      link->Answer(FleetWorld::Done());
    }
    CPPUNIT_ASSERT_EQUAL(Outcome("unknown"), world.LastCode());
  }

  // Guards against an answer that is confirmed by a round of status queries that began
  // before a change of primary and so concerns the former primary.
  void ConfirmationBegunBeforeAChangeDoesNotCountAfterIt()
  {
    auto& world = *mWorld;
    auto link = BeginAndWrite();
    world.Ask(*mSession, RequestKind::Commit, "COMMIT");
    bool isConfirmed = false;
    ConnectionLease lease;
    lease.mDatabase = "old";
    lease.mGroup = "g";
    lease.mIsPrimary = true;
    lease.mChange = 1;
    world.mFleet.Confirm(lease, Clock::now(), [&](bool aIsSo) { isConfirmed = aIsSo; });
    auto third = world.mDatabases.Accept("third");
    auto other = world.mDatabases.Accept("new");
    world.ReplacePrimary("new");
    third->Answer(FleetWorld::Status("replica 1"));
    other->Answer(FleetWorld::Status("replica 1"));
    CPPUNIT_ASSERT(!isConfirmed);
  }

  // Guards against a promotion while statements still run at the old primary. Their
  // connections belong to an earlier list entry of that database. The database has been
  // listed again at another address since, so a check of the current pool alone would
  // miss them. The same holds if the database has been removed from the list.
  void StandingDownWaitsForStatementsOnConnectionsOfAnEarlierEntry()
  {
    auto& world = *mWorld;
    auto link = BeginAndWrite();
    world.List("old", "10.0.0.2:1");
    CPPUNIT_ASSERT(!world.StandDown(2));
    world.RunFor(milliseconds(400));
    CPPUNIT_ASSERT(*world.mHasStoodDown);
    CPPUNIT_ASSERT(link->mIsClosed);
  }

  // Guards against two sessions that use one connection at the same time. Connections
  // are numbered per list entry of a database, so a connection of an earlier entry may
  // be released under a number that is in use for the new entry too.
  void ConnectionOfAnEarlierEntryIsNotTakenForOneOfTheNewEntry()
  {
    auto& world = *mWorld;
    auto link = BeginAndWrite();
    world.List("old", "10.0.0.2:1");
    auto first = world.Connect("strict");
    world.Ask(*first, RequestKind::Write, "WRITE c d");
    auto busy = world.mDatabases.Accept("old");
    CPPUNIT_ASSERT(busy->IsBusy());
    world.Ask(*mSession, RequestKind::Rollback);
    if (link->IsBusy()) {
      link->Answer(FleetWorld::Done());
    }
    auto second = world.Connect("strict");
    world.Ask(*second, RequestKind::Write, "WRITE e f");
    CPPUNIT_ASSERT_EQUAL(1, busy->mBatches);
  }

  // Guards against reads with a maximum age that miss commits. A statement is sent to a
  // replica, the replica becomes the primary, and the late reply's log position is then
  // taken for the primary's.
  void ReplyToAStatementSentToAReplicaDoesNotSetThePrimarysHead()
  {
    auto& world = *mWorld;
    ConnectionLease lease;
    lease.mDatabase = "new";
    lease.mGroup = "g";
    auto sentAt = Clock::now() - milliseconds(1);
    world.ReplacePrimary("new");
    world.mFleet.OnReply(lease, FleetWorld::Done(), sentAt);
    CPPUNIT_ASSERT(!world.mFleet.HeadSince("g", sentAt));
    world.mFleet.OnReply(lease, FleetWorld::Done(), Clock::now());
    CPPUNIT_ASSERT(world.mFleet.HeadSince("g", sentAt).has_value());
  }

  // Guards against reads with a maximum age that miss commits. The unconfirmed log
  // position of a replaced primary would count as confirmed by a round of status
  // queries about its successor.
  void HeadProposedForAReplacedPrimaryIsNotConfirmedByTheNextOne()
  {
    auto& world = *mWorld;
    ConnectionLease lease;
    lease.mDatabase = "old";
    lease.mGroup = "g";
    auto sentAt = Clock::now();
    world.StandDown(2);
    world.mFleet.OnReply(lease, FleetWorld::Done(), sentAt);
    world.ReplacePrimary("new");
    lease.mDatabase = "new";
    lease.mIsPrimary = true;
    lease.mChange = 2;
    bool isConfirmed = false;
    world.mFleet.Confirm(lease, Clock::now(), [&](bool aIsSo) { isConfirmed = aIsSo; });
    for (const char* it : { "old", "third" }) {
      world.mDatabases.Accept(it)->Answer(FleetWorld::Status("replica 2"));
    }
    CPPUNIT_ASSERT(isConfirmed);
    CPPUNIT_ASSERT(!world.mFleet.HeadSince("g", sentAt));
  }

  // Guards against new work at a replica that is being removed. A read had been waiting
  // there for a connection when the removal began.
  void ReadThatWaitedAtAReplicaThatLeavesRunsElsewhere()
  {
    auto& world = *mWorld;
    ConnectionLease lease;
    lease.mDatabase = "old";
    lease.mGroup = "g";
    lease.mIsPrimary = true;
    lease.mChange = 1;
    world.mFleet.OnReply(lease, FleetWorld::Done(), Clock::now());
    mSession = world.Connect("aged");
    world.Ask(*mSession, RequestKind::Read, "READ a");
    CPPUNIT_ASSERT(world.mDatabases.IsOpening("new"));
    world.mFleet.OnListed(
      { "new", "g", "z", "10.0.0.1:1", 3, true, DatabaseRole::Unknown, 0 });
    CPPUNIT_ASSERT_EQUAL(0, world.mDatabases.Accept("new")->mBatches);
    world.mFleet.Tick();
    CPPUNIT_ASSERT_EQUAL(1, world.mDatabases.Accept("third")->mBatches);
  }

  // Guards against a detour of every session while a replica lags. Load: two sessions
  // read one after the other; the replica refuses the first read as behind.
  void NextReadPassesOverAReplicaThatWasBehind()
  {
    Settings settings;
    settings.mName = "home";
    settings.mZone = "z";
    FleetWorld world(settings);
    std::vector<MemberRecord> daemons{ { "home", "z", "h:1", 1, false, 64 } };
    for (int n = 0; n < 40; ++n) {
      daemons.push_back({ "d" + std::to_string(n), "z", "d:1", 1, false, 0.01 });
    }
    world.mFleet.SetDaemons(daemons);
    ConnectionLease lease;
    lease.mDatabase = "old";
    lease.mGroup = "g";
    lease.mIsPrimary = true;
    lease.mChange = 1;
    world.mFleet.OnReply(lease, FleetWorld::Done(), Clock::now());
    auto first = world.Connect("aged");
    world.Ask(*first, RequestKind::Read, "READ a");
    auto lagging = world.mDatabases.Accept("new");
    CPPUNIT_ASSERT_EQUAL(1, lagging->mBatches);
    ConnectionReply behind;
    behind.mCode = ReplyCode::Behind;
    lagging->Answer(behind);
    auto other = world.mDatabases.Accept("third");
    CPPUNIT_ASSERT_EQUAL(1, other->mBatches);
    auto second = world.Connect("aged");
    world.Ask(*second, RequestKind::Read, "READ b");
    CPPUNIT_ASSERT_EQUAL(1, lagging->mBatches);
    // After the pause, one read tries the replica and the next one does not.
    world.RunFor(milliseconds(60));
    auto third = world.Connect("aged");
    world.Ask(*third, RequestKind::Read, "READ c");
    CPPUNIT_ASSERT_EQUAL(2, lagging->mBatches);
    auto fourth = world.Connect("aged");
    world.Ask(*fourth, RequestKind::Read, "READ d");
    CPPUNIT_ASSERT(!world.mDatabases.IsOpening("new"));
  }

  std::unique_ptr<FleetWorld> mWorld;
  std::shared_ptr<CallerRun> mSession;

  // Guards against a coordinator that takes commits to wait for no replica because it
  // knows no configuration of the group.
  void SynchronousReplicasAreUnknownWithoutTheGroupsConfiguration()
  {
    auto& fleet = mWorld->mFleet;
    fleet.SetCatalogue(nullptr);
    CPPUNIT_ASSERT(!fleet.SyncReplicas("g"));
    auto catalogue = std::make_shared<Catalogue>();
    auto& group = catalogue->mServices["s"].mGroups.emplace_back();
    group.mName = "g";
    group.mSyncReplicas = 2;
    fleet.SetCatalogue(catalogue);
    CPPUNIT_ASSERT(fleet.SyncReplicas("g") == std::uint32_t{ 2 });
    CPPUNIT_ASSERT(!fleet.SyncReplicas("other"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DatabaseFleetTest);
