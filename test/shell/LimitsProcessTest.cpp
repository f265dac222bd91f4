#include "shell/Processes.h"

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <csignal>
#include <iostream>
#include <thread>

using namespace sesameway;
using namespace sesameway::test;

namespace {

constexpr double kRate = 300;
constexpr double kBurst = 60;
constexpr int kDaemons = 3;
constexpr std::uint32_t kSlotCount = 2048;

struct Tally
{
  std::atomic<std::uint64_t> mSent = 0;
  std::atomic<std::uint64_t> mRefused = 0;
  // All statements except those refused with rate_exceeded and those that ended with
  // connection_lost or not_ready.
  std::atomic<std::uint64_t> mAdmitted = 0;
  std::atomic<std::uint64_t> mDone = 0;
};

// Sends statements to one daemon until aEnd, at the total rate aRate from aSessions
// sessions.
class Sender
{
public:
  Sender(Cluster& aCluster,
         int aDaemon,
         const std::string& aOrganisation,
         double aRate,
         int aSessions,
         TimePoint aEnd,
         Tally& aTally)
  {
    auto pause = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(aSessions / aRate));
    for (int n = 0; n < aSessions; ++n) {
      mThreads.emplace_back(
        [&aCluster, &aTally, aDaemon, aOrganisation, pause, aEnd, n, aSessions] {
          auto session = aCluster.Session(aDaemon, aOrganisation);
          auto next = Clock::now() + pause * n / aSessions;
          for (; next < aEnd; next += pause) {
            std::this_thread::sleep_until(next);
            auto answer =
              session.Execute(MakeStatement("aged-0", OperationKind::Get, "k"));
            bool isRefused = answer.mReason == Reason::RateExceeded;
            bool isUnsent = answer.mReason == Reason::ConnectionLost ||
                            answer.mReason == Reason::NotReady;
            ++aTally.mSent;
            aTally.mRefused += isRefused ? 1 : 0;
            aTally.mAdmitted += isRefused || isUnsent ? 0 : 1;
            aTally.mDone += answer.mOutcome == Outcome::Done ? 1 : 0;
          }
        });
    }
  }
  ~Sender()
  {
    for (auto& it : mThreads) {
      it.join();
    }
  }

private:
  std::vector<std::thread> mThreads;
};

ClusterOptions Options(bool aIsStatic)
{
  ClusterOptions options;
  options.mDaemons = kDaemons;
  options.mOrganisations = { "studio", "salon" };
  options.mRate = kRate;
  options.mBurst = kBurst;
  options.mSettings = aIsStatic ? "limits = \"static\"\n" : "";
  return options;
}

void WaitForShares(Cluster& aCluster)
{
  auto isShared = [&] {
    for (int n = 0; n < kDaemons; ++n) {
      if (aCluster.Metrics(n)["limits.slots"] < kSlotCount / kDaemons / 2) {
        return false;
      }
    }
    return true;
  };
  CPPUNIT_ASSERT(WaitUntil(isShared, seconds(30)));
  // Gives the token buckets time to fill.
  std::this_thread::sleep_for(milliseconds(600));
}

void Print(const std::string& aWhat, bool aIsStatic, const std::string& aFigures)
{
  std::cerr << "\nfigure test=" << aWhat
            << " limits=" << (aIsStatic ? "static" : "fleet") << ' ' << aFigures
            << std::endl;
}

} // namespace

class LimitsProcessTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(LimitsProcessTest);
  CPPUNIT_TEST(SkewedLoadWithinTheRateIsServed);
  CPPUNIT_TEST(OverloadStaysWithinTheLimitsWhileADaemonIsReplaced);
  CPPUNIT_TEST_SUITE_END();

  // Sends all of an organisation's load, two thirds of its rate, to one daemon. Returns
  // the fraction of the statements that were refused with rate_exceeded.
  double RefusedShareOfSkewedLoad(bool aIsStatic)
  {
    Cluster cluster(Options(aIsStatic));
    if (!aIsStatic) {
      WaitForShares(cluster);
    }
    Tally tally;
    {
      Sender sender(
        cluster, 0, "studio", kRate * 2 / 3, 20, Clock::now() + seconds(5), tally);
    }
    double refused =
      static_cast<double>(tally.mRefused) / static_cast<double>(tally.mSent);
    Print("skewed",
          aIsStatic,
          "sent=" + std::to_string(tally.mSent) + " wrongly_refused=" +
            std::to_string(tally.mRefused) + " share=" + std::to_string(refused));
    return refused;
  }

  void SkewedLoadWithinTheRateIsServed()
  {
    auto fleet = RefusedShareOfSkewedLoad(false);
    auto fixed = RefusedShareOfSkewedLoad(true);
    CPPUNIT_ASSERT(fleet <= 0.02);
    CPPUNIT_ASSERT(fleet < fixed);
  }

  // One organisation sends five times its rate: four times its rate to daemon 0, which
  // is killed and restarted, and one time its rate to daemon 1. The other organisation
  // sends half of its rate to daemon 1. With static limits, only prints the figures.
  void Flood(bool aIsStatic)
  {
    Cluster cluster(Options(aIsStatic));
    if (!aIsStatic) {
      WaitForShares(cluster);
    }
    Tally flood;
    Tally calm;
    auto start = Clock::now();
    {
      auto end = start + seconds(8);
      Sender first(cluster, 0, "studio", kRate * 4, 80, end, flood);
      Sender second(cluster, 1, "studio", kRate, 20, end, flood);
      Sender other(cluster, 1, "salon", kRate / 2, 10, end, calm);
      std::this_thread::sleep_for(seconds(3));
      cluster.Daemon(0).Signal(SIGKILL);
      cluster.Daemon(0).Wait(Clock::now() + seconds(5));
      cluster.StartDaemon(0);
    }
    double passed = std::chrono::duration<double>(Clock::now() - start).count();
    double due = kRate * passed;
    auto admitted = static_cast<double>(flood.mAdmitted);
    double floodServed = static_cast<double>(flood.mDone) / due;
    double calmServed =
      static_cast<double>(calm.mDone) / static_cast<double>(calm.mSent);
    Print("flood",
          aIsStatic,
          "sent=" + std::to_string(flood.mSent) +
            " admitted=" + std::to_string(flood.mAdmitted) +
            " allowed=" + std::to_string(due + kBurst) +
            " flood_share_of_due=" + std::to_string(floodServed) +
            " calm_share_of_due=" + std::to_string(calmServed));
    if (!aIsStatic) {
      CPPUNIT_ASSERT(admitted <= due + kBurst);
      CPPUNIT_ASSERT(admitted >= 0.5 * due);
      CPPUNIT_ASSERT(calmServed >= 0.9);
    }
  }

  void OverloadStaysWithinTheLimitsWhileADaemonIsReplaced()
  {
    Flood(false);
    Flood(true);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LimitsProcessTest);
