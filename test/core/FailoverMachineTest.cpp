#include "FailoverWorld.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace sesameway;
using namespace sesameway::test;

class FailoverMachineTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(FailoverMachineTest);
  CPPUNIT_TEST(SilentPrimaryIsReplacedInTime);
  CPPUNIT_TEST(ShortFreezeLeadsToNoClaim);
  CPPUNIT_TEST(HomeThatReachesThePrimaryPreventsAClaim);
  CPPUNIT_TEST(HomeThatReachesNoOtherHomeWaitsLonger);
  CPPUNIT_TEST(PauseOfTheHomeIsNotCountedAsSilence);
  CPPUNIT_TEST(NoClaimWithoutAReachableMajority);
  CPPUNIT_TEST(RacingHomesConverge);
  CPPUNIT_TEST(AnotherHomeFinishesAfterEachStep);
  CPPUNIT_TEST(GroupOfFiveSurvivesTwoSimultaneousFailures);
  CPPUNIT_TEST(OldPrimaryRejoinsAndDropsItsUnreplicatedEntries);
  CPPUNIT_TEST(LeavingPrimaryIsHandedOverWithNothingLost);
  CPPUNIT_TEST(StalledPrimaryIsReplaced);
  CPPUNIT_TEST(DatabaseWithALaterGrantRejoins);
  CPPUNIT_TEST(GreatestFencedLogIsChosen);
  CPPUNIT_TEST(AvoidedDatabaseIsChosenWhenTheOthersMayLackEntries);
  CPPUNIT_TEST(InheritedEntryIsNotAcknowledgedWithoutTheFirstOwnEntry);
  CPPUNIT_TEST_SUITE_END();

  template<typename Action>
  static std::size_t Count(const FailoverWorld& aWorld)
  {
    return static_cast<std::size_t>(std::count_if(
      aWorld.mActions.begin(), aWorld.mActions.end(), [](const auto& aIt) {
        return std::holds_alternative<Action>(aIt);
      }));
  }

  void SilentPrimaryIsReplacedInTime()
  {
    FailoverWorld world(3, 2);
    world.Run(seconds(1));
    world.Write(0);
    world.Run(milliseconds(100));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, world.mAcknowledged.size());
    world.mDatabases[0].mPaused = true;
    world.Run(milliseconds(800));
    CPPUNIT_ASSERT(world.NewestTerm() == 2);
    CPPUNIT_ASSERT(world.Newest() != 0);
    world.Write(1);
    world.Run(milliseconds(100));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, world.mAcknowledged.size());
  }

  void ShortFreezeLeadsToNoClaim()
  {
    FailoverWorld world(3, 2);
    world.Run(seconds(1));
    for (int n = 0; n < 20; ++n) {
      world.mDatabases[0].mPaused = true;
      world.Run(world.mLimits.mSilence - milliseconds(20));
      world.mDatabases[0].mPaused = false;
      world.Run(milliseconds(40));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, Count<SendFence>(world));
  }

  void HomeThatReachesThePrimaryPreventsAClaim()
  {
    FailoverWorld world(3, 2);
    world.Run(seconds(1));
    for (int n = 0; n < 200; ++n) {
      world.mNow += milliseconds(20);
      world.Report(0, 1);
      for (std::size_t home = 0; home < 2; ++home) {
        world.Report(1, home);
        world.Report(2, home);
        world.Tick(home);
      }
      while (!world.mMessages.empty()) {
        world.Deliver(0, FailoverWorld::Delivery::Once);
      }
    }
    CPPUNIT_ASSERT(Count<AskPeers>(world) > 0);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, Count<SendFence>(world));
  }

  void HomeThatReachesNoOtherHomeWaitsLonger()
  {
    FailoverWorld world(3, 2);
    world.Run(seconds(1));
    world.mHomes[1].mDead = true;
    world.mDatabases[0].mPaused = true;
    world.Run(world.mLimits.mSilenceAlone - milliseconds(40));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, Count<SendFence>(world));
    world.Run(milliseconds(300));
    CPPUNIT_ASSERT(world.NewestTerm() == 2);
  }

  void PauseOfTheHomeIsNotCountedAsSilence()
  {
    FailoverWorld world(3, 1);
    world.Run(seconds(1));
    world.mNow += seconds(10);
    // The replicas' reports are handled before that of the primary after the pause.
    world.Report(1, 0);
    world.Report(2, 0);
    world.Tick(0);
    world.Run(milliseconds(500));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, Count<SendFence>(world));
  }

  void NoClaimWithoutAReachableMajority()
  {
    FailoverWorld world(3, 2);
    world.Run(seconds(1));
    world.mDatabases[0].mPaused = true;
    world.mDatabases[1].mPaused = true;
    world.Run(seconds(5));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, Count<SendFence>(world));
    CPPUNIT_ASSERT(world.mHomes[0].mMachine->LacksMajority(world.mNow));
    // Writes must be refused, not sent to a primary that can't make them safe.
    CPPUNIT_ASSERT(!world.mHomes[0].mMachine->ServingPrimary(world.mNow));
  }

  void RacingHomesConverge()
  {
    for (std::size_t databases : { 3, 4, 5 }) {
      FailoverWorld world(databases, 3);
      for (auto& it : world.mHomes) {
        it.mMachine->SetHomes(0, 2);
      }
      world.Run(seconds(1));
      world.mDatabases[0].mPaused = true;
      world.Run(seconds(4));
      CPPUNIT_ASSERT(world.NewestTerm() > 1);
      auto term = world.NewestTerm();
      world.Run(seconds(2));
      CPPUNIT_ASSERT(world.NewestTerm() == term);
      for (const auto& it : world.mHomes) {
        CPPUNIT_ASSERT(it.mMachine->ServingPrimary(world.mNow) == world.Newest());
      }
    }
  }

  void AnotherHomeFinishesAfterEachStep()
  {
    for (std::size_t step = 0; step < 5; ++step) {
      FailoverWorld world(3, 2);
      world.mOnAction = [&](std::size_t aHome, const FailoverAction& aAction) {
        bool isLast =
          std::visit([&](const auto& aIt) { return IsKilledBy(step, aIt); }, aAction);
        if (aHome == 0 && isLast) {
          world.mHomes[0].mDead = true;
        }
      };
      world.Run(seconds(1));
      world.Write(1);
      world.Run(milliseconds(100));
      world.mDatabases[0].mPaused = true;
      world.Run(seconds(4));
      CPPUNIT_ASSERT(world.mHomes[0].mDead);
      CPPUNIT_ASSERT(world.mHomes[1].mMachine->ServingPrimary(world.mNow) ==
                     world.Newest());
      world.Write(1);
      world.Run(milliseconds(200));
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, world.mAcknowledged.size());
    }
  }

  // Whether the home fails just before it would carry out this action, for each of the
  // five points in a failover that the test covers.
  template<typename Action>
  static bool IsKilledBy(std::size_t aStep, const Action& aAction)
  {
    if constexpr (std::is_same_v<Action, AskPeers>) {
      return aStep == 0;
    } else if constexpr (std::is_same_v<Action, SendFence>) {
      return aStep == 1 || (aStep == 2 && aAction.mDatabase == 2);
    } else if constexpr (std::is_same_v<Action, SendPromote>) {
      return aStep == 3;
    } else if constexpr (std::is_same_v<Action, AnnouncePrimary>) {
      return aStep == 4;
    }
    return false;
  }

  void GroupOfFiveSurvivesTwoSimultaneousFailures()
  {
    FailoverWorld world(5, 2);
    world.Run(seconds(1));
    world.Write(0);
    world.Run(milliseconds(100));
    world.mDatabases[0].mPaused = true;
    world.mDatabases[1].mPaused = true;
    world.Run(seconds(2));
    CPPUNIT_ASSERT(world.Newest() > 1);
    world.Write(0);
    world.Run(milliseconds(200));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, world.mAcknowledged.size());
  }

  void OldPrimaryRejoinsAndDropsItsUnreplicatedEntries()
  {
    FailoverWorld world(3, 2);
    world.Run(seconds(1));
    world.mDatabases[0].mLog.push_back({ 1, 1'000'000 });
    world.mDatabases[0].mPaused = true;
    world.Run(seconds(2));
    // The old primary is still paused and still considers itself the primary.
    CPPUNIT_ASSERT(world.mDatabases[0].mPrimary);
    world.mDatabases[0].mPaused = false;
    world.Run(seconds(1));
    CPPUNIT_ASSERT(!world.mDatabases[0].mPrimary);
    CPPUNIT_ASSERT(world.mDatabases[0].mLog == world.mDatabases[world.Newest()].mLog);
  }

  void LeavingPrimaryIsHandedOverWithNothingLost()
  {
    FailoverWorld world(3, 2);
    world.Run(seconds(1));
    world.Write(0);
    world.mDatabases[0].mLeaving = true;
    // No replica has received the write yet.
    world.Report(0, 0);
    world.Tick(0);
    while (!world.mMessages.empty()) {
      world.Deliver(0, FailoverWorld::Delivery::Once);
    }
    world.Run(milliseconds(100));
    CPPUNIT_ASSERT(world.NewestTerm() == 2);
    CPPUNIT_ASSERT(world.Newest() != 0);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, world.mAcknowledged.size());
    world.Run(seconds(5));
    CPPUNIT_ASSERT(world.NewestTerm() == 2);
  }

  void StalledPrimaryIsReplaced()
  {
    FailoverWorld world(3, 2);
    world.Run(seconds(1));
    world.Write(0);
    CutReplicationFor(world, seconds(1));
    CPPUNIT_ASSERT(world.NewestTerm() == 1);
    CutReplicationFor(world, seconds(2));
    CPPUNIT_ASSERT(world.NewestTerm() > 1);
    CPPUNIT_ASSERT(world.Newest() != 0);
  }

  // Lets time pass while reports and orders arrive but no log entries are replicated.
  static void CutReplicationFor(FailoverWorld& aWorld, Duration aTime)
  {
    for (auto end = aWorld.mNow + aTime; aWorld.mNow < end;) {
      aWorld.mNow += milliseconds(20);
      for (std::size_t home = 0; home < aWorld.mHomes.size(); ++home) {
        for (std::size_t n = 0; n < aWorld.mDatabases.size(); ++n) {
          aWorld.Report(n, home);
        }
        aWorld.Tick(home);
      }
      while (!aWorld.mMessages.empty()) {
        aWorld.Deliver(0, FailoverWorld::Delivery::Once);
      }
    }
  }

  void DatabaseWithALaterGrantRejoins()
  {
    FailoverWorld world(3, 2);
    world.Run(seconds(1));
    world.mDatabases[2].mGranted = 9;
    world.mDatabases[2].mFollows.reset();
    world.Run(seconds(2));
    CPPUNIT_ASSERT(world.NewestTerm() > 9);
    for (const auto& it : world.mDatabases) {
      CPPUNIT_ASSERT(it.mLog == world.mDatabases[0].mLog);
    }
  }

  void GreatestFencedLogIsChosen()
  {
    std::vector<bool> none(3);
    using Heads = std::vector<std::optional<LogPosition>>;
    Heads heads{ LogPosition{ 2, 9 }, std::nullopt, LogPosition{ 3, 4 } };
    CPPUNIT_ASSERT(ChooseForPromotion(heads, none, true) == std::size_t{ 2 });
    heads = { LogPosition{ 3, 4 }, std::nullopt, LogPosition{ 3, 5 } };
    CPPUNIT_ASSERT(ChooseForPromotion(heads, none, true) == std::size_t{ 2 });
    heads = { LogPosition{ 3, 4 }, std::nullopt, std::nullopt };
    CPPUNIT_ASSERT(!ChooseForPromotion(heads, none, true));
  }

  void AvoidedDatabaseIsChosenWhenTheOthersMayLackEntries()
  {
    std::vector<bool> avoided{ true, false, false };
    using Heads = std::vector<std::optional<LogPosition>>;
    Heads heads{ LogPosition{ 1, 9 }, LogPosition{ 1, 8 }, std::nullopt };
    CPPUNIT_ASSERT(!ChooseForPromotion(heads, avoided, false));
    CPPUNIT_ASSERT(ChooseForPromotion(heads, avoided, true) == std::size_t{ 0 });
    heads[2] = LogPosition{ 1, 7 };
    CPPUNIT_ASSERT(ChooseForPromotion(heads, avoided, false) == std::size_t{ 1 });
    heads = { LogPosition{ 1, 9 }, LogPosition{ 1, 9 }, std::nullopt };
    CPPUNIT_ASSERT(ChooseForPromotion(heads, avoided, false) == std::size_t{ 1 });
  }

  // Guards against the loss of an acknowledged write: an entry of term 2 that the
  // primary of term 4 inherited is on a majority, but the first entry of term 4 is not.
  // A later term may then promote a log that lacks the entry.
  void InheritedEntryIsNotAcknowledgedWithoutTheFirstOwnEntry()
  {
    GroupView view;
    view.mDatabases.resize(3);
    // The primary of term 4 has its first entry at position 4; the inherited entry is
    // at position 3.
    view.mDatabases[0].mHead = { 4, 4 };
    view.mDatabases[1].mHead = { 2, 3 };
    view.mDatabases[2].mHead = { 3, 2 };
    CPPUNIT_ASSERT(!IsSafe(view, { 4, 3 }));
    std::vector<std::optional<LogPosition>> fenced{ std::nullopt,
                                                    view.mDatabases[1].mHead,
                                                    view.mDatabases[2].mHead };
    // The database that the next term may promote lacks the entry.
    CPPUNIT_ASSERT(ChooseForPromotion(fenced, std::vector<bool>(3), true) ==
                   std::size_t{ 2 });
    view.mDatabases[1].mHead = { 4, 4 };
    CPPUNIT_ASSERT(IsSafe(view, { 4, 3 }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FailoverMachineTest);
