#include "sesameway/StoreWatchers.h"

#include <cppunit/extensions/HelperMacros.h>

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

  void ADaemonWithoutPeersWatchesTheStore()
  {
    StoreWatchers watchers("d0");
    CPPUNIT_ASSERT(watchers.MustWatch(kStart, kStart));
    CPPUNIT_ASSERT(watchers.PeerToAsk().empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreWatchersTest);
