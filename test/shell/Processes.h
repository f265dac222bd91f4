#pragma once

#include "caller/SessionClient.h"
#include "standin.pb.h"

#include <sys/types.h>

#include <cstdint>
#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace sesameway::test {

// A process of ours, started from the folder of the programs (gArgument) and reaped
// here. The destructor kills it; it dies with the test program too.
class Process
{
public:
  // Its output is appended to the log file.
  Process(const std::string& aProgram,
          const std::vector<std::string>& aArguments,
          const std::filesystem::path& aLog);
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;
  ~Process();

  pid_t Pid() const { return mPid; }
  void Signal(int aSignal) const;
  // Exit code, or minus the signal that ended it; kStillRunning at the deadline.
  int Wait(TimePoint aDeadline);
  bool IsRunning() { return Wait(TimePoint{}) == kStillRunning; }

  static constexpr int kStillRunning = -1000;

private:
  pid_t mPid = -1;
  int mStatus = kStillRunning;
};

struct ClusterOptions
{
  int mDaemons = 3;
  int mGroups = 1;
  // In each group; the first one starts as primary.
  int mDatabases = 3;
  int mZones = 2;
  int mSlots = 2;
  int mConnections = 20;
  // Each has the key NAME + "-key" and may use every route.
  std::vector<std::string> mOrganisations{ "studio" };
  double mRate = 100'000;
  double mBurst = 10'000;
  // Lines added to every daemon's settings.
  std::string mSettings;
  // False leaves the daemons to StartDaemon.
  bool mStartDaemons = true;
};

// The platform's stand-in, databases and daemons as processes on loopback, ready to
// serve when the constructor returns; throws std::runtime_error if they don't get
// there.
//
// Group N is "group-N" with the databases "group-N-M", M from 0. Its routes are
// "strict-N", which accepts no age, and "aged-N", which accepts one second. Daemon N is
// "vm-N". Daemons and databases take zones "zone-0", "zone-1" and so on in turn.
// SESAMEWAY_TEST_PORTS sets the first of the thousand ports that are used.
class Cluster
{
public:
  explicit Cluster(ClusterOptions aOptions = {});
  Cluster(const Cluster&) = delete;
  Cluster& operator=(const Cluster&) = delete;
  ~Cluster();

  const ClusterOptions& Options() const { return mOptions; }
  std::string PlatformAddress() const;
  std::string DatabaseAddress(int aGroup, int aDatabase) const;
  std::string CallerAddress(int aDaemon) const;
  std::string PeerAddress(int aDaemon) const;

  Process& Platform() { return *mPlatform; }
  Process& Database(int aGroup, int aDatabase);
  Process& Daemon(int aDaemon) { return *mDaemons[aDaemon]; }

  // Starts one that is down and tells the platform's list of it.
  void StartDaemon(int aDaemon);
  // Waits until the daemon serves reads of every group to the organisation.
  void WaitReady(int aDaemon);
  // A database that was killed comes back empty, as a follower.
  void RestartDatabase(int aGroup, int aDatabase, const std::string& aFollows);
  void RestartPlatform();
  void SetVm(int aDaemon, bool aIsLeaving, bool aIsGone);

  caller::SessionClient Session(int aDaemon,
                                const std::string& aOrganisation = "studio");

  void Fault(const std::string& aAddress,
             wire::FaultRequest::Kind aKind,
             std::uint64_t aAmount = 0,
             const std::string& aScope = "all");
  // Calls that a stand-in has had, by name.
  std::map<std::string, std::uint64_t> Counts(const std::string& aAddress);
  std::map<std::string, double> Metrics(int aDaemon);

  // Writes a catalogue file KIND/NAME.toml; Apply puts all files into the store.
  void WriteEntry(const std::string& aKind,
                  const std::string& aName,
                  const std::string& aBody);
  int Apply();
  // Runs a program to its end and gives its exit code.
  int Run(const std::string& aProgram, const std::vector<std::string>& aArguments);
  // What all processes have printed so far.
  std::string Log() const;
  const std::filesystem::path& Folder() const { return mFolder; }

private:
  void ReservePorts();
  void StartDatabase(int aGroup, int aDatabase, const std::string& aFollows);
  void StartPlatform();
  void WriteCatalogue();
  void WriteSettings(int aDaemon);
  std::string Address(int aOffset) const;

  ClusterOptions mOptions;
  std::filesystem::path mFolder;
  int mFirstPort = 0;
  // Holds the block of ports against other test programs.
  int mGuard = -1;
  std::unique_ptr<Process> mPlatform;
  std::map<std::pair<int, int>, std::unique_ptr<Process>> mDatabases;
  std::map<int, std::unique_ptr<Process>> mDaemons;
};

// A statement with one operation, due in aTimeout.
Statement MakeStatement(const std::string& aRoute,
                        OperationKind aKind,
                        const std::string& aKey,
                        const std::string& aValue = {},
                        Duration aTimeout = seconds(5));

// Polls until the condition holds; false if it doesn't by then.
bool WaitUntil(const std::function<bool()>& aCondition, Duration aTimeout);

} // namespace sesameway::test
