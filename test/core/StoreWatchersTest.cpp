#include "sesameway/StoreWatchers.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <string>
#include <vector>

using namespace sesameway;

// Covers a region with many daemons, each of which must learn of changes within seconds
// while the load on the store does not grow with the number of daemons.
class StoreWatchersTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(StoreWatchersTest);
  CPPUNIT_TEST(OneDaemonPerRegionWatchesTheStore);
  CPPUNIT_TEST(TheNextDaemonWatchesWhileTheFirstIsSilent);
  CPPUNIT_TEST(AnotherPeerIsAskedAfterAFailure);
  CPPUNIT_TEST(ADaemonWithoutPeersWatchesTheStore);
  CPPUNIT_TEST(NoDaemonAnswersMoreOthersAsTheRegionGrows);
  CPPUNIT_TEST(ChangesReachAllDaemonsOfALargeRegionInTime);
  CPPUNIT_TEST(TheChildrenOfALostDaemonAskDifferentOnes);
  CPPUNIT_TEST(TheLossOfTheFirstDaemonMakesFewOthersWatch);
  CPPUNIT_TEST_SUITE_END();

  static constexpr TimePoint kStart{ seconds(1000) };

  static StoreWatchers At(int aNumber)
  {
    StoreWatchers watchers("d" + std::to_string(aNumber));
    watchers.SetDaemons({ "d3", "d1", "d2", "d0" });
    return watchers;
  }

  void OneDaemonPerRegionWatchesTheStore()
  {
    int watching = 0;
    for (int n = 0; n < 4; ++n) {
      watching += At(n).MustWatch(kStart, kStart + seconds(1)) ? 1 : 0;
    }
    CPPUNIT_ASSERT_EQUAL(1, watching);
    CPPUNIT_ASSERT(At(0).MustWatch(kStart, kStart));
  }

  void TheNextDaemonWatchesWhileTheFirstIsSilent()
  {
    auto second = At(1);
    auto third = At(2);
    auto now = kStart;
    while (!second.MustWatch(kStart, now)) {
      now += milliseconds(10);
    }
    CPPUNIT_ASSERT(!third.MustWatch(kStart, now));
    CPPUNIT_ASSERT(now - kStart < milliseconds(2200));
    // Once the first daemon answers again, the second one keeps watching for a while
    // and then stops.
    CPPUNIT_ASSERT(second.MustWatch(now, now + seconds(1)));
    CPPUNIT_ASSERT(!second.MustWatch(now + seconds(5), now + seconds(5)));
  }

  void AnotherPeerIsAskedAfterAFailure()
  {
    auto third = At(2);
    CPPUNIT_ASSERT_EQUAL(std::string("d0"), third.PeerToAsk());
    third.OnNoAnswer();
    CPPUNIT_ASSERT_EQUAL(std::string("d1"), third.PeerToAsk());
    third.OnAnswer();
    CPPUNIT_ASSERT_EQUAL(std::string("d0"), third.PeerToAsk());
  }

  // Half of a fleet of 590 daemons in two regions.
  static constexpr int kLargeRegion = 295;

  static std::vector<std::string> LargeRegion()
  {
    std::vector<std::string> names;
    for (int n = 0; n < kLargeRegion; ++n) {
      names.push_back("d" + std::to_string(1000 + n));
    }
    return names;
  }

  static std::vector<StoreWatchers> WatchersOf(const std::vector<std::string>& aNames)
  {
    std::vector<StoreWatchers> watchers;
    for (const auto& it : aNames) {
      watchers.emplace_back(it);
      watchers.back().SetDaemons(aNames);
    }
    return watchers;
  }

  // Number of daemons that ask each daemon.
  static std::map<std::string, std::size_t> Askers(
    std::vector<StoreWatchers>& aWatchers)
  {
    std::map<std::string, std::size_t> askers;
    for (const auto& it : aWatchers) {
      ++askers[it.PeerToAsk()];
    }
    askers.erase("");
    return askers;
  }

  void NoDaemonAnswersMoreOthersAsTheRegionGrows()
  {
    auto names = LargeRegion();
    auto watchers = WatchersOf(names);
    for (const auto& it : Askers(watchers)) {
      CPPUNIT_ASSERT(it.second <= kMaxAskingDaemons);
    }
  }

  void ChangesReachAllDaemonsOfALargeRegionInTime()
  {
    auto names = LargeRegion();
    std::map<std::string, std::string> parents;
    for (auto& it : WatchersOf(names)) {
      parents[names[parents.size()]] = it.PeerToAsk();
    }
    for (const auto& it : names) {
      int hops = 0;
      for (auto at = parents[it]; !at.empty(); at = parents[at]) {
        ++hops;
      }
      CPPUNIT_ASSERT(hops <= 3);
    }
  }

  void TheChildrenOfALostDaemonAskDifferentOnes()
  {
    auto names = LargeRegion();
    auto watchers = WatchersOf(names);
    const auto& lost = names[3];
    for (auto& it : watchers) {
      if (it.PeerToAsk() == lost) {
        it.OnNoAnswer();
      }
    }
    auto askers = Askers(watchers);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, askers[lost]);
    for (const auto& it : askers) {
      CPPUNIT_ASSERT(it.second <= kMaxAskingDaemons + 2);
    }
  }

  void TheLossOfTheFirstDaemonMakesFewOthersWatch()
  {
    auto names = LargeRegion();
    auto watchers = WatchersOf(names);
    // The second daemon takes over once its information is old, and needs a call of
    // 700 ms until it has fresh information for the others.
    auto taken = kStart;
    while (!watchers[1].MustWatch(kStart, taken)) {
      taken += milliseconds(10);
    }
    int watching = 0;
    for (std::size_t n = 1; n < watchers.size(); ++n) {
      watching += watchers[n].MustWatch(kStart, taken + milliseconds(400)) ? 1 : 0;
    }
    CPPUNIT_ASSERT(watching <= static_cast<int>(kMaxAskingDaemons));
  }

  void ADaemonWithoutPeersWatchesTheStore()
  {
    StoreWatchers watchers("d0");
    CPPUNIT_ASSERT(watchers.MustWatch(kStart, kStart));
    CPPUNIT_ASSERT(watchers.PeerToAsk().empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreWatchersTest);
