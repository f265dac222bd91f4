// The machines of a small deployment, each with one process of sesameproxy, and the
// configuration that the operator writes.
#pragma once

#include "Databases.h"
#include "Net.h"
#include "Record.h"
#include "Store.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/stat.h>
#include <sys/wait.h>

#include <fstream>

namespace review {

// The parameters of strihoplan-prod.
inline constexpr long kContactMs = 5000;
inline constexpr long kDrainMs = 7000;
inline constexpr long kGraceMs = 6000;
inline constexpr long kSlackMs = 200;
inline constexpr long kApplyMs = 3000;

struct Machine
{
  std::string mName;
  std::string mZone;
  std::string mIp;
  pid_t mPid = 0;
  std::string Front() const { return mIp + ":8465"; }
  std::string Ready() const { return mIp + ":8460"; }
  std::string Control() const { return mIp + ":8462"; }
};

class Fleet
{
public:
  Fleet(std::string aProgram, std::string aFolder)
    : mProgram(std::move(aProgram))
    , mFolder(std::move(aFolder))
  {
    ChooseNet();
  }

  // An address of this run that nothing else uses.
  std::string Address(int aHost, int aPort) const
  {
    return mNet + std::to_string(aHost) + ':' + std::to_string(aPort);
  }
  std::string StoreAddress() const { return Address(250, 8466); }
  std::string DutyAddress() const { return Address(251, 8466); }
  std::string DatabaseAddress(int aNumber) const
  {
    return Address(200 + aNumber, 8240);
  }

  void AddMachine(const std::string& aName, const std::string& aZone)
  {
    mMachines.push_back(
      { aName, aZone, mNet + std::to_string(10 + mMachines.size()), 0 });
  }
  std::vector<Machine>& Machines() { return mMachines; }

  void Start(Machine& aMachine)
  {
    auto settings = WriteSettings(aMachine);
    auto log = mFolder + '/' + aMachine.mName + ".log";
    auto variable = "SESAMEWAY_BOOT=" + settings;
    aMachine.mPid = ::fork();
    if (aMachine.mPid == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      int fd = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      ::dup2(fd, STDOUT_FILENO);
      ::dup2(fd, STDERR_FILENO);
      const char* arguments[] = { mProgram.c_str(), nullptr };
      const char* variables[] = {
        variable.c_str(), "PATH=/usr/bin:/bin", "LANG=C.UTF-8", nullptr
      };
      ::execve(
        mProgram.c_str(), const_cast<char**>(arguments), const_cast<char**>(variables));
      ::_exit(127);
    }
    Note("machine ", aMachine.mName, ": started ", mProgram);
  }
  void StartAll()
  {
    for (auto& it : mMachines) {
      Start(it);
    }
  }
  void Signal(Machine& aMachine, int aSignal, const char* aName)
  {
    Note("machine ", aMachine.mName, ": ", aName);
    if (aMachine.mPid != 0) {
      ::kill(aMachine.mPid, aSignal);
    }
  }
  // Waits until the process has ended and returns whether it did in time.
  bool WaitForEnd(Machine& aMachine, long aMs)
  {
    auto until = NowMs() + aMs;
    while (NowMs() < until) {
      int status = 0;
      if (::waitpid(aMachine.mPid, &status, WNOHANG) == aMachine.mPid) {
        Note("machine ", aMachine.mName, ": process ended, status ", status);
        aMachine.mPid = 0;
        return true;
      }
      SleepMs(5);
    }
    return false;
  }
  bool IsReady(const Machine& aMachine) const
  {
    auto socket = Socket::Connect(aMachine.Ready());
    if (!socket || !socket->Write("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")) {
      return false;
    }
    auto line = socket->Line(1000);
    return line && line->find(" 200") != std::string::npos;
  }
  bool WaitUntilReady(long aMs)
  {
    auto until = NowMs() + aMs;
    for (auto& it : mMachines) {
      while (!IsReady(it)) {
        if (NowMs() > until) {
          Note("machine ", it.mName, ": not ready in time");
          return false;
        }
        SleepMs(50);
      }
      Note("machine ", it.mName, ": ready");
    }
    return true;
  }
  void EndAll()
  {
    for (auto& it : mMachines) {
      if (it.mPid != 0) {
        ::kill(it.mPid, SIGCONT);
        ::kill(it.mPid, SIGKILL);
        ::waitpid(it.mPid, nullptr, 0);
        it.mPid = 0;
      }
    }
  }

private:
  // Takes a part of the loopback range in which the needed ports are free.
  void ChooseNet()
  {
    for (int n = 0; n < 50; ++n) {
      auto seed = static_cast<int>(::getpid()) * 7 + n * 131;
      mNet = "127." + std::to_string(20 + seed / 200 % 200) + '.' +
             std::to_string(20 + seed % 200) + '.';
      Listener probe;
      int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      int on = 1;
      ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
      auto address = ToSockaddr(StoreAddress());
      bool isFree =
        ::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0;
      ::close(fd);
      if (isFree) {
        return;
      }
    }
  }

  std::string WriteSettings(const Machine& aMachine) const
  {
    json zones = json::object();
    json seeds = json::array();
    for (const auto& it : mMachines) {
      zones[it.mZone] = it.mZone.substr(0, it.mZone.rfind('-'));
      if (seeds.size() < 3) {
        seeds.push_back(it.Control());
      }
    }
    json settings{ { "nodeName", aMachine.mName },
                   { "role", "proxy" },
                   { "machineClass", "front" },
                   { "serves", { "front", "control" } },
                   { "ip", aMachine.mIp },
                   { "zone", aMachine.mZone },
                   { "region", zones[aMachine.mZone] },
                   { "zones", zones },
                   { "listen",
                     { { "front", aMachine.Front() },
                       { "ready", aMachine.Ready() },
                       { "control", aMachine.Control() } } },
                   { "portRange", { 7560, 7575 } },
                   { "seedNodes", seeds },
                   { "bootstrap", true },
                   { "lossCounts", false },
                   { "limits",
                     { { "cpuShare", 0.25 },
                       { "vcpus", 1 },
                       { "ramMb", 260 },
                       { "maxFds", 4300 },
                       { "linkMbps", 1000.0 },
                       { "diskMb", 0 } } },
                   { "dataDir", nullptr },
                   { "discovery", "platform" },
                   { "entrypoint", "vip" },
                   { "heartbeatMs", 1200 },
                   { "policies",
                     { "base",
                       "drain",
                       "config",
                       "cost",
                       "recover",
                       "sql",
                       "tenants",
                       "quota",
                       "platform" } },
                   { "faultBudget",
                     { { "machines", 2 }, { "zones", 0 }, { "regions", 0 } } },
                   { "parameters",
                     { { "seedLagS", 3 },
                       { "reuseAfterS", 2 },
                       { "contactMs", kContactMs },
                       { "ackMs", 6000 },
                       { "catchUpS", 4 },
                       { "drainMs", kDrainMs },
                       { "graceS", kGraceMs / 1000 },
                       { "slackMs", kSlackMs },
                       { "applyMs", kApplyMs },
                       { "revertMs", 250 },
                       { "outerMs", 15000 },
                       { "strictRevoke", false },
                       { "revokeMs", 5000 },
                       { "quotaWindowS", 5 },
                       { "quotaOver", 0.1 },
                       { "quotaSlack", 20 },
                       { "recoveryS", 12 },
                       { "requireFence", false },
                       { "thawMs", 300 } } },
                   { "platform",
                     { { "addr", StoreAddress() },
                       { "form", "objects" },
                       { "writesPerS", 400 },
                       { "readsPerS", 2000 },
                       { "retainS", 20 },
                       { "valueBytes", 1048576 },
                       { "ttlMinMs", 1000 } } },
                   { "cloud",
                     { { "addr", DutyAddress() },
                       { "perS", 50.0 },
                       { "duties", { "failover" } },
                       { "dutyPerS", 50.0 } } } };
    auto path = mFolder + '/' + aMachine.mName + ".json";
    std::ofstream(path) << settings.dump(2);
    return path;
  }

  std::string mProgram;
  std::string mFolder;
  std::string mNet;
  std::vector<Machine> mMachines;
};

// The operator's configuration: routes of all three types to one service, and tenants.
struct Configuration
{
  std::uint64_t mVersion = 7;
  int mSyncReplicas = 0;
  int mMaxConnections = 36;
  long mPrimaryTimeoutMs = 1000;
  long mBoundedTimeoutMs = 2000;
  long mIdleTransactionMs = 3000;
  double mPerS = 200;
  double mBurst = 200;
  std::map<std::string, std::vector<std::string>> mKeys{
    { "nypu920", { "u6wsjnbanfqasnmgkcuy" } },
    { "wiro417", { "j8pjbvk9m68k7b2ex5wa" } }
  };

  void Put(Store& aStore)
  {
    auto route = [](const char* aName,
                    const char* aHost,
                    const char* aType,
                    long aTimeoutMs,
                    long aGoalMs,
                    int aPriority,
                    long aStaleMs) {
      json it{ { "name", aName },           { "host", aHost },
               { "pathPrefix", "/" },       { "type", aType },
               { "timeoutMs", aTimeoutMs }, { "goalMs", aGoalMs },
               { "prio", aPriority },       { "service", "salon-core" },
               { "attempts", 2 },           { "public", false } };
      if (aStaleMs > 0) {
        it["maxStaleMs"] = aStaleMs;
      }
      return it;
    };
    json tenants = json::array();
    for (const auto& it : mKeys) {
      tenants.push_back({ { "name", it.first },
                          { "apiKeys", it.second },
                          { "prio", 1 },
                          { "perS", mPerS },
                          { "burst", mBurst } });
    }
    aStore.Put(
      "config",
      "main",
      { { "version", mVersion },
        { "routes",
          { route(
              "r-rge9itf", "booking-commit", "primary", mPrimaryTimeoutMs, 500, 1, 0),
            route(
              "r-8w8p4gv", "slot-browse", "bounded", mBoundedTimeoutMs, 1000, 2, 1500),
            route("r-y8jmxwj", "day-sheet", "session", 1000, 1000, 2, 2500) } },
        { "services",
          { { { "name", "salon-core" },
              { "healthPath", "/healthz" },
              { "maxConns", mMaxConnections },
              { "protocol", "h1" },
              { "tls", false },
              { "syncReplicas", mSyncReplicas } } } },
        { "limits",
          { { "headerBytes", 16384 },
            { "maxBodyBytes", 262144 },
            { "headerMs", 3000 },
            { "idleMs", 15000 },
            { "txIdleMs", mIdleTransactionMs } } },
        { "tenants", tenants } });
    Note("operator: configuration version ", mVersion, " acknowledged by the store");
  }
};

} // namespace review
