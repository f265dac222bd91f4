#pragma once

#include "caller/SessionClient.h"
#include "shell/TemporaryFolder.h"
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

// A child process that runs one of the programs in the folder gArgument. The destructor
// kills and reaps the process; the kernel kills it if the test program dies.
class Process
{
public:
  // Appends the output of the process, stdout and stderr, to the file aLog.
  Process(const std::string& aProgram,
          const std::vector<std::string>& aArguments,
          const std::filesystem::path& aLog);
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;
  ~Process();

  pid_t Pid() const { return mPid; }
  void Signal(int aSignal) const;
  // Waits for the process to end. Returns its exit code, or the negated number of the
  // signal that ended it, or kStillRunning if it has not ended by the deadline.
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
  // Number of databases in each group. The first one starts as primary.
  int mDatabases = 3;
  int mZones = 2;
  int mSlots = 2;
  int mConnections = 20;
  // Each organisation has the key NAME + "-key" and may use every route.
  std::vector<std::string> mOrganisations{ "studio" };
  double mRate = 100'000;
  double mBurst = 10'000;
  // Lines appended to the settings file of every daemon.
  std::string mSettings;
  // If false, the constructor starts no daemons; the test calls StartDaemon.
  bool mStartDaemons = true;
};

// Runs the stand-in of the platform, stand-in databases and daemons as processes on
// loopback. They are ready to serve when the constructor returns; it throws
// std::runtime_error if they don't become ready in time.
//
// Group N is "group-N" with the databases "group-N-M", M from 0. Its routes are
// "strict-N", which accepts no stale reads, and "aged-N", which accepts data that is up
// to one second old. Daemon N is "vm-N". Daemons and databases are assigned to the
// zones "zone-0", "zone-1" and so on in turn. SESAMEWAY_TEST_PORTS sets the first of
// the thousand ports that clusters choose from.
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

  // Starts a daemon that is not running and adds its VM to the platform's list.
  void StartDaemon(int aDaemon);
  // Waits until the daemon serves reads of every group to the first organisation.
  void WaitReady(int aDaemon);
  // Restarts a database with empty storage, as a follower of the database at the
  // address aFollows.
  void RestartDatabase(int aGroup, int aDatabase, const std::string& aFollows);
  void RestartPlatform();
  void SetVm(int aDaemon, bool aIsLeaving, bool aIsGone);

  caller::SessionClient Session(int aDaemon,
                                const std::string& aOrganisation = "studio");

  void Fault(const std::string& aAddress,
             wire::FaultRequest::Kind aKind,
             std::uint64_t aAmount = 0,
             const std::string& aScope = "all");
  // Returns the number of calls that a stand-in has received, by name of the call.
  // Contains only "unreachable" if the stand-in does not answer.
  std::map<std::string, std::uint64_t> Counts(const std::string& aAddress);
  std::map<std::string, double> Metrics(int aDaemon);

  // Writes the catalogue file KIND/NAME.toml. Apply writes all catalogue files to the
  // store with sesamectl and returns its exit code.
  void WriteEntry(const std::string& aKind,
                  const std::string& aName,
                  const std::string& aBody);
  int Apply();
  // Runs a program and returns its exit code, or kStillRunning if it has not ended
  // within 30 s.
  int Run(const std::string& aProgram, const std::vector<std::string>& aArguments);
  // Returns the output of all processes so far.
  std::string Log() const;
  const std::filesystem::path& Folder() const { return mFolder.Path(); }

private:
  void ReservePorts();
  void StartDatabase(int aGroup, int aDatabase, const std::string& aFollows);
  void StartPlatform();
  void WriteCatalogue();
  void WriteSettings(int aDaemon);
  std::string Address(int aOffset) const;

  ClusterOptions mOptions;
  TemporaryFolder mFolder;
  int mFirstPort = 0;
  // Socket bound to the first port of the block, which keeps other test programs from
  // using the block.
  int mGuard = -1;
  std::unique_ptr<Process> mPlatform;
  std::map<std::pair<int, int>, std::unique_ptr<Process>> mDatabases;
  std::map<int, std::unique_ptr<Process>> mDaemons;
};

// Returns a statement with one operation and a deadline aTimeout from now.
Statement MakeStatement(const std::string& aRoute,
                        OperationKind aKind,
                        const std::string& aKey,
                        const std::string& aValue = {},
                        Duration aTimeout = seconds(5));

// Polls until the condition holds. Returns false if it doesn't hold within aTimeout.
bool WaitUntil(const std::function<bool()>& aCondition, Duration aTimeout);

} // namespace sesameway::test
