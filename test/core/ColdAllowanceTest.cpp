#include "sesameway/ColdAllowance.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

using namespace sesameway;

class ColdAllowanceTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ColdAllowanceTest);
  CPPUNIT_TEST(AnUnchangedEntryDoesNotExtendTheTime);
  CPPUNIT_TEST(ARestartUnderTheSameNameIsColdAgain);
  CPPUNIT_TEST(NoTimeOrRateMeansNone);
  CPPUNIT_TEST(StatementsOfOpenTransactionsPostponeTheNextStart);
  CPPUNIT_TEST(AllDaemonsTogetherStayWithinTheBound);
  CPPUNIT_TEST_SUITE_END();

  static constexpr TimePoint kNow{ seconds(1000) };

  // Guards against a database that stays cold for good because it writes its entry
  // again and again.
  void AnUnchangedEntryDoesNotExtendTheTime()
  {
    ColdAllowance cold;
    cold.OnEntry(7, seconds(4), kNow);
    cold.OnEntry(7, seconds(4), kNow + seconds(3));
    CPPUNIT_ASSERT(cold.IsCold(kNow + milliseconds(3999)));
    CPPUNIT_ASSERT(!cold.IsCold(kNow + seconds(4)));
    cold.OnEntry(7, seconds(0), kNow + seconds(1));
    CPPUNIT_ASSERT(!cold.IsCold(kNow + seconds(1)));
  }

  // Guards against full load on a process that has just been started.
  void ARestartUnderTheSameNameIsColdAgain()
  {
    ColdAllowance cold;
    cold.OnEntry(7, seconds(4), kNow);
    cold.OnEntry(8, seconds(4), kNow + seconds(10));
    CPPUNIT_ASSERT(cold.IsCold(kNow + seconds(13)));
  }

  // Guards against a division by zero and against a start without a share.
  void NoTimeOrRateMeansNone()
  {
    ColdAllowance cold;
    CPPUNIT_ASSERT(!cold.IsCold(kNow));
    cold.OnEntry(0, seconds(0), kNow);
    CPPUNIT_ASSERT(!cold.IsCold(kNow));
    CPPUNIT_ASSERT(cold.TakeStart(0, kNow + seconds(9)) > kNow + seconds(9));
    CPPUNIT_ASSERT(cold.TakeStart(1e-300, kNow + seconds(9)) < kNow + seconds(4000));
    CPPUNIT_ASSERT(!ColdRank("i-1", "a", { "b" }));
  }

  // Guards against transactions of many statements that exceed the rate.
  void StatementsOfOpenTransactionsPostponeTheNextStart()
  {
    ColdAllowance cold;
    cold.OnEntry(7, seconds(60), kNow);
    auto now = kNow + seconds(1);
    CPPUNIT_ASSERT(!cold.TakeStart(2, now));
    cold.OnSent(2, now);
    CPPUNIT_ASSERT(cold.TakeStart(2, now) == now + milliseconds(500));
    cold.OnSent(2, now);
    cold.OnSent(2, now);
    CPPUNIT_ASSERT(cold.TakeStart(2, now) == now + milliseconds(1500));
  }

  // Guards against a database that is slow for longer because each of many daemons
  // sends it one statement more than its share. Answers a load above the rate at every
  // daemon, with one third of the daemons restarted meanwhile.
  void AllDaemonsTogetherStayWithinTheBound()
  {
    constexpr double kRate = 20;
    constexpr double kOver = 1.5;
    constexpr double kSlack = 5;
    constexpr Duration kStep = milliseconds(10);
    for (std::size_t daemons : { 1, 8, 78, 295 }) {
      std::vector<std::string> names;
      for (std::size_t n = 0; n < daemons; ++n) {
        names.push_back("d" + std::to_string(n));
      }
      auto starters = ColdStarters(kRate, kOver, kSlack, daemons);
      std::vector<ColdAllowance> allowances(daemons);
      for (auto& it : allowances) {
        it.OnEntry(7, seconds(60), kNow);
      }
      std::vector<TimePoint> starts;
      for (auto now = kNow; now < kNow + seconds(12); now += kStep) {
        for (std::size_t n = 0; n < daemons; ++n) {
          if (now == kNow + seconds(6) && n % 3 == 0) {
            allowances[n] = {};
            allowances[n].OnEntry(7, seconds(60), now);
          }
          auto share = *ColdRank("i-1", names[n], names) < starters
                         ? kRate / static_cast<double>(starters)
                         : 0;
          if (!allowances[n].TakeStart(share, now)) {
            starts.push_back(now);
          }
        }
      }
      std::size_t most = 0;
      for (auto it = starts.begin(); it != starts.end(); ++it) {
        auto end = std::lower_bound(it, starts.end(), *it + seconds(1));
        most = std::max<std::size_t>(most, end - it);
      }
      CPPUNIT_ASSERT(most <= kRate * kOver + kSlack);
      // The rate is used, not only kept.
      CPPUNIT_ASSERT(starts.size() > kRate * 9);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ColdAllowanceTest);
