#include "sesameway/DrainPlan.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace sesameway;

class DrainPlanTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(DrainPlanTest);
  CPPUNIT_TEST(KeepsIdleSessionsOpenWhileNewCallersArrive);
  CPPUNIT_TEST(KeepsAConnectionThatWasJustAnswered);
  CPPUNIT_TEST(ClosesWithTheAnswerNearTheEnd);
  CPPUNIT_TEST(TransactionsHaveHalfOfTheTime);
  CPPUNIT_TEST(EndsOnceAllConnectionsAreClosed);
  CPPUNIT_TEST_SUITE_END();

  static constexpr TimePoint kStart{ seconds(1000) };
  static constexpr TimePoint kKillAt = kStart + seconds(8);
  DrainPlan mPlan{ kStart, kKillAt };

  // Guards against sessions that are closed too early when daemons are stopped one
  // after the other: sessions that were closed at once reconnected to the same daemon
  // repeatedly (found by tools/soak with seed 1).
  void KeepsIdleSessionsOpenWhileNewCallersArrive()
  {
    auto now = kStart + seconds(2);
    CPPUNIT_ASSERT(!mPlan.ClosesIdle(kStart - seconds(60), now));
    CPPUNIT_ASSERT(!mPlan.ClosesWithAnswer(now));
    now += milliseconds(300);
    CPPUNIT_ASSERT(mPlan.ClosesIdle(kStart - seconds(60), now));
  }

  void KeepsAConnectionThatWasJustAnswered()
  {
    auto now = kStart + seconds(3);
    CPPUNIT_ASSERT(!mPlan.ClosesIdle(now - milliseconds(99), now));
    CPPUNIT_ASSERT(mPlan.ClosesIdle(now - milliseconds(100), now));
  }

  void ClosesWithTheAnswerNearTheEnd()
  {
    CPPUNIT_ASSERT(!mPlan.ClosesWithAnswer(kStart + seconds(5)));
    CPPUNIT_ASSERT(mPlan.ClosesWithAnswer(kStart + seconds(6)));
    auto now = kStart + seconds(6);
    CPPUNIT_ASSERT(mPlan.ClosesIdle(now, now));
  }

  void TransactionsHaveHalfOfTheTime()
  {
    CPPUNIT_ASSERT(!mPlan.EndsTransactions(kStart + milliseconds(3999)));
    CPPUNIT_ASSERT(mPlan.EndsTransactions(kStart + seconds(4)));
  }

  void EndsOnceAllConnectionsAreClosed()
  {
    CPPUNIT_ASSERT(!mPlan.IsOver(false, kStart + seconds(1)));
    CPPUNIT_ASSERT(mPlan.IsOver(false, kStart + seconds(3)));
    CPPUNIT_ASSERT(!mPlan.IsOver(true, kStart + seconds(3)));
    CPPUNIT_ASSERT(!mPlan.IsOver(true, kKillAt - seconds(1)));
    CPPUNIT_ASSERT(mPlan.IsOver(true, kKillAt - milliseconds(100)));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DrainPlanTest);
