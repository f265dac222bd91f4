#include "StoreRegion.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cstdlib>
#include <random>

using namespace sesameway;
using namespace sesameway::test;

namespace {

// Daemons of one region of the largest deployment, in its two zones.
constexpr std::size_t kDaemons = 98;
constexpr std::size_t kZones = 2;
// Time in which a configuration must be in force everywhere.
constexpr Duration kInForceWithin = seconds(8);
// A daemon must keep to that time once it has been without trouble for this long.
constexpr Duration kCalmTime = seconds(8);
constexpr Duration kStartTime = seconds(14);
// Sizes of the configuration, in bytes.
constexpr std::size_t kUsualSize = 36'000;
constexpr std::size_t kLargeSize = 485'000;

// Text that is compressed to a third or so, as configurations are.
std::string Configuration(std::size_t aBytes, std::mt19937_64& aRandom)
{
  std::string text;
  while (text.size() < aBytes) {
    text += R"({"name":"route-)" + std::to_string(aRandom() % 100'000'000) +
            R"(","service":"registro","timeoutMs":1000,"type":"session"},)";
  }
  return text;
}

// A region whose configuration changes again and again. Checks that each change is in
// force in time at each daemon that is not in trouble, and stays so.
class ChangingRegion
{
public:
  explicit ChangingRegion(std::uint64_t aSeed)
    : mRandom(aSeed)
    , mRegion(kDaemons, kZones)
    , mTroubledUntil(kDaemons, mRegion.Now() + kStartTime)
  {
    Change(kUsualSize);
    mRegion.Run(kStartTime);
  }

  StoreRegion& Region() { return mRegion; }
  std::uint64_t Random(std::uint64_t aBelow) { return mRandom() % aBelow; }
  // Daemons drawn, `aShare` of all.
  std::vector<std::size_t> Draw(double aShare)
  {
    std::vector<std::size_t> all(kDaemons);
    for (std::size_t n = 0; n < kDaemons; ++n) {
      all[n] = n;
    }
    std::shuffle(all.begin(), all.end(), mRandom);
    all.resize(static_cast<std::size_t>(aShare * kDaemons));
    return all;
  }

  void Change(std::size_t aBytes)
  {
    auto revision = mRegion.Write(StoreRegion::kConfiguration + "/main",
                                  Configuration(aBytes, mRandom));
    mRegion.After(kInForceWithin, [this, revision] { Check(revision); });
  }

  // Counts the daemon as in trouble until this time from now.
  void Trouble(std::size_t aNumber, Duration aTime)
  {
    mTroubledUntil[aNumber] = std::max(mTroubledUntil[aNumber], mRegion.Now() + aTime);
  }

  // Runs while the configuration changes at random times.
  void RunChanging(Duration aTime)
  {
    auto end = mRegion.Now() + aTime;
    while (mRegion.Now() < end) {
      Change(Random(4) == 0 ? kLargeSize : kUsualSize);
      mRegion.Run(milliseconds(500 + Random(2500)));
      CheckNoneIsOlder();
    }
  }

  std::string Late() const { return mLate; }

private:
  bool IsCalm(std::size_t aNumber)
  {
    return mRegion.At(aNumber).mIsRunning &&
           mRegion.Now() >= mTroubledUntil[aNumber] + kCalmTime;
  }

  void Check(std::uint64_t aRevision)
  {
    for (std::size_t n = 0; n < kDaemons; ++n) {
      const auto& daemon = mRegion.At(n);
      if (IsCalm(n) && daemon.mInForce < aRevision && mLate.empty()) {
        mLate = daemon.mSelf.mName + " has revision " +
                std::to_string(daemon.mInForce) + " in place of " +
                std::to_string(aRevision);
      }
    }
  }

  void CheckNoneIsOlder()
  {
    for (std::size_t n = 0; n < kDaemons; ++n) {
      const auto& daemon = mRegion.At(n);
      auto& seen = mSeen[{ n, daemon.mStartedAt }];
      CPPUNIT_ASSERT(daemon.mInForce >= seen);
      seen = daemon.mInForce;
    }
  }

  std::mt19937_64 mRandom;
  StoreRegion mRegion;
  std::vector<TimePoint> mTroubledUntil;
  // The configuration in force last, by daemon and start.
  std::map<std::pair<std::size_t, TimePoint>, std::uint64_t> mSeen;
  // The first daemon that was late; empty if none was.
  std::string mLate;
};

} // namespace

// Covers how long a change of the configuration takes to all daemons of a large region.
class StoreRegionTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(StoreRegionTest);
  CPPUNIT_TEST(ChangesAreInForceInTimeWithoutTrouble);
  CPPUNIT_TEST(ChangesAreInForceInTimeWhileTheStoreTurnsDaemonsAway);
  CPPUNIT_TEST(ChangesAreInForceInTimeWhileDaemonsAreCutFromTheStore);
  CPPUNIT_TEST(ChangesAreInForceInTimeBesideSlowDaemons);
  CPPUNIT_TEST(ChangesAreInForceInTimeBesidePressedLinks);
  CPPUNIT_TEST(ChangesAreInForceInTimeBesideRestarts);
  CPPUNIT_TEST(ChangesAreInForceInTimeWhileAWatchGetsNoAnswer);
  CPPUNIT_TEST(ChangesAreInForceInTimeInEverySchedule);
  CPPUNIT_TEST_SUITE_END();

  // Number of seeds of each case, unless SESAMEWAY_SEEDS says otherwise.
  static constexpr int kSeeds = 5;

  static int Seeds()
  {
    const char* text = std::getenv("SESAMEWAY_SEEDS");
    return text != nullptr ? std::atoi(text) : kSeeds;
  }

  // Runs a region for each seed, with a new trouble every 2 to 6 s.
  static void Play(const std::function<void(ChangingRegion&)>& aTrouble)
  {
    for (int seed = 1; seed <= Seeds(); ++seed) {
      ChangingRegion region(static_cast<std::uint64_t>(seed));
      for (int n = 0; n < 6; ++n) {
        aTrouble(region);
        region.RunChanging(milliseconds(2000 + region.Random(4000)));
      }
      region.RunChanging(seconds(20));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
        "seed " + std::to_string(seed), std::string(), region.Late());
    }
  }

  // The store turns a third of the daemons away. They must keep to the time as well:
  // the others can tell them of each change.
  static void TurnAway(ChangingRegion& aRegion)
  {
    auto& region = aRegion.Region();
    for (auto it : aRegion.Draw(0.35)) {
      region.At(it).mIsTurnedAway = true;
      region.After(seconds(9), [&region, it] { region.At(it).mIsTurnedAway = false; });
    }
  }

  static void CutFromStore(ChangingRegion& aRegion)
  {
    auto& region = aRegion.Region();
    for (auto it : aRegion.Draw(0.2)) {
      aRegion.Trouble(it, milliseconds(5500));
      region.At(it).mIsCutFromStore = true;
      region.Silence(it);
      region.After(milliseconds(5500),
                   [&region, it] { region.At(it).mIsCutFromStore = false; });
    }
  }

  static void Slow(ChangingRegion& aRegion)
  {
    auto& region = aRegion.Region();
    for (auto it : aRegion.Draw(0.15)) {
      aRegion.Trouble(it, seconds(6));
      region.At(it).mSlowness = 5.5;
      region.After(seconds(6), [&region, it] { region.At(it).mSlowness = 1; });
    }
  }

  static void Press(ChangingRegion& aRegion)
  {
    auto& region = aRegion.Region();
    auto pressure = static_cast<double>(10 + aRegion.Random(50));
    for (auto it : aRegion.Draw(0.1)) {
      aRegion.Trouble(it, seconds(10));
      region.At(it).mPressure = pressure;
      region.After(seconds(10), [&region, it] { region.At(it).mPressure = 1; });
    }
  }

  static void Restart(ChangingRegion& aRegion)
  {
    auto& region = aRegion.Region();
    for (auto it : aRegion.Draw(0.55)) {
      if (region.At(it).mIsRunning) {
        aRegion.Trouble(it, seconds(1));
        region.Kill(it);
        region.After(seconds(1), [&region, it] { region.Start(it); });
      }
    }
  }

  // The first daemon of the region gets no answer to its watches of the configuration,
  // while the store answers all its other calls.
  static void LoseWatches(ChangingRegion& aRegion)
  {
    auto& region = aRegion.Region();
    auto first = region.AtRank(0);
    aRegion.Trouble(first, seconds(12));
    region.Silence(first, StoreRegion::kConfiguration);
    region.At(first).mLostKinds.insert(StoreRegion::kConfiguration);
    region.After(seconds(12),
                 [&region, first] { region.At(first).mLostKinds.clear(); });
  }

  void ChangesAreInForceInTimeWithoutTrouble()
  {
    Play([](ChangingRegion&) {});
  }

  void ChangesAreInForceInTimeWhileTheStoreTurnsDaemonsAway() { Play(TurnAway); }

  void ChangesAreInForceInTimeWhileDaemonsAreCutFromTheStore() { Play(CutFromStore); }

  void ChangesAreInForceInTimeBesideSlowDaemons() { Play(Slow); }

  void ChangesAreInForceInTimeBesidePressedLinks() { Play(Press); }

  void ChangesAreInForceInTimeBesideRestarts() { Play(Restart); }

  // Guards against a daemon that is taken for up to date because its other watches are
  // answered: all daemons below it keep the old configuration.
  void ChangesAreInForceInTimeWhileAWatchGetsNoAnswer() { Play(LoseWatches); }

  void ChangesAreInForceInTimeInEverySchedule()
  {
    Play([](ChangingRegion& aRegion) {
      constexpr void (*kTroubles[])(ChangingRegion&) = { TurnAway, CutFromStore,
                                                         Slow,     Press,
                                                         Restart,  LoseWatches };
      kTroubles[aRegion.Random(std::size(kTroubles))](aRegion);
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreRegionTest);
