#include "sesameway/DaemonPoll.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <set>

using namespace sesameway;

// Covers a coordinator's calls to a large fleet: no more at once than it can make, and
// all daemons within the times that its decisions need.
class DaemonPollTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(DaemonPollTest);
  CPPUNIT_TEST(CallsAtOnceDoNotGrowWithFleetAndGroups);
  CPPUNIT_TEST(EveryDaemonIsHeardBeforeItCountsAsMissing);
  CPPUNIT_TEST(MostDaemonsAreAskedInTimeAboutAFailedPrimary);
  CPPUNIT_TEST(EachDaemonIsAskedOnceAboutAGroup);
  CPPUNIT_TEST(ASmallFleetIsAskedAtOnce);
  CPPUNIT_TEST_SUITE_END();

  static constexpr TimePoint kStart{ seconds(1000) };
  static constexpr Duration kTick = milliseconds(60);

  static std::vector<std::string> Daemons(int aCount)
  {
    std::vector<std::string> daemons;
    for (int n = 0; n < aCount; ++n) {
      daemons.push_back("d" + std::to_string(n));
    }
    return daemons;
  }

  // A new coordinator knows no primary to answer, so that all groups are urgent.
  void CallsAtOnceDoNotGrowWithFleetAndGroups()
  {
    auto daemons = Daemons(589);
    DaemonPoll poll;
    for (int n = 0; n < 333; ++n) {
      poll.AskAbout("g" + std::to_string(n));
    }
    for (auto now = kStart; now < kStart + seconds(10); now += kTick) {
      CPPUNIT_ASSERT(poll.Next(daemons, now).size() <= 48);
    }
  }

  void EveryDaemonIsHeardBeforeItCountsAsMissing()
  {
    auto daemons = Daemons(589);
    DaemonPoll poll;
    std::map<std::string, TimePoint> askedAt;
    Duration longest{};
    for (auto now = kStart; now < kStart + seconds(60); now += kTick) {
      for (const auto& it : poll.Next(daemons, now)) {
        auto known = askedAt.try_emplace(it.mDaemon, kStart).first;
        longest = std::max(longest, now - known->second);
        known->second = now;
      }
    }
    CPPUNIT_ASSERT_EQUAL(daemons.size(), askedAt.size());
    // A daemon counts as missing after 15 s, and one answer may be lost.
    CPPUNIT_ASSERT(longest < milliseconds(7500));
  }

  // A contact report counts for 700 ms, and more than half of the daemons must have
  // one.
  void MostDaemonsAreAskedInTimeAboutAFailedPrimary()
  {
    auto daemons = Daemons(589);
    DaemonPoll poll;
    std::set<std::string> asked;
    for (auto now = kStart; now < kStart + milliseconds(650); now += kTick) {
      poll.AskAbout("g");
      for (const auto& it : poll.Next(daemons, now)) {
        if (!it.mGroups.empty()) {
          asked.insert(it.mDaemon);
        }
      }
    }
    CPPUNIT_ASSERT(asked.size() > daemons.size() / 2);
  }

  void EachDaemonIsAskedOnceAboutAGroup()
  {
    auto daemons = Daemons(100);
    DaemonPoll poll;
    std::map<std::string, int> asked;
    poll.AskAbout("g");
    for (auto now = kStart; now < kStart + seconds(3); now += kTick) {
      for (const auto& it : poll.Next(daemons, now)) {
        asked[it.mDaemon] += it.mGroups.empty() ? 0 : 1;
      }
    }
    CPPUNIT_ASSERT_EQUAL(daemons.size(), asked.size());
    for (const auto& it : asked) {
      CPPUNIT_ASSERT_EQUAL(1, it.second);
    }
  }

  void ASmallFleetIsAskedAtOnce()
  {
    DaemonPoll poll;
    poll.AskAbout("g");
    auto calls = poll.Next(Daemons(8), kStart);
    auto about = std::count_if(calls.begin(), calls.end(), [](const auto& aIt) {
      return aIt.mGroups == std::vector<std::string>{ "g" };
    });
    CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{ 8 }, about);
    CPPUNIT_ASSERT(poll.Next({}, kStart + kTick).empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DaemonPollTest);
