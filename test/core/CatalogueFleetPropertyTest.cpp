#include "CatalogueFleet.h"

#include "sesameway/CataloguePermit.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

using namespace sesameway;
using sesameway::test::CatalogueFleet;

namespace {

// The default of the setting `isolated_after_s`.
constexpr Duration kIsolatedAfter = seconds(10);
constexpr Duration kMinUpTime = milliseconds(4100);
constexpr Duration kSettleTime = seconds(40);
constexpr const char* kInvalidBody = "nme = \"wrong\"\n";

std::string KeyBody(const std::string& aName, bool aIsWithdrawn)
{
  return TextOf(KeyEntry{ aName, "studio", HashKey(aName), aIsWithdrawn });
}

// Applies random faults and catalogue changes to a fleet.
class Schedule
{
public:
  Schedule(CatalogueFleet& aFleet, std::uint64_t aSeed)
    : mFleet(aFleet)
    , mRandom(aSeed)
  {
  }

  void Step()
  {
    std::size_t n = mRandom() % mFleet.mDaemons.size();
    auto& it = mFleet.mDaemons[n];
    switch (mRandom() % 10) {
      case 0:
        mFleet.CutFromStore(n, !it.mIsCutFromStore);
        break;
      case 1:
        it.mIsCutFromPeers = !it.mIsCutFromPeers;
        break;
      case 2:
        it.mPausedUntil = mFleet.mNow + seconds(mRandom() % 15);
        break;
      case 3:
        mFleet.Restart(n);
        break;
      case 4:
        mFleet.SetDown(!mFleet.mStore.mIsDown);
        // The platform is assumed to stay up for at least kMinUpTime between two
        // outages.
        mFleet.Run(mFleet.mStore.mIsDown ? Duration{} : kMinUpTime);
        break;
      case 5:
        mFleet.Change("catalogue/key/k" + std::to_string(mRandom() % 3), kInvalidBody);
        break;
      default:
        ChangeKey(mRandom() % 3, mRandom() % 2 == 0);
    }
    mFleet.Run(milliseconds(mRandom() % 6000));
  }

  void ChangeKey(std::size_t aNumber, bool aIsWithdrawn)
  {
    auto name = "k" + std::to_string(aNumber);
    mFleet.Change("catalogue/key/" + name, KeyBody(name, aIsWithdrawn));
  }

  void Heal()
  {
    mFleet.mLossPercent = 0;
    mFleet.SetDown(false);
    for (std::size_t n = 0; n < mFleet.mDaemons.size(); ++n) {
      mFleet.CutFromStore(n, false);
      mFleet.mDaemons[n].mIsCutFromPeers = false;
    }
    mFleet.Run(kSettleTime);
  }

private:
  CatalogueFleet& mFleet;
  std::mt19937_64 mRandom;
};

// Checks that no object's revision in force decreases at a daemon between its restarts.
void CheckNothingReverts(CatalogueFleet& aFleet)
{
  for (auto& it : aFleet.mDaemons) {
    for (const auto& object : aFleet.mStore.mObjects) {
      auto& known = it.mInForce[object.first];
      auto revision = it.mTable->RevisionOf(object.first);
      RC_ASSERT(revision >= known);
      known = revision;
    }
  }
}

// Checks that each daemon knows every change that the store accepted before the
// daemon's time of contact.
void CheckContact(const CatalogueFleet& aFleet)
{
  for (const auto& it : aFleet.mDaemons) {
    if (!it.mDistribution->IsServing()) {
      continue;
    }
    auto contact = it.mDistribution->Contact() - it.mClockOffset;
    for (const auto& change : aFleet.mStore.mHistory) {
      bool isEntry = change.mObject.mName.starts_with(kCataloguePrefix);
      if (isEntry && change.mAt < contact) {
        RC_ASSERT(it.mTable->SeenRevisionOf(change.mObject.mName) >=
                  change.mObject.mRevision);
      }
    }
  }
}

// Checks that all daemons refuse a key that has been withdrawn for longer than
// kIsolatedAfter.
void CheckWithdrawn(const CatalogueFleet& aFleet)
{
  for (std::size_t n = 0; n < aFleet.mDaemons.size(); ++n) {
    const auto& it = aFleet.mDaemons[n];
    if (!it.mDistribution->IsServing()) {
      continue;
    }
    auto catalogue = it.mTable->Build();
    bool isIsolated = aFleet.ClockOf(n) - it.mDistribution->Contact() > kIsolatedAfter;
    std::map<std::string, TimePoint> withdrawnAt;
    for (const auto& change : aFleet.mStore.mHistory) {
      auto entry = ParseEntry(change.mObject.mName, change.mObject.mBody);
      const auto* key = entry ? std::get_if<KeyEntry>(&*entry) : nullptr;
      if (key && key->mWithdrawn) {
        withdrawnAt.try_emplace(key->mName, change.mAt);
      } else if (key) {
        withdrawnAt.erase(key->mName);
      }
    }
    for (const auto& withdrawal : withdrawnAt) {
      if (aFleet.mNow - withdrawal.second <= kIsolatedAfter) {
        continue;
      }
      auto key = catalogue.mKeys.find(withdrawal.first);
      const auto* entry = key == catalogue.mKeys.end() ? nullptr : &key->second;
      auto permission = Authorise(catalogue, "gallery", entry, isIsolated);
      RC_ASSERT(permission.mReason != Reason::None);
    }
  }
}

void CheckConverged(const CatalogueFleet& aFleet)
{
  for (const auto& it : aFleet.mDaemons) {
    RC_ASSERT(it.mDistribution->IsServing());
    for (const auto& object : aFleet.mStore.mObjects) {
      if (object.first.starts_with(kCataloguePrefix)) {
        RC_ASSERT(it.mTable->SeenRevisionOf(object.first) == object.second.mRevision);
        RC_ASSERT(it.mTable->RevisionOf(object.first) ==
                  aFleet.mDaemons[0].mTable->RevisionOf(object.first));
      }
    }
  }
}

void SetUpRoute(CatalogueFleet& aFleet)
{
  aFleet.Change("catalogue/organisation/studio",
                "name = \"studio\"\nrate = 1\nburst = 1\n");
  aFleet.Change("catalogue/route/gallery",
                "name = \"gallery\"\nservice = \"s\"\ngroup = \"g\"\n"
                "organisations = [\"studio\"]\n");
  for (const char* name : { "k0", "k1", "k2" }) {
    aFleet.Change(std::string("catalogue/key/") + name, KeyBody(name, false));
  }
}

} // namespace

class CatalogueFleetPropertyTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(CatalogueFleetPropertyTest);
  CPPUNIT_TEST(EntriesNeverRevertAndWithdrawnKeysStopUnderAnySchedule);
  CPPUNIT_TEST(AStoreThatReportsAnOutageDoesNotStopService);
  CPPUNIT_TEST(AnIsolatedDaemonRefusesKeysAfterTheBound);
  CPPUNIT_TEST_SUITE_END();

  void EntriesNeverRevertAndWithdrawnKeysStopUnderAnySchedule()
  {
    bool isHeld = rc::check("catalogue over a fleet", [] {
      auto seed = *rc::gen::arbitrary<std::uint64_t>();
      auto daemons = *rc::gen::inRange<std::size_t>(3, 9);
      auto zones = *rc::gen::inRange<std::size_t>(1, 4);
      CatalogueFleet fleet(daemons, zones, seed);
      fleet.mLossPercent = *rc::gen::inRange(0, 30);
      SetUpRoute(fleet);
      fleet.mOnStep = [&fleet] {
        CheckNothingReverts(fleet);
        CheckContact(fleet);
        CheckWithdrawn(fleet);
      };
      Schedule schedule(fleet, seed);
      auto steps = *rc::gen::inRange(0, 20);
      for (int n = 0; n < steps; ++n) {
        schedule.Step();
      }
      schedule.Heal();
      CheckConverged(fleet);
    });
    CPPUNIT_ASSERT(isHeld);
  }

  static bool IsAnyIsolated(const CatalogueFleet& aFleet)
  {
    for (std::size_t n = 0; n < aFleet.mDaemons.size(); ++n) {
      auto contact = aFleet.mDaemons[n].mDistribution->Contact();
      if (aFleet.ClockOf(n) - contact > kIsolatedAfter) {
        return true;
      }
    }
    return false;
  }

  void AStoreThatReportsAnOutageDoesNotStopService()
  {
    CatalogueFleet fleet(9, 3, 7);
    SetUpRoute(fleet);
    fleet.Run(seconds(10));
    CPPUNIT_ASSERT(!IsAnyIsolated(fleet));
    fleet.SetDown(true);
    fleet.mOnStep = [&fleet] { CPPUNIT_ASSERT(!IsAnyIsolated(fleet)); };
    fleet.Run(seconds(300));
    // A daemon that starts during the outage gets the catalogue from its peers.
    fleet.mOnStep = nullptr;
    fleet.Restart(8);
    fleet.Run(seconds(8));
    CPPUNIT_ASSERT(fleet.mDaemons[8].mDistribution->IsServing());
    CPPUNIT_ASSERT(fleet.mDaemons[8].mTable->RevisionOf("catalogue/key/k0") > 0);
    CPPUNIT_ASSERT(!IsAnyIsolated(fleet));
  }

  void AnIsolatedDaemonRefusesKeysAfterTheBound()
  {
    CatalogueFleet fleet(3, 3, 7);
    SetUpRoute(fleet);
    fleet.Run(seconds(10));
    fleet.CutFromStore(0, true);
    fleet.Run(seconds(30));
    // The daemon still gets the store's changes through its peers.
    CPPUNIT_ASSERT(!IsAnyIsolated(fleet));
    fleet.mDaemons[0].mIsCutFromPeers = true;
    fleet.Change("catalogue/key/k0", KeyBody("k0", true));
    fleet.Run(kIsolatedAfter + milliseconds(50));
    CPPUNIT_ASSERT(IsAnyIsolated(fleet));
    auto catalogue = fleet.mDaemons[0].mTable->Build();
    const auto& key = catalogue.mKeys.at("k0");
    CPPUNIT_ASSERT(!key.mWithdrawn);
    CPPUNIT_ASSERT(Authorise(catalogue, "gallery", &key, true).mReason ==
                   Reason::Isolated);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CatalogueFleetPropertyTest);
