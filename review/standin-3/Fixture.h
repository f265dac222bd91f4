#pragma once

// Stand-ins and helpers of the cases in review/11 to review/15: databases, clients and
// the processes of the proxy. The platform's store is the soak test's stand-in. All of
// them use loopback addresses.

#include "soak/StoreStandIn.h"

#include "proxy/Loop.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <nlohmann/json.hpp>

#include <array>
#include <deque>
#include <fstream>
#include <functional>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <sys/types.h>
#include <vector>

namespace sesameway::review {

using boost::asio::ip::tcp;
using proxy::Loop;
using proxy::Timer;

// The record of a run: what was sent, answered and run, with seconds since the start.
class Record
{
public:
  explicit Record(const std::string& aPath)
    : mFile(aPath)
    , mStart(Clock::now())
  {
  }
  void Line(const std::string& aText);
  double Seconds() const
  {
    return std::chrono::duration<double>(Clock::now() - mStart).count();
  }

private:
  std::ofstream mFile;
  TimePoint mStart;
};

// Returns `aCount` consecutive free ports of 127.0.0.1; the first one is returned.
std::uint16_t FreePorts(int aCount);
std::string AddressOf(std::uint16_t aPort);

// A connection that reads lines that end with CR LF.
class LineConnection : public std::enable_shared_from_this<LineConnection>
{
public:
  explicit LineConnection(tcp::socket aSocket)
    : mSocket(std::move(aSocket))
  {
  }
  void Start();
  void Write(std::string aText);
  void Close();
  bool IsOpen() const { return mSocket.is_open(); }
  std::function<void(std::string)> mOnLine = [](const std::string&) {};
  std::function<void()> mOnClosed = [] {};

private:
  void Read();
  void Send();
  tcp::socket mSocket;
  std::array<char, 65536> mBuffer{};
  std::string mIn;
  std::string mOut;
  std::string mSending;
};
using LineConnectionPtr = std::shared_ptr<LineConnection>;

// A service of databases that share one log: a replica holds each commit at once.
class Databases
{
public:
  struct Options
  {
    std::string mService = "svc";
    std::vector<std::string> mZones{ "z0", "z1", "z2" };
    std::size_t mSlots = 3;
    std::size_t mMaxConnections = 22;
    Duration mWork = milliseconds(4);
    // Size of each row, and number of rows, that a read of the item "large" returns.
    std::size_t mLargeRow = 0;
    std::size_t mLargeRows = 0;
  };
  Databases(Loop& aLoop, Record& aRecord, Options aOptions);
  ~Databases();
  Databases(const Databases&) = delete;
  Databases& operator=(const Databases&) = delete;
  bool Listen();
  // Writes the entries of all databases into the store.
  void Register(soak::StoreStandIn& aStore);
  bool Promote(const std::string& aName);
  // From now on these databases, by index, lose the answer to this share of the queries
  // that they run. The connections stay open.
  void LoseAnswers(std::set<std::size_t> aDatabases, double aShare);
  std::size_t LostRollbacks() const { return mLostRollbacks; }
  std::size_t LostAnswers() const { return mLost; }

private:
  struct Database;
  struct Connection;
  using ConnectionPtr = std::shared_ptr<Connection>;
  void Accept(Database& aDatabase);
  void OnLine(Database& aDatabase, const ConnectionPtr& aConnection, std::string aLine);
  void Run(Database& aDatabase, const ConnectionPtr& aConnection, std::string aText);
  void Answer(Database& aDatabase,
              const ConnectionPtr& aConnection,
              const std::string& aVerb,
              const std::string& aText);
  std::string Position() const;
  void CloseIdle();

  Loop& mLoop;
  Record& mRecord;
  Options mOptions;
  std::vector<std::unique_ptr<Database>> mDatabases;
  Timer mIdleTimer;
  std::vector<std::weak_ptr<Connection>> mConnections;
  std::size_t mPrimary = 0;
  std::uint64_t mTerm = 1;
  std::uint64_t mPosition = 1;
  std::uint64_t mRuns = 0;
  std::set<std::size_t> mLosing;
  double mShare = 0;
  std::size_t mLost = 0;
  std::size_t mLostRollbacks = 0;
  std::mt19937_64 mRandom{ 7 };
};

// A process of the proxy, started as the deploy file says.
class Daemon
{
public:
  Daemon(std::string aName, std::string aZone, std::string aFolder);
  ~Daemon();
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;
  void WriteSettings(const std::string& aStore,
                     const std::string& aCloud,
                     const std::vector<std::string>& aSeeds,
                     int aRamMb);
  void Start();
  void Signal(int aSignal);
  // Ends the process and waits for it.
  void Kill();
  pid_t Pid() const { return mPid; }
  // Resident memory in MB; 0 if it does not run.
  double ResidentMb() const;
  const std::string& CallerAddress() const { return mCaller; }
  const std::string& PeerAddress() const { return mPeer; }

private:
  std::string mName;
  std::string mZone;
  std::string mFolder;
  std::string mCaller;
  std::string mReady;
  std::string mPeer;
  std::uint16_t mRange = 0;
  pid_t mPid = 0;
};

// Starts and ends the whole deployment.
struct Deployment
{
  Deployment(Loop& aLoop, Record& aRecord, Databases::Options aOptions);
  // Returns false if it could not be set up.
  bool Start(const std::vector<std::string>& aDaemonZones,
             const std::string& aFolder,
             int aRamMb,
             nlohmann::json aTenants,
             nlohmann::json aRoutes);
  void PutConfiguration(nlohmann::json aTenants, nlohmann::json aRoutes);

  Loop& mLoop;
  Record& mRecord;
  Databases::Options mOptions;
  Databases mDatabases;
  soak::StoreStandIn mStore;
  std::vector<std::unique_ptr<Daemon>> mDaemons;
  std::uint64_t mVersion = 0;
};

nlohmann::json MakeRoute(const std::string& aHost,
                         const std::string& aType,
                         int aStaleMs,
                         int aTimeoutMs,
                         const std::string& aService = "svc");

} // namespace sesameway::review
