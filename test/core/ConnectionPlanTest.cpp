#include "sesameway/ConnectionPlan.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <optional>
#include <set>

using namespace sesameway;

namespace {

constexpr TimePoint kStart{ seconds(1000) };

template<typename Action>
std::vector<Action> Only(const ConnectionPlan::Actions& aActions)
{
  std::vector<Action> found;
  for (const auto& it : aActions) {
    if (const auto* action = std::get_if<Action>(&it)) {
      found.push_back(*action);
    }
  }
  return found;
}

// Carries out the actions of a ConnectionPlan and checks the invariants: at most as
// many connections as the limit, and each granted to one statement of its own
// organisation.
class PlanHarness
{
public:
  explicit PlanHarness(std::size_t aLimit)
    : mPlan(aLimit)
    , mLimit(aLimit)
  {
  }

  void Request(std::uint64_t aTicket,
               const std::string& aOrganisation,
               std::uint32_t aPriority,
               Duration aTimeout)
  {
    mWaiting.insert(aTicket);
    mOrganisations[aTicket] = aOrganisation;
    Do(mPlan.Add({ aTicket, aOrganisation, aPriority, mNow + aTimeout }, mNow));
  }
  void Release(std::uint64_t aTicket)
  {
    auto connection = mGranted.at(aTicket);
    mGranted.erase(aTicket);
    Do(mPlan.OnReleased(connection, mNow));
  }
  void FinishOpening(bool aIsDone)
  {
    if (mOpening.empty()) {
      return;
    }
    auto id = *mOpening.begin();
    mOpening.erase(mOpening.begin());
    if (aIsDone) {
      mOpen.insert(id);
      Do(mPlan.OnOpened(id, mNow));
    } else {
      Do(mPlan.OnOpenFailed(id, mNow + milliseconds(50), mNow));
    }
  }
  void AdvanceTime(Duration aTime)
  {
    mNow += aTime;
    Do(mPlan.OnTick(mNow));
  }
  void Do(const ConnectionPlan::Actions& aActions)
  {
    for (const auto& it : aActions) {
      std::visit([this](const auto& aAction) { Do(aAction); }, it);
    }
    RC_ASSERT(mOpen.size() + mOpening.size() <= mLimit);
  }
  void Do(const ConnectionPlan::Grant& aGrant)
  {
    RC_ASSERT(mOpen.count(aGrant.mConnection) == 1);
    RC_ASSERT(mWaiting.erase(aGrant.mTicket) == 1);
    RC_ASSERT(mOwner.at(aGrant.mConnection) == mOrganisations.at(aGrant.mTicket));
    for (const auto& it : mGranted) {
      RC_ASSERT(it.second != aGrant.mConnection);
    }
    mGranted[aGrant.mTicket] = aGrant.mConnection;
  }
  void Do(const ConnectionPlan::Open& aOpen)
  {
    mOpening.insert(aOpen.mConnection);
    mOwner[aOpen.mConnection] = aOpen.mOrganisation;
  }
  void Do(const ConnectionPlan::Close& aClose)
  {
    for (const auto& it : mGranted) {
      RC_ASSERT(it.second != aClose.mConnection);
    }
    RC_ASSERT(mOpen.erase(aClose.mConnection) == 1);
  }
  void Do(const ConnectionPlan::Refuse& aRefuse)
  {
    RC_ASSERT(mWaiting.erase(aRefuse.mTicket) == 1);
  }

  ConnectionPlan mPlan;
  std::size_t mLimit;
  TimePoint mNow = kStart;
  std::set<std::uint64_t> mWaiting;
  std::set<std::uint64_t> mOpening;
  std::set<std::uint64_t> mOpen;
  std::map<std::uint64_t, std::string> mOwner;
  std::map<std::uint64_t, std::string> mOrganisations;
  std::map<std::uint64_t, std::uint64_t> mGranted;
};

} // namespace

class ConnectionPlanTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ConnectionPlanTest);
  CPPUNIT_TEST(OpensUpToTheLimitThenWaits);
  CPPUNIT_TEST(GivesAReleasedConnectionToItsOwnOrganisationFirst);
  CPPUNIT_TEST(TakesAnIdleConnectionOfAnotherOrganisation);
  CPPUNIT_TEST(DoesNotLetOneOrganisationKeepAllConnections);
  CPPUNIT_TEST(ServesTheLowestPriorityNumberFirst);
  CPPUNIT_TEST(RefusesAtTheDeadline);
  CPPUNIT_TEST(OpensNothingWhileTheDatabaseRefuses);
  CPPUNIT_TEST(ALowerLimitClosesIdleConnections);
  CPPUNIT_TEST(InvariantsHoldInAnyOrderOfEvents);
  CPPUNIT_TEST(IdleConnectionIsClosedWhereConnectionsAreScarce);
  CPPUNIT_TEST(DatabaseThatTakesNoConnectionsIsExpectedToBeSlow);
  CPPUNIT_TEST_SUITE_END();

  static ConnectionPlan::Request Wanted(std::uint64_t aTicket,
                                        const std::string& aOrganisation,
                                        std::uint32_t aPriority = 1)
  {
    return { aTicket, aOrganisation, aPriority, kStart + seconds(1) };
  }

  // Returns a plan of limit 1 whose connection belongs to "a" and is held by ticket 1.
  static ConnectionPlan WithOneBusy(std::uint64_t& aConnection)
  {
    ConnectionPlan plan(1);
    aConnection =
      Only<ConnectionPlan::Open>(plan.Add(Wanted(1, "a"), kStart)).at(0).mConnection;
    plan.OnOpened(aConnection, kStart);
    return plan;
  }

  void OpensUpToTheLimitThenWaits()
  {
    ConnectionPlan plan(2);
    CPPUNIT_ASSERT_EQUAL(
      std::size_t{ 1 },
      Only<ConnectionPlan::Open>(plan.Add(Wanted(1, "a"), kStart)).size());
    CPPUNIT_ASSERT_EQUAL(
      std::size_t{ 1 },
      Only<ConnectionPlan::Open>(plan.Add(Wanted(2, "a"), kStart)).size());
    CPPUNIT_ASSERT(plan.Add(Wanted(3, "a"), kStart).empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 3 }, plan.Waiting());
  }

  void GivesAReleasedConnectionToItsOwnOrganisationFirst()
  {
    std::uint64_t connection = 0;
    auto plan = WithOneBusy(connection);
    plan.Add(Wanted(2, "b"), kStart);
    plan.Add(Wanted(3, "a"), kStart);
    auto grants = Only<ConnectionPlan::Grant>(
      plan.OnReleased(connection, kStart + milliseconds(5)));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, grants.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 3 }, grants[0].mTicket);
  }

  void TakesAnIdleConnectionOfAnotherOrganisation()
  {
    std::uint64_t connection = 0;
    auto plan = WithOneBusy(connection);
    plan.OnReleased(connection, kStart);
    auto actions = plan.Add(Wanted(2, "b"), kStart);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, Only<ConnectionPlan::Close>(actions).size());
    CPPUNIT_ASSERT_EQUAL(std::string("b"),
                         Only<ConnectionPlan::Open>(actions).at(0).mOrganisation);
  }

  // Guards against starvation of an organisation that waits for its first connection
  // while another one sends statements without pause.
  void DoesNotLetOneOrganisationKeepAllConnections()
  {
    std::uint64_t connection = 0;
    auto plan = WithOneBusy(connection);
    plan.Add(Wanted(2, "b"), kStart);
    auto now = kStart;
    std::uint64_t ticket = 100;
    std::optional<TimePoint> turn;
    while (!turn && now < kStart + seconds(1)) {
      plan.Add(Wanted(ticket++, "a"), now);
      now += milliseconds(20);
      auto actions = plan.OnReleased(connection, now);
      if (!Only<ConnectionPlan::Open>(actions).empty()) {
        turn = now;
      }
    }
    CPPUNIT_ASSERT(turn.has_value());
    CPPUNIT_ASSERT(*turn - kStart < milliseconds(200));
  }

  void ServesTheLowestPriorityNumberFirst()
  {
    std::uint64_t connection = 0;
    auto plan = WithOneBusy(connection);
    plan.Add(Wanted(2, "a", 2), kStart);
    plan.Add(Wanted(3, "a", 1), kStart);
    auto grants = Only<ConnectionPlan::Grant>(plan.OnReleased(connection, kStart));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 3 }, grants.at(0).mTicket);
  }

  void RefusesAtTheDeadline()
  {
    std::uint64_t connection = 0;
    auto plan = WithOneBusy(connection);
    plan.Add(Wanted(2, "a"), kStart);
    CPPUNIT_ASSERT(plan.NextTick() == kStart + seconds(1));
    auto refused = Only<ConnectionPlan::Refuse>(plan.OnTick(kStart + seconds(1)));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, refused.size());
    CPPUNIT_ASSERT(refused[0].mRetryAt > kStart + seconds(1));
    CPPUNIT_ASSERT(plan.NextTick() == TimePoint::max());
  }

  void OpensNothingWhileTheDatabaseRefuses()
  {
    ConnectionPlan plan(2);
    auto open = Only<ConnectionPlan::Open>(plan.Add(Wanted(1, "a"), kStart)).at(0);
    auto again = kStart + milliseconds(40);
    CPPUNIT_ASSERT(plan.OnOpenFailed(open.mConnection, again, kStart).empty());
    CPPUNIT_ASSERT(plan.Add(Wanted(2, "b"), kStart).empty());
    CPPUNIT_ASSERT(plan.NextTick() == again);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 },
                         Only<ConnectionPlan::Open>(plan.OnTick(again)).size());
  }

  void ALowerLimitClosesIdleConnections()
  {
    std::uint64_t connection = 0;
    auto plan = WithOneBusy(connection);
    CPPUNIT_ASSERT(plan.SetLimit(0, kStart).empty());
    CPPUNIT_ASSERT_EQUAL(
      std::size_t{ 1 },
      Only<ConnectionPlan::Close>(plan.OnReleased(connection, kStart)).size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, plan.Connections());
  }

  void InvariantsHoldInAnyOrderOfEvents()
  {
    CPPUNIT_ASSERT(rc::check([] {
      auto limit = *rc::gen::inRange<std::size_t>(1, 5);
      PlanHarness harness(limit);
      std::uint64_t ticket = 1;
      for (int n = 0; n < 80; ++n) {
        switch (*rc::gen::inRange(0, 5)) {
          case 0:
            harness.Request(
              ticket++,
              std::string(1, static_cast<char>('a' + *rc::gen::inRange(0, 4))),
              *rc::gen::inRange(0, 3),
              milliseconds(*rc::gen::inRange(1, 900)));
            break;
          case 1:
            if (!harness.mGranted.empty()) {
              harness.Release(harness.mGranted.begin()->first);
            }
            break;
          case 2:
            harness.FinishOpening(true);
            break;
          case 3:
            harness.FinishOpening(*rc::gen::inRange(0, 3) > 0);
            break;
          default:
            harness.AdvanceTime(milliseconds(*rc::gen::inRange(1, 200)));
        }
      }
      // Every statement must be answered once all connections have been opened and
      // released.
      for (int n = 0; n < 400 && !harness.mWaiting.empty(); ++n) {
        harness.FinishOpening(true);
        while (!harness.mGranted.empty()) {
          harness.Release(harness.mGranted.begin()->first);
        }
        harness.AdvanceTime(milliseconds(20));
      }
      RC_ASSERT(harness.mWaiting.empty());
    }));
  }

  // Guards against idle connections that use up a database's limit: 62 daemons with the
  // sessions of 73 organisations shared a database that accepts 70 connections. After a
  // power loss, connections left open occupied all 70 for seconds.
  void IdleConnectionIsClosedWhereConnectionsAreScarce()
  {
    for (std::size_t limit : { 1, 2, 3 }) {
      ConnectionPlan plan(limit);
      auto opened = Only<ConnectionPlan::Open>(
        plan.Add({ 1, "acme", 0, kStart + seconds(1) }, kStart));
      plan.OnOpened(opened.front().mConnection, kStart);
      plan.OnReleased(opened.front().mConnection, kStart);
      auto later = kStart + seconds(1);
      CPPUNIT_ASSERT(plan.OnTick(later - milliseconds(1)).empty());
      bool isScarce = limit < 3;
      CPPUNIT_ASSERT_EQUAL(isScarce, plan.NextTick() == later);
      auto closed = Only<ConnectionPlan::Close>(plan.OnTick(later));
      CPPUNIT_ASSERT_EQUAL(std::size_t{ isScarce ? 1U : 0U }, closed.size());
      CPPUNIT_ASSERT_EQUAL(std::size_t{ isScarce ? 0U : 1U }, plan.Connections());
    }
  }

  // Guards against reads that wait at a database without free connections until their
  // deadline: after a power loss the database still counts the connections of the
  // previous processes for seconds (found by tools/soak with seed 101).
  void DatabaseThatTakesNoConnectionsIsExpectedToBeSlow()
  {
    ConnectionPlan plan(4);
    auto opened = Only<ConnectionPlan::Open>(
      plan.Add({ 1, "acme", 0, kStart + seconds(1) }, kStart));
    plan.OnOpenFailed(opened.front().mConnection, kStart + milliseconds(40), kStart);
    CPPUNIT_ASSERT(plan.IsRefusingConnections());
    CPPUNIT_ASSERT(plan.ExpectedWait("beta") >= milliseconds(300));
    opened = Only<ConnectionPlan::Open>(plan.OnTick(kStart + milliseconds(40)));
    plan.OnOpened(opened.front().mConnection, kStart + milliseconds(50));
    CPPUNIT_ASSERT(!plan.IsRefusingConnections());
    CPPUNIT_ASSERT(plan.ExpectedWait("beta") == Duration::zero());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConnectionPlanTest);
