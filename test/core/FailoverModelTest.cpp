#include "FailoverWorld.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

using namespace sesameway;
using namespace sesameway::test;

// Runs the failover model over random schedules of writes, replication, reports,
// pauses, lost and repeated messages, competing homes, and homes that restart during a
// failover.
class FailoverModelTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(FailoverModelTest);
  CPPUNIT_TEST(AcknowledgedWritesSurviveAnySchedule);
  CPPUNIT_TEST_SUITE_END();

  // Returns short limits, so that one schedule contains many claims.
  static FailoverLimits ShortLimits()
  {
    FailoverLimits limits;
    limits.mSilence = milliseconds(100);
    limits.mAgreeSilence = milliseconds(50);
    limits.mSilenceAlone = milliseconds(160);
    limits.mRankDelay = milliseconds(20);
    limits.mPeerTimeout = milliseconds(40);
    limits.mStepTimeout = milliseconds(120);
    limits.mUnfinished = milliseconds(80);
    limits.mStalled = milliseconds(300);
    limits.mCatchUp = milliseconds(40);
    limits.mFollowInterval = milliseconds(20);
    return limits;
  }

  static void Step(FailoverWorld& aWorld, std::size_t aChoice, std::size_t aArgument)
  {
    auto home = aArgument % aWorld.mHomes.size();
    auto database = aArgument / 4 % aWorld.mDatabases.size();
    using Delivery = FailoverWorld::Delivery;
    if (aChoice < 12) {
      aWorld.Write(home);
    } else if (aChoice < 16) {
      aWorld.Lookup(home, aArgument / 16);
    } else if (aChoice < 28) {
      aWorld.Pull(database, 1 + aArgument / 16 % 3);
    } else if (aChoice < 40) {
      aWorld.Report(database, home);
    } else if (aChoice < 43) {
      aWorld.ReportLate(database, home);
    } else if (aChoice < 68) {
      aWorld.Deliver(aArgument, Delivery::Once);
    } else if (aChoice < 71) {
      aWorld.Deliver(aArgument, Delivery::Twice);
    } else if (aChoice < 73) {
      aWorld.Deliver(aArgument, Delivery::Dropped);
    } else if (aChoice < 93) {
      aWorld.mNow += milliseconds(10);
      aWorld.Tick(home);
    } else if (aChoice < 97) {
      aWorld.mDatabases[database].mPaused = aArgument / 64 % 4 == 0;
    } else if (aChoice < 98) {
      aWorld.mDatabases[database].mLeaving = aArgument / 64 % 4 == 0;
    } else if (aChoice < 99) {
      aWorld.Restart(home);
    } else {
      aWorld.mNow += milliseconds(100);
    }
  }

  void AcknowledgedWritesSurviveAnySchedule()
  {
    std::size_t promotions = 0;
    std::size_t acknowledged = 0;
    bool isTrue = rc::check("acknowledged is never lost", [&] {
      auto databases = *rc::gen::element<std::size_t>(3, 5);
      auto numbers = *rc::gen::container<std::vector<std::uint32_t>>(
        6000, rc::gen::arbitrary<std::uint32_t>());
      FailoverWorld world(databases, 2, ShortLimits());
      std::uint64_t mix = 1;
      for (auto it : numbers) {
        mix = (mix ^ it) * 0x9e3779b97f4a7c15ULL;
        Step(world, (mix >> 32) % 100, (mix >> 40) & 0xffffff);
        world.Check();
      }
      for (auto& it : world.mDatabases) {
        it.mPaused = false;
        it.mLeaving = false;
      }
      // Once the faults have ended, the group must get a primary that accepts writes.
      world.Run(seconds(3));
      auto before = world.mAcknowledged.size();
      world.Write(0);
      world.Run(milliseconds(200));
      RC_ASSERT(world.mAcknowledged.size() > before);
      promotions += world.mPromoted.size() - 1;
      acknowledged += world.mAcknowledged.size();
    });
    CPPUNIT_ASSERT(isTrue);
    // The schedules must have contained enough failovers and writes to be a useful
    // test.
    CPPUNIT_ASSERT(promotions > 200);
    CPPUNIT_ASSERT(acknowledged > 1000);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FailoverModelTest);
