#include "sesameway/Leadership.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace sesameway;

class LeadershipTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(LeadershipTest);
  CPPUNIT_TEST(RecordsSurviveFormattingAndParsing);
  CPPUNIT_TEST(RejectsAnInvalidRecord);
  CPPUNIT_TEST(UsesAPrimaryOnlyWhileInContact);
  CPPUNIT_TEST(StandsDownUntilThatChangeIsComplete);
  CPPUNIT_TEST(AnOlderRecordChangesNothing);
  CPPUNIT_TEST(TheFirstDaemonTakesTheLeaseAtOnce);
  CPPUNIT_TEST(AnotherDaemonWaitsUntilTheLeaseHasExpired);
  CPPUNIT_TEST(AHolderThatWasSuspendedHasLostTheLease);
  CPPUNIT_TEST(AnUnansweredWriteGrantsNoLease);
  CPPUNIT_TEST(ARestartedHolderDoesNotWaitForItself);
  CPPUNIT_TEST(AReleasedLeaseIsTakenAtOnce);
  CPPUNIT_TEST(NobodyHoldsTheLeaseOfAnOlderCopyOfTheStore);
  CPPUNIT_TEST(ARestartedHolderWaitsAfterTheStoreHasReturned);
  CPPUNIT_TEST(ADaemonThatStartsLaterWaitsOnlyForTheRest);
  CPPUNIT_TEST(AWaitOfAnEarlierGenerationDoesNotCount);
  CPPUNIT_TEST(ALeaseWhoseRecordIsLostIsTakenOnceItHasEnded);
  CPPUNIT_TEST(FencingTokensRiseAlthoughTheStoreHasLostSome);
  CPPUNIT_TEST(AnOlderGroupRecordIsNotTaken);
  CPPUNIT_TEST(AReturnedRecordCountsOnceItIsWrittenAgain);
  CPPUNIT_TEST_SUITE_END();

  static constexpr TimePoint kStart{ seconds(1000) };

  static GroupRecord Record(GroupPhase aPhase, std::uint64_t aChange)
  {
    return { "g", aPhase, aChange, 3, "i-1", "", 4, 2, true };
  }

  static CoordinatorLease Holder(TimePoint aNow, std::uint64_t aRevision)
  {
    CoordinatorLease lease("a", "10.0.0.1:1", 7, 0);
    lease.OnNoRecord(aNow);
    CPPUNIT_ASSERT(lease.Next(aNow).has_value());
    lease.OnWritten(aRevision, aNow);
    return lease;
  }

  void RecordsSurviveFormattingAndParsing()
  {
    auto record = Record(GroupPhase::Changing, 4);
    record.mTarget = "i-2";
    record.mTakenOverAt = { 3, 17 };
    CPPUNIT_ASSERT(ParseGroupRecord(FormatGroupRecord(record)) == record);
    CoordinatorRecord coordinator{ "a \"b\"", "10.0.0.1:1", 1ULL << 62, 3, 9,
                                   1,         seconds(3),   2 };
    CPPUNIT_ASSERT(ParseCoordinatorRecord(FormatCoordinatorRecord(coordinator)) ==
                   coordinator);
  }

  void RejectsAnInvalidRecord()
  {
    CPPUNIT_ASSERT(!ParseGroupRecord("group = "));
    CPPUNIT_ASSERT(!ParseGroupRecord("group = 'g'\nphase = 'resting'\nchange = 1"));
    CPPUNIT_ASSERT(!ParseGroupRecord("phase = 'serving'\nchange = 1"));
    CPPUNIT_ASSERT(!ParseGroupRecord("group = 'g'\nphase = 'serving'\nchange = -1"));
  }

  void UsesAPrimaryOnlyWhileInContact()
  {
    Leadership leadership;
    CPPUNIT_ASSERT(!leadership.IsPrimaryUsable(kStart, kStart));
    leadership.OnRecord(Record(GroupPhase::Serving, 1), 5);
    CPPUNIT_ASSERT(
      leadership.IsPrimaryUsable(kStart, kStart + kContactLimit - Duration(1)));
    CPPUNIT_ASSERT(!leadership.IsPrimaryUsable(kStart, kStart + kContactLimit));
    leadership.OnRecord(Record(GroupPhase::Changing, 2), 6);
    CPPUNIT_ASSERT(!leadership.IsPrimaryUsable(kStart, kStart));
  }

  void StandsDownUntilThatChangeIsComplete()
  {
    Leadership leadership;
    leadership.OnRecord(Record(GroupPhase::Serving, 1), 5);
    leadership.StandDown(2);
    CPPUNIT_ASSERT(!leadership.IsPrimaryUsable(kStart, kStart));
    leadership.OnRecord(Record(GroupPhase::Changing, 2), 6);
    CPPUNIT_ASSERT(!leadership.IsPrimaryUsable(kStart, kStart));
    leadership.OnRecord(Record(GroupPhase::Serving, 2), 7);
    CPPUNIT_ASSERT(leadership.IsPrimaryUsable(kStart, kStart));
  }

  void AnOlderRecordChangesNothing()
  {
    Leadership leadership;
    leadership.OnRecord(Record(GroupPhase::Changing, 2), 6);
    CPPUNIT_ASSERT(!leadership.OnRecord(Record(GroupPhase::Serving, 1), 5));
    CPPUNIT_ASSERT(leadership.IsChanging());
  }

  void TheFirstDaemonTakesTheLeaseAtOnce()
  {
    CoordinatorLease lease("a", "10.0.0.1:1", 7, 0);
    CPPUNIT_ASSERT(!lease.Next(kStart).has_value());
    lease.OnNoRecord(kStart);
    auto write = lease.Next(kStart);
    CPPUNIT_ASSERT(write && write->mExpected == 0 && write->mRecord.mFence == 1);
    CPPUNIT_ASSERT(!lease.Next(kStart).has_value());
    CPPUNIT_ASSERT(!lease.IsHolder(kStart));
    lease.OnWritten(9, kStart);
    CPPUNIT_ASSERT(lease.IsHolder(kStart));
  }

  void AnotherDaemonWaitsUntilTheLeaseHasExpired()
  {
    auto holder = Holder(kStart, 9);
    CoordinatorLease other("b", "10.0.0.2:1", 8, 0);
    other.OnRecord({ "a", "10.0.0.1:1", 7, 1, 1 }, 9, kStart);
    auto now = kStart;
    while (!other.Next(now)) {
      now += milliseconds(50);
    }
    CPPUNIT_ASSERT(!holder.IsHolder(now));
    other.OnWritten(10, now);
    CPPUNIT_ASSERT(other.IsHolder(now));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 2 }, other.Fence());
  }

  void AHolderThatWasSuspendedHasLostTheLease()
  {
    auto holder = Holder(kStart, 9);
    CPPUNIT_ASSERT(!holder.IsHolder(kStart + kCoordinatorLease));
    // The store rejects the renewal, because another daemon has taken the lease by now.
    auto later = kStart + seconds(20);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 9 }, holder.Next(later)->mExpected);
    holder.OnWritten(0, later);
    CPPUNIT_ASSERT(!holder.IsHolder(later));
  }

  void AnUnansweredWriteGrantsNoLease()
  {
    CoordinatorLease lease("a", "10.0.0.1:1", 7, 0);
    lease.OnNoRecord(kStart);
    auto write = lease.Next(kStart);
    lease.OnWritten(std::nullopt, kStart + seconds(1));
    CPPUNIT_ASSERT(!lease.IsHolder(kStart + seconds(1)));
    // The unanswered write was applied, but this daemon may act as coordinator only
    // after its next renewal has been answered.
    lease.OnRecord(write->mRecord, 9, kStart + seconds(2));
    CPPUNIT_ASSERT(!lease.IsHolder(kStart + seconds(2)));
    auto renewal = lease.Next(kStart + seconds(2));
    CPPUNIT_ASSERT(renewal && renewal->mExpected == 9);
    lease.OnWritten(10, kStart + seconds(2));
    CPPUNIT_ASSERT(lease.IsHolder(kStart + seconds(2)));
  }

  void ARestartedHolderDoesNotWaitForItself()
  {
    CoordinatorLease lease("a", "10.0.0.1:1", 8, 0);
    lease.OnRecord({ "a", "10.0.0.1:1", 7, 4, 1 }, 9, kStart);
    auto write = lease.Next(kStart);
    CPPUNIT_ASSERT(write && write->mRecord.mFence == 5);
  }

  void AReleasedLeaseIsTakenAtOnce()
  {
    auto holder = Holder(kStart, 9);
    holder.Leave();
    CPPUNIT_ASSERT(!holder.IsHolder(kStart));
    auto write = holder.Next(kStart + kCoordinatorRenewal);
    CPPUNIT_ASSERT(write && write->mRecord.mHolder.empty());
    CoordinatorLease other("b", "10.0.0.2:1", 8, 0);
    other.OnRecord(write->mRecord, 10, kStart + kCoordinatorRenewal);
    CPPUNIT_ASSERT(other.Next(kStart + kCoordinatorRenewal).has_value());
  }

  static CoordinatorRecord LeaseOf(const std::string& aHolder)
  {
    return { aHolder, "10.0.0.1:1", 7, 3, 9 };
  }

  // Whether the daemon's next write gives it the lease. Every write is accepted.
  static bool TakesLease(CoordinatorLease& aLease,
                         TimePoint aNow,
                         std::uint64_t aGeneration = 1)
  {
    if (auto write = aLease.Next(aNow, aGeneration)) {
      aLease.OnWritten(write->mExpected + 1, aNow);
    }
    return aLease.IsHolder(aNow);
  }

  // Guards against two coordinators: another daemon may have taken the lease in a
  // change that the store has lost.
  void NobodyHoldsTheLeaseOfAnOlderCopyOfTheStore()
  {
    auto holder = Holder(kStart, 9);
    auto now = kStart + seconds(1);
    holder.OnRecord({ "a", "10.0.0.1:1", 7, 1, 1 }, MakeRevision(1, 9), now);
    CPPUNIT_ASSERT(!holder.IsHolder(now));
    CPPUNIT_ASSERT(!TakesLease(holder, now + kCoordinatorLease));
    CPPUNIT_ASSERT(TakesLease(holder, now + kCoordinatorTakeoverDelay));
  }

  void ARestartedHolderWaitsAfterTheStoreHasReturned()
  {
    CoordinatorLease lease("a", "10.0.0.1:1", 8, 0);
    lease.OnRecord(LeaseOf("a"), MakeRevision(1, 9), kStart);
    CPPUNIT_ASSERT(!TakesLease(lease, kStart + kCoordinatorLease));
    CPPUNIT_ASSERT(TakesLease(lease, kStart + kCoordinatorTakeoverDelay));
  }

  // Guards against a group without a coordinator while daemons are restarted again and
  // again after the store's return.
  void ADaemonThatStartsLaterWaitsOnlyForTheRest()
  {
    CoordinatorLease first("a", "10.0.0.1:1", 7, 0);
    first.OnRecord(LeaseOf("c"), MakeRevision(1, 9), kStart);
    first.Leave();
    std::uint64_t revision = 9;
    CoordinatorRecord record;
    for (auto now = kStart; now < kStart + seconds(5); now += milliseconds(50)) {
      auto write = first.Next(now, 1);
      if (write) {
        record = write->mRecord;
        first.OnWritten(MakeRevision(1, ++revision), now);
      }
      CPPUNIT_ASSERT(!first.IsHolder(now));
    }
    CoordinatorLease second("b", "10.0.0.2:1", 8, 0);
    second.OnRecord(record, MakeRevision(1, revision), kStart + seconds(5));
    CPPUNIT_ASSERT(!TakesLease(second, kStart + kCoordinatorLease));
    CPPUNIT_ASSERT(
      TakesLease(second, kStart + kCoordinatorTakeoverDelay + milliseconds(1200)));
  }

  void AWaitOfAnEarlierGenerationDoesNotCount()
  {
    auto record = LeaseOf("c");
    record.mWaited = seconds(6);
    record.mWaitGeneration = 1;
    CoordinatorLease lease("b", "10.0.0.2:1", 8, 0);
    lease.OnRecord(record, MakeRevision(2, 9), kStart);
    CPPUNIT_ASSERT(!TakesLease(lease, kStart + kCoordinatorLease, 2));
    CPPUNIT_ASSERT(TakesLease(lease, kStart + kCoordinatorTakeoverDelay, 2));
  }

  // Guards against a fleet that never has a coordinator again: the store no longer has
  // the revision that a write expects.
  void ALeaseWhoseRecordIsLostIsTakenOnceItHasEnded()
  {
    auto holder = Holder(kStart, 9);
    CoordinatorLease other("b", "10.0.0.2:1", 8, 0);
    other.OnRecord({ "a", "10.0.0.1:1", 7, 1, 1 }, 9, kStart);
    auto now = kStart + seconds(1);
    for (auto* it : { &holder, &other }) {
      it->OnRemoved(MakeRevision(1, 3), now);
      CPPUNIT_ASSERT(!it->IsHolder(now));
      CPPUNIT_ASSERT(!it->Next(now + kCoordinatorLease, 1));
      auto write = it->Next(now + kCoordinatorTakeoverDelay, 1);
      CPPUNIT_ASSERT(write && write->mExpected == 0);
    }
    other.OnWritten(MakeRevision(1, 4), now + kCoordinatorTakeoverDelay);
    CPPUNIT_ASSERT(other.IsHolder(now + kCoordinatorTakeoverDelay));
  }

  // Guards against two coordinators with the same token: the record with the higher one
  // is lost.
  void FencingTokensRiseAlthoughTheStoreHasLostSome()
  {
    CoordinatorLease lease("b", "10.0.0.2:1", 8, 0);
    lease.OnRecord(LeaseOf("a"), 9, kStart);
    auto former = lease.Next(kStart + kCoordinatorTakeoverDelay);
    lease.OnWritten(10, kStart + kCoordinatorTakeoverDelay);
    auto now = kStart + seconds(20);
    CoordinatorLease other("c", "10.0.0.3:1", 9, 0);
    other.OnRecord(LeaseOf("a"), MakeRevision(1, 9), now);
    auto next = other.Next(now + kCoordinatorTakeoverDelay, 1);
    CPPUNIT_ASSERT(next->mRecord.mFence > former->mRecord.mFence);
    other.OnWritten(MakeRevision(1, 10), now + kCoordinatorTakeoverDelay);
    CPPUNIT_ASSERT(other.IsHolder(now + kCoordinatorTakeoverDelay));
  }

  // Guards against a replaced primary that is used again.
  void AnOlderGroupRecordIsNotTaken()
  {
    Leadership leadership;
    leadership.OnRecord(Record(GroupPhase::Serving, 2), 9);
    CPPUNIT_ASSERT(
      leadership.OnRecord(Record(GroupPhase::Serving, 1), MakeRevision(1, 5)));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 2 }, leadership.Record().mChange);
    CPPUNIT_ASSERT(leadership.IsLostInStore());
    CPPUNIT_ASSERT_EQUAL(MakeRevision(1, 5), leadership.StoredRevision());
    leadership.OnRemoved(MakeRevision(1, 6));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 0 }, leadership.StoredRevision());
  }

  void AReturnedRecordCountsOnceItIsWrittenAgain()
  {
    Leadership leadership;
    auto record = Record(GroupPhase::Serving, 2);
    leadership.OnRecord(record, 9);
    CPPUNIT_ASSERT(leadership.IsPrimaryUsable(kStart, kStart));
    leadership.OnRecord(record, MakeRevision(1, 9));
    CPPUNIT_ASSERT(!leadership.IsPrimaryUsable(kStart, kStart));
    record.mGeneration = 1;
    leadership.OnRecord(record, MakeRevision(1, 10));
    CPPUNIT_ASSERT(leadership.IsPrimaryUsable(kStart, kStart));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LeadershipTest);
