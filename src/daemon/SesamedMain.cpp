#include "caller/CallerServer.h"
#include "daemon/CatalogueReport.h"
#include "daemon/Engine.h"
#include "daemon/Log.h"
#include "daemon/MeasuredSessions.h"
#include "operator/OperatorServer.h"
#include "peer/CapnpPeers.h"
#include "program/CommandLine.h"

#include <grpcpp/grpcpp.h>

#include <csignal>
#include <cstdlib>
#include <functional>
#include <iostream>
#include <random>
#include <thread>

namespace {

using namespace sesameway;

constexpr Duration kDrainTimeout = seconds(30);
constexpr Duration kDrainPoll = milliseconds(20);
constexpr Duration kReleaseTimeout = milliseconds(500);
// Time for busy sessions to move to other daemons, and for other daemons to switch to
// other homes.
constexpr Duration kMigrationTime = milliseconds(500);
// Time for the last answers and the ends of streams to be sent.
constexpr Duration kFlushTime = milliseconds(300);
// Larger than a statement of the largest size allowed. A larger message ends its stream
// with RESOURCE_EXHAUSTED.
constexpr int kMaxMessageBytes = 8 << 20;

class Host : public operators::OperatorHost
{
public:
  explicit Host(daemon::Engine& aEngine)
    : mEngine(aEngine)
  {
  }
  std::vector<std::pair<std::string, double>> Metrics() const override
  {
    std::vector<std::pair<std::string, double>> values;
    for (const auto& it : mEngine.MetricsRegistry().Read()) {
      values.emplace_back(it.mName, it.mValue);
    }
    for (const auto& it : mEngine.Homes()) {
      auto load = it->ConnectionLoad();
      values.emplace_back("connections.open." + it->Name(), load.mOpen);
      values.emplace_back("connections.waiting." + it->Name(), load.mWaiting);
    }
    return values;
  }
  std::string Status() const override
  {
    return daemon::StatusText(mEngine.Sync().State(Clock::now()));
  }
  std::string Explain(const std::string& aKeyName,
                      const std::string& aRoute,
                      bool aIsWrite) const override
  {
    auto catalogue = mEngine.CurrentCatalogue();
    if (!catalogue) {
      return "decision=refused reason=not_ready\n";
    }
    bool isIsolated = mEngine.Sync().IsIsolated(Clock::now());
    return daemon::ExplainText(*catalogue, aKeyName, aRoute, aIsWrite, isIsolated);
  }

private:
  daemon::Engine& mEngine;
};

void WaitUntil(TimePoint aDeadline, const std::function<bool()>& aIsOver)
{
  while (!aIsOver() && Clock::now() < aDeadline) {
    std::this_thread::sleep_for(kDrainPoll);
  }
}

// Drains the daemon without interrupting a request that ends within kDrainTimeout.
// Later ones are answered before the process ends.
void Drain(daemon::Engine& aEngine, caller::CallerServer& aCallers)
{
  auto limit = Clock::now() + kDrainTimeout;
  auto moved = Clock::now() + kMigrationTime;
  aEngine.Drain();
  aCallers.AskToMove();
  WaitUntil(moved, [] { return false; });
  aEngine.CloseHomes();
  WaitUntil(limit, [&] { return aEngine.OpenWork() == 0; });
  aCallers.CloseSessions();
  WaitUntil(limit, [&] { return aCallers.OpenSessions() == 0; });
  aCallers.AnswerAll();
  WaitUntil(Clock::now() + kFlushTime, [] { return false; });
}

int Run(const daemon::Settings& aSettings)
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);

  std::random_device random;
  std::uint64_t incarnation = (std::uint64_t{ random() } << 32) | random();
  daemon::Engine engine(aSettings,
                        incarnation,
                        platform::MakeGrpcPlatform(aSettings.mPlatformAddress),
                        database::MakeGrpcDatabaseFactory());
  auto peers = peer::CapnpPeers::Start(aSettings.mPeerAddress, &engine);
  engine.Start(peers.get());
  Host host(engine);
  daemon::MeasuredSessions sessions(engine, engine.MetricsRegistry());
  caller::CallerServer callers(sessions);
  operators::OperatorServer operatorServer(host);
  grpc::ServerBuilder builder;
  builder.AddListeningPort(aSettings.mCallerAddress, grpc::InsecureServerCredentials());
  builder.SetMaxReceiveMessageSize(kMaxMessageBytes);
  builder.RegisterService(&callers);
  builder.RegisterService(&operatorServer);
  auto server = builder.BuildAndStart();
  if (!server) {
    LOG(ERROR)
      << daemon::LogLine("listen_failed").With("address", aSettings.mCallerAddress);
    return EXIT_FAILURE;
  }
  LOG(INFO) << daemon::LogLine("started")
                 .With("name", aSettings.mName)
                 .With("zone", aSettings.mZone)
                 .With("incarnation", incarnation);
  int signal = 0;
  sigwait(&signals, &signal);
  Drain(engine, callers);
  engine.ReleaseShares(Clock::now() + kReleaseTimeout);
  server->Shutdown(std::chrono::system_clock::now() + std::chrono::seconds(1));
  LOG(INFO) << daemon::LogLine("stopped").With("open_work", engine.OpenWork());
  daemon::FlushStatementLines();
  google::FlushLogFiles(google::INFO);
  // The transports still hold callbacks into the engine, so the process exits without
  // running destructors.
  std::_Exit(EXIT_SUCCESS);
}

} // namespace

int main(int argc, char** argv)
{
  namespace po = boost::program_options;
  program::CommandLine commandLine{
    "sesamed",
    "--settings FILE [--check-settings]",
    "Serves callers' sessions on the databases of the catalogue. Logs go to\n"
    "stderr, one line of key=value pairs per event. SIGTERM and SIGINT drain it.",
  };
  commandLine.mOptions.add_options()(
    "settings", po::value<std::string>(), "TOML file with this daemon's settings")(
    "check-settings", "check the settings, print \"settings ok\" and exit");
  auto values = program::Parse(std::move(commandLine), argc, argv);
  if (!values) {
    return values.error();
  }
  if (values->count("settings") == 0) {
    return program::ReportUsageError("sesamed", "--settings FILE is required");
  }
  auto settings = daemon::LoadSettings((*values)["settings"].as<std::string>());
  if (!settings) {
    for (const auto& it : settings.error()) {
      std::cerr << "sesamed: file=" << it.mFile << " key=" << it.mKey << " expected=\""
                << it.mExpected << "\"\n";
    }
    return program::kBadUsage;
  }
  if (values->count("check-settings") > 0) {
    std::cout << "settings ok\n";
    return EXIT_SUCCESS;
  }
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(argv[0]);
  return Run(*settings);
}
