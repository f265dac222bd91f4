#include "sesameway/FairQueue.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace sesameway;

class FairQueueTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(FairQueueTest);
  CPPUNIT_TEST(TimeIsDividedByWeightWhateverTheStatementDuration);
  CPPUNIT_TEST(FullQueueOfOneOrganisationDoesNotBlockOthers);
  CPPUNIT_TEST(ExpiredTicketsAreRemoved);
  CPPUNIT_TEST(AheadCountsTicketsServedEarlier);
  CPPUNIT_TEST_SUITE_END();

  static constexpr TimePoint kLater{ seconds(1000) };

  // All three organisations keep the queue full: "long" with statements of 20 ms,
  // "short" with statements of 1 ms, and "heavy", which has a weight of 2, with
  // statements of 2 ms.
  void TimeIsDividedByWeightWhateverTheStatementDuration()
  {
    FairQueue queue(64);
    const std::map<std::string, Duration> kUse{ { "long", milliseconds(20) },
                                                { "short", milliseconds(1) },
                                                { "heavy", milliseconds(2) } };
    std::map<std::uint64_t, std::string> owners;
    std::map<std::string, Duration> used;
    std::uint64_t ticket = 0;
    Duration total{};
    while (total < seconds(20)) {
      for (const auto& it : kUse) {
        while (queue.Push(it.first, it.first == "heavy" ? 2 : 1, ticket, kLater)) {
          owners[ticket++] = it.first;
        }
      }
      auto name = owners[*queue.Pop()];
      auto use = kUse.at(name);
      queue.Charge(name, use);
      used[name] += use;
      total += use;
    }
    auto part = [&](const char* aName) {
      return static_cast<double>(used[aName].count()) /
             static_cast<double>(total.count());
    };
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.25, part("long"), 0.01);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.25, part("short"), 0.01);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.5, part("heavy"), 0.01);
  }

  void FullQueueOfOneOrganisationDoesNotBlockOthers()
  {
    FairQueue queue(2);
    CPPUNIT_ASSERT(queue.Push("a", 1, 0, kLater));
    CPPUNIT_ASSERT(queue.Push("a", 1, 1, kLater));
    CPPUNIT_ASSERT(!queue.Push("a", 1, 2, kLater));
    CPPUNIT_ASSERT(queue.Push("b", 1, 3, kLater));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 3 }, queue.size());
  }

  void ExpiredTicketsAreRemoved()
  {
    FairQueue queue(4);
    queue.Push("a", 1, 0, kLater);
    queue.Push("b", 1, 1, kLater - seconds(1));
    CPPUNIT_ASSERT(queue.RemoveExpired(kLater - seconds(1)) ==
                   std::vector<std::uint64_t>{ 1 });
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 0 }, *queue.Pop());
    CPPUNIT_ASSERT(!queue.Pop());
  }

  void AheadCountsTicketsServedEarlier()
  {
    FairQueue queue(64);
    for (std::uint64_t n = 0; n < 20; ++n) {
      queue.Push("flood", 1, n, kLater);
    }
    queue.Push("calm", 1, 20, kLater);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 3 }, queue.CountAhead("calm", 1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 21 }, queue.CountAhead("flood", 1));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FairQueueTest);
