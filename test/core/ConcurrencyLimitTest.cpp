#include "sesameway/ConcurrencyLimit.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <cmath>
#include <functional>
#include <list>
#include <random>

using namespace sesameway;

namespace {

using Outcome = ConcurrencyLimit::Outcome;

constexpr TimePoint kStart{ seconds(1000) };
constexpr Duration kStep = milliseconds(1);
constexpr std::size_t kSlots = 6;
// Good answers from a limit of 1 to 6.
constexpr std::size_t kRampAnswers = 7;
constexpr std::size_t kSlowAnswers = 8;

// A server that runs `mSlots` statements at once, first come, first served, and refuses
// what finds more than `mQueue` waiting; a caller that always has `mDemand` statements;
// and a ConcurrencyLimit between them, or a limit by time alone.
class Model
{
public:
  std::size_t mSlots = kSlots;
  std::size_t mQueue = 40;
  std::size_t mDemand = 100;
  bool mIsDown = false;
  bool mIsRefusing = false;
  bool mHasTail = true;
  double mSlowness = 1;
  // Only this class is slow; all are if it is empty.
  std::string mSlowClass;
  std::function<std::size_t(TimePoint)> mLimitByTime;
  std::function<void()> mOnStep = [] {};

  ConcurrencyLimit mLimit{ kSlots };
  TimePoint mNow = kStart;
  std::size_t mGood = 0;
  std::size_t mRefused = 0;
  std::size_t mFailed = 0;
  // Time for which slots were idle with demand waiting, and for which statements found
  // no slot; summed over slots and statements.
  Duration mIdle{};
  Duration mFlooded{};

  explicit Model(std::uint64_t aSeed)
    : mRandom(aSeed)
  {
  }

  std::size_t Limit() const
  {
    return mLimitByTime ? mLimitByTime(mNow) : mLimit.Limit();
  }
  void Run(Duration aTime)
  {
    for (auto end = mNow + aTime; mNow < end; mNow += kStep) {
      SendAll();
      Serve();
      auto running = mRunning.size();
      mIdle += kStep * (mSlots - std::min(mSlots, running));
      mFlooded += kStep * (running - std::min(mSlots, running));
      mOnStep();
    }
  }
  // Runs until the limit is at its maximum or not, for a second at most.
  void RunUntilFull(bool aIsFull)
  {
    for (auto end = mNow + seconds(1); mNow < end;) {
      if ((mLimit.Limit() == kSlots) == aIsFull) {
        return;
      }
      Run(kStep);
    }
    CPPUNIT_FAIL("the limit did not change within a second");
  }
  void BreakConnections()
  {
    while (!mRunning.empty()) {
      End(mRunning.begin(), Outcome::NoAnswer);
    }
  }
  // Lets the limit learn the usual times and reach its maximum.
  void WarmUp()
  {
    Run(seconds(20));
    CPPUNIT_ASSERT_EQUAL(kSlots, mLimit.Limit());
  }

private:
  struct Statement
  {
    std::string mClass;
    double mWorkMs;
    TimePoint mSentAt;
    std::size_t mRunning;
    bool mIsRefused;
  };
  using Statements = std::list<Statement>;

  void Send()
  {
    static const std::array<std::pair<const char*, double>, 3> kClasses{
      { { "read", 8 }, { "list", 20 }, { "write", 40 } }
    };
    const auto& [name, median] = kClasses[mRandom() % kClasses.size()];
    double work = median;
    if (mHasTail) {
      work *= std::lognormal_distribution<double>(0, 0.7)(mRandom);
      work *= mRandom() % 30 == 0 ? 7 : 1;
    }
    bool isRefused = mIsRefusing || mRunning.size() >= mSlots + mQueue;
    mRunning.push_back({ name, work, mNow, mRunning.size() + 1, isRefused });
  }
  void SendAll()
  {
    while (mRunning.size() < std::min(Limit(), mDemand)) {
      Send();
    }
  }
  void Serve()
  {
    std::vector<std::pair<Statements::iterator, Outcome>> ended;
    std::size_t slot = 0;
    for (auto it = mRunning.begin(); it != mRunning.end(); ++it) {
      bool isSlow = mSlowClass.empty() || mSlowClass == it->mClass;
      if (mIsDown) {
        ended.emplace_back(it, Outcome::Failed);
      } else if (it->mIsRefused) {
        ended.emplace_back(it, Outcome::Refused);
      } else if (slot++ < mSlots &&
                 (it->mWorkMs -= 1 / (isSlow ? mSlowness : 1)) <= 0) {
        ended.emplace_back(it, Outcome::Good);
      }
    }
    // As at a home, what waits is sent after each answer.
    for (const auto& [it, outcome] : ended) {
      End(it, outcome);
      SendAll();
    }
  }
  void End(Statements::iterator aIt, Outcome aOutcome)
  {
    mGood += aOutcome == Outcome::Good ? 1 : 0;
    mRefused += aOutcome == Outcome::Refused ? 1 : 0;
    mFailed += aOutcome == Outcome::Failed || aOutcome == Outcome::NoAnswer ? 1 : 0;
    auto took = mNow - aIt->mSentAt;
    mLimit.OnResult(aIt->mClass, took, aOutcome, aIt->mRunning, mNow);
    mRunning.erase(aIt);
  }

  std::mt19937_64 mRandom;
  Statements mRunning;
};

// A server that has just started: for 1.2 s it has fewer slots, and a short queue.
void WarmSlotsWithTime(Model& aModel)
{
  aModel.mQueue = 0;
  aModel.mOnStep = [&aModel] {
    auto step = (aModel.mNow - kStart) / milliseconds(400);
    aModel.mSlots = step >= 3 ? kSlots : std::size_t{ 1 } << step;
  };
  aModel.mOnStep();
}

std::size_t FixedLimit(TimePoint)
{
  return kSlots;
}

std::size_t FixedRamp(TimePoint aNow)
{
  constexpr Duration kRamp = seconds(5);
  auto part = std::min<double>(1, double((aNow - kStart).count()) / kRamp.count());
  return 1 + static_cast<std::size_t>(part * (kSlots - 1));
}

} // namespace

class ConcurrencyLimitTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ConcurrencyLimitTest);
  CPPUNIT_TEST(ColdStartUnderAFullQueue);
  CPPUNIT_TEST(FullLimitAfterTheDerivedAnswers);
  CPPUNIT_TEST(AServerFiveTimesSlowerKeepsHalf);
  CPPUNIT_TEST(ASlowServerThatRestartsIsGivenHalf);
  CPPUNIT_TEST(ASlowServerOfOneClassIsNoticed);
  CPPUNIT_TEST(OneSlowCostClassDoesNotLower);
  CPPUNIT_TEST(AServerDownAndUpByTurns);
  CPPUNIT_TEST(RefusalsThatGoOnLowerToOne);
  CPPUNIT_TEST(MissingAnswersLowerOncePerRound);
  CPPUNIT_TEST(TheTailDoesNotLower);
  CPPUNIT_TEST(ChangeOfTheMaximum);
  CPPUNIT_TEST(LowDemandDoesNotRaise);
  CPPUNIT_TEST(DearerWorkBecomesUsual);
  CPPUNIT_TEST(CostClassesAreBounded);
  CPPUNIT_TEST(AnyResultsKeepTheBounds);
  CPPUNIT_TEST_SUITE_END();

  // Guards against a started server that is flooded or left idle. Load: full queue,
  // three classes with a long tail; a server with all slots at once, and one whose
  // slots grow from 1 to 6 in 1.2 s and that refuses what exceeds them.
  void ColdStartUnderAFullQueue()
  {
    for (bool isCold : { false, true }) {
      Model learned(1);
      Model fixed(1);
      Model ramp(1);
      fixed.mLimitByTime = FixedLimit;
      ramp.mLimitByTime = FixedRamp;
      for (auto* it : { &learned, &fixed, &ramp }) {
        if (isCold) {
          WarmSlotsWithTime(*it);
        }
        it->Run(seconds(6));
      }
      CPPUNIT_ASSERT(learned.mIdle * 4 < ramp.mIdle);
      if (isCold) {
        CPPUNIT_ASSERT(learned.mRefused * 4 < fixed.mRefused);
      }
    }
  }

  // Guards against a ramp slower than derived. Load: full queue, all times equal.
  void FullLimitAfterTheDerivedAnswers()
  {
    Model model(1);
    model.mHasTail = false;
    model.RunUntilFull(true);
    CPPUNIT_ASSERT_EQUAL(kRampAnswers, model.mGood);
    // Three times of the most expensive class.
    CPPUNIT_ASSERT(model.mNow <= kStart + 3 * milliseconds(42));
  }

  // Guards against a slow server that is not noticed, or is starved. Load: full queue,
  // three classes with a long tail, all five times slower for 6 s.
  void AServerFiveTimesSlowerKeepsHalf()
  {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
      Model model(seed);
      model.WarmUp();
      model.mSlowness = 5;
      auto before = model.mGood;
      model.RunUntilFull(false);
      auto noticed = model.mGood - before;
      CPPUNIT_ASSERT(noticed <= 4 * kSlots);
      std::size_t steps = 0;
      std::size_t lowered = 0;
      model.mOnStep = [&] {
        ++steps;
        lowered += model.mLimit.Limit() < kSlots ? 1 : 0;
        CPPUNIT_ASSERT(model.mLimit.Limit() >= kSlots / 2);
      };
      model.Run(seconds(6));
      CPPUNIT_ASSERT(lowered * 10 > steps * 9);
      model.mSlowness = 1;
      model.Run(seconds(1));
      CPPUNIT_ASSERT_EQUAL(kSlots, model.mLimit.Limit());
    }
  }

  // Guards against a slow server that is left idle after a restart, or flooded. Load:
  // full queue; the server restarts and is five times slower for 6 s after that.
  void ASlowServerThatRestartsIsGivenHalf()
  {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
      Model model(seed);
      model.WarmUp();
      model.BreakConnections();
      model.mSlowness = 5;
      model.mLimit.Restart(model.mNow);
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, model.mLimit.Limit());
      // It takes up to two seconds until enough answers have come.
      model.Run(seconds(2));
      model.mOnStep = [&] { CPPUNIT_ASSERT_EQUAL(kSlots / 2, model.mLimit.Limit()); };
      model.Run(seconds(4));
    }
  }

  // Guards against a slow server that is not noticed because it runs one class only.
  // Load: full queue, one class, five times slower.
  void ASlowServerOfOneClassIsNoticed()
  {
    ConcurrencyLimit limit(kSlots);
    auto now = kStart;
    auto answer = [&](Duration aTook) {
      now += aTook;
      limit.OnResult("read", aTook, Outcome::Good, limit.Limit(), now);
    };
    for (int n = 0; n < 100; ++n) {
      answer(milliseconds(20));
    }
    CPPUNIT_ASSERT_EQUAL(kSlots, limit.Limit());
    for (int n = 0; n < 18; ++n) {
      answer(milliseconds(100));
    }
    CPPUNIT_ASSERT_EQUAL(kSlots / 2, limit.Limit());
    // Slow answers raise the limit again to half of the maximum, and no further.
    limit.OnResult("read", milliseconds(1), Outcome::Refused, 3, now + milliseconds(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, limit.Limit());
    for (int n = 0; n < 10; ++n) {
      answer(milliseconds(100));
    }
    CPPUNIT_ASSERT_EQUAL(kSlots / 2, limit.Limit());
  }

  // Guards against expensive work that is mistaken for a slow server. Load: full queue;
  // one of three classes, nearly two thirds of the work, takes seven times as long.
  void OneSlowCostClassDoesNotLower()
  {
    std::size_t steps = 0;
    std::size_t lowered = 0;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
      Model model(seed);
      model.WarmUp();
      model.mSlowClass = "write";
      model.mSlowness = 7;
      model.mOnStep = [&] {
        ++steps;
        lowered += model.mLimit.Limit() < kSlots ? 1 : 0;
      };
      model.Run(seconds(20));
    }
    CPPUNIT_ASSERT(lowered * 1000 < steps);
  }

  // Guards against a limit that stays high for a server that is down, or low once it is
  // up. Load: full queue; the server is up and down for 1 s by turns, and breaks its
  // connections when it goes down.
  void AServerDownAndUpByTurns()
  {
    Model model(1);
    model.WarmUp();
    for (int n = 0; n < 10; ++n) {
      model.mIsDown = true;
      auto failed = model.mFailed;
      model.BreakConnections();
      CPPUNIT_ASSERT_EQUAL(kSlots, model.mFailed - failed);
      model.Run(seconds(1));
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, model.mLimit.Limit());
      model.mIsDown = false;
      auto good = model.mGood;
      model.RunUntilFull(true);
      CPPUNIT_ASSERT(model.mGood - good <= kRampAnswers);
      model.Run(seconds(1));
    }
  }

  // Guards against a limit that ignores refusals. Load: full queue; the server refuses
  // everything for 2 s.
  void RefusalsThatGoOnLowerToOne()
  {
    Model model(1);
    model.WarmUp();
    model.mIsRefusing = true;
    model.Run(milliseconds(500));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, model.mLimit.Limit());
    model.Run(milliseconds(1500));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, model.mLimit.Limit());
    model.mIsRefusing = false;
    auto good = model.mGood;
    model.RunUntilFull(true);
    CPPUNIT_ASSERT(model.mGood - good <= kRampAnswers);
  }

  // Guards against one event that is counted several times. Load: six statements in
  // progress, all without an answer, then three more.
  void MissingAnswersLowerOncePerRound()
  {
    Model model(1);
    model.WarmUp();
    auto& limit = model.mLimit;
    auto now = model.mNow;
    for (int n = 0; n < 6; ++n) {
      limit.OnResult("read", seconds(2), Outcome::NoAnswer, 6, now + milliseconds(n));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 3 }, limit.Limit());
    // A good answer to a statement sent before does not raise the limit again.
    for (int n = 0; n < 6; ++n) {
      limit.OnResult("read", seconds(1), Outcome::Good, 6, now + milliseconds(6));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 3 }, limit.Limit());
    limit.OnResult("read", seconds(2), Outcome::NoAnswer, 3, now + seconds(3));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, limit.Limit());
  }

  // Guards against a lone slow statement that lowers the limit. Load: full queue, three
  // classes, lognormal times, one in 30 takes seven times as long; ten minutes.
  void TheTailDoesNotLower()
  {
    Model model(1);
    model.WarmUp();
    for (int n = 0; n < 3; ++n) {
      model.mLimit.OnResult("read", milliseconds(300), Outcome::Good, 6, model.mNow);
      CPPUNIT_ASSERT_EQUAL(kSlots, model.mLimit.Limit());
    }
    std::size_t steps = 0;
    std::size_t lowered = 0;
    model.mOnStep = [&] {
      ++steps;
      lowered += model.mLimit.Limit() < kSlots ? 1 : 0;
    };
    model.Run(seconds(600));
    CPPUNIT_ASSERT(lowered * 1000 < steps);
  }

  // Guards against a limit beyond a new maximum, and one raised without answers. Load:
  // full queue while the maximum goes from 6 to 2 and to 4.
  void ChangeOfTheMaximum()
  {
    Model model(1);
    model.WarmUp();
    model.mLimit.SetMaximum(2);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, model.mLimit.Limit());
    model.Run(seconds(1));
    model.mLimit.SetMaximum(4);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, model.mLimit.Limit());
    model.Run(seconds(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 4 }, model.mLimit.Limit());
    model.mLimit.SetMaximum(0);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, model.mLimit.Limit());
  }

  // Guards against a limit that answers raise although it was never reached. Load: one
  // statement at a time, then three.
  void LowDemandDoesNotRaise()
  {
    Model model(1);
    model.mDemand = 1;
    model.Run(seconds(10));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, model.mLimit.Limit());
    model.mDemand = 3;
    model.Run(seconds(10));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 4 }, model.mLimit.Limit());
  }

  // Guards against work that has become dearer for good and counts as slow forever, and
  // against a usual time that follows a disturbance. Load: full queue, times five times
  // longer for 6 s, then for 2 minutes.
  void DearerWorkBecomesUsual()
  {
    Model model(1);
    model.Run(seconds(2));
    auto usual = model.mLimit.UsualTime("list");
    CPPUNIT_ASSERT(usual > milliseconds(14) && usual < milliseconds(28));
    model.Run(seconds(60));
    usual = model.mLimit.UsualTime("list");
    CPPUNIT_ASSERT(usual > milliseconds(17) && usual < milliseconds(24));
    model.mSlowness = 5;
    model.Run(seconds(6));
    CPPUNIT_ASSERT(model.mLimit.UsualTime("list") < usual * 5 / 4);
    CPPUNIT_ASSERT(model.mLimit.IsSlow());
    model.Run(seconds(60));
    CPPUNIT_ASSERT_EQUAL(kSlots, model.mLimit.Limit());
    model.Run(seconds(60));
    CPPUNIT_ASSERT(model.mLimit.UsualTime("list") > milliseconds(80));
  }

  // Guards against memory that grows with the names of the cost classes. Load: one
  // class in constant use among 1,000 that are used once.
  void CostClassesAreBounded()
  {
    ConcurrencyLimit limit(kSlots);
    auto now = kStart;
    for (int n = 0; n < 1000; ++n) {
      now += milliseconds(20);
      limit.OnResult("read", milliseconds(20), Outcome::Good, 1, now);
      limit.OnResult(std::to_string(n), milliseconds(20), Outcome::Good, 1, now);
      CPPUNIT_ASSERT(limit.CostClasses() <= 64);
    }
    CPPUNIT_ASSERT(limit.UsualTime("read") > milliseconds(19));
  }

  // Guards against a limit that leaves its bounds or stays low for good. Load: any
  // results, in any order, then good ones with demand waiting.
  void AnyResultsKeepTheBounds()
  {
    auto property = [] {
      auto maximum = *rc::gen::inRange<std::size_t>(1, 7);
      ConcurrencyLimit limit(maximum);
      auto now = kStart;
      auto steps = *rc::gen::inRange(0, 400);
      for (int n = 0; n < steps; ++n) {
        now += milliseconds(*rc::gen::inRange(0, 50));
        auto kind = *rc::gen::weightedElement<int>(
          { { 80, 0 }, { 4, 1 }, { 4, 2 }, { 4, 3 }, { 2, 4 }, { 6, 5 } });
        if (kind == 4) {
          limit.Restart(now);
          RC_ASSERT(limit.Limit() == 1);
        } else if (kind == 5) {
          limit.SetMaximum(maximum = *rc::gen::inRange<std::size_t>(1, 7));
        } else {
          auto running = *rc::gen::inRange<std::size_t>(0, 10);
          auto took = milliseconds(*rc::gen::inRange(20, 400));
          auto name = *rc::gen::element<std::string>("read", "write");
          limit.OnResult(name, took, static_cast<Outcome>(kind), running, now);
        }
        RC_ASSERT(limit.Limit() >= 1 && limit.Limit() <= maximum);
      }
      // Doublings from 1 to the maximum, one unfinished round, the end of the slowness.
      auto rounds = static_cast<int>(std::ceil(std::log2(double(maximum))));
      auto answers = (std::size_t{ 1 } << rounds) - 1 + maximum - 1 + kSlowAnswers;
      for (std::size_t n = 0; n < answers; ++n) {
        now += milliseconds(20);
        limit.OnResult("read", milliseconds(20), Outcome::Good, limit.Limit(), now);
      }
      RC_ASSERT(limit.Limit() == maximum);
    };
    CPPUNIT_ASSERT(rc::check("limit within bounds and back at the maximum", property));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConcurrencyLimitTest);
