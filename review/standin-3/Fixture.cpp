#include "Fixture.h"

#include "HttpClient.h"
#include "Sockets.h"

#include <csignal>
#include <cstdio>
#include <fcntl.h>
#include <iomanip>
#include <spawn.h>
#include <sstream>
#include <sys/wait.h>
#include <unistd.h>

namespace sesameway::review {

namespace {

constexpr const char* kProgram = "target/sesameproxy";
constexpr std::size_t kLoggedBytes = 90;

std::string TakeWord(std::string& aLine)
{
  auto blank = aLine.find(' ');
  auto word = aLine.substr(0, blank);
  aLine = blank == std::string::npos ? std::string() : aLine.substr(blank + 1);
  return word;
}

} // namespace

void Record::Line(const std::string& aText)
{
  mFile << std::fixed << std::setprecision(3) << Seconds() << ' '
        << aText.substr(0, kLoggedBytes) << '\n';
}

std::uint16_t FreePorts(int aCount)
{
  static std::uint16_t next = 0;
  boost::asio::io_context io;
  if (next == 0) {
    tcp::acceptor any(io, { boost::asio::ip::address_v4::loopback(), 0 });
    next = std::max<std::uint16_t>(20000, any.local_endpoint().port() % 25000 + 20000);
  }
  for (;; ++next) {
    bool isFree = true;
    for (int n = 0; n < aCount && isFree; ++n) {
      tcp::acceptor acceptor(io);
      boost::system::error_code error;
      acceptor.open(tcp::v4(), error);
      acceptor.set_option(boost::asio::socket_base::reuse_address(true), error);
      acceptor.bind({ boost::asio::ip::address_v4::loopback(),
                      static_cast<std::uint16_t>(next + n) },
                    error);
      isFree = !error;
    }
    if (isFree) {
      auto first = next;
      next = static_cast<std::uint16_t>(next + aCount);
      return first;
    }
  }
}

std::string AddressOf(std::uint16_t aPort)
{
  return "127.0.0.1:" + std::to_string(aPort);
}

void LineConnection::Start()
{
  platform::SetTcpOptions(mSocket);
  Read();
}

void LineConnection::Read()
{
  mSocket.async_read_some(boost::asio::buffer(mBuffer),
                          [self = shared_from_this()](auto aError, std::size_t aBytes) {
                            if (aError) {
                              self->Close();
                              return;
                            }
                            self->mIn.append(self->mBuffer.data(), aBytes);
                            std::size_t from = 0;
                            for (auto end = self->mIn.find("\r\n");
                                 end != std::string::npos;
                                 end = self->mIn.find("\r\n", from)) {
                              auto line = self->mIn.substr(from, end - from);
                              from = end + 2;
                              // The callback may close the connection, which replaces
                              // it.
                              auto onLine = self->mOnLine;
                              onLine(std::move(line));
                              if (!self->IsOpen()) {
                                return;
                              }
                            }
                            self->mIn.erase(0, from);
                            self->Read();
                          });
}

void LineConnection::Write(std::string aText)
{
  mOut += aText;
  if (mSending.empty()) {
    Send();
  }
}

void LineConnection::Send()
{
  if (mOut.empty() || !IsOpen()) {
    return;
  }
  mSending.swap(mOut);
  boost::asio::async_write(mSocket,
                           boost::asio::buffer(mSending),
                           [self = shared_from_this()](auto aError, std::size_t) {
                             self->mSending.clear();
                             aError ? self->Close() : self->Send();
                           });
}

void LineConnection::Close()
{
  if (!IsOpen()) {
    return;
  }
  boost::system::error_code ignored;
  mSocket.close(ignored);
  auto onClosed = std::exchange(mOnClosed, [] {});
  mOnLine = [](const std::string&) {};
  onClosed();
}

struct Databases::Database
{
  Database(Loop& aLoop, std::size_t aIndex)
    : mIndex(aIndex)
    , mName("i-" + std::to_string(aIndex))
    , mAcceptor(aLoop.Io())
  {
  }
  std::size_t mIndex;
  std::string mName;
  tcp::acceptor mAcceptor;
  std::string mAddress;
  std::size_t mOpen = 0;
  std::size_t mBusy = 0;
  std::deque<std::function<void()>> mQueue;
};

struct Databases::Connection
{
  LineConnectionPtr mLines;
  TimePoint mUsedAt = Clock::now();
  bool mIsAccepted = false;
  bool mIsInTransaction = false;
  bool mHasWritten = false;
  std::deque<std::string> mQueries;
  bool mIsRunning = false;
};

Databases::Databases(Loop& aLoop, Record& aRecord, Options aOptions)
  : mLoop(aLoop)
  , mRecord(aRecord)
  , mOptions(std::move(aOptions))
  , mIdleTimer(aLoop)
{
}

Databases::~Databases() = default;

bool Databases::Listen()
{
  for (std::size_t n = 0; n < mOptions.mZones.size(); ++n) {
    auto database = std::make_unique<Database>(mLoop, n);
    database->mAddress = AddressOf(FreePorts(1));
    if (!platform::Listen(database->mAcceptor,
                          platform::ToEndpoint(database->mAddress))) {
      return false;
    }
    Accept(*database);
    mDatabases.push_back(std::move(database));
  }
  CloseIdle();
  return true;
}

// As in the site files, a database closes a connection that has been idle for 60 s.
void Databases::CloseIdle()
{
  constexpr Duration kIdleLimit = seconds(60);
  auto now = Clock::now();
  std::erase_if(mConnections, [](const auto& aIt) { return aIt.expired(); });
  for (const auto& it : std::vector(mConnections)) {
    auto connection = it.lock();
    if (connection && now - connection->mUsedAt > kIdleLimit) {
      connection->mLines->Close();
    }
  }
  mIdleTimer.Set(now + seconds(1), [this] { CloseIdle(); });
}

void Databases::Register(soak::StoreStandIn& aStore)
{
  for (const auto& it : mDatabases) {
    aStore.Put("servers",
               it->mName,
               { { "service", mOptions.mService },
                 { "addr", it->mAddress },
                 { "zone", mOptions.mZones[it->mIndex] },
                 { "version", "1" },
                 { "slots", mOptions.mSlots },
                 { "state", "ready" },
                 { "coldMs", 0 },
                 { "sequence", 1 },
                 { "born", 1 },
                 { "dbRole", it->mIndex == mPrimary ? "primary" : "replica" } });
  }
}

bool Databases::Promote(const std::string& aName)
{
  for (const auto& it : mDatabases) {
    if (it->mName == aName) {
      mTerm += it->mIndex == mPrimary ? 0 : 1;
      mPrimary = it->mIndex;
      mRecord.Line("promoted " + aName);
      return true;
    }
  }
  return false;
}

void Databases::LoseAnswers(std::set<std::size_t> aDatabases, double aShare)
{
  mLosing = std::move(aDatabases);
  mShare = aShare;
}

std::string Databases::Position() const
{
  return std::to_string(mTerm) + '.' + std::to_string(mPosition);
}

void Databases::Accept(Database& aDatabase)
{
  aDatabase.mAcceptor.async_accept([this, &aDatabase](auto aError,
                                                      tcp::socket aSocket) {
    if (aError == boost::asio::error::operation_aborted) {
      return;
    }
    if (!aError) {
      auto connection = std::make_shared<Connection>();
      connection->mLines = std::make_shared<LineConnection>(std::move(aSocket));
      ++aDatabase.mOpen;
      mConnections.push_back(connection);
      connection->mLines->mOnClosed = [&aDatabase] { --aDatabase.mOpen; };
      connection->mLines->mOnLine = [this, &aDatabase, connection](std::string aLine) {
        OnLine(aDatabase, connection, std::move(aLine));
      };
      connection->mLines->Start();
    }
    Accept(aDatabase);
  });
}

void Databases::OnLine(Database& aDatabase,
                       const ConnectionPtr& aConnection,
                       std::string aLine)
{
  auto verb = TakeWord(aLine);
  if (verb == "CONNECT" && !aConnection->mIsAccepted) {
    auto service = TakeWord(aLine);
    auto tenant = TakeWord(aLine);
    bool isRight =
      service == mOptions.mService && (aLine.empty() || aLine == aDatabase.mName);
    const char* code = !isRight                                     ? "WRONGHOST"
                       : aDatabase.mOpen > mOptions.mMaxConnections ? "MAXCONN"
                                                                    : nullptr;
    if (code != nullptr) {
      mRecord.Line(aDatabase.mName + " refuses a connection: " + code);
      aConnection->mLines->Write(std::string("ERROR ") + code + " -\r\n");
      return;
    }
    aConnection->mIsAccepted = true;
    aConnection->mLines->Write("READY I " + Position() + "\r\n");
    return;
  }
  if (verb != "QUERY" || !aConnection->mIsAccepted) {
    aConnection->mLines->Close();
    return;
  }
  aConnection->mQueries.push_back(std::move(aLine));
  if (!aConnection->mIsRunning) {
    auto text = std::move(aConnection->mQueries.front());
    aConnection->mQueries.pop_front();
    Run(aDatabase, aConnection, std::move(text));
  }
}

// Reads, writes, commits and status commands take a slot.
void Databases::Run(Database& aDatabase,
                    const ConnectionPtr& aConnection,
                    std::string aText)
{
  aConnection->mIsRunning = true;
  aConnection->mUsedAt = Clock::now();
  auto text = aText;
  auto id = TakeWord(text);
  if (text.starts_with("AFTER ")) {
    TakeWord(text);
    TakeWord(text);
  }
  auto rest = text;
  auto verb = TakeWord(rest);
  static const std::set<std::string> kSlotVerbs{
    "READ", "WRITE", "EXECUTE", "COMMIT", "STATUS"
  };
  auto finish = [this, &aDatabase, aConnection, id, verb, rest] {
    mRecord.Line(aDatabase.mName + " runs " + id + ' ' + verb + ' ' + rest);
    Answer(aDatabase, aConnection, verb, rest);
    aConnection->mIsRunning = false;
    if (!aConnection->mQueries.empty()) {
      auto next = std::move(aConnection->mQueries.front());
      aConnection->mQueries.pop_front();
      Run(aDatabase, aConnection, std::move(next));
    }
  };
  if (kSlotVerbs.count(verb) == 0) {
    finish();
    return;
  }
  auto start = [this, &aDatabase, finish] {
    ++aDatabase.mBusy;
    auto timer = std::make_shared<Timer>(mLoop);
    timer->Set(Clock::now() + mOptions.mWork, [&aDatabase, finish, timer] {
      --aDatabase.mBusy;
      finish();
      if (!aDatabase.mQueue.empty()) {
        auto next = std::move(aDatabase.mQueue.front());
        aDatabase.mQueue.pop_front();
        next();
      }
    });
  };
  aDatabase.mBusy < mOptions.mSlots ? start() : aDatabase.mQueue.push_back(start);
}

void Databases::Answer(Database& aDatabase,
                       const ConnectionPtr& aConnection,
                       const std::string& aVerb,
                       const std::string& aText)
{
  bool isPrimary = aDatabase.mIndex == mPrimary;
  std::string rows;
  std::string digest = "-";
  std::string error;
  bool isWrite = aVerb == "WRITE";
  bool isPlainBegin = aVerb == "BEGIN" && aText.empty();
  if ((isWrite || isPlainBegin) && !isPrimary) {
    error = "RDONLY " + mDatabases[mPrimary]->mName;
  } else if (aVerb == "BEGIN") {
    aConnection->mIsInTransaction = true;
    aConnection->mHasWritten = false;
  } else if (aVerb == "ROLLBACK") {
    aConnection->mIsInTransaction = false;
  } else if (aVerb == "COMMIT") {
    mPosition += aConnection->mHasWritten ? 1 : 0;
    aConnection->mIsInTransaction = false;
    digest = "c." + std::to_string(++mRuns);
  } else if (isWrite) {
    mPosition += aConnection->mIsInTransaction ? 0 : 1;
    aConnection->mHasWritten = true;
    digest = "w." + std::to_string(++mRuns);
  } else if (aVerb == "READ") {
    bool isLarge = aText == "large";
    std::size_t count = isLarge ? mOptions.mLargeRows : 1;
    std::string row(isLarge ? mOptions.mLargeRow : 12, 'r');
    for (std::size_t n = 0; n < count; ++n) {
      rows += "ROW " + row + "\r\n";
    }
    digest = "r." + std::to_string(++mRuns);
  } else if (aVerb == "STATUS" || aVerb == "DEMOTE" || aVerb == "PAUSE" ||
             aVerb == "RESUME") {
    rows = std::string("ROW ") + (isPrimary ? "primary " : "replica ") +
           std::to_string(mTerm) + ' ' + Position() + " 0 0 " +
           std::to_string(aDatabase.mBusy) + ' ' + std::to_string(aDatabase.mOpen) +
           "\r\n";
  }
  bool isLost = mLosing.count(aDatabase.mIndex) > 0 &&
                std::uniform_real_distribution<>(0, 1)(mRandom) < mShare;
  if (isLost) {
    ++mLost;
    mLostRollbacks += aVerb == "ROLLBACK" ? 1 : 0;
    mRecord.Line(aDatabase.mName + " loses the answer to " + aVerb);
    return;
  }
  auto text =
    error.empty() ? rows + "COMPLETE " + digest + "\r\n" : "ERROR " + error + "\r\n";
  text += std::string("READY ") + (aConnection->mIsInTransaction ? "T " : "I ") +
          Position() + "\r\n";
  aConnection->mLines->Write(std::move(text));
}

Daemon::Daemon(std::string aName, std::string aZone, std::string aFolder)
  : mName(std::move(aName))
  , mZone(std::move(aZone))
  , mFolder(std::move(aFolder))
  , mCaller(AddressOf(FreePorts(1)))
  , mReady(AddressOf(FreePorts(1)))
  , mPeer(AddressOf(FreePorts(1)))
  , mRange(FreePorts(16))
{
}

Daemon::~Daemon()
{
  Kill();
}

void Daemon::WriteSettings(const std::string& aStore,
                           const std::string& aCloud,
                           const std::vector<std::string>& aSeeds,
                           int aRamMb)
{
  nlohmann::json settings{
    { "nodeName", mName },
    { "role", "proxy" },
    { "machineClass", "front" },
    { "serves", { "front", "control" } },
    { "ip", "127.0.0.1" },
    { "zone", mZone },
    { "region", "r-" + mZone },
    { "zones", { { "z0", "r-z0" }, { "z1", "r-z1" }, { "z2", "r-z2" } } },
    { "listen", { { "front", mCaller }, { "ready", mReady }, { "control", mPeer } } },
    { "portRange", { mRange, mRange + 15 } },
    { "seedNodes", aSeeds },
    { "bootstrap", true },
    { "limits",
      { { "cpuShare", 0.25 },
        { "vcpus", 1 },
        { "ramMb", aRamMb },
        { "maxFds", 4200 } } },
    { "heartbeatMs", 1200 },
    { "parameters",
      { { "contactMs", 5000 },
        { "drainMs", 7000 },
        { "graceS", 6 },
        { "slackMs", 200 },
        { "applyMs", 4000 },
        { "recoveryS", 12 } } },
    { "platform", { { "addr", aStore }, { "form", "objects" } } },
    { "cloud", { { "addr", aCloud }, { "duties", { "failover" } } } },
  };
  std::ofstream(mFolder + '/' + mName + ".json") << settings.dump(2);
}

void Daemon::Start()
{
  auto log = mFolder + '/' + mName + ".log";
  auto boot = "SESAMEWAY_BOOT=" + mFolder + '/' + mName + ".json";
  std::string path = "PATH=/usr/bin:/bin";
  std::string program = kProgram;
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(
    &actions, STDOUT_FILENO, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
  std::array<char*, 2> arguments{ program.data(), nullptr };
  std::array<char*, 3> environment{ boot.data(), path.data(), nullptr };
  int error = ::posix_spawn(
    &mPid, program.c_str(), &actions, nullptr, arguments.data(), environment.data());
  posix_spawn_file_actions_destroy(&actions);
  if (error != 0) {
    mPid = 0;
    return;
  }
  // The script ends what a run that was cut off has left.
  std::ofstream(mFolder + "/pids", std::ios::app) << mPid << '\n';
}

void Daemon::Signal(int aSignal)
{
  if (mPid != 0) {
    ::kill(mPid, aSignal);
  }
}

void Daemon::Kill()
{
  if (mPid != 0) {
    ::kill(mPid, SIGKILL);
    ::waitpid(mPid, nullptr, 0);
    mPid = 0;
  }
}

double Daemon::ResidentMb() const
{
  std::ifstream file("/proc/" + std::to_string(mPid) + "/statm");
  double total = 0;
  double resident = 0;
  file >> total >> resident;
  return resident * static_cast<double>(::sysconf(_SC_PAGESIZE)) / (1 << 20);
}

Deployment::Deployment(Loop& aLoop, Record& aRecord, Databases::Options aOptions)
  : mLoop(aLoop)
  , mRecord(aRecord)
  , mOptions(aOptions)
  , mDatabases(aLoop, aRecord, aOptions)
  , mStore(aLoop, 1, [this](const std::string&, const std::string& aName) {
    return mDatabases.Promote(aName);
  })
{
}

void Deployment::PutConfiguration(nlohmann::json aTenants, nlohmann::json aRoutes)
{
  mVersion += 3;
  mStore.Put("config",
             "main",
             { { "version", mVersion },
               { "routes", std::move(aRoutes) },
               { "services",
                 { { { "name", mOptions.mService },
                     { "maxConns", mOptions.mMaxConnections },
                     { "syncReplicas", 0 } } } },
               { "tenants", std::move(aTenants) },
               { "limits", { { "txIdleMs", 5000 } } } });
}

bool Deployment::Start(const std::vector<std::string>& aDaemonZones,
                       const std::string& aFolder,
                       int aRamMb,
                       nlohmann::json aTenants,
                       nlohmann::json aRoutes)
{
  auto store = AddressOf(FreePorts(1));
  auto cloud = AddressOf(FreePorts(1));
  if (!mDatabases.Listen() || !mStore.Listen(store, cloud)) {
    return false;
  }
  mDatabases.Register(mStore);
  PutConfiguration(std::move(aTenants), std::move(aRoutes));
  for (std::size_t n = 0; n < aDaemonZones.size(); ++n) {
    mDaemons.push_back(
      std::make_unique<Daemon>("front-" + std::to_string(n), aDaemonZones[n], aFolder));
  }
  std::vector<std::string> seeds;
  for (std::size_t n = 0; n < mDaemons.size() && n < 3; ++n) {
    seeds.push_back(mDaemons[n]->PeerAddress());
  }
  for (const auto& it : mDaemons) {
    it->WriteSettings(store, cloud, seeds, aRamMb);
    it->Start();
    if (it->Pid() == 0) {
      return false;
    }
  }
  return true;
}

nlohmann::json MakeRoute(const std::string& aHost,
                         const std::string& aType,
                         int aStaleMs,
                         int aTimeoutMs,
                         const std::string& aService)
{
  return { { "name", aHost },          { "host", aHost },
           { "service", aService },    { "type", aType },
           { "maxStaleMs", aStaleMs }, { "timeoutMs", aTimeoutMs },
           { "goalMs", 600 },          { "prio", 1 },
           { "public", false } };
}

} // namespace sesameway::review
