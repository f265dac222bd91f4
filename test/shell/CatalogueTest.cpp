#include "operator/DaemonClient.h"
#include "operator/StoreClient.h"
#include "shell/Processes.h"

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <csignal>
#include <fstream>
#include <sstream>
#include <thread>

using namespace sesameway;
using namespace sesameway::test;

class CatalogueTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(CatalogueTest);
  CPPUNIT_TEST(ConcurrentOperatorsLoseNoChange);
  CPPUNIT_TEST(AConflictNamesBothVersions);
  CPPUNIT_TEST(ALostAnswerIsResolvedByReadingBack);
  CPPUNIT_TEST(AnInvalidEntryIsRejectedBySesamectlAndByDaemons);
  CPPUNIT_TEST(DaemonsServeAndStartWhileTheStoreIsDown);
  CPPUNIT_TEST(APausedReaderIsReplacedInItsZone);
  CPPUNIT_TEST(AnEditedGroupTakesEffectWithoutARestart);
  CPPUNIT_TEST_SUITE_END();

  static constexpr const char* kObject = "catalogue/organisation/extra";

  static std::string Body(int aRate)
  {
    return "name = \"extra\"\nburst = 1\nrate = " + std::to_string(aRate) + "\n";
  }

  static std::string StatusOf(Cluster& aCluster, int aDaemon)
  {
    return operators::DaemonClient(aCluster.CallerAddress(aDaemon))
      .Status()
      .value_or("");
  }

  static bool IsReader(Cluster& aCluster, int aDaemon)
  {
    return operators::ValueOf(StatusOf(aCluster, aDaemon), "reader") == "yes";
  }

  static std::uint64_t RevisionOf(Cluster& aCluster, int aDaemon)
  {
    auto text = operators::ValueOf(StatusOf(aCluster, aDaemon), "revision");
    return text.empty() ? 0 : std::stoull(text);
  }

  static bool Serves(Cluster& aCluster, int aDaemon)
  {
    auto session = aCluster.Session(aDaemon);
    auto write = MakeStatement("strict-0", OperationKind::Put, "k", "v");
    return session.Execute(write).mOutcome == Outcome::Done;
  }

  static operators::StoreClient StoreOf(const Cluster& aCluster)
  {
    return operators::StoreClient(
      platform::MakeGrpcPlatform(aCluster.PlatformAddress()));
  }

  // Guards against lost updates: six operators change the same object at the same time,
  // and some of the answers of the store are lost.
  void ConcurrentOperatorsLoseNoChange()
  {
    ClusterOptions options;
    options.mStartDaemons = false;
    options.mDatabases = 1;
    Cluster cluster(options);
    std::atomic<std::uint64_t> applied = 0;
    std::atomic<std::uint64_t> unknown = 0;
    std::vector<std::thread> operators;
    std::vector<operators::StoreClient> stores;
    for (int n = 0; n < 6; ++n) {
      stores.push_back(StoreOf(cluster));
    }
    // The store loses the answers to the first 20 changes that it applies.
    cluster.Fault(cluster.PlatformAddress(), wire::FaultRequest::LOSE_ANSWER, 20);
    for (int n = 0; n < 6; ++n) {
      operators.emplace_back([&, n] {
        auto& store = stores[n];
        for (int round = 0; round < 30; ++round) {
          auto read = store.Get(kObject);
          auto result = store.Put(kObject, Body(1 + n * 100 + round), read->mVersion);
          applied += result.mChange == operators::Change::Applied ? 1 : 0;
          unknown += result.mChange == operators::Change::Unknown ? 1 : 0;
        }
      });
    }
    for (auto& it : operators) {
      it.join();
    }
    // Each change that was reported as applied is one version. Further versions come
    // from changes whose outcome was reported as unknown.
    auto version = stores[0].Get(kObject)->mVersion;
    CPPUNIT_ASSERT(applied <= version);
    CPPUNIT_ASSERT(version <= applied + unknown);
    CPPUNIT_ASSERT(unknown <= 20);
  }

  void AConflictNamesBothVersions()
  {
    ClusterOptions options;
    options.mStartDaemons = false;
    options.mDatabases = 1;
    Cluster cluster(options);
    cluster.WriteEntry("organisation", "extra", Body(1));
    CPPUNIT_ASSERT_EQUAL(0, cluster.Apply());
    cluster.Fault(cluster.PlatformAddress(), wire::FaultRequest::DELAY, 500);
    std::vector<std::unique_ptr<Process>> racers;
    for (int n : { 2, 3 }) {
      auto folder = cluster.Folder() / std::to_string(n);
      std::filesystem::create_directories(folder / "organisation");
      std::ofstream(folder / "organisation" / "extra.toml") << Body(n);
      racers.push_back(std::make_unique<Process>(
        "sesamectl",
        std::vector<std::string>{
          "--platform", cluster.PlatformAddress(), "apply", folder.string() },
        cluster.Folder() / "log"));
    }
    int sum = 0;
    for (auto& it : racers) {
      sum += it->Wait(Clock::now() + seconds(20));
    }
    CPPUNIT_ASSERT_EQUAL(1, sum);
    auto log = cluster.Log();
    auto conflict = std::string("object=") + kObject +
                    " change=conflict read_version=1 store_version=2";
    CPPUNIT_ASSERT(log.find(conflict) != std::string::npos);
  }

  void ALostAnswerIsResolvedByReadingBack()
  {
    ClusterOptions options;
    options.mStartDaemons = false;
    options.mDatabases = 1;
    Cluster cluster(options);
    cluster.WriteEntry("organisation", "extra", Body(1));
    cluster.Fault(cluster.PlatformAddress(), wire::FaultRequest::LOSE_ANSWER, 1);
    CPPUNIT_ASSERT_EQUAL(0, cluster.Apply());
    CPPUNIT_ASSERT(cluster.Log().find("extra change=applied version=1") !=
                   std::string::npos);
    auto puts = cluster.Counts(cluster.PlatformAddress())["put"];
    CPPUNIT_ASSERT_EQUAL(0, cluster.Apply());
    CPPUNIT_ASSERT_EQUAL(puts, cluster.Counts(cluster.PlatformAddress())["put"]);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 1 }, StoreOf(cluster).Get(kObject)->mVersion);
  }

  // sesamectl refuses an invalid entry. If the entry is written to the store by other
  // means, the daemons must reject it and keep the previous version in force.
  void AnInvalidEntryIsRejectedBySesamectlAndByDaemons()
  {
    Cluster cluster;
    cluster.WriteEntry("organisation", "studio", "name = \"studio\"\nrate = 0\n");
    CPPUNIT_ASSERT_EQUAL(2, cluster.Apply());
    auto store = StoreOf(cluster);
    auto object = store.Get("catalogue/organisation/studio");
    auto result = store.Put(object->mName, "rate = 0\n", object->mVersion);
    for (int n = 0; n < 3; ++n) {
      CPPUNIT_ASSERT(
        WaitUntil([&] { return RevisionOf(cluster, n) >= result.mObject.mRevision; },
                  seconds(12)));
      auto status = StatusOf(cluster, n);
      CPPUNIT_ASSERT(status.find("event=rejected object=catalogue/organisation/studio "
                                 "version=2 version_in_force=1 key=name") !=
                     std::string::npos);
      CPPUNIT_ASSERT(Serves(cluster, n));
    }
  }

  // Returns the database that served a strict write, or an empty string if the write
  // was not done.
  static std::string ServerOf(Cluster& aCluster, int aDaemon)
  {
    auto session = aCluster.Session(aDaemon);
    auto answer =
      session.Execute(MakeStatement("strict-0", OperationKind::Put, "k", "v"));
    return answer.mOutcome == Outcome::Done ? answer.mServedBy : std::string();
  }

  void AnEditedGroupTakesEffectWithoutARestart()
  {
    Cluster cluster;
    auto file = cluster.Folder() / "catalogue" / "service" / "registry.toml";
    std::ostringstream text;
    text << std::ifstream(file).rdbuf();
    auto body = text.str();
    const std::string before = "\"group-0-0\"";
    body.replace(body.find(before), before.size(), "\"group-0-moved\"");
    std::ofstream(file) << body;
    CPPUNIT_ASSERT_EQUAL(0, cluster.Apply());
    for (int n = 0; n < 3; ++n) {
      CPPUNIT_ASSERT(WaitUntil([&] { return ServerOf(cluster, n) == "group-0-moved"; },
                               seconds(12)));
    }
  }

  // The store is down for longer than isolated_after_s. Running daemons must continue
  // to serve, and a daemon that starts in this time must get the catalogue from its
  // peers.
  void DaemonsServeAndStartWhileTheStoreIsDown()
  {
    ClusterOptions options;
    options.mDaemons = 4;
    options.mSettings = "isolated_after_s = 6\n";
    options.mStartDaemons = false;
    Cluster cluster(options);
    for (int n = 0; n < 3; ++n) {
      cluster.StartDaemon(n);
    }
    for (int n = 0; n < 3; ++n) {
      cluster.WaitReady(n);
    }
    // Daemon 3 is started only after the store has stopped, so it knows its peers only
    // from fellow_addresses in its settings.
    std::this_thread::sleep_for(seconds(4));
    cluster.Fault(cluster.PlatformAddress(), wire::FaultRequest::STOP);
    auto end = Clock::now() + seconds(15);
    while (Clock::now() < end) {
      for (int n = 0; n < 3; ++n) {
        CPPUNIT_ASSERT(Serves(cluster, n));
      }
      std::this_thread::sleep_for(milliseconds(100));
    }
    std::ofstream(cluster.Folder() / "late.toml")
      << "name = \"late\"\nzone = \"zone-0\"\nregion = \"r\"\ncaller_address = \""
      << cluster.CallerAddress(3) << "\"\npeer_address = \"" << cluster.PeerAddress(3)
      << "\"\nplatform_address = \"" << cluster.PlatformAddress()
      << "\"\nfellow_addresses = [\"" << cluster.PeerAddress(0) << "\", \""
      << cluster.PeerAddress(1) << "\"]\n";
    Process late("sesamed",
                 { "--settings", (cluster.Folder() / "late.toml").string() },
                 cluster.Folder() / "log");
    Answer last;
    auto isServed = [&] {
      auto session = cluster.Session(3);
      last = session.Execute(MakeStatement("strict-0", OperationKind::Put, "k", "v"));
      return last.mOutcome == Outcome::Done;
    };
    bool isEverServed = WaitUntil(isServed, seconds(12));
    auto reason = std::string(kReasonNames.Name(last.mReason));
    CPPUNIT_ASSERT_MESSAGE(reason + ' ' + last.mDetail, isEverServed);
    CPPUNIT_ASSERT_EQUAL(RevisionOf(cluster, 0), RevisionOf(cluster, 3));
    cluster.Fault(cluster.PlatformAddress(), wire::FaultRequest::CLEAR);
    cluster.WriteEntry("organisation", "extra", Body(1));
    CPPUNIT_ASSERT_EQUAL(0, cluster.Apply());
    auto revision = StoreOf(cluster).Get(kObject)->mRevision;
    for (int n = 0; n < 4; ++n) {
      CPPUNIT_ASSERT(
        WaitUntil([&] { return RevisionOf(cluster, n) >= revision; }, seconds(12)));
    }
  }

  // The reader of a zone is paused. The zone's other daemon must become its reader, and
  // the paused daemon must step down when it resumes.
  void APausedReaderIsReplacedInItsZone()
  {
    ClusterOptions options;
    options.mDaemons = 4;
    options.mZones = 2;
    Cluster cluster(options);
    int paused = IsReader(cluster, 0) ? 0 : 2;
    int other = paused == 0 ? 2 : 0;
    CPPUNIT_ASSERT(WaitUntil([&] { return IsReader(cluster, paused); }, seconds(10)));
    // Gives the zone's other daemon time to learn of the reader. Before that it cannot
    // detect that the reader has failed.
    std::this_thread::sleep_for(seconds(3));
    cluster.Daemon(paused).Signal(SIGSTOP);
    CPPUNIT_ASSERT(WaitUntil([&] { return IsReader(cluster, other); }, seconds(12)));
    cluster.WriteEntry("organisation", "extra", Body(1));
    CPPUNIT_ASSERT_EQUAL(0, cluster.Apply());
    auto revision = StoreOf(cluster).Get(kObject)->mRevision;
    for (int n = 0; n < 4; ++n) {
      CPPUNIT_ASSERT(
        n == paused ||
        WaitUntil([&] { return RevisionOf(cluster, n) >= revision; }, seconds(12)));
    }
    cluster.Daemon(paused).Signal(SIGCONT);
    CPPUNIT_ASSERT(WaitUntil(
      [&] {
        return RevisionOf(cluster, paused) >= revision && !IsReader(cluster, paused);
      },
      seconds(12)));
    CPPUNIT_ASSERT(IsReader(cluster, other));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CatalogueTest);
