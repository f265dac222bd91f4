#include "sesameway/StatementPlan.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace sesameway;

class FailoverPlanTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(FailoverPlanTest);
  CPPUNIT_TEST(ReadTriesAnotherReplicaWhenOneTakesNoConnection);
  CPPUNIT_TEST_SUITE_END();

  // Guards against a failed read when the first replica accepts no connection: the read
  // must try another replica before the primary, which may have failed together with
  // it.
  void ReadTriesAnotherReplicaWhenOneTakesNoConnection()
  {
    TimePoint now{ seconds(1000) };
    GroupRequest request;
    request.mStatement.mOperations.push_back({ OperationKind::Get, "k", {} });
    request.mStatement.mDeadline = now + seconds(1);
    StatementPlan plan(request);
    plan.Start(now);
    plan.OnRoute(ToReplica{ 1 }, 1, now);
    auto next = plan.OnConnection(false, Reason::DeadlinePassed, now);
    CPPUNIT_ASSERT(std::get<ChooseRoute>(next).mForRead);
    plan.OnRoute(ToReplica{ 2 }, 1, now);
    next = plan.OnConnection(false, Reason::DeadlinePassed, now);
    CPPUNIT_ASSERT(!std::get<ChooseRoute>(next).mForRead);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FailoverPlanTest);
