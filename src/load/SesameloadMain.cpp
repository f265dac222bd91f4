#include "load/LoadSession.h"
#include "load/Report.h"
#include "program/CommandLine.h"

#include <cstdlib>
#include <iostream>
#include <thread>

namespace {

using namespace sesameway;
using namespace sesameway::load;

constexpr const char* kProgram = "sesameload";
constexpr Duration kReadyPoll = milliseconds(50);
// The direct run and the run through daemons alternate in this many slices of time, so
// that a change in the machine's speed affects both alike.
constexpr int kSlices = 4;

using Sessions = std::vector<std::unique_ptr<LoadSession>>;

Sessions MakeSessions(const Plan& aPlan, bool aIsDirect)
{
  Sessions sessions;
  auto prefix =
    "load/" + std::to_string(aPlan.mSeed) + (aIsDirect ? "/direct/" : "/through/");
  for (int n = 0; n < aPlan.mSessions; ++n) {
    std::unique_ptr<Target> target;
    if (aIsDirect) {
      target = std::make_unique<DirectTarget>(aPlan.mDirect);
    } else {
      const auto& key = aPlan.mKeys[n % aPlan.mKeys.size()];
      target = std::make_unique<DaemonTarget>(aPlan.mDaemons, n, key);
    }
    sessions.push_back(std::make_unique<LoadSession>(
      aPlan, n, prefix + std::to_string(n), std::move(target)));
  }
  return sessions;
}

// Calls `aStep` with each session, on a thread for each, and waits for all of them.
template<typename Step>
void ForEachSession(const Sessions& aSessions, Step aStep)
{
  std::vector<std::thread> threads;
  for (const auto& it : aSessions) {
    threads.emplace_back([&it, &aStep] { aStep(*it); });
  }
  for (auto& it : threads) {
    it.join();
  }
}

// Adds up the results of the sessions that use the key with this index, or of all
// sessions if it is negative.
Tally SumTallies(const Sessions& aSessions, const Plan& aPlan, int aKey = -1)
{
  Tally tally;
  for (std::size_t n = 0; n < aSessions.size(); ++n) {
    if (aKey < 0 || static_cast<int>(n % aPlan.mKeys.size()) == aKey) {
      tally.Add(aSessions[n]->Result());
    }
  }
  return tally;
}

// Waits until every daemon serves the route. Returns false if one does not within
// `mReadySeconds`.
bool WaitUntilReady(const Plan& aPlan)
{
  auto limit = Clock::now() + seconds(aPlan.mReadySeconds);
  for (const auto& it : aPlan.mDaemons) {
    for (;;) {
      Statement statement;
      statement.mRoute = aPlan.mRoute;
      statement.mOperations.push_back({ OperationKind::Get, "ready", {} });
      statement.mDeadline = Clock::now() + seconds(1);
      caller::SessionClient session(it, aPlan.mKeys.front());
      if (session.Execute(statement).mOutcome == Outcome::Done) {
        break;
      }
      if (Clock::now() >= limit) {
        std::cerr << kProgram << ": daemon=" << it << " is not ready\n";
        return false;
      }
      std::this_thread::sleep_for(kReadyPoll);
    }
  }
  return true;
}

int RunLoad(const Plan& aPlan, const Sessions& aThrough, const Sessions& aDirect)
{
  int slices = aDirect.empty() ? 1 : kSlices;
  auto slice = Duration(seconds(aPlan.mSeconds)) / slices;
  for (int n = 0; n < slices; ++n) {
    auto start = Clock::now();
    ForEachSession(aDirect, [&](LoadSession& aIt) { aIt.RunUntil(start + slice); });
    auto end = Clock::now() + slice;
    ForEachSession(aThrough, [&](LoadSession& aIt) { aIt.RunUntil(end); });
  }
  ForEachSession(aThrough, [](LoadSession& aIt) { aIt.CheckFinalValue(); });
  auto tally = SumTallies(aThrough, aPlan);
  if (aPlan.mKeys.size() > 1) {
    for (std::size_t n = 0; n < aPlan.mKeys.size(); ++n) {
      PrintLine(std::cout,
                "by_key number=" + std::to_string(n),
                SumTallies(aThrough, aPlan, static_cast<int>(n)),
                aPlan.mSeconds);
    }
  }
  if (!aDirect.empty()) {
    auto base = SumTallies(aDirect, aPlan);
    PrintLine(std::cout, "direct", base, aPlan.mSeconds);
    PrintAddedLatency(std::cout, tally, base);
  }
  PrintLine(std::cout, "result scenario=" + aPlan.mScenario, tally, aPlan.mSeconds);
  bool isClean = tally.mLost == 0 && tally.mStale == 0 && tally.mRepeated == 0;
  return isClean ? EXIT_SUCCESS : EXIT_FAILURE;
}

// Opens the sessions, runs one read in each and holds them idle for `mSeconds`.
int RunIdle(const Plan& aPlan)
{
  std::vector<std::unique_ptr<DaemonTarget>> sessions;
  int opened = 0;
  for (int n = 0; n < aPlan.mSessions; ++n) {
    const auto& key = aPlan.mKeys[n % aPlan.mKeys.size()];
    sessions.push_back(std::make_unique<DaemonTarget>(aPlan.mDaemons, n, key));
    Statement statement;
    statement.mRoute = aPlan.mRoute;
    statement.mOperations.push_back({ OperationKind::Get, "idle", {} });
    statement.mDeadline = Clock::now() + seconds(5);
    opened += sessions.back()->Execute(statement).mOutcome == Outcome::Done ? 1 : 0;
  }
  std::cout << "idle scenario=" << aPlan.mScenario << " sessions=" << opened
            << std::endl;
  std::this_thread::sleep_for(seconds(aPlan.mSeconds));
  return opened == aPlan.mSessions ? EXIT_SUCCESS : EXIT_FAILURE;
}

program::CommandLine Describe()
{
  namespace po = boost::program_options;
  Plan plan;
  program::CommandLine commandLine{
    kProgram,
    "--daemon IP:PORT ... --key KEY ... --route NAME [OPTION ...]",
    "Sends a mix of reads and writes, checks every answer against the acknowledged\n"
    "writes, and prints lines of key=value pairs. Each session increments and reads a\n"
    "record of its own. Exits with 1 if a write was lost or ran twice, or if a read\n"
    "missed the session's own write.",
  };
  commandLine.mOptions.add_options()("daemon",
                                     po::value<std::vector<std::string>>(),
                                     "IP:port of a daemon's caller port, repeatable")(
    "key",
    po::value<std::vector<std::string>>(),
    "a caller's key, repeatable; assigned to the sessions in turn")(
    "route",
    po::value<std::string>(),
    "route of the writes and of each session's final read")(
    "read-route",
    po::value<std::string>(),
    "route of the reads; same as --route if not given")(
    "direct",
    po::value<std::string>()->default_value(""),
    "IP:port of a primary to send the same mix to, to measure the added latency")(
    "sessions",
    po::value<int>()->default_value(plan.mSessions),
    "number of concurrent sessions")(
    "seconds", po::value<int>()->default_value(plan.mSeconds), "duration of the run")(
    "rate",
    po::value<double>()->default_value(plan.mRate),
    "statements per second of all sessions together; 0 sends each one as soon as the "
    "previous one is answered")("read-percent",
                                po::value<int>()->default_value(plan.mReadPercent),
                                "percentage of reads among the statements")(
    "transaction-percent",
    po::value<int>()->default_value(plan.mTransactionPercent),
    "percentage of transactions among the writes")(
    "value-bytes",
    po::value<std::size_t>()->default_value(0),
    "size of a value to write along with each write")(
    "ready-seconds",
    po::value<int>()->default_value(plan.mReadySeconds),
    "time to wait at first for every daemon to serve the route")(
    "idle", "only hold the sessions open, after one read in each")(
    "seed",
    po::value<std::uint64_t>()->default_value(1),
    "seed of the mix and part of the records' names: use a new one for each run")(
    "scenario",
    po::value<std::string>()->default_value("load"),
    "name of the run in the result line");
  return commandLine;
}

Plan ReadPlan(const program::Values& aValues)
{
  Plan plan;
  plan.mScenario = aValues["scenario"].as<std::string>();
  plan.mDaemons = aValues["daemon"].as<std::vector<std::string>>();
  plan.mKeys = aValues.count("key") > 0 ? aValues["key"].as<std::vector<std::string>>()
                                        : std::vector<std::string>{ "" };
  plan.mRoute = aValues["route"].as<std::string>();
  plan.mReadRoute = aValues.count("read-route") > 0
                      ? aValues["read-route"].as<std::string>()
                      : plan.mRoute;
  plan.mDirect = aValues["direct"].as<std::string>();
  plan.mSessions = aValues["sessions"].as<int>();
  plan.mSeconds = aValues["seconds"].as<int>();
  plan.mReadySeconds = aValues["ready-seconds"].as<int>();
  plan.mRate = aValues["rate"].as<double>();
  plan.mReadPercent = aValues["read-percent"].as<int>();
  plan.mTransactionPercent = aValues["transaction-percent"].as<int>();
  plan.mValueBytes = aValues["value-bytes"].as<std::size_t>();
  plan.mSeed = aValues["seed"].as<std::uint64_t>();
  plan.mIsIdle = aValues.count("idle") > 0;
  return plan;
}

} // namespace

int main(int argc, char** argv)
{
  auto values = program::Parse(Describe(), argc, argv);
  if (!values) {
    return values.error();
  }
  if (values->count("daemon") == 0 || values->count("route") == 0) {
    return program::ReportUsageError(kProgram, "--daemon and --route are required");
  }
  auto plan = ReadPlan(*values);
  if (plan.mSessions < 1 || plan.mSeconds < 1 || plan.mRate < 0) {
    return program::ReportUsageError(kProgram,
                                     "--sessions, --seconds or --rate is out of range");
  }
  if (plan.mReadySeconds > 0 && !WaitUntilReady(plan)) {
    return EXIT_FAILURE;
  }
  if (plan.mIsIdle) {
    return RunIdle(plan);
  }
  auto through = MakeSessions(plan, false);
  auto direct = plan.mDirect.empty() ? Sessions() : MakeSessions(plan, true);
  int result = RunLoad(plan, through, direct);
  // Exits without running destructors: a cancelled stream would release the last
  // channel on a thread of gRPC, which would then wait for itself to end.
  std::cout.flush();
  std::_Exit(result);
}
