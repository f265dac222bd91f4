#include "operator/DaemonClient.h"
#include "shell/Processes.h"

#include <cppunit/extensions/HelperMacros.h>

#include <csignal>
#include <cstdlib>
#include <sstream>

using namespace sesameway;
using namespace sesameway::test;

class KeysTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(KeysTest);
  CPPUNIT_TEST(AWithdrawnKeyIsRefusedInOpenSessionsAndTransactions);
  CPPUNIT_TEST(NoKeyReachesADatabaseALogLineOrAMetric);
  CPPUNIT_TEST(AnIsolatedDaemonRefusesKeysUnlessSetToServe);
  CPPUNIT_TEST_SUITE_END();

  static Statement MakeOfKind(StatementKind aKind)
  {
    auto statement = MakeStatement("strict-0", OperationKind::Put, "k", "v");
    statement.mKind = aKind;
    if (aKind != StatementKind::Execute) {
      statement.mOperations.clear();
    }
    return statement;
  }

  static int Withdraw(Cluster& aCluster)
  {
    return aCluster.Run("sesamectl",
                        { "--platform",
                          aCluster.PlatformAddress(),
                          "key",
                          "withdraw",
                          "studio-1",
                          "--daemon",
                          aCluster.CallerAddress(0),
                          "--daemon",
                          aCluster.CallerAddress(1),
                          "--daemon",
                          aCluster.CallerAddress(2) });
  }

  void AWithdrawnKeyIsRefusedInOpenSessionsAndTransactions()
  {
    Cluster cluster;
    auto plain = cluster.Session(0);
    auto inTransaction = cluster.Session(1);
    CPPUNIT_ASSERT(plain.Execute(MakeOfKind(StatementKind::Execute)).mOutcome ==
                   Outcome::Done);
    CPPUNIT_ASSERT(inTransaction.Execute(MakeOfKind(StatementKind::Begin)).mOutcome ==
                   Outcome::Done);
    CPPUNIT_ASSERT(inTransaction.Execute(MakeOfKind(StatementKind::Execute)).mOutcome ==
                   Outcome::Done);
    CPPUNIT_ASSERT_EQUAL(0, Withdraw(cluster));
    // The command returns once the withdrawal is in force at all three daemons.
    CPPUNIT_ASSERT(plain.Execute(MakeOfKind(StatementKind::Execute)).mReason ==
                   Reason::KeyRefused);
    CPPUNIT_ASSERT(inTransaction.Execute(MakeOfKind(StatementKind::Execute)).mReason ==
                   Reason::KeyRefused);
    CPPUNIT_ASSERT(inTransaction.Execute(MakeOfKind(StatementKind::Commit)).mReason ==
                   Reason::KeyRefused);
    auto log = cluster.Log();
    CPPUNIT_ASSERT(log.find("in_force=yes") != std::string::npos);
    CPPUNIT_ASSERT(log.find("in_force=no") == std::string::npos);
  }

  void NoKeyReachesADatabaseALogLineOrAMetric()
  {
    setenv("SESAMEWAY_STANDIN_ECHO", "1", 1);
    Cluster cluster;
    unsetenv("SESAMEWAY_STANDIN_ECHO");
    std::ostringstream metrics;
    for (int n = 0; n < 3; ++n) {
      auto session = cluster.Session(n);
      CPPUNIT_ASSERT(session.Execute(MakeOfKind(StatementKind::Execute)).mOutcome ==
                     Outcome::Done);
      caller::SessionClient wrong(cluster.CallerAddress(n), "some-other-key");
      CPPUNIT_ASSERT(wrong.Execute(MakeOfKind(StatementKind::Execute)).mReason ==
                     Reason::KeyRefused);
      for (const auto& it : cluster.Metrics(n)) {
        metrics << it.first << '=' << it.second << '\n';
      }
      metrics
        << operators::DaemonClient(cluster.CallerAddress(n)).Status().value_or("");
    }
    auto log = cluster.Log();
    // Confirms that the stand-in databases printed what they received, so that a key
    // among it would be found.
    CPPUNIT_ASSERT(log.find("received user-agent:") != std::string::npos);
    CPPUNIT_ASSERT(log.find("received ") != std::string::npos);
    for (const char* it : { "studio-key", "some-other-key", "sesameway-key" }) {
      CPPUNIT_ASSERT_MESSAGE(it, log.find(it) == std::string::npos);
      CPPUNIT_ASSERT_MESSAGE(it, metrics.str().find(it) == std::string::npos);
    }
  }

  void AnIsolatedDaemonRefusesKeysUnlessSetToServe()
  {
    for (bool isServing : { false, true }) {
      ClusterOptions options;
      options.mDaemons = 2;
      options.mSettings = "isolated_after_s = 6\n";
      options.mSettings += isServing ? "isolated_keys = \"serve\"\n" : "";
      Cluster cluster(options);
      // The platform and the peer are paused, not killed: the daemon hears from
      // neither, so a key could be withdrawn without its knowledge.
      cluster.Platform().Signal(SIGSTOP);
      cluster.Daemon(1).Signal(SIGSTOP);
      auto session = cluster.Session(0);
      auto isRefused = [&] {
        return session.Execute(MakeOfKind(StatementKind::Execute)).mReason ==
               Reason::Isolated;
      };
      CPPUNIT_ASSERT_EQUAL(!isServing, WaitUntil(isRefused, seconds(12)));
      cluster.Platform().Signal(SIGCONT);
      cluster.Daemon(1).Signal(SIGCONT);
      CPPUNIT_ASSERT(WaitUntil(
        [&] {
          return session.Execute(MakeOfKind(StatementKind::Execute)).mOutcome ==
                 Outcome::Done;
        },
        seconds(12)));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(KeysTest);
