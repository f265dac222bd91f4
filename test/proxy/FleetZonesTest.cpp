#include "FakeDatabases.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace sesameway;
using namespace sesameway::proxy;
using namespace sesameway::test;

// Covers which databases get statements while zones are evacuated. Each database is in
// a zone of its own name; "old" is the primary.
class FleetZonesTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(FleetZonesTest);
  CPPUNIT_TEST(ReadsAvoidAnEvacuatedZone);
  CPPUNIT_TEST(AWaitingReadLeavesAnEvacuatedZone);
  CPPUNIT_TEST(WhatNeedsAnEvacuatedPrimaryIsRefusedAtOnce);
  CPPUNIT_TEST(AWriteWaitsForTheNewPrimary);
  CPPUNIT_TEST(AGroupWithoutADatabaseOutsideIsRefused);
  CPPUNIT_TEST(AnOpenTransactionIsEnded);
  CPPUNIT_TEST(ReadsStayInTheAllowedRegions);
  CPPUNIT_TEST(NothingLeavesTheAllowedRegions);
  CPPUNIT_TEST(AColdDatabaseGetsItsRate);
  CPPUNIT_TEST(AStatementInProgressFinishesBeforeItsTransactionEnds);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    Settings settings;
    settings.mName = "d";
    settings.mEvacuateWithin = seconds(5);
    settings.mRegions = { { "old", "r1" }, { "new", "r2" }, { "third", "r2" } };
    mWorld = std::make_unique<FleetWorld>(settings);
    for (const char* it : { "old", "new", "third" }) {
      mWorld->Move(it, it);
    }
  }
  void tearDown() override
  {
    mSession.reset();
    mWorld.reset();
  }

private:
  static std::string Code(const char* aCode) { return aCode; }
  void Evacuate(const std::string& aZone)
  {
    mWorld->mFleet.OnEvacuation(aZone, "{}", ++mRevision);
  }
  // Reports a log position of the primary, so that replicas may serve reads.
  void NoteHead()
  {
    ConnectionLease lease;
    lease.mDatabase = "old";
    lease.mGroup = "g";
    lease.mIsPrimary = true;
    lease.mChange = 1;
    mWorld->mFleet.OnReply(lease, FleetWorld::Done(), Clock::now());
  }
  void Ask(const char* aRoute, RequestKind aKind)
  {
    mSession = mWorld->Connect(aRoute);
    mWorld->Ask(*mSession, aKind, "X a b");
  }
  std::shared_ptr<FakeLink> BeginAndWrite()
  {
    Ask("strict", RequestKind::Begin);
    mWorld->Ask(*mSession, RequestKind::Write, "WRITE a b");
    auto link = mWorld->mDatabases.Accept("old");
    link->Answer(FleetWorld::Done(TransactionState::Open));
    link->Answer(FleetWorld::Done(TransactionState::Open));
    return link;
  }

  // Guards against new reads in an evacuated zone, and against a zone that stays
  // without them after its evacuation has ended.
  void ReadsAvoidAnEvacuatedZone()
  {
    NoteHead();
    Evacuate("new");
    Ask("aged", RequestKind::Read);
    CPPUNIT_ASSERT(!mWorld->mDatabases.IsOpening("new"));
    CPPUNIT_ASSERT(mWorld->mDatabases.IsOpening("third"));
    mWorld->mFleet.OnEvacuationRemoved("new", ++mRevision);
    Evacuate("third");
    auto other = mWorld->Connect("aged");
    mWorld->Ask(*other, RequestKind::Read, "READ a");
    CPPUNIT_ASSERT(mWorld->mDatabases.IsOpening("new"));
  }

  // Guards against a read that reaches an evacuated zone because it had been waiting
  // there for a connection.
  void AWaitingReadLeavesAnEvacuatedZone()
  {
    NoteHead();
    Ask("aged", RequestKind::Read);
    CPPUNIT_ASSERT(mWorld->mDatabases.IsOpening("new"));
    Evacuate("new");
    CPPUNIT_ASSERT_EQUAL(0, mWorld->mDatabases.Accept("new")->mBatches);
    CPPUNIT_ASSERT_EQUAL(1, mWorld->mDatabases.Accept("third")->mBatches);
  }

  // Guards against writes that wait until their deadline for a primary that no longer
  // takes any.
  void WhatNeedsAnEvacuatedPrimaryIsRefusedAtOnce()
  {
    Evacuate("old");
    Ask("strict", RequestKind::Write);
    CPPUNIT_ASSERT_EQUAL(Code("busy"), mWorld->LastCode());
    const auto& detail = mWorld->mStream->mAnswers.back().mDetail;
    CPPUNIT_ASSERT(detail.starts_with("zone_evacuated retry_after_ms="));
    CPPUNIT_ASSERT(!mWorld->mDatabases.IsOpening("old"));
  }

  // Guards against writes that are refused although another database is about to become
  // the primary.
  void AWriteWaitsForTheNewPrimary()
  {
    Evacuate("old");
    mWorld->Record(GroupPhase::Changing, 2, 1, "old");
    Ask("strict", RequestKind::Write);
    CPPUNIT_ASSERT_EQUAL(Code("none"), mWorld->LastCode());
    mWorld->Record(GroupPhase::Serving, 2, 2, "new");
    mWorld->mFleet.SetContact(Clock::now());
    mWorld->mFleet.Tick();
    mWorld->mDatabases.Accept("new")->Answer(FleetWorld::Done());
    CPPUNIT_ASSERT_EQUAL(Code("done"), mWorld->LastCode());
  }

  // Guards against reads and writes that wait in vain, also during a change of primary.
  void AGroupWithoutADatabaseOutsideIsRefused()
  {
    NoteHead();
    for (const char* it : { "old", "new", "third" }) {
      Evacuate(it);
    }
    Ask("aged", RequestKind::Read);
    CPPUNIT_ASSERT_EQUAL(Code("busy"), mWorld->LastCode());
    mWorld->Record(GroupPhase::Changing, 2, 1, "old");
    Ask("strict", RequestKind::Write);
    CPPUNIT_ASSERT_EQUAL(Code("busy"), mWorld->LastCode());
  }

  // Sets the regions that the routes and the organisation allow.
  void Allow(AllowedRegions aRoutes, const AllowedRegions& aOrganisation)
  {
    auto catalogue = std::make_shared<Catalogue>(*mWorld->mEnvironment.mCatalogue);
    for (auto& it : catalogue->mRoutes) {
      it.second.mAllowedRegions = aRoutes;
    }
    catalogue->mOrganisations["acme"].mAllowedRegions = aOrganisation;
    mWorld->mEnvironment.mCatalogue = catalogue;
  }

  // Guards against a statement's text that reaches a region which the organisation does
  // not allow, although the route does.
  void ReadsStayInTheAllowedRegions()
  {
    NoteHead();
    mWorld->Move("third", "old");
    Allow(AllowedRegions({ "r1", "r2" }), AllowedRegions({ "r1" }));
    for (int n = 0; n < 5; ++n) {
      Ask("aged", RequestKind::Read);
    }
    CPPUNIT_ASSERT(!mWorld->mDatabases.IsOpening("new"));
    CPPUNIT_ASSERT(mWorld->mDatabases.IsOpening("third"));
  }

  // Guards against a statement that waits, or goes elsewhere, because no database is in
  // an allowed region, or only the primary of another region could run it.
  void NothingLeavesTheAllowedRegions()
  {
    NoteHead();
    Allow(AllowedRegions({ "r1" }), AllowedRegions({ "r2" }));
    Ask("aged", RequestKind::Read);
    CPPUNIT_ASSERT_EQUAL(Code("busy"), mWorld->LastCode());
    Allow(AllowedRegions({ "r2" }), AllowedRegions());
    Ask("strict", RequestKind::Write);
    CPPUNIT_ASSERT_EQUAL(Code("busy"), mWorld->LastCode());
    CPPUNIT_ASSERT(mWorld->mDatabases.mOpenings.empty());
  }

  // Guards against a transaction that keeps an evacuated database in use, and against
  // one that is ended before its time.
  void AnOpenTransactionIsEnded()
  {
    auto link = BeginAndWrite();
    Evacuate("old");
    mSession->EndTransactionIfEvacuated();
    CPPUNIT_ASSERT_EQUAL(2, link->mBatches);
    mWorld->RunFor(kEvacuatedTransactionTime + milliseconds(20));
    mSession->EndTransactionIfEvacuated();
    CPPUNIT_ASSERT(link->mSent.back().mKind == CommandKind::Rollback);
    mWorld->Ask(*mSession, RequestKind::Read, "READ a");
    CPPUNIT_ASSERT_EQUAL(Code("aborted"), mWorld->LastCode());
    CPPUNIT_ASSERT_EQUAL(3, link->mBatches);
  }

  // Guards against a caller whose transaction never ends because its statements follow
  // one another without a pause, and against the loss of an answer that is on its way.
  void AStatementInProgressFinishesBeforeItsTransactionEnds()
  {
    auto link = BeginAndWrite();
    Evacuate("old");
    mWorld->Ask(*mSession, RequestKind::Read, "READ a");
    mWorld->RunFor(kEvacuatedTransactionTime + milliseconds(20));
    mSession->EndTransactionIfEvacuated();
    mWorld->mFleet.SetContact(Clock::now());
    link->Answer(FleetWorld::Done(TransactionState::Open));
    CPPUNIT_ASSERT_EQUAL(Code("done"), mWorld->LastCode());
    mWorld->Ask(*mSession, RequestKind::Commit, "COMMIT");
    CPPUNIT_ASSERT_EQUAL(Code("aborted"), mWorld->LastCode());
    CPPUNIT_ASSERT(link->mSent.back().mKind == CommandKind::Rollback);
  }

  // Guards against reads at a cold database while another one serves, against writes
  // above the rate of a cold primary that wait instead of being refused, and against a
  // daemon that takes a share before it is known to the others. Answers two writes at
  // once at a rate of four per second.
  void AColdDatabaseGetsItsRate()
  {
    auto catalogue = std::make_shared<Catalogue>(*mWorld->mEnvironment.mCatalogue);
    catalogue->mServices["s"].mGroups.front().mColdPerS = 4;
    mWorld->mFleet.SetCatalogue(catalogue);
    for (const char* it : { "new", "old" }) {
      ListedDatabase cold{ it, "g", it, "10.0.0.1:1", 3 };
      cold.mColdMs = 60'000;
      mWorld->mFleet.OnListed(cold);
    }
    NoteHead();
    Ask("aged", RequestKind::Read);
    CPPUNIT_ASSERT(!mWorld->mDatabases.IsOpening("new"));
    CPPUNIT_ASSERT(mWorld->mDatabases.IsOpening("third"));
    mWorld->RunFor(milliseconds(300));
    mWorld->mFleet.SetContact(Clock::now());
    Ask("strict", RequestKind::Write);
    CPPUNIT_ASSERT_EQUAL(Code("busy"), mWorld->LastCode());
    mWorld->mFleet.SetDaemonNames({ "d" });
    Ask("strict", RequestKind::Write);
    CPPUNIT_ASSERT_EQUAL(Code("none"), mWorld->LastCode());
    auto other = mWorld->Connect("strict");
    mWorld->Ask(*other, RequestKind::Write, "WRITE a b");
    CPPUNIT_ASSERT_EQUAL(Code("busy"), mWorld->LastCode());
  }

  std::unique_ptr<FleetWorld> mWorld;
  std::shared_ptr<CallerRun> mSession;
  std::uint64_t mRevision = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetZonesTest);
