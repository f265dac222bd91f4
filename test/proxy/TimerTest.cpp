#include "proxy/Loop.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace sesameway;
using namespace sesameway::proxy;

class TimerTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(TimerTest);
  CPPUNIT_TEST(CancelStopsATimerThatIsDue);
  CPPUNIT_TEST(SettingAgainReplacesATimerThatIsDue);
  CPPUNIT_TEST_SUITE_END();

  // Both timers are due when the task of the first one runs.
  void CancelStopsATimerThatIsDue()
  {
    Loop loop;
    Timer first(loop);
    Timer second(loop);
    bool hasRun = false;
    first.Set(Clock::now(), [&] { second.Cancel(); });
    second.Set(Clock::now(), [&] { hasRun = true; });
    loop.Run();
    CPPUNIT_ASSERT(!hasRun);
  }

  void SettingAgainReplacesATimerThatIsDue()
  {
    Loop loop;
    Timer first(loop);
    Timer second(loop);
    int old = 0;
    int anew = 0;
    first.Set(Clock::now(),
              [&] { second.Set(Clock::now() + milliseconds(1), [&] { ++anew; }); });
    second.Set(Clock::now(), [&] { ++old; });
    loop.Run();
    CPPUNIT_ASSERT_EQUAL(0, old);
    CPPUNIT_ASSERT_EQUAL(1, anew);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TimerTest);
