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

  // A transaction at the old primary that has written.
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

  // Guards against a write that is acknowledged by a replaced primary: its connection
  // was asked for before the change and opens after it.
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

  // Guards against a read with an age that a replaced primary answers as if it were
  // fresh.
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

  // Guards against a commit at a replaced primary by a daemon that learns of the change
  // from the store alone.
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

  // Guards against a commit that was under way during the change and is acknowledged
  // once the new primary is known.
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

  // Guards against an answer that is confirmed by databases that were asked about
  // another primary.
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

  // Guards against an order to promote while statements run at a primary of which the
  // daemon knows only a later entry, or none.
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

  // Guards against two sessions on one connection: a connection of an earlier entry is
  // returned under a number that the new entry uses too.
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

  // Guards against reads with an age that lack commits: a replica's answer, late, is
  // taken for the head of the primary that the replica has become.
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

  // Guards against reads with an age that lack commits: the head of a replaced primary
  // counts as confirmed, by databases that were asked about the next one.
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

  // Guards against new work at a database that leaves: a read waited there for its
  // connection.
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

  std::unique_ptr<FleetWorld> mWorld;
  std::shared_ptr<CallerRun> mSession;
};

CPPUNIT_TEST_SUITE_REGISTRATION(DatabaseFleetTest);
