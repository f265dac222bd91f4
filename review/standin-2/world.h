// Small stand-ins of the platform for the scripts of this review: store, promotion
// call, databases, and a launcher for the daemons. They follow the users' pages. One
// process, one thread a connection, one mutex for all state.
#pragma once

#include <nlohmann/json.hpp>

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <sys/types.h>

namespace world {

using nlohmann::json;

// Seconds since the start of this process.
double Now();
void SleepUntil(double aTime);
void Sleep(double aSeconds);

// Writes record.txt. Thread-safe.
class Record
{
public:
  static void Open(const std::string& aPath);
  static void Line(const char* aFormat, ...) __attribute__((format(printf, 1, 2)));
};

struct Address
{
  std::string mIp;
  int mPort = 0;
  std::string Text() const { return mIp + ':' + std::to_string(mPort); }
};

// A loopback network of its own, chosen so that its ports are free.
std::string ChooseNet();

// A blocking stream socket with a line reader.
class Socket
{
public:
  explicit Socket(int aFd = -1)
    : mFd(aFd)
  {
  }
  ~Socket() { Close(); }
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;

  static std::unique_ptr<Socket> Connect(const Address& aTo, double aTimeout);
  bool Write(const std::string& aText);
  // Returns no line if the other end closed, or if none came by the deadline; IsOpen
  // tells the two apart.
  std::optional<std::string> ReadLine(double aDeadline);
  bool ReadBytes(std::size_t aCount, std::string& aTo);
  bool IsOpen() const { return mIsOpen; }
  void Close();
  void Shutdown();

private:
  bool Fill(double aDeadline);
  int mFd;
  bool mIsOpen = true;
  std::string mBuffer;
};
using SocketPtr = std::shared_ptr<Socket>;

// Accepts connections and runs the function for each in a thread of its own.
bool Listen(const Address& aAddress, std::function<void(SocketPtr)> aServe);

struct HttpRequest
{
  std::string mMethod;
  std::string mTarget;
  std::map<std::string, std::string> mHeaders;
  std::string mBody;
};
std::optional<HttpRequest> ReadHttp(Socket& aSocket);
bool WriteHttp(Socket& aSocket, unsigned aStatus, const json& aBody);

// The metadata store.
class Store
{
public:
  bool Start(const Address& aAddress);
  void Put(const std::string& aKind, const std::string& aName, const json& aSpec);
  void Remove(const std::string& aKind, const std::string& aName);
  std::optional<json> Get(const std::string& aKind, const std::string& aName);
  // The holder of the coordinator's record, and the time of its last renewal.
  std::string Holder();
  double RenewedAt();

private:
  void Serve(Socket& aSocket);
  std::pair<unsigned, json> Handle(const HttpRequest& aRequest);
  std::pair<unsigned, json> Change(const HttpRequest& aRequest,
                                   const std::string& aKind,
                                   std::string aName,
                                   std::uint64_t aExpected);
  void Event(const std::string& aKind, const json& aObject, bool aIsDeleted);

  struct Entry
  {
    std::uint64_t mRevision;
    std::string mKind;
    json mEvent;
  };
  std::mutex mMutex;
  std::condition_variable mChanged;
  std::map<std::string, std::map<std::string, json>> mKinds;
  std::deque<Entry> mEvents;
  std::uint64_t mRevision = 100;
  double mRenewedAt = 0;
};

struct Group;

struct Commit
{
  std::uint64_t mTerm = 0;
  // The id of the write or COMMIT; empty for the first commit.
  std::string mId;
  bool operator==(const Commit&) const = default;
};

struct Database
{
  std::string mId;
  Address mAddress;
  std::string mZone;
  Group* mGroup = nullptr;
  bool mIsPrimary = false;
  std::uint64_t mTerm = 1;
  // The log's end is TERM.SIZE, with the last commit's term; an empty log has none.
  std::vector<Commit> mLog;
  int mConnections = 0;
  int mBusy = 0;
  bool mIsLeaving = false;
  // Incremented when the process ends; a connection of an earlier one is closed.
  int mProcess = 0;
  bool mIsDown = false;
  std::uint64_t mSequence = 1;
  std::uint64_t mBorn = 1760000000000;
  std::string Position() const;
};

// The databases of one service.
struct Group
{
  std::string mName;
  int mSlots = 3;
  int mMaxConnections = 22;
  // How many replicas have received a commit before it is acknowledged.
  int mSyncReplicas = 0;
  std::vector<std::unique_ptr<Database>> mDatabases;
};

// What the databases have run, for the check.
struct Execution
{
  double mStartedAt = 0;
  double mEndedAt = 0;
  std::string mDatabase;
};

class Databases
{
public:
  explicit Databases(Store& aStore)
    : mStore(aStore)
  {
  }
  Group& Add(const std::string& aService, const std::vector<Address>& aAddresses);
  bool Start();
  // Writes the entry of the database into the store.
  void Announce(Database& aDatabase);
  // Says that the primary of the service leaves. Returns its id.
  std::string DrainPrimary(const std::string& aService);
  std::string Primary(const std::string& aService);
  // The databases that left stay on as replicas.
  void Return();
  // The process of the database ends. Its entry is removed after three status report
  // intervals if it is still down then.
  void Crash(const std::string& aId);
  // It starts again under its id, and holds and knows nothing of before.
  void RestartEmpty(const std::string& aId);
  // Called with each promotion that has taken effect: the id and the ids of the log's
  // commits.
  std::function<void(const std::string&, const std::set<std::string>&)> mOnPromoted;
  // Takes effect after 300 ms, as the platform does. Returns false if the id isn't
  // running.
  bool Promote(const std::string& aService, const std::string& aId);
  std::optional<Execution> FindRun(const std::string& aId);
  // Time from the platform's call to the new lead.
  std::atomic<double> mPromoteTime{ 0.3 };
  // How long the work of a statement takes, by its text.
  std::function<double(const std::string&)> mWork = [](const std::string&) {
    return 0.008;
  };

private:
  struct Connection;
  void Serve(Socket& aSocket, Database& aDatabase);
  Database* Find(const std::string& aService, const std::string& aId, Group** aGroup);
  std::string Run(Connection& aConnection,
                  Database& aDatabase,
                  const std::string& aLine);
  void Replicate();

  Store& mStore;
  std::mutex mMutex;
  std::condition_variable mFree;
  std::vector<std::unique_ptr<Group>> mGroups;
  std::map<std::string, Execution> mRun;
  std::uint64_t mDigests = 0;
};

// The platform's promotion call.
class Cloud
{
public:
  struct Order
  {
    double mAt = 0;
    std::string mHolder;
    std::uint64_t mFence = 0;
    std::string mService;
    std::string mId;
  };
  explicit Cloud(Databases& aDatabases)
    : mDatabases(aDatabases)
  {
  }
  bool Start(const Address& aAddress);
  std::vector<Order> Orders();
  // How long an answer takes.
  std::atomic<double> mAnswerTime{ 0.004 };
  // Down: connections are closed, and nothing is done.
  std::atomic<bool> mIsDown{ false };

private:
  void Serve(Socket& aSocket);
  Databases& mDatabases;
  std::mutex mMutex;
  std::vector<Order> mOrders;
};

// One process of the system, started as the deploy file says.
class Daemon
{
public:
  std::string mName;
  Address mFront;
  Address mReady;
  std::string mSettings;
  std::string mLog;
  // If set, the standard output goes into a pipe that is read into the log while
  // mIsRead is.
  bool mHasPipe = false;
  std::atomic<bool> mIsRead{ true };

  bool Start();
  void Signal(int aSignal);
  // Waits for the end; kills the process at the deadline. Returns how long it took.
  double WaitOrKill(double aDeadline);
  bool HasEnded();
  bool IsReady();
  pid_t Pid() const { return mPid; }
  ~Daemon();

private:
  pid_t mPid = 0;
};

struct Fleet
{
  std::string mNet;
  std::string mFolder;
  Address mStoreAddress;
  Address mCloudAddress;
  std::unique_ptr<Store> mStore;
  std::unique_ptr<Databases> mDatabases;
  std::unique_ptr<Cloud> mCloud;
  std::vector<std::unique_ptr<Daemon>> mDaemons;
};

struct FleetOptions
{
  int mDaemons = 3;
  std::vector<std::string> mServices{ "registro" };
  bool mHasPipes = false;
  int mSyncReplicas = 0;
};

// Starts store, cloud, databases, the first configuration and the daemons, and waits
// until all are ready and each service has a primary. Returns null if that fails. The
// fleet is never destroyed, as detached threads use it until the process ends.
Fleet* StartFleet(const FleetOptions& aOptions);
void StopFleet(Fleet& aFleet);

// A client's session.
struct Answer
{
  // Empty if the answer was not complete.
  std::string mWord;
  std::string mDetail;
  std::string mState;
  bool mIsComplete = false;
  double mAt = 0;
};
class Session
{
public:
  bool Open(const Address& aTo, const std::string& aRoute, const std::string& aKey);
  Answer Query(const std::string& aId, const std::string& aText, double aDeadline);
  bool IsOpen() const { return mSocket && mSocket->IsOpen(); }
  void Close() { mSocket.reset(); }

private:
  std::unique_ptr<Socket> mSocket;
};
std::string NewId();

} // namespace world
