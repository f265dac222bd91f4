#include "CatalogueFleet.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

using namespace sesameway;
using sesameway::test::CatalogueFleet;

class CatalogueDistributionTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(CatalogueDistributionTest);
  CPPUNIT_TEST(OneReaderPerZoneWhateverTheNumberOfDaemons);
  CPPUNIT_TEST(APausedReaderIsReplacedAndStepsDown);
  CPPUNIT_TEST(AStartingDaemonWaitsForTheStoreOrPeers);
  CPPUNIT_TEST(AZoneWithoutThePlatformQueriesOtherZones);
  CPPUNIT_TEST(ContactCountsFromTheFirstAttemptAtAnUpdate);
  CPPUNIT_TEST_SUITE_END();

  static constexpr const char* kBody = "name = \"o\"\nrate = 1\nburst = 1\n";

  static std::vector<std::size_t> Readers(const CatalogueFleet& aFleet)
  {
    std::vector<std::size_t> readers;
    for (std::size_t n = 0; n < aFleet.mDaemons.size(); ++n) {
      if (aFleet.mDaemons[n].mDistribution->IsReader()) {
        readers.push_back(n);
      }
    }
    return readers;
  }

  static Duration OldestContact(const CatalogueFleet& aFleet)
  {
    Duration oldest{};
    for (std::size_t n = 0; n < aFleet.mDaemons.size(); ++n) {
      auto contact = aFleet.mDaemons[n].mDistribution->Contact();
      oldest = std::max<Duration>(oldest, aFleet.ClockOf(n) - contact);
    }
    return oldest;
  }

  void OneReaderPerZoneWhateverTheNumberOfDaemons()
  {
    std::map<std::size_t, std::map<std::string, int>> calls;
    for (std::size_t daemons : { 9, 63 }) {
      CatalogueFleet fleet(daemons, 3, 11);
      fleet.Run(seconds(20));
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 3 }, Readers(fleet).size());
      fleet.mCalls.clear();
      fleet.Run(seconds(60));
      calls[daemons] = fleet.mCalls;
      CPPUNIT_ASSERT(OldestContact(fleet) < seconds(6));
      for (const auto& it : fleet.mDaemons) {
        CPPUNIT_ASSERT(it.mDistribution->Children().size() <= 8);
      }
    }
    for (const char* kind : { "put", "get", "list", "vms", "watch" }) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(kind, calls[9][kind], calls[63][kind]);
    }
    // Three zones with one lease update every 1.5 s and one list of VMs every 2 s.
    CPPUNIT_ASSERT(calls[63]["put"] <= 3 * 41);
    CPPUNIT_ASSERT(calls[63]["vms"] <= 3 * 31);
    CPPUNIT_ASSERT_EQUAL(0, calls[63]["list"]);
  }

  void APausedReaderIsReplacedAndStepsDown()
  {
    CatalogueFleet fleet(4, 1, 5);
    fleet.Run(seconds(10));
    auto first = Readers(fleet).at(0);
    fleet.mDaemons[first].mPausedUntil = fleet.mNow + seconds(20);
    fleet.Run(seconds(3));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, Readers(fleet).size());
    fleet.Run(seconds(6));
    // There are two readers for now: the paused one has not learned that it was
    // replaced. This does no harm, as it only reads.
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, Readers(fleet).size());
    fleet.Change("catalogue/organisation/o", kBody);
    fleet.Run(seconds(3));
    for (std::size_t n = 0; n < fleet.mDaemons.size(); ++n) {
      bool isKnown =
        fleet.mDaemons[n].mTable->RevisionOf("catalogue/organisation/o") > 0;
      CPPUNIT_ASSERT(isKnown || n == first);
    }
    fleet.Run(seconds(12));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, Readers(fleet).size());
    CPPUNIT_ASSERT(Readers(fleet).at(0) != first);
    CPPUNIT_ASSERT(
      fleet.mDaemons[first].mTable->RevisionOf("catalogue/organisation/o") > 0);
  }

  void AStartingDaemonWaitsForTheStoreOrPeers()
  {
    CatalogueFleet fleet(4, 2, 5);
    fleet.Change("catalogue/organisation/o", kBody);
    fleet.Run(seconds(10));
    fleet.SetDown(true);
    fleet.Restart(3);
    fleet.mDaemons[3].mIsCutFromPeers = true;
    fleet.Run(seconds(20));
    CPPUNIT_ASSERT(!fleet.mDaemons[3].mDistribution->IsServing());
    fleet.mDaemons[3].mIsCutFromPeers = false;
    fleet.mOnStep = [&fleet] {
      const auto& it = fleet.mDaemons[3];
      bool isKnown = it.mTable->RevisionOf("catalogue/organisation/o") > 0;
      CPPUNIT_ASSERT(!it.mDistribution->IsServing() || isKnown);
    };
    fleet.Run(seconds(6));
    CPPUNIT_ASSERT(fleet.mDaemons[3].mDistribution->IsServing());
  }

  static bool Puts(const CatalogueActions& aActions)
  {
    return std::any_of(aActions.begin(), aActions.end(), [](const auto& aIt) {
      return std::holds_alternative<PutLease>(aIt);
    });
  }

  void ContactCountsFromTheFirstAttemptAtAnUpdate()
  {
    CatalogueDistribution reader({ "vm0", "z0", "vm0", false }, 1, {}, 1);
    TimePoint start{ seconds(100) };
    StoredObject lease{ "catalogue-reader/z0", 1, 1, "vm0 1", false };
    reader.OnLease(start, lease, false);
    reader.OnListed(start);
    CPPUNIT_ASSERT(Puts(reader.Tick(start)));
    reader.OnStoreFailed(start, start + seconds(1), StoreFailure::Silent);
    // The lease is read back before the unanswered update is applied, so the update is
    // sent again.
    CPPUNIT_ASSERT(!Puts(reader.Tick(start + seconds(2))));
    reader.OnLeaseRead(start + seconds(2), lease);
    CPPUNIT_ASSERT(Puts(reader.Tick(start + seconds(4))));
    lease.mVersion = 2;
    reader.OnLease(start + seconds(5), lease, true);
    CPPUNIT_ASSERT(reader.Contact() == start);
  }

  void AZoneWithoutThePlatformQueriesOtherZones()
  {
    CatalogueFleet fleet(12, 3, 5);
    fleet.Run(seconds(10));
    for (std::size_t n = 0; n < 12; n += 3) {
      fleet.CutFromStore(n, true);
    }
    fleet.Run(seconds(10));
    fleet.Change("catalogue/organisation/o", kBody);
    Duration oldest{};
    fleet.mOnStep = [&] { oldest = std::max(oldest, OldestContact(fleet)); };
    // Users allow 12 s for a change to reach all daemons.
    fleet.Run(seconds(12));
    for (const auto& it : fleet.mDaemons) {
      CPPUNIT_ASSERT(it.mTable->RevisionOf("catalogue/organisation/o") > 0);
    }
    // The contact must not become as old as the default of `isolated_after_s`.
    CPPUNIT_ASSERT(oldest < seconds(10));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CatalogueDistributionTest);
