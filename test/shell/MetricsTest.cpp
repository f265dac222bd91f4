#include "daemon/Metrics.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <thread>
#include <vector>

using namespace sesameway::daemon;

class MetricsTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(MetricsTest);
  CPPUNIT_TEST(CountsOfAllThreadsAddUp);
  CPPUNIT_TEST(HistogramCountsTheValuesUpToEachBound);
  CPPUNIT_TEST_SUITE_END();

  void CountsOfAllThreadsAddUp()
  {
    constexpr int kThreads = 12;
    constexpr int kRounds = 20'000;
    Metrics metrics;
    std::vector<std::thread> threads;
    for (int n = 0; n < kThreads; ++n) {
      threads.emplace_back([&] {
        auto& level = metrics.CounterOf("level");
        for (int round = 1; round <= kRounds; ++round) {
          metrics.Count("sum");
          level.Add(round % 2 == 0 ? -1 : 1);
          metrics.Record("values", 7);
        }
      });
    }
    for (auto& it : threads) {
      it.join();
    }
    std::map<std::string, double> values;
    for (const auto& it : metrics.Read()) {
      values[it.mName] = it.mValue;
    }
    CPPUNIT_ASSERT_EQUAL(double{ kThreads } * kRounds, values["sum"]);
    CPPUNIT_ASSERT_EQUAL(0.0, values["level"]);
    CPPUNIT_ASSERT_EQUAL(double{ kThreads } * kRounds, values["values.count"]);
    CPPUNIT_ASSERT_EQUAL(7.0, values["values.p99"]);
  }

  void HistogramCountsTheValuesUpToEachBound()
  {
    Metrics metrics;
    for (double it : { 0.0, 100.0, 101.0, 1000.0, 30'000'000.0 }) {
      metrics.Record("latency_us.r", it);
    }
    std::map<std::string, double> values;
    for (const auto& it : metrics.Read()) {
      values[it.mName] = it.mValue;
    }
    CPPUNIT_ASSERT_EQUAL(2.0, values["latency_us.r.le_100"]);
    CPPUNIT_ASSERT_EQUAL(3.0, values["latency_us.r.le_200"]);
    CPPUNIT_ASSERT_EQUAL(4.0, values["latency_us.r.le_1000"]);
    CPPUNIT_ASSERT_EQUAL(4.0, values["latency_us.r.le_20000000"]);
    CPPUNIT_ASSERT_EQUAL(5.0, values["latency_us.r.count"]);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MetricsTest);
