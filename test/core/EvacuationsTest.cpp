#include "sesameway/Evacuations.h"

#include "sesameway/StoreRevision.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace sesameway;

class EvacuationsTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(EvacuationsTest);
  CPPUNIT_TEST(EndsOnlyOnANewerRemoval);
  CPPUNIT_TEST(AnOlderVersionDoesNotBringARemovedOneBack);
  CPPUNIT_TEST(StaysInForceWhenTheStoreReturnsWithoutIt);
  CPPUNIT_TEST(EndsAfterTheStoreReturnedWithIt);
  CPPUNIT_TEST(ALostOneThatIsWrittenBackCanBeRemoved);
  CPPUNIT_TEST(TwoZonesAreIndependent);
  CPPUNIT_TEST(TransactionsEndAfterTheirTime);
  CPPUNIT_TEST_SUITE_END();

  using Effect = Evacuations::Effect;
  static constexpr TimePoint kNow{ seconds(1000) };

  Effect Store(std::uint64_t aRevision, const std::string& aZone = "z")
  {
    return mEvacuations.OnStored(aZone, "{}", aRevision, kNow);
  }
  Effect Remove(std::uint64_t aRevision, const std::string& aZone = "z")
  {
    return mEvacuations.OnRemoved(aZone, aRevision, kNow);
  }

  // Guards against an evacuation that ends by a removal from before it, which a peer
  // reports late. A removal may carry the revision of the object's last change.
  void EndsOnlyOnANewerRemoval()
  {
    CPPUNIT_ASSERT(Store(5) == Effect::Begun);
    CPPUNIT_ASSERT(Store(7) == Effect::None);
    CPPUNIT_ASSERT(Remove(6) == Effect::None);
    CPPUNIT_ASSERT(mEvacuations.Contains("z"));
    CPPUNIT_ASSERT(Remove(7) == Effect::Ended);
    CPPUNIT_ASSERT(mEvacuations.IsEmpty());
  }

  // Guards against an evacuation that a late message begins anew after its end.
  void AnOlderVersionDoesNotBringARemovedOneBack()
  {
    Remove(9);
    CPPUNIT_ASSERT(Store(8) == Effect::None);
    CPPUNIT_ASSERT(!mEvacuations.Contains("z"));
    CPPUNIT_ASSERT(Store(10) == Effect::Begun);
  }

  // Guards against statements that go back to a zone because the store returned with a
  // copy from before the evacuation.
  void StaysInForceWhenTheStoreReturnsWithoutIt()
  {
    Store(100);
    CPPUNIT_ASSERT(mEvacuations.LostUntil(kNow).empty());
    CPPUNIT_ASSERT(Remove(MakeRevision(1, 90)) == Effect::LostInStore);
    CPPUNIT_ASSERT(Remove(MakeRevision(1, 95)) == Effect::None);
    CPPUNIT_ASSERT(mEvacuations.Contains("z"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, mEvacuations.LostUntil(kNow).size());
    CPPUNIT_ASSERT(mEvacuations.LostUntil(kNow - milliseconds(1)).empty());
  }

  // Guards against an evacuation that can't be taken back after a store's return.
  void EndsAfterTheStoreReturnedWithIt()
  {
    Store(80);
    Store(MakeRevision(1, 80));
    CPPUNIT_ASSERT(Remove(MakeRevision(1, 91)) == Effect::Ended);
  }

  // Guards against an evacuation that stays for good once the store has lost it.
  void ALostOneThatIsWrittenBackCanBeRemoved()
  {
    Store(100);
    Remove(MakeRevision(1, 90));
    CPPUNIT_ASSERT(Store(MakeRevision(1, 93)) == Effect::None);
    CPPUNIT_ASSERT(mEvacuations.LostUntil(kNow).empty());
    CPPUNIT_ASSERT(Remove(MakeRevision(1, 94)) == Effect::Ended);
  }

  // Guards against the end of one evacuation that ends another one.
  void TwoZonesAreIndependent()
  {
    Store(5, "a");
    Store(6, "b");
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, mEvacuations.Zones().size());
    CPPUNIT_ASSERT(Remove(8, "c") == Effect::None);
    CPPUNIT_ASSERT(Remove(9, "a") == Effect::Ended);
    CPPUNIT_ASSERT(mEvacuations.Contains("b") && !mEvacuations.Contains("a"));
  }

  // Guards against transactions that are ended at once, and against ones that go on
  // because the operator has written the object again.
  void TransactionsEndAfterTheirTime()
  {
    Store(5);
    auto end = kNow + kEvacuatedTransactionTime;
    mEvacuations.OnStored("z", "{}", 6, end);
    CPPUNIT_ASSERT(!mEvacuations.EndsTransactions("z", end - milliseconds(1)));
    CPPUNIT_ASSERT(mEvacuations.EndsTransactions("z", end));
    CPPUNIT_ASSERT(!mEvacuations.EndsTransactions("y", end));
  }

  Evacuations mEvacuations;
};

CPPUNIT_TEST_SUITE_REGISTRATION(EvacuationsTest);
