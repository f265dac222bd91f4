#include "shell/Processes.h"

#include <cppunit/extensions/HelperMacros.h>

#include <csignal>

using namespace sesameway;
using namespace sesameway::test;

// Runs statements, metrics and shutdown end to end through real processes.
class ProcessesTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ProcessesTest);
  CPPUNIT_TEST(SessionReadsItsWritesThroughEveryDaemon);
  CPPUNIT_TEST_SUITE_END();

  void SessionReadsItsWritesThroughEveryDaemon()
  {
    Cluster cluster;
    auto session = cluster.Session(0);
    for (int n = 0; n < cluster.Options().mDaemons; ++n) {
      session.MoveTo(cluster.CallerAddress(n));
      auto value = std::to_string(n);
      auto written =
        session.Execute(MakeStatement("strict-0", OperationKind::Put, "k", value));
      CPPUNIT_ASSERT_EQUAL(Outcome::Done, written.mOutcome);
      auto read = session.Execute(MakeStatement("aged-0", OperationKind::Get, "k"));
      CPPUNIT_ASSERT_EQUAL(Outcome::Done, read.mOutcome);
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, read.mRows.size());
      CPPUNIT_ASSERT_EQUAL(value, read.mRows[0].mValue);
    }
    auto metrics = cluster.Metrics(0);
    CPPUNIT_ASSERT(metrics["statements.done.none"] >= 2);
    CPPUNIT_ASSERT(metrics["latency_us.aged-0.count"] >= 1);
    CPPUNIT_ASSERT(metrics["latency_us.strict-0.max"] > 0);
    CPPUNIT_ASSERT(metrics.contains("sessions.open"));
    CPPUNIT_ASSERT_EQUAL(
      0, cluster.Run("sesamectl", { "metrics", "--daemon", cluster.CallerAddress(0) }));
    CPPUNIT_ASSERT(cluster.Log().find("metric=statements.done.none value=") !=
                   std::string::npos);
    cluster.Daemon(0).Signal(SIGTERM);
    CPPUNIT_ASSERT_EQUAL(0, cluster.Daemon(0).Wait(Clock::now() + seconds(40)));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ProcessesTest);
