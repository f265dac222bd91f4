#include "shell/Processes.h"

#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <atomic>
#include <csignal>
#include <cstdlib>
#include <thread>

using namespace sesameway;
using namespace sesameway::test;

// Injects faults into databases under load, with real processes. The tests under load
// end with a check that all acknowledged writes can be read.
class FailoverTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(FailoverTest);
  CPPUNIT_TEST(KilledPrimaryIsReplaced);
  CPPUNIT_TEST(FrozenPrimaryIsReplacedAndRejoins);
  CPPUNIT_TEST(ShortFreezesLeadToNoPromotion);
  CPPUNIT_TEST(LeavingPrimaryIsHandedOver);
  CPPUNIT_TEST(PrimaryUnreachableForClientsIsReplaced);
  CPPUNIT_TEST(PrimaryWithoutStatusReportsIsReplaced);
  CPPUNIT_TEST(PrimaryCutFromItsReplicasIsReplaced);
  CPPUNIT_TEST(PrimaryIsReplacedWithoutTheStore);
  CPPUNIT_TEST(PrimaryIsReplacedWhenADaemonIsKilledToo);
  CPPUNIT_TEST(GroupWithoutMajorityServesReadsAndRefusesWritesAtOnce);
  CPPUNIT_TEST(ReplicasFarBehindLeaveWritesUnknown);
  CPPUNIT_TEST_SUITE_END();

  static constexpr Duration kGapLimit = seconds(2);

  static ClusterOptions Options()
  {
    ClusterOptions options;
    options.mZones = 3;
    options.mSlots = 3;
    return options;
  }

  // Runs one session at each daemon. Each session increments a key of its own.
  class Load
  {
  public:
    explicit Load(Cluster& aCluster)
      : mCluster(aCluster)
    {
      for (int n = 0; n < aCluster.Options().mDaemons; ++n) {
        mThreads.emplace_back([this, n] { Run(n); });
      }
    }
    Load(const Load&) = delete;
    Load& operator=(const Load&) = delete;
    ~Load() { Stop(); }

    void Stop()
    {
      mIsOver = true;
      for (auto& it : mThreads) {
        if (it.joinable()) {
          it.join();
        }
      }
    }
    // Waits until a session receives the acknowledgement of a write that it sent after
    // this call.
    bool AcknowledgesAgain(Duration aTimeout)
    {
      auto from = Clock::now();
      return WaitUntil([&] { return mLastSent.load() > from; }, aTimeout);
    }
    // Stops the load and checks that all acknowledged writes can be read.
    void CheckNothingLost()
    {
      Stop();
      for (std::size_t n = 0; n < mThreads.size(); ++n) {
        auto session = mCluster.Session(mReadingDaemon);
        auto answer = session.Execute(
          MakeStatement("strict-0", OperationKind::Get, Key(static_cast<int>(n))));
        CPPUNIT_ASSERT(answer.mOutcome == Outcome::Done);
        long seen =
          answer.mRows.empty() ? 0 : std::atol(answer.mRows.front().mValue.c_str());
        CPPUNIT_ASSERT(seen >= mAcknowledged[n]);
        // Each request has an id, so a retry must not be applied twice.
        CPPUNIT_ASSERT(seen <= mSent[n]);
      }
    }
    // Number of the daemon through which CheckNothingLost reads.
    int mReadingDaemon = 0;

  private:
    static std::string Key(int aNumber) { return "load/" + std::to_string(aNumber); }

    void Run(int aNumber)
    {
      auto session = mCluster.Session(aNumber);
      while (!mIsOver) {
        auto write = MakeStatement("strict-0", OperationKind::Add, Key(aNumber), "1");
        write.mRequestId = Key(aNumber) + "/" + std::to_string(++mSent[aNumber]);
        auto sentAt = Clock::now();
        auto answer = session.Execute(write);
        if (answer.mOutcome == Outcome::Done) {
          ++mAcknowledged[aNumber];
          mLastSent = std::max(mLastSent.load(), sentAt);
        } else {
          std::this_thread::sleep_for(milliseconds(10));
        }
      }
    }

    Cluster& mCluster;
    std::atomic<bool> mIsOver = false;
    std::atomic<TimePoint> mLastSent{ TimePoint{} };
    std::array<std::atomic<long>, 8> mSent{};
    std::array<std::atomic<long>, 8> mAcknowledged{};
    std::vector<std::thread> mThreads;
  };

  static std::size_t CountInLog(const Cluster& aCluster, const std::string& aText)
  {
    auto log = aCluster.Log();
    std::size_t count = 0;
    for (auto at = log.find(aText); at != std::string::npos;
         at = log.find(aText, at + 1)) {
      ++count;
    }
    return count;
  }

  static Statement Put(const std::string& aValue, Duration aTimeout)
  {
    return MakeStatement("strict-0", OperationKind::Put, "k", aValue, aTimeout);
  }

  void KilledPrimaryIsReplaced()
  {
    Cluster cluster(Options());
    Load load(cluster);
    CPPUNIT_ASSERT(load.AcknowledgesAgain(seconds(5)));
    cluster.Database(0, 0).Signal(SIGKILL);
    CPPUNIT_ASSERT(load.AcknowledgesAgain(kGapLimit));
    load.CheckNothingLost();
  }

  // A frozen primary keeps its connections open but answers nothing. It must be
  // replaced, and must follow the new primary once it resumes.
  void FrozenPrimaryIsReplacedAndRejoins()
  {
    Cluster cluster(Options());
    Load load(cluster);
    CPPUNIT_ASSERT(load.AcknowledgesAgain(seconds(5)));
    cluster.Database(0, 0).Signal(SIGSTOP);
    CPPUNIT_ASSERT(WaitUntil(
      [&] { return CountInLog(cluster, "step=known term=2") > 2; }, kGapLimit));
    CPPUNIT_ASSERT(load.AcknowledgesAgain(kGapLimit));
    cluster.Database(0, 0).Signal(SIGCONT);
    std::this_thread::sleep_for(seconds(1));
    // The former primary is a follower now. Once another database is killed, no write
    // reaches a majority of the three databases without it.
    cluster.Database(0, 2).Signal(SIGKILL);
    cluster.Database(0, 2).Wait(Clock::now() + seconds(5));
    CPPUNIT_ASSERT(load.AcknowledgesAgain(kGapLimit * 2));
    load.CheckNothingLost();
  }

  // Guards against a promotion (step=claim) because of a primary that only pauses: it
  // freezes five times for 350 ms.
  void ShortFreezesLeadToNoPromotion()
  {
    Cluster cluster(Options());
    Load load(cluster);
    for (int n = 0; n < 5; ++n) {
      CPPUNIT_ASSERT(load.AcknowledgesAgain(seconds(5)));
      cluster.Fault(cluster.DatabaseAddress(0, 0), wire::FaultRequest::FREEZE, 350);
      std::this_thread::sleep_for(milliseconds(400));
    }
    CPPUNIT_ASSERT(load.AcknowledgesAgain(seconds(5)));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, CountInLog(cluster, "step=claim"));
    load.CheckNothingLost();
  }

  // A primary that is announced as leaving still runs. A write must be acknowledged
  // within 500 ms of the announcement, all three homes must know a new primary soon
  // after, and the old primary must receive no new connections from then on.
  void LeavingPrimaryIsHandedOver()
  {
    Cluster cluster(Options());
    Load load(cluster);
    CPPUNIT_ASSERT(load.AcknowledgesAgain(seconds(5)));
    cluster.Fault(cluster.DatabaseAddress(0, 0), wire::FaultRequest::LEAVING, 1);
    CPPUNIT_ASSERT(load.AcknowledgesAgain(milliseconds(500)));
    CPPUNIT_ASSERT(WaitUntil(
      [&] { return CountInLog(cluster, "step=known term=2") > 2; }, kGapLimit));
    // Statements that began before the handover may still be running on the old
    // primary.
    std::this_thread::sleep_for(milliseconds(500));
    auto before = cluster.Counts(cluster.DatabaseAddress(0, 0))["connect"];
    CPPUNIT_ASSERT(load.AcknowledgesAgain(seconds(1)));
    std::this_thread::sleep_for(milliseconds(500));
    CPPUNIT_ASSERT_EQUAL(before,
                         cluster.Counts(cluster.DatabaseAddress(0, 0))["connect"]);
    load.CheckNothingLost();
  }

  void PrimaryUnreachableForClientsIsReplaced()
  {
    Cluster cluster(Options());
    Load load(cluster);
    CPPUNIT_ASSERT(load.AcknowledgesAgain(seconds(5)));
    auto address = cluster.DatabaseAddress(0, 0);
    cluster.Fault(address, wire::FaultRequest::CUT, 0, "clients");
    CPPUNIT_ASSERT(load.AcknowledgesAgain(kGapLimit));
    load.CheckNothingLost();
  }

  // The homes cannot reach the primary with status calls, so they cannot fence it.
  // Unaware of this, the primary continues to accept and replicate writes.
  void PrimaryWithoutStatusReportsIsReplaced()
  {
    Cluster cluster(Options());
    Load load(cluster);
    CPPUNIT_ASSERT(load.AcknowledgesAgain(seconds(5)));
    auto address = cluster.DatabaseAddress(0, 0);
    cluster.Fault(address, wire::FaultRequest::CUT, 0, "status");
    CPPUNIT_ASSERT(WaitUntil(
      [&] { return CountInLog(cluster, "step=known term=2") > 2; }, kGapLimit));
    CPPUNIT_ASSERT(load.AcknowledgesAgain(kGapLimit));
    cluster.Fault(address, wire::FaultRequest::CLEAR);
    CPPUNIT_ASSERT(load.AcknowledgesAgain(kGapLimit));
    load.CheckNothingLost();
  }

  // A primary that cannot replicate still accepts writes, but no majority of the
  // databases ever holds them. It must be replaced.
  void PrimaryCutFromItsReplicasIsReplaced()
  {
    Cluster cluster(Options());
    Load load(cluster);
    CPPUNIT_ASSERT(load.AcknowledgesAgain(seconds(5)));
    auto address = cluster.DatabaseAddress(0, 0);
    cluster.Fault(address, wire::FaultRequest::CUT, 0, "replication");
    CPPUNIT_ASSERT(load.AcknowledgesAgain(kGapLimit * 2));
    load.CheckNothingLost();
  }

  // The platform, which holds the store, is paused when the primary is killed. The
  // promotion must not depend on it.
  void PrimaryIsReplacedWithoutTheStore()
  {
    Cluster cluster(Options());
    Load load(cluster);
    CPPUNIT_ASSERT(load.AcknowledgesAgain(seconds(5)));
    cluster.Platform().Signal(SIGSTOP);
    cluster.Database(0, 0).Signal(SIGKILL);
    CPPUNIT_ASSERT(load.AcknowledgesAgain(kGapLimit));
    load.CheckNothingLost();
    cluster.Platform().Signal(SIGCONT);
  }

  void PrimaryIsReplacedWhenADaemonIsKilledToo()
  {
    // Any of the three homes may be ranked first and replace the primary, so each run
    // kills another one together with the primary.
    for (int n = 0; n < 3; ++n) {
      Cluster cluster(Options());
      Load load(cluster);
      load.mReadingDaemon = (n + 1) % 3;
      CPPUNIT_ASSERT(load.AcknowledgesAgain(seconds(5)));
      cluster.Database(0, 0).Signal(SIGKILL);
      cluster.Daemon(n).Signal(SIGKILL);
      CPPUNIT_ASSERT(load.AcknowledgesAgain(kGapLimit));
      load.CheckNothingLost();
    }
  }

  // Two of the three databases are killed. Aged reads continue at the remaining one as
  // long as its data is recent enough. Writes must be refused early, not held until
  // their deadline.
  void GroupWithoutMajorityServesReadsAndRefusesWritesAtOnce()
  {
    Cluster cluster(Options());
    auto session = cluster.Session(0);
    CPPUNIT_ASSERT(session.Execute(Put("1", seconds(5))).mOutcome == Outcome::Done);
    std::this_thread::sleep_for(milliseconds(300));
    cluster.Database(0, 0).Signal(SIGKILL);
    cluster.Database(0, 1).Signal(SIGKILL);
    auto aged = [] {
      return MakeStatement("aged-0", OperationKind::Get, "k", {}, milliseconds(800));
    };
    auto read = session.Execute(aged());
    CPPUNIT_ASSERT(read.mOutcome == Outcome::Done);
    CPPUNIT_ASSERT_EQUAL(std::string("1"), read.mRows.at(0).mValue);
    std::this_thread::sleep_for(seconds(2));
    auto from = Clock::now();
    auto write = session.Execute(Put("2", seconds(20)));
    CPPUNIT_ASSERT(write.mOutcome == Outcome::NotRun);
    CPPUNIT_ASSERT(write.mRetryAt > from);
    CPPUNIT_ASSERT(Clock::now() - from < seconds(5));
    // The data of the remaining replica is now older than the route's maximum age, so
    // the read is refused.
    CPPUNIT_ASSERT(session.Execute(aged()).mOutcome == Outcome::NotRun);
  }

  // The replicas lag 1500 ms behind, so no majority holds a write before its deadline
  // of 500 ms. Its outcome must be reported as unknown, as the primary has already
  // executed it.
  void ReplicasFarBehindLeaveWritesUnknown()
  {
    Cluster cluster(Options());
    auto session = cluster.Session(0);
    for (int n = 1; n < 3; ++n) {
      auto address = cluster.DatabaseAddress(0, n);
      cluster.Fault(address, wire::FaultRequest::REPLICATION_DELAY, 1500);
    }
    auto from = Clock::now();
    auto write = session.Execute(Put("1", milliseconds(500)));
    CPPUNIT_ASSERT(write.mOutcome == Outcome::Unknown);
    CPPUNIT_ASSERT(write.mReason == Reason::NotSafeInTime);
    CPPUNIT_ASSERT(write.mRetryAt > from);
    CPPUNIT_ASSERT(Clock::now() - from < seconds(2));
    // With a deadline longer than the replication delay the write is acknowledged.
    auto late = session.Execute(Put("2", seconds(10)));
    CPPUNIT_ASSERT(late.mOutcome == Outcome::Done);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FailoverTest);
