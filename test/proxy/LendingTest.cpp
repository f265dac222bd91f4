#include "FakeDatabases.h"
#include "FakePeers.h"

#include <cppunit/extensions/HelperMacros.h>

namespace sesameway::test {
namespace {

// A fleet in which the databases accept fewer connections than two per daemon, with a
// home of the primary, its second home and a daemon that borrows from them.
class LendingWorld
{
public:
  LendingWorld()
  {
    for (int n = 0; n < 40; ++n) {
      auto name = "d" + std::to_string(n);
      mDaemons.push_back({ name, "z", name + ":1", 1, false, 1.0 });
    }
    HomeFleet fleet(mDaemons, {});
    auto plan = PlanHomes({ "d0", "old", "z", 22 }, fleet);
    mHomes = plan.mHomes;
    for (const auto& it : mDaemons) {
      if (PlanHomes({ it.mName, "old", "z", 22 }, fleet).mRole == HomeRole::Borrower) {
        mBorrowerName = it.mName;
      }
    }
    mFirst = Start(mHomes[0]);
    mSecond = Start(mHomes[1]);
    mBorrower = Start(mBorrowerName);
    Serve(mHomes[0], *mFirst);
    Serve(mHomes[1], *mSecond);
  }

  std::unique_ptr<FleetWorld> Start(const std::string& aName)
  {
    proxy::Settings settings;
    settings.mName = aName;
    settings.mZone = "z";
    auto world = std::make_unique<FleetWorld>(settings);
    world->mFleet.SetPeers(&mPeers);
    world->mFleet.SetDaemons(mDaemons);
    return world;
  }
  void Serve(const std::string& aName, FleetWorld& aWorld)
  {
    mPeers.mLenders[aName + ":1"] = [&aWorld](const auto& aRequest, auto aDone) {
      aWorld.mFleet.Lend(aRequest, std::move(aDone));
    };
  }
  // Runs what the daemons have posted to their event loops.
  void Run(Duration aTime = milliseconds(5))
  {
    for (int n = 0; n < 4; ++n) {
      for (auto* it : { mBorrower.get(), mFirst.get(), mSecond.get() }) {
        it->RunFor(aTime / 4);
      }
    }
  }
  // Begins a read of the borrower's session at the primary and accepts the connection
  // that the home opens for it, if it opens one.
  std::shared_ptr<FakeLink> Read(proxy::CallerRun& aSession)
  {
    mBorrower->Ask(aSession, proxy::RequestKind::Read, "READ 1");
    Run();
    auto link = mFirst->mDatabases.Accept("old");
    Run();
    return link;
  }

  FakePeers mPeers;
  std::vector<MemberRecord> mDaemons;
  std::vector<std::string> mHomes;
  std::string mBorrowerName;
  std::unique_ptr<FleetWorld> mFirst;
  std::unique_ptr<FleetWorld> mSecond;
  std::unique_ptr<FleetWorld> mBorrower;
};

} // namespace

class LendingTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(LendingTest);
  CPPUNIT_TEST(StatementsOfABorrowerShareTheHomesConnection);
  CPPUNIT_TEST(ValuesOnALentConnectionAreKnownToTheNextBorrower);
  CPPUNIT_TEST(StatementsWaitAtTheHomeForASlot);
  CPPUNIT_TEST(StatementThatCanNotBeServedInTimeIsRefusedAtOnce);
  CPPUNIT_TEST(SecondHomeLendsWhileTheFirstDoesNotAnswer);
  CPPUNIT_TEST(DaemonWithoutAnyHomeOpensOneConnection);
  CPPUNIT_TEST(StoppingHomeLendsNoMore);
  CPPUNIT_TEST(StatementThatWaitsAtAStoppedHomeIsNotUnknown);
  CPPUNIT_TEST(AllIdleLinksAreTakenBackWhileOthersWaitForThem);
  CPPUNIT_TEST(TransactionOfAGoneBorrowerEndsWithItsConnection);
  CPPUNIT_TEST(BorrowerReportsNothingOfAPrimary);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against a new connection for each statement, which costs the database
  // working time.
  void StatementsOfABorrowerShareTheHomesConnection()
  {
    LendingWorld world;
    auto session = world.mBorrower->Connect("strict");
    auto link = world.Read(*session);
    CPPUNIT_ASSERT(link != nullptr);
    CPPUNIT_ASSERT_EQUAL(1, link->mBatches);
    link->Answer(FleetWorld::Done());
    world.Run();
    CPPUNIT_ASSERT_EQUAL(std::string("done"), world.mBorrower->LastCode());
    CPPUNIT_ASSERT(world.Read(*session) == nullptr);
    CPPUNIT_ASSERT_EQUAL(2, link->mBatches);
    CPPUNIT_ASSERT(world.mBorrower->mDatabases.mOpenings.empty());
  }

  // Guards against a session that sees the values of the session before it, and against
  // setting values anew that the connection already has.
  void ValuesOnALentConnectionAreKnownToTheNextBorrower()
  {
    LendingWorld world;
    auto first = world.mBorrower->Connect("strict");
    proxy::CallerRequest set;
    set.mKind = proxy::RequestKind::Set;
    set.mName = "tz";
    set.mArgument = "utc";
    first->OnRequest(set);
    auto link = world.Read(*first);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), link->mSent.size());
    link->Answer(FleetWorld::Done());
    world.Run();
    world.Read(*first);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), link->mSent.size());
    link->Answer(FleetWorld::Done());
    world.Run();
    auto other = world.mBorrower->Connect("strict");
    world.Read(*other);
    CPPUNIT_ASSERT(link->mSent.front().mKind == CommandKind::Reset);
  }

  // Guards against more statements at a database than it has shown that it can take.
  void StatementsWaitAtTheHomeForASlot()
  {
    LendingWorld world;
    auto first = world.mBorrower->Connect("strict");
    auto link = world.Read(*first);
    auto second = world.mBorrower->Connect("strict");
    auto other = world.Read(*second);
    CPPUNIT_ASSERT(other == nullptr || other->mBatches == 0);
    link->Answer(FleetWorld::Done());
    world.Run();
    bool isRunning = link->mBatches == 2 || (other && other->mBatches == 1);
    CPPUNIT_ASSERT(isRunning);
  }

  // Guards against a caller that waits until its deadline for a refusal that was
  // certain on arrival.
  void StatementThatCanNotBeServedInTimeIsRefusedAtOnce()
  {
    LendingWorld world;
    world.mPeers.mLenders[world.mHomes[0] + ":1"] = [](const auto&, auto aDone) {
      peer::LinkOffer offer;
      offer.mRefusal = peer::LinkRefusal::Overloaded;
      offer.mRetryAt = Clock::now() + seconds(2);
      aDone(std::move(offer));
    };
    auto session = world.mBorrower->Connect("strict");
    world.mBorrower->Ask(*session, proxy::RequestKind::Read, "READ 1");
    world.Run();
    CPPUNIT_ASSERT_EQUAL(std::string("busy"), world.mBorrower->LastCode());
    const auto& detail = world.mBorrower->mStream->mAnswers.back().mDetail;
    CPPUNIT_ASSERT(detail.find("retry_after_ms=") != std::string::npos);
  }

  // Guards against a database that nobody uses because one daemon has died.
  void SecondHomeLendsWhileTheFirstDoesNotAnswer()
  {
    LendingWorld world;
    world.mPeers.mLenders.erase(world.mHomes[0] + ":1");
    auto session = world.mBorrower->Connect("strict");
    world.mBorrower->Ask(*session, proxy::RequestKind::Read, "READ 1");
    world.Run();
    auto link = world.mSecond->mDatabases.Accept("old");
    CPPUNIT_ASSERT(link != nullptr);
    world.Run();
    link->Answer(FleetWorld::Done());
    world.Run();
    CPPUNIT_ASSERT_EQUAL(std::string("done"), world.mBorrower->LastCode());
  }

  // Guards against a daemon that is cut off from both homes, but not from the database,
  // and serves nobody; and against one that then uses up the database's connections.
  void DaemonWithoutAnyHomeOpensOneConnection()
  {
    LendingWorld world;
    world.mPeers.mLenders.clear();
    auto first = world.mBorrower->Connect("strict");
    world.mBorrower->Ask(*first, proxy::RequestKind::Read, "READ 1");
    world.Run();
    auto second = world.mBorrower->Connect("strict");
    world.mBorrower->Ask(*second, proxy::RequestKind::Read, "READ 1");
    world.Run();
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), world.mBorrower->mDatabases.mOpenings.size());
    CPPUNIT_ASSERT_EQUAL(std::string("busy"), world.mBorrower->LastCode());
  }

  // Guards against statements that are cut off because their home ends.
  void StoppingHomeLendsNoMore()
  {
    LendingWorld world;
    auto session = world.mBorrower->Connect("strict");
    auto link = world.Read(*session);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), world.mFirst->mFleet.LentCount());
    world.mFirst->mFleet.StopLending();
    link->Answer(FleetWorld::Done());
    world.Run();
    CPPUNIT_ASSERT_EQUAL(std::string("done"), world.mBorrower->LastCode());
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), world.mFirst->mFleet.LentCount());
    CPPUNIT_ASSERT(world.Read(*session) == nullptr);
    CPPUNIT_ASSERT(world.mSecond->mDatabases.Accept("old") != nullptr);
  }

  // Guards against a write that its caller must take for possibly done although it had
  // only waited at a home when that ended.
  void StatementThatWaitsAtAStoppedHomeIsNotUnknown()
  {
    LendingWorld world;
    auto& borrower = *world.mBorrower;
    auto first = borrower.Connect("strict");
    auto running = borrower.mStream;
    borrower.Ask(*first, proxy::RequestKind::Write, "WRITE 1 v");
    world.Run();
    auto link = world.mFirst->mDatabases.Accept("old");
    world.Run();
    CPPUNIT_ASSERT_EQUAL(1, link->mBatches);
    auto second = borrower.Connect("strict");
    borrower.Ask(*second, proxy::RequestKind::Write, "WRITE 2 v");
    world.Run();
    auto other = world.mFirst->mDatabases.Accept("old");
    world.Run();
    CPPUNIT_ASSERT(other != nullptr && other->mBatches == 0);
    world.mFirst->mFleet.StopStarting();
    world.mFirst->mFleet.TakeBackAllLinks();
    world.Run();
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), world.mFirst->mFleet.LentCount());
    CPPUNIT_ASSERT_EQUAL(std::string("busy"), borrower.LastCode());
    CPPUNIT_ASSERT(running->mAnswers.back().mCode == ReplyCode::Unknown);
  }

  // Guards against links that stay lent, or a home that ends by itself: a connection
  // that is taken back is lent anew at once if somebody waits for it.
  void AllIdleLinksAreTakenBackWhileOthersWaitForThem()
  {
    LendingWorld world;
    auto& home = *world.mFirst;
    std::vector<std::shared_ptr<peer::LentLink>> links;
    auto lend = [&] {
      peer::LinkRequest request;
      request.mDatabase = "old";
      request.mGroup = "g";
      request.mOrganisation = "acme";
      request.mTerms.mDeadline = Clock::now() + seconds(5);
      home.mFleet.Lend(request,
                       [&](peer::LinkOffer aOffer) { links.push_back(aOffer.mLink); });
      home.RunFor(milliseconds(2));
      home.mDatabases.Accept("old");
      home.RunFor(milliseconds(2));
      return links.size();
    };
    // Requests wait once the home's connections are used up.
    std::size_t lent = 0;
    while (lend() > lent) {
      lent = links.size();
    }
    for (std::size_t n = 1; n < lent; ++n) {
      lend();
    }
    CPPUNIT_ASSERT_EQUAL(lent, home.mFleet.LentCount());
    home.mFleet.TakeBackIdleLinks();
    CPPUNIT_ASSERT_EQUAL(2 * lent, links.size());
    CPPUNIT_ASSERT_EQUAL(lent, home.mFleet.LentCount());
  }

  // Guards against an open transaction that the next borrower of its connection joins.
  void TransactionOfAGoneBorrowerEndsWithItsConnection()
  {
    LendingWorld world;
    auto session = world.mBorrower->Connect("strict");
    world.mBorrower->Ask(*session, proxy::RequestKind::Begin, "BEGIN");
    auto link = world.Read(*session);
    link->Answer(FleetWorld::Done(TransactionState::Open));
    world.Run();
    link->Answer(FleetWorld::Done(TransactionState::Open));
    world.Run();
    CPPUNIT_ASSERT_EQUAL(std::string("done"), world.mBorrower->LastCode());
    session.reset();
    world.mBorrower.reset();
    world.mFirst->RunFor(milliseconds(5));
    CPPUNIT_ASSERT(link->mIsClosed);
  }

  // Guards against the replacement of a healthy primary because its home is silent.
  void BorrowerReportsNothingOfAPrimary()
  {
    LendingWorld world;
    auto session = world.mBorrower->Connect("strict");
    auto link = world.Read(*session);
    auto now = Clock::now();
    CPPUNIT_ASSERT(!world.mBorrower->mFleet.Silence("old", now));
    CPPUNIT_ASSERT(world.mFirst->mFleet.Silence("old", now).has_value());
    link->Answer(FleetWorld::Done());
    world.Run();
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LendingTest);

} // namespace sesameway::test
