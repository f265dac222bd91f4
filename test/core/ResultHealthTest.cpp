#include "sesameway/ResultHealth.h"
#include "sesameway/ReplicaChoice.h"

#include <cppunit/extensions/HelperMacros.h>

#include <random>

using namespace sesameway;

class ResultHealthTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ResultHealthTest);
  CPPUNIT_TEST(OneFailureDoesNotEject);
  CPPUNIT_TEST(TwoFailuresOfFourEjectForAWhile);
  CPPUNIT_TEST(RepeatedEjectionsLastLonger);
  CPPUNIT_TEST(OldFailuresDoNotCount);
  CPPUNIT_TEST(MostReadsAvoidADatabaseThatFailsHalfOfThem);
  CPPUNIT_TEST(AnAvoidedDatabaseIsUsedIfThereIsNoOther);
  CPPUNIT_TEST_SUITE_END();

  static constexpr TimePoint kStart{ seconds(1000) };

  void OneFailureDoesNotEject()
  {
    ResultHealth health;
    health.OnResult(false, kStart);
    for (int n = 0; n < 3; ++n) {
      health.OnResult(true, kStart);
    }
    health.OnResult(false, kStart);
    CPPUNIT_ASSERT(!health.IsEjected(kStart));
  }

  void TwoFailuresOfFourEjectForAWhile()
  {
    ResultHealth health;
    health.OnResult(false, kStart);
    health.OnResult(true, kStart);
    health.OnResult(false, kStart);
    CPPUNIT_ASSERT(health.IsEjected(kStart + milliseconds(1999)));
    CPPUNIT_ASSERT(!health.IsEjected(kStart + seconds(2)));
  }

  void RepeatedEjectionsLastLonger()
  {
    ResultHealth health;
    auto now = kStart;
    for (auto expected : { seconds(2), seconds(4), seconds(8), seconds(8) }) {
      health.OnResult(false, now);
      health.OnResult(false, now);
      CPPUNIT_ASSERT(health.IsEjected(now + expected - milliseconds(1)));
      now += expected;
      CPPUNIT_ASSERT(!health.IsEjected(now));
    }
    now += seconds(21);
    health.OnResult(false, now);
    health.OnResult(false, now);
    CPPUNIT_ASSERT(!health.IsEjected(now + seconds(2)));
  }

  void OldFailuresDoNotCount()
  {
    ResultHealth health;
    health.OnResult(false, kStart);
    health.OnResult(false, kStart + seconds(11));
    CPPUNIT_ASSERT(!health.IsEjected(kStart + seconds(11)));
  }

  // Guards against reads that keep going to a database that fails half of its requests
  // although its probe succeeds. The daemon has one read every 200 ms and another
  // database to send it to.
  void MostReadsAvoidADatabaseThatFailsHalfOfThem()
  {
    std::mt19937_64 random(1);
    ResultHealth health;
    int failed = 0;
    int reads = 0;
    for (auto now = kStart; now < kStart + seconds(60); now += milliseconds(200)) {
      ++reads;
      if (!health.IsEjected(now)) {
        bool isGood = random() % 2 == 0;
        failed += isGood ? 0 : 1;
        health.OnResult(isGood, now);
      }
    }
    // Without ejection, half of the reads would fail.
    CPPUNIT_ASSERT(failed * 10 < reads);
  }

  void AnAvoidedDatabaseIsUsedIfThereIsNoOther()
  {
    ReadCandidate only;
    only.mIsPrimary = true;
    only.mShouldAvoid = true;
    CPPUNIT_ASSERT(ChooseForFreshRead({ only }, std::nullopt).has_value());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ResultHealthTest);
