#include "sesameway/ReplicaLag.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <numeric>
#include <random>

using namespace sesameway;

namespace {

constexpr TimePoint kStart{ seconds(1000) };

// A replica of a log that grows by one entry per millisecond. Each read requires the
// position that the log had reached when the read's age began.
class ReplicaLoad
{
public:
  // Sends reads of ages from `aAges` in random order.
  void Run(const std::vector<int>& aAges, int aReadsPerSecond, Duration aTime)
  {
    std::exponential_distribution<double> gap(aReadsPerSecond / 1000.0);
    auto now = kStart;
    while (now < kStart + aTime) {
      now += microseconds(static_cast<std::int64_t>(1000 * gap(mRandom)));
      Deliver(now);
      Read(milliseconds(aAges[mRandom() % aAges.size()]), now);
    }
  }

  Duration mLagTime{};
  int mServable = 0;
  int mServed = 0;
  int mRefused = 0;
  TimePoint mServedAt = kStart;
  Duration mLongestUnserved{};

private:
  // A lag of 6 s begins after 1 s and takes mLagTime. Otherwise the delay is between 20
  // and 90 ms, different every 50 ms.
  Duration DelayAt(TimePoint aNow) const
  {
    auto lagAt = kStart + seconds(1);
    if (aNow >= lagAt && aNow < lagAt + mLagTime) {
      return seconds(6);
    }
    std::mt19937_64 random(Millis(aNow.time_since_epoch()) / 50);
    return milliseconds(20 + random() % 71);
  }
  void Read(Duration aAge, TimePoint aNow)
  {
    LogPosition required{ 1, std::uint64_t(Millis((aNow - aAge).time_since_epoch())) };
    bool isHeld = aAge >= DelayAt(aNow);
    mServable += isHeld ? 1 : 0;
    if (!mLag.IsLagging(required, aNow)) {
      mLag.OnChosen(required, aNow);
      auto took = microseconds(3000 + mRandom() % 12000);
      mReplies.insert({ aNow + took, { required, isHeld } });
    }
  }
  void Deliver(TimePoint aUntil)
  {
    for (; !mReplies.empty() && mReplies.begin()->first <= aUntil;
         mReplies.erase(mReplies.begin())) {
      const auto& [at, reply] = *mReplies.begin();
      if (!reply.second) {
        ++mRefused;
        mLag.OnBehind(reply.first, at);
        continue;
      }
      ++mServed;
      mLag.OnServed(reply.first);
      mLongestUnserved = std::max(mLongestUnserved, at - mServedAt);
      mServedAt = at;
    }
  }

  std::mt19937_64 mRandom{ 1 };
  ReplicaLag mLag;
  std::multimap<TimePoint, std::pair<LogPosition, bool>> mReplies;
};

} // namespace

class ReplicaLagTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ReplicaLagTest);
  CPPUNIT_TEST(RefusalsAtNormalDelayKeepTheReplicaInUse);
  CPPUNIT_TEST(ALongLagCostsFewRefusals);
  CPPUNIT_TEST(RecoveryIsNoticed);
  CPPUNIT_TEST(OlderPositionsPass);
  CPPUNIT_TEST(OneOfManyReadsTries);
  CPPUNIT_TEST(RefusalsOfOneMomentCountOnce);
  CPPUNIT_TEST_SUITE_END();

  // Guards against a replica of normal delay that is hardly used. Loads: 200 reads per
  // second of sessions whose last commit was up to 1 s or up to 0.4 s ago, so that 5%
  // or 14% of the reads come too early.
  void RefusalsAtNormalDelayKeepTheReplicaInUse()
  {
    for (std::size_t longest : { 1000, 400 }) {
      ReplicaLoad load;
      std::vector<int> ages(longest);
      std::iota(ages.begin(), ages.end(), 0);
      load.Run(ages, 200, seconds(60));
      CPPUNIT_ASSERT(load.mRefused > 0);
      CPPUNIT_ASSERT(load.mServed * 10 >= load.mServable * 9);
    }
  }

  // Guards against a refusal of every read during a lag, and against reads that may be
  // older and pass over the replica or shorten the pauses. Load: 1000 reads per second
  // that allow an age of 0.1, 1.5 or 10 s; the lag takes 6 s.
  void ALongLagCostsFewRefusals()
  {
    ReplicaLoad load;
    load.mLagTime = seconds(6);
    load.Run({ 100, 1500, 10000 }, 1000, seconds(7));
    // About 4000 without the rule.
    CPPUNIT_ASSERT(load.mRefused <= 100);
    CPPUNIT_ASSERT(load.mServed * 100 >= load.mServable * 99);
  }

  // Guards against a replica that stays out of use after it has caught up. Load: 200
  // reads per second that allow an age of 0.1 s, before, during and after a lag that
  // takes 2 to 6 s.
  void RecoveryIsNoticed()
  {
    for (auto time = seconds(2); time <= seconds(6); time += seconds(1)) {
      ReplicaLoad load;
      load.mLagTime = time;
      load.Run({ 100 }, 200, time + seconds(4));
      CPPUNIT_ASSERT(load.mLongestUnserved > time - milliseconds(100));
      CPPUNIT_ASSERT(load.mLongestUnserved < time + milliseconds(900));
    }
  }

  // Guards against reads that pass over a replica that can serve them. Load: a session
  // that reads its own commit at once, or holds a position that was lost with a former
  // primary, beside sessions that committed earlier or under the next primary.
  void OlderPositionsPass()
  {
    ReplicaLag lag;
    lag.OnBehind({ 2, 100 }, kStart);
    CPPUNIT_ASSERT(lag.IsLagging(LogPosition{ 2, 100 }, kStart));
    CPPUNIT_ASSERT(lag.IsLagging(LogPosition{ 3, 101 }, kStart));
    CPPUNIT_ASSERT(!lag.IsLagging(LogPosition{ 2, 99 }, kStart));
    CPPUNIT_ASSERT(!lag.IsLagging(LogPosition{ 3, 60 }, kStart));
    // A refusal during the pause does not lengthen it.
    lag.OnBehind({ 2, 90 }, kStart + milliseconds(20));
    CPPUNIT_ASSERT(lag.IsLagging(LogPosition{ 2, 99 }, kStart + milliseconds(49)));
    CPPUNIT_ASSERT(!lag.IsLagging(LogPosition{ 2, 99 }, kStart + milliseconds(50)));
  }

  // Guards against many refusals each time the pause ends, and against a replica out of
  // use because the read that tried was lost. Load: 50 reads at once during a lag.
  void OneOfManyReadsTries()
  {
    ReplicaLag lag;
    LogPosition later{ 1, 110 };
    lag.OnBehind({ 1, 100 }, kStart);
    auto end = kStart + milliseconds(50);
    int tried = 0;
    for (int n = 0; n < 50; ++n) {
      tried += lag.IsLagging(later, end) ? 0 : 1;
      lag.OnChosen(later, end);
    }
    CPPUNIT_ASSERT_EQUAL(1, tried);
    CPPUNIT_ASSERT(lag.IsLagging(later, end + milliseconds(99)));
    CPPUNIT_ASSERT(!lag.IsLagging(later, end + milliseconds(100)));
    lag.OnServed(later);
    CPPUNIT_ASSERT(!lag.IsLagging(later, end));
  }

  // Guards against long pauses because of a short delay. Load: 100 reads that wait at
  // the replica are refused within 300 ms; a minute after a lag, one read is refused.
  void RefusalsOfOneMomentCountOnce()
  {
    ReplicaLag lag;
    LogPosition required{ 1, 100 };
    auto now = kStart;
    for (int n = 0; n < 100; ++n) {
      now += milliseconds(3);
      lag.OnBehind(required, now);
    }
    CPPUNIT_ASSERT(!lag.IsLagging(required, now + milliseconds(50)));
    for (int n = 0; n < 5; ++n) {
      now += milliseconds(800);
      lag.OnChosen(required, now);
      lag.OnBehind(required, now);
    }
    CPPUNIT_ASSERT(lag.IsLagging(required, now + milliseconds(799)));
    now += seconds(60);
    lag.OnChosen(required, now);
    lag.OnBehind(required, now);
    CPPUNIT_ASSERT(!lag.IsLagging(required, now + milliseconds(50)));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReplicaLagTest);
