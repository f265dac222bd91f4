#include "sesameway/HomeChoice.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace sesameway;

class HomeChoiceTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(HomeChoiceTest);
  CPPUNIT_TEST(ASilentHomeIsPassedOverForGrowingTimes);
  CPPUNIT_TEST(CallsThatFailTogetherCountOnce);
  CPPUNIT_TEST(NoHomeIsChosenWhileAllAreSilent);
  CPPUNIT_TEST(ALeavingHomeIsAvoidedForThreeSeconds);
  CPPUNIT_TEST(AnAnswerEndsTheAvoidance);
  CPPUNIT_TEST_SUITE_END();

  static constexpr TimePoint kStart{ seconds(1000) };
  static constexpr Duration kInstant = microseconds(1);
  const std::vector<std::string> mHomes{ "a", "b" };

  // Whether "a" is passed over for exactly this time after `aFrom`.
  bool IsAvoidedFor(const HomeChoice& aChoice, TimePoint aFrom, Duration aTime) const
  {
    return aChoice.Choose(mHomes, aFrom + aTime - kInstant) == "b" &&
           aChoice.Choose(mHomes, aFrom + aTime) == "a";
  }

  // Guards against a home that is never tried again, and against statements that wait
  // for a silent one every second. Load: the first home is frozen for a minute.
  void ASilentHomeIsPassedOverForGrowingTimes()
  {
    HomeChoice choice;
    CPPUNIT_ASSERT(choice.Choose(mHomes, kStart) == "a");
    auto now = kStart;
    for (auto pause : { 1, 2, 4, 8, 8, 8 }) {
      choice.OnNoAnswer("a", now);
      CPPUNIT_ASSERT(IsAvoidedFor(choice, now, seconds(pause)));
      now += seconds(pause) + milliseconds(600);
    }
    // An outage long ago does not count for the next one.
    now += seconds(61);
    choice.OnNoAnswer("a", now);
    CPPUNIT_ASSERT(IsAvoidedFor(choice, now, seconds(1)));
  }

  // Guards against one short outage that counts as several. Load: 200 statements of one
  // daemon have asked the home when it falls silent.
  void CallsThatFailTogetherCountOnce()
  {
    HomeChoice choice;
    for (int n = 0; n < 200; ++n) {
      choice.OnNoAnswer("a", kStart + milliseconds(3) * n);
    }
    CPPUNIT_ASSERT(IsAvoidedFor(choice, kStart, seconds(1)));
  }

  // Guards against statements that wait for homes known to be silent instead of being
  // sent directly.
  void NoHomeIsChosenWhileAllAreSilent()
  {
    HomeChoice choice;
    choice.OnNoAnswer("a", kStart);
    choice.OnNoAnswer("b", kStart + milliseconds(600));
    CPPUNIT_ASSERT(!choice.Choose(mHomes, kStart + milliseconds(700)));
    CPPUNIT_ASSERT(choice.Choose(mHomes, kStart + seconds(1)) == "a");
    CPPUNIT_ASSERT(!choice.Choose({}, kStart));
  }

  // Guards against requests to a home that refuses all while it shuts down, and against
  // the pauses of an earlier outage after its restart.
  void ALeavingHomeIsAvoidedForThreeSeconds()
  {
    HomeChoice choice;
    choice.OnNoAnswer("a", kStart);
    auto leaving = kStart + seconds(2);
    choice.OnLeaving("a", leaving);
    CPPUNIT_ASSERT(IsAvoidedFor(choice, leaving, seconds(3)));
    auto silent = leaving + seconds(3);
    choice.OnNoAnswer("a", silent);
    CPPUNIT_ASSERT(IsAvoidedFor(choice, silent, seconds(1)));
  }

  // Guards against a home that is avoided although it answers.
  void AnAnswerEndsTheAvoidance()
  {
    HomeChoice choice;
    choice.OnNoAnswer("a", kStart);
    choice.OnNoAnswer("a", kStart + seconds(1));
    choice.OnAnswer("a");
    CPPUNIT_ASSERT(choice.Choose(mHomes, kStart + seconds(1)) == "a");
    auto silent = kStart + seconds(2);
    choice.OnNoAnswer("a", silent);
    CPPUNIT_ASSERT(IsAvoidedFor(choice, silent, seconds(1)));
    choice.OnLeaving("a", silent);
    choice.OnAnswer("a");
    CPPUNIT_ASSERT(choice.Choose(mHomes, silent) == "a");
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HomeChoiceTest);
