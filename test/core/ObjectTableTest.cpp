#include "sesameway/ObjectTable.h"
#include "sesameway/DatabaseList.h"
#include "sesameway/ReplicaChoice.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

using namespace sesameway;

class ObjectTableTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ObjectTableTest);
  CPPUNIT_TEST(NeverRevertsToAnOlderRevision);
  CPPUNIT_TEST(AListRemovesObjectsThatItLacks);
  CPPUNIT_TEST(ARemovalMayCarryTheLastRevision);
  CPPUNIT_TEST(PeersThatKnowTheObjectLearnOfItsRemoval);
  CPPUNIT_TEST(APeerGetsOnlyWhatItLacksOfEachKind);
  CPPUNIT_TEST(TwoCopiesConvergeInAnyOrderOfChanges);
  CPPUNIT_TEST(EntryThatADatabaseWroteEarlierIsIgnored);
  CPPUNIT_TEST_SUITE_END();

  static StoredObject At(const std::string& aName,
                         std::uint64_t aRevision,
                         bool aIsDeleted = false)
  {
    return { aName, aRevision, aRevision, std::to_string(aRevision), aIsDeleted };
  }

  // Guards against a database that has reported that it is leaving, and is used again
  // when the store returns with an older copy.
  void EntryThatADatabaseWroteEarlierIsIgnored()
  {
    DatabaseList list;
    ListedDatabase database;
    database.mName = "a";
    database.mStartedAtMs = 1000;
    database.mSequence = 5;
    database.mIsLeaving = true;
    CPPUNIT_ASSERT(list.Put(database));
    auto older = database;
    older.mSequence = 4;
    older.mIsLeaving = false;
    CPPUNIT_ASSERT(!list.Put(older));
    CPPUNIT_ASSERT(list.Find("a")->mIsLeaving);
    // After a restart the count begins again.
    older.mStartedAtMs = 2000;
    CPPUNIT_ASSERT(list.Put(older));
    CPPUNIT_ASSERT(!list.Find("a")->mIsLeaving);
  }

  void NeverRevertsToAnOlderRevision()
  {
    ObjectTable table;
    CPPUNIT_ASSERT(table.Apply(At("config/main", 5)));
    CPPUNIT_ASSERT(!table.Apply(At("config/main", 4)));
    CPPUNIT_ASSERT(!table.Apply(At("config/main", 5)));
    CPPUNIT_ASSERT_EQUAL(std::string("5"), table.Find("config/main")->mBody);
  }

  void AListRemovesObjectsThatItLacks()
  {
    ObjectTable table;
    table.Apply(At("servers/a", 3));
    table.Apply(At("servers/b", 9));
    table.Apply(At("config/main", 2));
    // The listing is of revision 5 and can't contain servers/b, which is of revision 9.
    auto changed = table.ApplyListing("servers", {}, 5);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, changed.size());
    CPPUNIT_ASSERT(table.Find("servers/a") == nullptr);
    CPPUNIT_ASSERT(table.Find("servers/b") != nullptr);
    CPPUNIT_ASSERT(table.Find("config/main") != nullptr);
  }

  void ARemovalMayCarryTheLastRevision()
  {
    ObjectTable table;
    table.Apply(At("servers/a", 3));
    CPPUNIT_ASSERT(table.Apply(At("servers/a", 3, true)));
    CPPUNIT_ASSERT(table.Find("servers/a") == nullptr);
    CPPUNIT_ASSERT(!table.Apply(At("servers/a", 3)));
    CPPUNIT_ASSERT(table.Apply(At("servers/a", 4)));
  }

  // Guards against a removal that peers never learn of: the store reports a removed
  // object with the revision of its last change, which the peers already have.
  void PeersThatKnowTheObjectLearnOfItsRemoval()
  {
    ObjectTable table;
    std::vector<StoredObject> changes{ At("servers/a", 3),
                                       At("servers/a", 3, true),
                                       At("servers/b", 4, true),
                                       At("servers/b", 6) };
    RaiseRemovalRevisions(changes, 9);
    for (const auto& it : changes) {
      table.Apply(it);
    }
    auto newer = table.ChangesSince(7);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, newer.size());
    CPPUNIT_ASSERT(newer.front().mDeleted && newer.front().mName == "servers/a");
    // servers/b was created again after its removal and must not be removed.
    CPPUNIT_ASSERT(table.Find("servers/b") != nullptr);
  }

  // A fleet of 300 daemons that starts at once writes 300 member records within a
  // second, while the list of databases does not change and is read each three seconds.
  void APeerGetsOnlyWhatItLacksOfEachKind()
  {
    ObjectTable table;
    table.Apply(At("servers/a", 1));
    for (std::uint64_t n = 0; n < 300; ++n) {
      table.Apply(At("members/" + std::to_string(n), 2 + n));
    }
    KindRevisions known{ { "servers", 1 }, { "members", 300 } };
    auto changes = table.ChangesSince(known);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, changes.size());
    CPPUNIT_ASSERT_EQUAL(std::string("members/299"), changes.front().mName);
    known.erase("servers");
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, table.ChangesSince(known).size());
  }

  void TwoCopiesConvergeInAnyOrderOfChanges()
  {
    CPPUNIT_ASSERT(rc::check([] {
      std::vector<StoredObject> changes;
      for (std::uint64_t revision = 1; revision < 12; ++revision) {
        auto name = "k/" + std::to_string(*rc::gen::inRange(0, 3));
        changes.push_back(At(name, revision, *rc::gen::inRange(0, 4) == 0));
      }
      ObjectTable ordered;
      ObjectTable mixed;
      for (const auto& it : changes) {
        ordered.Apply(it);
      }
      for (int n = 0; n < 40; ++n) {
        mixed.Apply(changes[*rc::gen::inRange<std::size_t>(0, changes.size())]);
      }
      for (const auto& it : ordered.ChangesSince(0)) {
        mixed.Apply(it);
      }
      RC_ASSERT(mixed.ChangesSince(0) == ordered.ChangesSince(0));
    }));
  }
};

class DatabaseListTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(DatabaseListTest);
  CPPUNIT_TEST(AMissingEntryIsKeptForAWhile);
  CPPUNIT_TEST(AnEntryThatReturnsInTimeIsNotRemoved);
  CPPUNIT_TEST_SUITE_END();

  static constexpr TimePoint kStart{ seconds(1000) };

  static ListedDatabase Listed()
  {
    return { "i-1", "g", "z", "10.0.0.1:1", 3, false, DatabaseRole::Replica, 7 };
  }

  void AMissingEntryIsKeptForAWhile()
  {
    DatabaseList list;
    list.Put(Listed());
    list.Remove("i-1", kStart);
    CPPUNIT_ASSERT(!list.RemoveExpired(kStart + seconds(2)));
    CPPUNIT_ASSERT(list.Find("i-1") != nullptr);
    CPPUNIT_ASSERT(list.RemoveExpired(list.NextExpiry()));
    CPPUNIT_ASSERT(list.Find("i-1") == nullptr);
    CPPUNIT_ASSERT(list.NextExpiry() == TimePoint::max());
  }

  void AnEntryThatReturnsInTimeIsNotRemoved()
  {
    DatabaseList list;
    list.Put(Listed());
    list.Remove("i-1", kStart);
    list.Put(Listed());
    CPPUNIT_ASSERT(!list.RemoveExpired(kStart + seconds(60)));
  }
};

class ReplicaChoiceTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ReplicaChoiceTest);
  CPPUNIT_TEST(ReadsAtTheNearestReplica);
  CPPUNIT_TEST(WithoutAKnownHeadOnlyThePrimaryIsFresh);
  CPPUNIT_TEST(SkipsAReplicaThatIsBehind);
  CPPUNIT_TEST(ALongQueueOutweighsProximity);
  CPPUNIT_TEST(TriesAnAvoidedDatabaseLast);
  CPPUNIT_TEST(WaitsForABusyPrimaryRatherThanAskALaggingReplicaAgain);
  CPPUNIT_TEST_SUITE_END();

  static std::vector<ReadCandidate> Three()
  {
    std::vector<ReadCandidate> candidates(3);
    candidates[0] = {
      "near", false, microseconds(300), {}, LogPosition{ 1, 10 }, false
    };
    candidates[1] = { "far", false, milliseconds(20), {}, LogPosition{ 1, 10 }, false };
    candidates[2] = {
      "primary", true, milliseconds(20), {}, LogPosition{ 1, 12 }, false
    };
    return candidates;
  }

  void ReadsAtTheNearestReplica()
  {
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 },
                         *ChooseForFreshRead(Three(), LogPosition{ 1, 9 }));
  }

  void WithoutAKnownHeadOnlyThePrimaryIsFresh()
  {
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, *ChooseForFreshRead(Three(), std::nullopt));
    auto replicas = Three();
    replicas.pop_back();
    CPPUNIT_ASSERT(!ChooseForFreshRead(replicas, std::nullopt));
  }

  void SkipsAReplicaThatIsBehind()
  {
    auto candidates = Three();
    candidates[0].mPosition = LogPosition{ 1, 5 };
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 },
                         *ChooseForFreshRead(candidates, LogPosition{ 1, 9 }));
  }

  void ALongQueueOutweighsProximity()
  {
    auto candidates = Three();
    candidates[0].mExpectedWait = milliseconds(300);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 },
                         *ChooseForFreshRead(candidates, LogPosition{ 1, 9 }));
  }

  void TriesAnAvoidedDatabaseLast()
  {
    auto candidates = Three();
    candidates[0].mShouldAvoid = true;
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 },
                         *ChooseForFreshRead(candidates, LogPosition{ 1, 9 }));
  }

  // Guards against repeated reads at replicas that are known to be too old: replicas
  // lag far behind, and the primary refuses some reads because it is overloaded.
  void WaitsForABusyPrimaryRatherThanAskALaggingReplicaAgain()
  {
    auto candidates = Three();
    for (auto& it : candidates) {
      it.mShouldAvoid = true;
      it.mIsTooOld = !it.mIsPrimary;
      it.mExpectedWait = it.mIsPrimary ? milliseconds(500) : milliseconds(0);
    }
    auto choice = *ChooseForFreshRead(candidates, LogPosition{ 1, 9 });
    CPPUNIT_ASSERT(candidates[choice].mIsPrimary);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ObjectTableTest);
CPPUNIT_TEST_SUITE_REGISTRATION(DatabaseListTest);
CPPUNIT_TEST_SUITE_REGISTRATION(ReplicaChoiceTest);
