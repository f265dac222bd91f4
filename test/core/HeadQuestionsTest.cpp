#include "sesameway/HeadPollSchedule.h"
#include "sesameway/Routing.h"

#include <cppunit/extensions/HelperMacros.h>

#include <vector>

using namespace sesameway;

class HeadQuestionsTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(HeadQuestionsTest);
  CPPUNIT_TEST(AsksOnlyWhileReadsNeedIt);
  CPPUNIT_TEST(OneQuestionAtATime);
  CPPUNIT_TEST(OneDaemonAsksForTheRegion);
  CPPUNIT_TEST(TheOthersAskWhenTheyAreNotTold);
  CPPUNIT_TEST_SUITE_END();

  static constexpr TimePoint kStart{ seconds(1000) };

  void AsksOnlyWhileReadsNeedIt()
  {
    HeadPollSchedule questions;
    CPPUNIT_ASSERT(!questions.Ask(false, kStart));
    questions.OnRead(kStart);
    CPPUNIT_ASSERT(questions.Ask(false, kStart));
    questions.OnAnswered();
    CPPUNIT_ASSERT(!questions.Ask(false, kStart + seconds(4)));
  }

  void OneQuestionAtATime()
  {
    HeadPollSchedule questions;
    CPPUNIT_ASSERT(questions.Ask(true, kStart));
    CPPUNIT_ASSERT(!questions.Ask(true, kStart + seconds(1)));
    questions.OnAnswered();
    CPPUNIT_ASSERT(questions.Ask(true, kStart + seconds(1)));
  }

  // Load: 20 daemons of a region with aged reads all the time, for a minute. The first
  // one's questions and those that its fellows send besides; each asked by itself
  // before, 3,000 in all.
  void OneDaemonAsksForTheRegion()
  {
    constexpr std::size_t kDaemons = 20;
    std::vector<HeadPollSchedule> daemons(kDaemons);
    std::size_t asked = 0;
    auto newest = TimePoint{};
    for (auto now = kStart; now < kStart + seconds(60); now += milliseconds(50)) {
      for (std::size_t n = 0; n < kDaemons; ++n) {
        daemons[n].OnRead(now);
        if (daemons[n].Ask(n == 0, now)) {
          ++asked;
          daemons[n].OnHead(now);
          daemons[n].OnAnswered();
          newest = n == 0 ? now : newest;
        }
        // Each fellow hears of it every 350 ms, at a time of its own.
        auto passed = (now - kStart) / milliseconds(50) + static_cast<std::int64_t>(n);
        if (n > 0 && passed % 7 == 0) {
          daemons[n].OnHead(newest);
        }
      }
    }
    CPPUNIT_ASSERT(asked <= 60 * 3 + kDaemons);
  }

  void TheOthersAskWhenTheyAreNotTold()
  {
    HeadPollSchedule questions;
    questions.OnHead(kStart);
    auto now = kStart + milliseconds(900);
    questions.OnRead(now);
    CPPUNIT_ASSERT(!questions.Ask(false, now));
    CPPUNIT_ASSERT(questions.Ask(false, now + milliseconds(200)));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HeadQuestionsTest);
