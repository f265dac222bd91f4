#include "sesameway/Shares.h"
#include "sesameway/StoreRevision.h"

#include <cppunit/extensions/HelperMacros.h>

#include <numeric>

using namespace sesameway;

class SharesTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(SharesTest);
  CPPUNIT_TEST(PartsOfAllSlotsAddUpToTheLimits);
  CPPUNIT_TEST(LeaseCountsFromBeforeTheReadWasSent);
  CPPUNIT_TEST(ReleaseThatMayStillTakeEffectCountsAsDone);
  CPPUNIT_TEST(NewIncarnationTakesOverAndTheOldOneStops);
  CPPUNIT_TEST(AfterARestartFormerFloorSlotsAreUsedAtOnce);
  CPPUNIT_TEST(TableSurvivesFormattingAndParsing);
  CPPUNIT_TEST(AStoreThatDoesNotAnswerIsAskedMoreRarely);
  CPPUNIT_TEST(SlotsOfAnOlderCopyOfTheTableAreNotUsedAtOnce);
  CPPUNIT_TEST(TheFirstTableOfAStoreIsNotTakenForAnOlderOne);
  CPPUNIT_TEST(ATableThatTheStoreHasLostIsWrittenAgain);
  CPPUNIT_TEST(ADaemonWhoseEntryIsLostRegistersAgain);
  CPPUNIT_TEST_SUITE_END();

  static constexpr TimePoint kStart{ seconds(1000) };

  static SlotTable AllOf(const std::string& aName, std::uint64_t aIncarnation)
  {
    SlotTable table;
    table.mZones = { "z" };
    SlotHolder holder{
      aName, "z", aIncarnation, 0, std::vector<std::uint32_t>(kSlots)
    };
    std::iota(holder.mSlots.begin(), holder.mSlots.end(), 0);
    table.mHolders[aName] = holder;
    return table;
  }

  void PartsOfAllSlotsAddUpToTheLimits()
  {
    for (double burst : { 1.0, 2.0, 20.0, 63.0, 10'000.0 }) {
      Organisation organisation{ "studio", 333.3, burst, 1 };
      NanoTokens rate = 0;
      NanoTokens all = 0;
      for (std::uint32_t n = 0; n < kSlots; ++n) {
        auto share = ShareOf(organisation, { { n }, kStart });
        rate += share.mFloor.mRate + share.mLeased.mRate;
        all += share.mFloor.mBurst + share.mLeased.mBurst;
      }
      auto whole = static_cast<NanoTokens>(burst * kOneToken);
      CPPUNIT_ASSERT(all <= whole && all > whole - kSlots);
      CPPUNIT_ASSERT(rate <= static_cast<NanoTokens>(333.3 * kOneToken));
    }
  }

  void LeaseCountsFromBeforeTheReadWasSent()
  {
    SlotAllocator allocator("a", "z", 1);
    allocator.Next(kStart);
    allocator.OnTable(AllOf("a", 1), 5, kStart, kStart + seconds(60));
    CPPUNIT_ASSERT(allocator.Held().mLeaseEnd == kStart + kSlotLease);
  }

  void ReleaseThatMayStillTakeEffectCountsAsDone()
  {
    SlotAllocator allocator("a", "z", 1);
    allocator.Next(kStart);
    auto table = AllOf("a", 1);
    table.mHolders["b"] = { "b", "z", 1, 0, {} };
    allocator.OnTable(table, 5, kStart, kStart);
    auto step = allocator.Next(kStart);
    CPPUNIT_ASSERT(std::holds_alternative<WriteTable>(step));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ kSlots / 2 }, allocator.Held().mSlots.size());
    // The write got no answer and a read returns the old table: the write may still be
    // in flight, so the released slots must not be used.
    auto now = kStart + seconds(5);
    allocator.OnNoAnswer(kStart + seconds(1));
    CPPUNIT_ASSERT(std::holds_alternative<ReadTable>(allocator.Next(now)));
    allocator.OnTable(table, 5, now, now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ kSlots / 2 }, allocator.Held().mSlots.size());
    // A newer version still shows the slots as held by this daemon: the write expected
    // the old version and can no longer be applied.
    allocator.OnTable(table, 6, now, now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ kSlots }, allocator.Held().mSlots.size());
  }

  void NewIncarnationTakesOverAndTheOldOneStops()
  {
    SlotAllocator before("a", "z", 1);
    before.Next(kStart);
    before.OnTable(AllOf("a", 1), 5, kStart, kStart);
    SlotAllocator after("a", "z", 2);
    after.Next(kStart);
    after.OnTable(AllOf("a", 1), 5, kStart, kStart);
    CPPUNIT_ASSERT(after.Held().mSlots.empty());
    auto step = after.Next(kStart);
    auto written = ParseSlotTable(std::get<WriteTable>(step).mBody);
    after.OnTable(*written, 6, kStart, kStart);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ kSlots }, after.Held().mSlots.size());
    before.OnTable(*written, 6, kStart, kStart);
    CPPUNIT_ASSERT(before.IsReplaced() && before.Held().mSlots.empty());
  }

  // Guards against refused statements when all daemons restart at once and all callers
  // reconnect.
  void AfterARestartFormerFloorSlotsAreUsedAtOnce()
  {
    SlotAllocator after("a", "z", 2);
    after.UsePreviousSlots(kStart - seconds(1));
    after.Next(kStart);
    after.OnTable(AllOf("a", 1), 5, kStart, kStart);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ kFloorSlots }, after.Held().mSlots.size());
    CPPUNIT_ASSERT(after.Held().mLeaseEnd == TimePoint{});
    CPPUNIT_ASSERT(after.Held().mSince == kStart - seconds(1));
    // Another daemon took over the slots before this one registered.
    after.OnTable(AllOf("b", 1), 6, kStart, kStart);
    CPPUNIT_ASSERT(after.Held().mSlots.empty());
  }

  void TableSurvivesFormattingAndParsing()
  {
    auto table = AllOf("a", 0xf000'0000'0000'0001);
    table.mHolders["a"].mMark = 7;
    CPPUNIT_ASSERT(*ParseSlotTable(FormatSlotTable(table)) == table);
    CPPUNIT_ASSERT(!ParseSlotTable("[[holder]]\nname=\"a\"\nslots=[1,1]\n"));
    CPPUNIT_ASSERT(!ParseSlotTable("[[holder]]\nname=\"a\"\nslots=[2048]\n"));
  }

  // A daemon that has its slots needs the table only now and then; one that has none
  // asks each second.
  void AStoreThatDoesNotAnswerIsAskedMoreRarely()
  {
    auto callsOf = [](SlotAllocator& aAllocator) {
      int calls = 0;
      for (auto now = kStart + seconds(20); now < kStart + seconds(40);
           now += milliseconds(100)) {
        if (!std::holds_alternative<PauseUntil>(aAllocator.Next(now))) {
          ++calls;
          aAllocator.OnNoAnswer(now);
        }
      }
      return calls;
    };
    SlotAllocator holder("a", "z", 1);
    holder.Next(kStart);
    holder.OnTable(AllOf("a", 1), 5, kStart, kStart);
    CPPUNIT_ASSERT(callsOf(holder) <= 7);
    SlotAllocator other("b", "z", 1);
    CPPUNIT_ASSERT(callsOf(other) >= 19);
  }

  // Guards against a rate limit that is exceeded: the store has lost the change by
  // which another daemon received the slots, and that daemon still uses them.
  void SlotsOfAnOlderCopyOfTheTableAreNotUsedAtOnce()
  {
    SlotAllocator allocator("a", "z", 1);
    allocator.Next(kStart);
    auto table = AllOf("a", 1);
    auto& slots = table.mHolders["a"].mSlots;
    auto half = slots;
    slots.resize(kSlots / 2);
    allocator.OnTable(table, 5, kStart, kStart);
    auto now = kStart + seconds(10);
    slots = half;
    allocator.OnTable(table, MakeRevision(1, 4), now, now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ kSlots / 2 }, allocator.Held().mSlots.size());
    now += kLostTableWait;
    allocator.OnTable(table, MakeRevision(1, 4), now, now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ kSlots }, allocator.Held().mSlots.size());
  }

  // Guards against a fleet that has no rate limit to use for a while after its first
  // start.
  void TheFirstTableOfAStoreIsNotTakenForAnOlderOne()
  {
    SlotAllocator allocator("a", "z", 1);
    allocator.Next(kStart);
    allocator.OnTable({}, MakeRevision(1, 0), kStart, kStart);
    allocator.OnTable(AllOf("a", 1), MakeRevision(1, 2), kStart, kStart);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ kSlots }, allocator.Held().mSlots.size());
  }

  // Guards against slots that nobody gets any more: the store has lost the whole table.
  void ATableThatTheStoreHasLostIsWrittenAgain()
  {
    SlotAllocator allocator("a", "z", 1);
    allocator.Next(kStart);
    allocator.OnTable(AllOf("a", 1), 5, kStart, kStart);
    auto now = kStart + seconds(20);
    CPPUNIT_ASSERT(std::holds_alternative<ReadTable>(allocator.Next(now)));
    allocator.OnTable({}, MakeRevision(1, 0), now, now);
    auto step = allocator.Next(now);
    auto* write = std::get_if<WriteTable>(&step);
    CPPUNIT_ASSERT(write != nullptr);
    CPPUNIT_ASSERT_EQUAL(MakeRevision(1, 0), write->mExpectedVersion);
  }

  // Guards against a daemon that takes its own previous incarnation, in an older copy
  // of the table, for its successor and gives its slots up for good.
  void ADaemonWhoseEntryIsLostRegistersAgain()
  {
    SlotAllocator allocator("a", "z", 2);
    allocator.Next(kStart);
    allocator.OnTable(AllOf("a", 2), 5, kStart, kStart);
    allocator.OnTable(AllOf("a", 1), MakeRevision(1, 4), kStart, kStart);
    CPPUNIT_ASSERT(!allocator.IsReplaced());
    auto step = allocator.Next(kStart + seconds(3));
    CPPUNIT_ASSERT(!std::holds_alternative<PauseUntil>(step));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SharesTest);
