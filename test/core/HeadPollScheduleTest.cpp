#include "sesameway/HeadPollSchedule.h"
#include "sesameway/Routing.h"

#include <cppunit/extensions/HelperMacros.h>

#include <vector>

using namespace sesameway;

class HeadPollScheduleTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(HeadPollScheduleTest);
  CPPUNIT_TEST(PollsOnlyWhileReadsNeedIt);
  CPPUNIT_TEST(OnePollAtATime);
  CPPUNIT_TEST(OneDaemonPollsForTheRegion);
  CPPUNIT_TEST(TheOtherDaemonsPollWhenTheyGetNoReport);
  CPPUNIT_TEST_SUITE_END();

  static constexpr TimePoint kStart{ seconds(1000) };

  void PollsOnlyWhileReadsNeedIt()
  {
    HeadPollSchedule schedule;
    CPPUNIT_ASSERT(!schedule.Ask(false, kStart));
    schedule.OnRead(kStart);
    CPPUNIT_ASSERT(schedule.Ask(false, kStart));
    schedule.OnAnswered();
    CPPUNIT_ASSERT(!schedule.Ask(false, kStart + seconds(4)));
  }

  void OnePollAtATime()
  {
    HeadPollSchedule schedule;
    CPPUNIT_ASSERT(schedule.Ask(true, kStart));
    CPPUNIT_ASSERT(!schedule.Ask(true, kStart + seconds(1)));
    schedule.OnAnswered();
    CPPUNIT_ASSERT(schedule.Ask(true, kStart + seconds(1)));
  }

  // Guards against needless polls of the primary: 20 daemons of a region serve reads
  // with a maximum age for a minute. Only the first should poll regularly. When each
  // daemon polled by itself, there were 3,000 polls.
  void OneDaemonPollsForTheRegion()
  {
    constexpr std::size_t kDaemons = 20;
    std::vector<HeadPollSchedule> daemons(kDaemons);
    std::size_t polls = 0;
    auto newest = TimePoint{};
    for (auto now = kStart; now < kStart + seconds(60); now += milliseconds(50)) {
      for (std::size_t n = 0; n < kDaemons; ++n) {
        daemons[n].OnRead(now);
        if (daemons[n].Ask(n == 0, now)) {
          ++polls;
          daemons[n].OnHead(now);
          daemons[n].OnAnswered();
          newest = n == 0 ? now : newest;
        }
        // Each peer gets the newest position every 350 ms. The peers' times are spread
        // over seven steps of 50 ms.
        auto passed = (now - kStart) / milliseconds(50) + static_cast<std::int64_t>(n);
        if (n > 0 && passed % 7 == 0) {
          daemons[n].OnHead(newest);
        }
      }
    }
    CPPUNIT_ASSERT(polls <= 60 * 3 + kDaemons);
  }

  void TheOtherDaemonsPollWhenTheyGetNoReport()
  {
    HeadPollSchedule schedule;
    schedule.OnHead(kStart);
    auto now = kStart + milliseconds(900);
    schedule.OnRead(now);
    CPPUNIT_ASSERT(!schedule.Ask(false, now));
    CPPUNIT_ASSERT(schedule.Ask(false, now + milliseconds(200)));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HeadPollScheduleTest);
