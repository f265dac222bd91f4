#include "sesameway/ConnectionPlan.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <random>
#include <string>
#include <vector>

using namespace sesameway;

namespace {

constexpr TimePoint kStart{ seconds(1000) };
constexpr Duration kStep = milliseconds(1);
constexpr Duration kOpening = milliseconds(12);
constexpr Duration kStatement = milliseconds(30);
constexpr Duration kRefusalPause = milliseconds(40);

// One database that accepts fewer connections than there are daemons. Each daemon may
// hold one; statements of many organisations arrive at random daemons.
class ScarceDatabase
{
public:
  ScarceDatabase(std::size_t aDaemons, std::size_t aConnections)
    : mPlans(aDaemons, ConnectionPlan(1))
    , mMostConnections(aConnections)
  {
  }

  void Run(Duration aTime, double aStatementsPerSecond, int aOrganisations)
  {
    std::bernoulli_distribution arrives(aStatementsPerSecond *
                                        std::chrono::duration<double>(kStep).count());
    for (auto end = mNow + aTime; mNow < end; mNow += kStep) {
      FinishEvents();
      for (std::size_t n = 0; n < mPlans.size(); ++n) {
        if (mPlans[n].NextTick() <= mNow) {
          Do(n, mPlans[n].OnTick(mNow));
        }
      }
      if (arrives(mRandom)) {
        auto daemon = mRandom() % mPlans.size();
        auto organisation = "o" + std::to_string(mRandom() % aOrganisations);
        Do(daemon,
           mPlans[daemon].Add({ ++mTicket, organisation, 0, mNow + seconds(2) }, mNow));
      }
    }
  }

  void ResetCounts() { mAccepted = mRefused = mWaitedOut = 0; }
  int Accepted() const { return mAccepted; }
  int Refused() const { return mRefused; }
  // Statements that got no connection by their deadline.
  int WaitedOut() const { return mWaitedOut; }

private:
  struct Event
  {
    std::size_t mDaemon = 0;
    std::uint64_t mConnection = 0;
    bool mIsOpening = false;
  };

  void FinishEvents()
  {
    while (!mEvents.empty() && mEvents.begin()->first <= mNow) {
      auto event = mEvents.begin()->second;
      mEvents.erase(mEvents.begin());
      auto& plan = mPlans[event.mDaemon];
      if (!event.mIsOpening) {
        Do(event.mDaemon, plan.OnReleased(event.mConnection, mNow));
      } else if (mConnections < mMostConnections) {
        ++mConnections;
        ++mAccepted;
        Do(event.mDaemon, plan.OnOpened(event.mConnection, mNow));
      } else {
        ++mRefused;
        plan.OnDatabaseFull();
        auto retryAt = mNow + kRefusalPause;
        Do(event.mDaemon, plan.OnOpenFailed(event.mConnection, retryAt, mNow));
      }
    }
  }

  void Do(std::size_t aDaemon, const ConnectionPlan::Actions& aActions)
  {
    for (const auto& it : aActions) {
      std::visit([&](const auto& aAction) { Do(aDaemon, aAction); }, it);
    }
  }
  void Do(std::size_t aDaemon, const ConnectionPlan::Grant& aGrant)
  {
    mEvents.emplace(mNow + kStatement, Event{ aDaemon, aGrant.mConnection, false });
  }
  void Do(std::size_t aDaemon, const ConnectionPlan::Open& aOpen)
  {
    mEvents.emplace(mNow + kOpening, Event{ aDaemon, aOpen.mConnection, true });
  }
  void Do(std::size_t, const ConnectionPlan::Close&) { --mConnections; }
  void Do(std::size_t, const ConnectionPlan::Refuse&) { ++mWaitedOut; }

  std::vector<ConnectionPlan> mPlans;
  std::size_t mMostConnections;
  std::size_t mConnections = 0;
  std::multimap<TimePoint, Event> mEvents;
  std::mt19937_64 mRandom{ 20261204 };
  TimePoint mNow = kStart;
  std::uint64_t mTicket = 0;
  int mAccepted = 0;
  int mRefused = 0;
  int mWaitedOut = 0;
};

} // namespace

// Covers a database with fewer connections than daemons that use it.
class FullDatabaseTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(FullDatabaseTest);
  CPPUNIT_TEST(IdleConnectionsOfOtherDaemonsAreGivenBack);
  CPPUNIT_TEST(ADatabaseWithRoomKeepsItsConnections);
  CPPUNIT_TEST_SUITE_END();

  // 84 daemons and 84 organisations before 40 connections: hardly ever does a daemon
  // use a connection again within a second, and idle ones fill the database.
  void IdleConnectionsOfOtherDaemonsAreGivenBack()
  {
    ScarceDatabase database(84, 40);
    database.Run(seconds(10), 60, 84);
    database.ResetCounts();
    database.Run(seconds(20), 60, 84);
    CPPUNIT_ASSERT(database.Refused() * 10 < database.Accepted());
    CPPUNIT_ASSERT_EQUAL(0, database.WaitedOut());
  }

  // With room for all, a connection serves the next statement of its organisation.
  void ADatabaseWithRoomKeepsItsConnections()
  {
    ScarceDatabase database(8, 16);
    database.Run(seconds(20), 60, 1);
    CPPUNIT_ASSERT_EQUAL(0, database.Refused());
    CPPUNIT_ASSERT(database.Accepted() < 60);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FullDatabaseTest);
