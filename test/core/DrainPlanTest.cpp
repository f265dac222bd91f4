#include "sesameway/DrainPlan.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace sesameway;

class DrainPlanTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(DrainPlanTest);
  CPPUNIT_TEST(KeepsIdleSessionsOpenWhileNewCallersArrive);
  CPPUNIT_TEST(KeepsAConnectionThatWasJustAnswered);
  CPPUNIT_TEST(SessionsAndTransactionsHaveHalfOfTheTime);
  CPPUNIT_TEST(ClosesNoSessionInUseBeforeTheEnd);
  CPPUNIT_TEST(AnswersAllBeforeTheKill);
  CPPUNIT_TEST(AShortTimeLeavesHalfForClosing);
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
    CPPUNIT_ASSERT(!mPlan.EndsSessions(now));
    now += milliseconds(300);
    CPPUNIT_ASSERT(mPlan.ClosesIdle(kStart - seconds(60), now));
  }

  void KeepsAConnectionThatWasJustAnswered()
  {
    auto now = kStart + seconds(3);
    CPPUNIT_ASSERT(!mPlan.ClosesIdle(now - milliseconds(99), now));
    CPPUNIT_ASSERT(mPlan.ClosesIdle(now - milliseconds(100), now));
  }

  void SessionsAndTransactionsHaveHalfOfTheTime()
  {
    auto half = kStart + seconds(4);
    CPPUNIT_ASSERT(!mPlan.EndsSessions(half - milliseconds(1)));
    CPPUNIT_ASSERT(!mPlan.ClosesIdle(half - milliseconds(1), half - milliseconds(1)));
    CPPUNIT_ASSERT(mPlan.EndsSessions(half));
  }

  // Guards against requests that arrive just after their session was closed: a caller
  // that was just answered is closed with its next answer, not before its next request.
  void ClosesNoSessionInUseBeforeTheEnd()
  {
    auto now = kKillAt - seconds(1);
    CPPUNIT_ASSERT(!mPlan.ClosesIdle(now - milliseconds(99), now));
    CPPUNIT_ASSERT(mPlan.ClosesIdle(now - milliseconds(100), now));
    now = kKillAt - milliseconds(700);
    CPPUNIT_ASSERT(mPlan.ClosesIdle(now, now));
  }

  // Guards against a process that ends, or is killed, with requests that have no answer
  // (review/7).
  void AnswersAllBeforeTheKill()
  {
    for (int graceMs : { 1000, 2000, 6000, 30'000 }) {
      auto killAt = kStart + milliseconds(graceMs);
      auto lastSixth = killAt - milliseconds(graceMs) / 6;
      DrainPlan plan(kStart, killAt);
      CPPUNIT_ASSERT(!plan.EndsStatements(lastSixth));
      auto endsAt = kStart;
      while (!plan.EndsStatements(endsAt)) {
        endsAt += milliseconds(1);
      }
      // Callers have some time to receive the answers.
      CPPUNIT_ASSERT(!plan.IsOver(true, endsAt + milliseconds(50)));
      CPPUNIT_ASSERT(plan.IsOver(true, killAt - milliseconds(50)));
    }
  }

  // Guards against sessions that are never closed since the process ends before the
  // load balancer has noticed its shutdown.
  void AShortTimeLeavesHalfForClosing()
  {
    DrainPlan plan(kStart, kStart + seconds(2));
    CPPUNIT_ASSERT(!plan.ClosesIdle(kStart, kStart + milliseconds(999)));
    CPPUNIT_ASSERT(plan.ClosesIdle(kStart, kStart + seconds(1)));
    CPPUNIT_ASSERT(plan.IsOver(false, kStart + seconds(1)));
  }

  void EndsOnceAllConnectionsAreClosed()
  {
    CPPUNIT_ASSERT(!mPlan.IsOver(false, kStart + seconds(1)));
    CPPUNIT_ASSERT(mPlan.IsOver(false, kStart + seconds(3)));
    CPPUNIT_ASSERT(!mPlan.IsOver(true, kStart + seconds(3)));
    CPPUNIT_ASSERT(!mPlan.IsOver(true, kKillAt - seconds(1)));
    CPPUNIT_ASSERT(mPlan.IsOver(true, kKillAt - milliseconds(100)));
    CPPUNIT_ASSERT(mPlan.IsOver(true, kKillAt));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DrainPlanTest);
