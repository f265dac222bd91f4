#include "world.h"

#include <algorithm>
#include <chrono>
#include <cstdarg>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <random>
#include <sstream>
#include <thread>

#include <arpa/inet.h>
#include <csignal>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace world {

namespace {

using SteadyClock = std::chrono::steady_clock;
const SteadyClock::time_point kStart = SteadyClock::now();

std::mutex sRecordMutex;
FILE* sRecord = nullptr;

constexpr double kStoreAnswerTime = 0.004;
constexpr double kConnectTime = 0.012;
constexpr double kDemoteAfter = 1.0;
// Three status report intervals.
constexpr double kEntryLife = 3.6;
constexpr double kSyncPoll = 0.002;
constexpr int kDatabaseQueue = 24;
constexpr std::size_t kPage = 500;

sockaddr_in ToSockaddr(const Address& aAddress)
{
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_port = htons(static_cast<std::uint16_t>(aAddress.mPort));
  inet_pton(AF_INET, aAddress.mIp.c_str(), &to.sin_addr);
  return to;
}

std::string TakeWord(std::string& aText)
{
  auto blank = aText.find(' ');
  auto word = aText.substr(0, blank);
  aText = blank == std::string::npos ? "" : aText.substr(blank + 1);
  return word;
}

std::uint64_t ToNumber(const std::string& aText)
{
  return std::strtoull(aText.c_str(), nullptr, 10);
}

std::mt19937_64& Random()
{
  thread_local std::mt19937_64 random{ std::random_device{}() };
  return random;
}

} // namespace

double Now()
{
  return std::chrono::duration<double>(SteadyClock::now() - kStart).count();
}

void Sleep(double aSeconds)
{
  if (aSeconds > 0) {
    std::this_thread::sleep_for(std::chrono::duration<double>(aSeconds));
  }
}

void SleepUntil(double aTime)
{
  Sleep(aTime - Now());
}

void Record::Open(const std::string& aPath)
{
  sRecord = std::fopen(aPath.c_str(), "w");
}

void Record::Line(const char* aFormat, ...)
{
  std::lock_guard lock(sRecordMutex);
  va_list arguments;
  va_start(arguments, aFormat);
  if (sRecord != nullptr) {
    std::fprintf(sRecord, "%9.3f ", Now());
    std::vfprintf(sRecord, aFormat, arguments);
    std::fputc('\n', sRecord);
    std::fflush(sRecord);
  }
  va_end(arguments);
}

std::string ChooseNet()
{
  for (int n = 0; n < 50; ++n) {
    auto net = "127." + std::to_string(20 + Random()() % 200) + '.' +
               std::to_string(Random()() % 250);
    auto at = ToSockaddr({ net + ".1", 8465 });
    int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    bool isFree = ::bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) == 0;
    ::close(fd);
    if (isFree) {
      return net;
    }
  }
  return {};
}

std::unique_ptr<Socket> Socket::Connect(const Address& aTo, double aTimeout)
{
  int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  auto to = ToSockaddr(aTo);
  int result = ::connect(fd, reinterpret_cast<sockaddr*>(&to), sizeof to);
  if (result != 0 && errno == EINPROGRESS) {
    pollfd wait{ fd, POLLOUT, 0 };
    int error = ETIMEDOUT;
    socklen_t size = sizeof error;
    if (::poll(&wait, 1, static_cast<int>(aTimeout * 1000)) == 1) {
      ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size);
    }
    result = error == 0 ? 0 : -1;
  }
  if (result != 0) {
    ::close(fd);
    return nullptr;
  }
  ::fcntl(fd, F_SETFL, ::fcntl(fd, F_GETFL) & ~O_NONBLOCK);
  int on = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return std::make_unique<Socket>(fd);
}

bool Socket::Write(const std::string& aText)
{
  std::size_t sent = 0;
  while (mIsOpen && sent < aText.size()) {
    auto n = ::send(mFd, aText.data() + sent, aText.size() - sent, MSG_NOSIGNAL);
    if (n <= 0) {
      mIsOpen = false;
      return false;
    }
    sent += static_cast<std::size_t>(n);
  }
  return mIsOpen;
}

bool Socket::Fill(double aDeadline)
{
  if (!mIsOpen) {
    return false;
  }
  auto left = std::clamp((aDeadline - Now()) * 1000, 0.0, 1e8);
  pollfd wait{ mFd, POLLIN, 0 };
  if (::poll(&wait, 1, static_cast<int>(left) + 1) != 1) {
    return false;
  }
  char buffer[65536];
  auto n = ::recv(mFd, buffer, sizeof buffer, 0);
  if (n <= 0) {
    mIsOpen = false;
    return false;
  }
  mBuffer.append(buffer, static_cast<std::size_t>(n));
  return true;
}

std::optional<std::string> Socket::ReadLine(double aDeadline)
{
  for (;;) {
    auto end = mBuffer.find("\r\n");
    if (end != std::string::npos) {
      auto line = mBuffer.substr(0, end);
      mBuffer.erase(0, end + 2);
      return line;
    }
    if (!Fill(aDeadline)) {
      return std::nullopt;
    }
  }
}

bool Socket::ReadBytes(std::size_t aCount, std::string& aTo)
{
  while (mBuffer.size() < aCount) {
    if (!Fill(Now() + 1000)) {
      return false;
    }
  }
  aTo = mBuffer.substr(0, aCount);
  mBuffer.erase(0, aCount);
  return true;
}

void Socket::Close()
{
  if (mFd >= 0) {
    ::close(mFd);
  }
  mFd = -1;
  mIsOpen = false;
}

void Socket::Shutdown()
{
  ::shutdown(mFd, SHUT_RDWR);
}

bool Listen(const Address& aAddress, std::function<void(SocketPtr)> aServe)
{
  int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int on = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  auto at = ToSockaddr(aAddress);
  if (::bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0 ||
      ::listen(fd, 512) != 0) {
    ::close(fd);
    return false;
  }
  std::thread([fd, serve = std::move(aServe)] {
    for (;;) {
      int client = ::accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
      if (client < 0) {
        Sleep(0.01);
        continue;
      }
      int yes = 1;
      ::setsockopt(client, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
      std::thread([serve, client] {
        serve(std::make_shared<Socket>(client));
      }).detach();
    }
  }).detach();
  return true;
}

std::optional<HttpRequest> ReadHttp(Socket& aSocket)
{
  auto first = aSocket.ReadLine(Now() + 1e5);
  if (!first) {
    return std::nullopt;
  }
  HttpRequest request;
  auto rest = *first;
  request.mMethod = TakeWord(rest);
  request.mTarget = TakeWord(rest);
  for (;;) {
    auto line = aSocket.ReadLine(Now() + 1e5);
    if (!line) {
      return std::nullopt;
    }
    if (line->empty()) {
      break;
    }
    auto colon = line->find(':');
    auto name = line->substr(0, colon);
    std::transform(name.begin(), name.end(), name.begin(), ::tolower);
    auto value = colon == std::string::npos ? "" : line->substr(colon + 1);
    value.erase(0, value.find_first_not_of(' '));
    request.mHeaders[name] = value;
  }
  auto length = ToNumber(request.mHeaders["content-length"]);
  if (length > 0 && !aSocket.ReadBytes(length, request.mBody)) {
    return std::nullopt;
  }
  return request;
}

bool WriteHttp(Socket& aSocket, unsigned aStatus, const json& aBody)
{
  auto body = aBody.dump();
  std::ostringstream text;
  text << "HTTP/1.1 " << aStatus
       << " Status\r\nContent-Type: application/json\r\nStore-Era: 1"
       << "\r\nContent-Length: " << body.size() << "\r\n\r\n"
       << body;
  return aSocket.Write(text.str());
}

bool Store::Start(const Address& aAddress)
{
  return Listen(aAddress, [this](SocketPtr aSocket) { Serve(*aSocket); });
}

void Store::Serve(Socket& aSocket)
{
  while (auto request = ReadHttp(aSocket)) {
    Sleep(kStoreAnswerTime);
    auto [status, body] = Handle(*request);
    if (!WriteHttp(aSocket, status, body)) {
      return;
    }
  }
}

std::pair<unsigned, json> Store::Handle(const HttpRequest& aRequest)
{
  auto mark = aRequest.mTarget.find('?');
  auto path = aRequest.mTarget.substr(0, mark);
  std::map<std::string, std::string> query;
  std::istringstream parts(
    mark == std::string::npos ? "" : aRequest.mTarget.substr(mark + 1));
  for (std::string it; std::getline(parts, it, '&');) {
    auto equals = it.find('=');
    query[it.substr(0, equals)] =
      equals == std::string::npos ? "" : it.substr(equals + 1);
  }
  const std::string prefix = "/objects/";
  if (path.rfind(prefix, 0) != 0) {
    return { 404, json::object() };
  }
  path.erase(0, prefix.size());
  auto slash = path.find('/');
  auto kind = path.substr(0, slash);
  auto name = slash == std::string::npos ? "" : path.substr(slash + 1);
  if (aRequest.mMethod != "GET") {
    return Change(aRequest, kind, name, ToNumber(query["rev"]));
  }
  std::unique_lock lock(mMutex);
  if (query.count("watch") > 0) {
    auto after = ToNumber(query["watch"]);
    if (after > mRevision) {
      return { 410, json::object() };
    }
    json events = json::array();
    auto until = Now() + static_cast<double>(ToNumber(query["waitMs"])) / 1000;
    for (;;) {
      for (const auto& it : mEvents) {
        if (it.mRevision > after && it.mKind == kind) {
          events.push_back(it.mEvent);
        }
      }
      auto left = until - Now();
      if (!events.empty() || left <= 0) {
        break;
      }
      mChanged.wait_for(lock, std::chrono::duration<double>(left));
    }
    return { 200, { { "events", events }, { "currentRev", mRevision } } };
  }
  auto& objects = mKinds[kind];
  if (!name.empty()) {
    auto it = objects.find(name);
    return it == objects.end() ? std::pair<unsigned, json>{ 404, json::object() }
                               : std::pair<unsigned, json>{ 200, it->second };
  }
  json items = json::array();
  bool hasMore = false;
  for (auto it = objects.upper_bound(query["after"]); it != objects.end(); ++it) {
    if (items.size() == kPage) {
      hasMore = true;
      break;
    }
    items.push_back(it->second);
  }
  return {
    200, { { "items", items }, { "hasMore", hasMore }, { "currentRev", mRevision } }
  };
}

void Store::Event(const std::string& aKind, const json& aObject, bool aIsDeleted)
{
  mEvents.push_back(
    { mRevision, aKind, { { "object", aObject }, { "deleted", aIsDeleted } } });
  mChanged.notify_all();
}

std::pair<unsigned, json> Store::Change(const HttpRequest& aRequest,
                                        const std::string& aKind,
                                        std::string aName,
                                        std::uint64_t aExpected)
{
  std::lock_guard lock(mMutex);
  auto body = json::parse(aRequest.mBody, nullptr, false);
  bool isRemoval = aRequest.mMethod == "DELETE";
  bool isNew = aRequest.mMethod == "POST";
  if (!isRemoval) {
    if (!body.is_object() || !body.contains("meta")) {
      return { 400, json::object() };
    }
    aName = body["meta"].value("name", "");
    aExpected = body["meta"].value("rev", std::uint64_t{ 0 });
  }
  auto& objects = mKinds[aKind];
  auto it = objects.find(aName);
  if (isNew && it != objects.end()) {
    return { 409, it->second };
  }
  if (!isNew && it == objects.end()) {
    return { 404, json::object() };
  }
  bool isOther =
    it != objects.end() && aExpected != 0 && it->second["meta"]["rev"] != aExpected;
  if (isOther) {
    return { 409, it->second };
  }
  if (isRemoval) {
    auto object = it->second;
    objects.erase(it);
    ++mRevision;
    Event(aKind, object, true);
    return { 200, object };
  }
  auto& object = objects[aName];
  if (object.is_null() || object["spec"] != body["spec"]) {
    object["spec"] = body["spec"];
    object["meta"] = { { "name", aName },
                       { "rev", ++mRevision },
                       { "finalizers", json::array() } };
    Event(aKind, object, false);
  }
  if (aKind == "sesameway" && aName == "coordinator") {
    mRenewedAt = Now();
  }
  return { isNew ? 201u : 200u, object };
}

void Store::Put(const std::string& aKind, const std::string& aName, const json& aSpec)
{
  std::lock_guard lock(mMutex);
  auto& object = mKinds[aKind][aName];
  object["spec"] = aSpec;
  object["meta"] = { { "name", aName },
                     { "rev", ++mRevision },
                     { "finalizers", json::array() } };
  Event(aKind, object, false);
}

void Store::Remove(const std::string& aKind, const std::string& aName)
{
  std::lock_guard lock(mMutex);
  auto node = mKinds[aKind].extract(aName);
  if (!node.empty()) {
    ++mRevision;
    Event(aKind, node.mapped(), true);
  }
}

std::optional<json> Store::Get(const std::string& aKind, const std::string& aName)
{
  std::lock_guard lock(mMutex);
  auto& objects = mKinds[aKind];
  auto it = objects.find(aName);
  return it == objects.end() ? std::nullopt : std::optional(it->second);
}

std::string Store::Holder()
{
  auto object = Get("sesameway", "coordinator");
  if (!object) {
    return {};
  }
  auto spec = (*object)["spec"].get<std::string>();
  auto at = spec.find("holder = '");
  if (at == std::string::npos) {
    return {};
  }
  at += 10;
  return spec.substr(at, spec.find('\'', at) - at);
}

double Store::RenewedAt()
{
  std::lock_guard lock(mMutex);
  return mRenewedAt;
}

std::string Database::Position() const
{
  return mLog.empty()
           ? "-"
           : std::to_string(mLog.back().mTerm) + '.' + std::to_string(mLog.size());
}

Group& Databases::Add(const std::string& aService,
                      const std::vector<Address>& aAddresses)
{
  auto group = std::make_unique<Group>();
  group->mName = aService;
  const char* zones[] = { "andina-bog", "caribe-baq", "pacifico-clo" };
  for (std::size_t n = 0; n < aAddresses.size(); ++n) {
    auto database = std::make_unique<Database>();
    database->mId = "i-" + aService + std::to_string(n);
    database->mAddress = aAddresses[n];
    database->mZone = zones[n % 3];
    database->mGroup = group.get();
    database->mIsPrimary = n == 0;
    database->mLog = { { 1, {} } };
    group->mDatabases.push_back(std::move(database));
  }
  mGroups.push_back(std::move(group));
  return *mGroups.back();
}

bool Databases::Start()
{
  for (auto& group : mGroups) {
    for (auto& it : group->mDatabases) {
      auto* database = it.get();
      if (!Listen(database->mAddress, [this, database](SocketPtr aSocket) {
            Serve(*aSocket, *database);
          })) {
        return false;
      }
      Announce(*database);
    }
  }
  std::thread([this] {
    for (;;) {
      Replicate();
      Sleep(0.005);
    }
  }).detach();
  return true;
}

void Databases::Announce(Database& aDatabase)
{
  json entry{ { "service", aDatabase.mGroup->mName },
              { "addr", aDatabase.mAddress.Text() },
              { "zone", aDatabase.mZone },
              { "version", "1" },
              { "slots", aDatabase.mGroup->mSlots },
              { "state", aDatabase.mIsLeaving ? "drain" : "ready" },
              { "coldMs", 0 },
              { "sequence", aDatabase.mSequence++ },
              { "born", aDatabase.mBorn },
              { "dbRole", aDatabase.mIsPrimary ? "primary" : "replica" } };
  mStore.Put("servers", aDatabase.mId, entry);
}

void Databases::Replicate()
{
  std::lock_guard lock(mMutex);
  for (auto& group : mGroups) {
    Database* primary = nullptr;
    for (auto& it : group->mDatabases) {
      bool isNewer = it->mIsPrimary && !it->mIsDown &&
                     (primary == nullptr || it->mTerm > primary->mTerm);
      primary = isNewer ? it.get() : primary;
    }
    for (auto& it : group->mDatabases) {
      if (primary != nullptr && !it->mIsPrimary && !it->mIsDown) {
        it->mTerm = primary->mTerm;
        it->mLog = primary->mLog;
      }
    }
  }
}

std::string Databases::Primary(const std::string& aService)
{
  std::lock_guard lock(mMutex);
  std::string found;
  std::uint64_t term = 0;
  for (auto& group : mGroups) {
    for (auto& it : group->mDatabases) {
      if (group->mName == aService && it->mIsPrimary && it->mTerm > term) {
        found = it->mId;
        term = it->mTerm;
      }
    }
  }
  return found;
}

std::string Databases::DrainPrimary(const std::string& aService)
{
  auto id = Primary(aService);
  for (auto& group : mGroups) {
    for (auto& it : group->mDatabases) {
      if (it->mId == id) {
        it->mIsLeaving = true;
        Announce(*it);
      }
    }
  }
  Record::Line("release: %s of %s says drain", id.c_str(), aService.c_str());
  return id;
}

void Databases::Return()
{
  for (auto& group : mGroups) {
    for (auto& it : group->mDatabases) {
      if (it->mIsLeaving) {
        it->mIsLeaving = false;
        Announce(*it);
      }
    }
  }
}

Database* Databases::Find(const std::string& aService,
                          const std::string& aId,
                          Group** aGroup)
{
  for (auto& group : mGroups) {
    for (auto& it : group->mDatabases) {
      if (it->mId == aId && (aService.empty() || group->mName == aService)) {
        *aGroup = group.get();
        return it.get();
      }
    }
  }
  return nullptr;
}

void Databases::Crash(const std::string& aId)
{
  Group* group = nullptr;
  auto* database = Find({}, aId, &group);
  int process = 0;
  {
    std::lock_guard lock(mMutex);
    database->mIsDown = true;
    process = ++database->mProcess;
  }
  Record::Line("crash: %s", aId.c_str());
  std::thread([this, database, process] {
    Sleep(kEntryLife);
    bool isGone = false;
    {
      std::lock_guard lock(mMutex);
      isGone = database->mIsDown && database->mProcess == process;
    }
    if (isGone) {
      mStore.Remove("servers", database->mId);
    }
  }).detach();
}

void Databases::RestartEmpty(const std::string& aId)
{
  Group* group = nullptr;
  auto* database = Find({}, aId, &group);
  {
    std::lock_guard lock(mMutex);
    database->mIsDown = false;
    database->mIsPrimary = false;
    database->mTerm = 0;
    database->mLog.clear();
    database->mBorn += 1000;
    database->mSequence = 1;
  }
  Announce(*database);
  Record::Line("restart: %s, holds nothing of before", aId.c_str());
}

bool Databases::Promote(const std::string& aService, const std::string& aId)
{
  Group* of = nullptr;
  Database* next = Find(aService, aId, &of);
  int process = 0;
  {
    std::lock_guard lock(mMutex);
    if (next == nullptr || next->mIsDown) {
      return false;
    }
    process = next->mProcess;
  }
  std::thread([this, next, of, process] {
    Sleep(mPromoteTime);
    std::vector<Database*> former;
    std::set<std::string> held;
    {
      std::lock_guard lock(mMutex);
      std::uint64_t newest = 0;
      Database* leader = nullptr;
      for (auto& it : of->mDatabases) {
        newest = std::max(newest, it->mTerm);
        if (it->mIsPrimary && (leader == nullptr || it->mTerm > leader->mTerm)) {
          leader = it.get();
        }
      }
      if (leader == next || next->mIsDown || next->mProcess != process) {
        return;
      }
      for (const auto& it : next->mLog) {
        held.insert(it.mId);
      }
      next->mTerm = newest + 1;
      next->mIsPrimary = true;
      next->mLog.push_back({ next->mTerm, {} });
      for (auto& it : of->mDatabases) {
        if (it->mIsPrimary && it.get() != next) {
          former.push_back(it.get());
        }
      }
    }
    Record::Line("promoted: %s of %s leads term %lu with %zu commits of before",
                 next->mId.c_str(),
                 of->mName.c_str(),
                 static_cast<unsigned long>(next->mTerm),
                 held.size());
    if (mOnPromoted) {
      mOnPromoted(next->mId, held);
    }
    Announce(*next);
    Sleep(kDemoteAfter);
    for (auto* it : former) {
      bool isDown = false;
      {
        std::lock_guard lock(mMutex);
        it->mIsPrimary = false;
        isDown = it->mIsDown;
      }
      if (!isDown) {
        Announce(*it);
      }
    }
  }).detach();
  return true;
}

std::optional<Execution> Databases::FindRun(const std::string& aId)
{
  std::lock_guard lock(mMutex);
  auto it = mRun.find(aId);
  return it == mRun.end() ? std::nullopt : std::optional(it->second);
}

struct Databases::Connection
{
  char mState = 'I';
  bool mIsReadOnly = false;
  bool mHasWritten = false;
  std::map<std::string, bool> mPrepared;
};

void Databases::Serve(Socket& aSocket, Database& aDatabase)
{
  auto first = aSocket.ReadLine(Now() + 10);
  if (!first) {
    return;
  }
  auto rest = *first;
  TakeWord(rest);
  auto service = TakeWord(rest);
  TakeWord(rest);
  bool isOther =
    service != aDatabase.mGroup->mName || (!rest.empty() && rest != aDatabase.mId);
  bool isFull = false;
  int process = 0;
  {
    std::lock_guard lock(mMutex);
    if (aDatabase.mIsDown) {
      return;
    }
    process = aDatabase.mProcess;
    isFull = aDatabase.mConnections >= aDatabase.mGroup->mMaxConnections;
    aDatabase.mConnections += isOther || isFull ? 0 : 1;
  }
  if (isOther || isFull) {
    aSocket.Write(isOther ? "ERROR WRONGHOST -\r\n" : "ERROR MAXCONN -\r\n");
    return;
  }
  Sleep(kConnectTime);
  Connection connection;
  aSocket.Write("READY I " + aDatabase.Position() + "\r\n");
  auto hasEnded = [&] {
    std::lock_guard lock(mMutex);
    return aDatabase.mProcess != process;
  };
  while (!hasEnded()) {
    auto line = aSocket.ReadLine(Now() + 0.05);
    if (!line && aSocket.IsOpen()) {
      continue;
    }
    if (!line || *line == "QUIT") {
      break;
    }
    auto answer = Run(connection, aDatabase, *line);
    if (hasEnded() || !aSocket.Write(answer)) {
      break;
    }
  }
  std::lock_guard lock(mMutex);
  --aDatabase.mConnections;
}

std::string Databases::Run(Connection& aConnection,
                           Database& aDatabase,
                           const std::string& aLine)
{
  auto rest = aLine;
  TakeWord(rest);
  auto id = TakeWord(rest);
  std::string after;
  if (rest.rfind("AFTER ", 0) == 0) {
    TakeWord(rest);
    after = TakeWord(rest);
  }
  auto text = rest;
  auto verb = TakeWord(rest);
  std::unique_lock lock(mMutex);
  auto ready = [&] {
    return std::string("READY ") + aConnection.mState + ' ' + aDatabase.Position() +
           "\r\n";
  };
  auto done = [&](const std::string& aRow, bool aHasDigest) {
    auto digest = aHasDigest ? "7." + std::to_string(++mDigests) : std::string("-");
    return (aRow.empty() ? "" : "ROW " + aRow + "\r\n") + "COMPLETE " + digest +
           "\r\n" + ready();
  };
  auto error = [&](const char* aCode) {
    aConnection.mState = aConnection.mState == 'I' ? 'I' : 'E';
    return "ERROR " + std::string(aCode) + ' ' + aDatabase.mId + "\r\n" + ready();
  };
  if (verb == "ROLLBACK") {
    aConnection.mState = 'I';
    return done({}, false);
  }
  if (aConnection.mState == 'E') {
    return error("MALFORMED");
  }
  bool lacks = false;
  if (!after.empty()) {
    auto dot = after.find('.');
    auto term = ToNumber(after.substr(0, dot));
    auto place = ToNumber(after.substr(dot + 1));
    lacks = place > aDatabase.mLog.size() || aDatabase.mLog.back().mTerm < term;
  }
  if (verb == "BEGIN") {
    aConnection.mIsReadOnly = rest == "READ";
    if (!aConnection.mIsReadOnly && !aDatabase.mIsPrimary) {
      return error("RDONLY");
    }
    if (lacks) {
      return error("LAGGING");
    }
    aConnection.mState = 'T';
    aConnection.mHasWritten = false;
    return done({}, false);
  }
  if (verb == "SET") {
    return done({}, false);
  }
  if (verb == "RESET") {
    aConnection.mPrepared.clear();
    return done({}, false);
  }
  if (verb == "PREPARE") {
    auto name = TakeWord(rest);
    aConnection.mPrepared[name] = TakeWord(rest) == "WRITE";
    return done({}, false);
  }
  if (verb == "CLOSE") {
    aConnection.mPrepared.erase(rest);
    return done({}, false);
  }
  if (verb == "DEMOTE") {
    if (aDatabase.mIsPrimary && aDatabase.mTerm < ToNumber(rest)) {
      aDatabase.mIsPrimary = false;
    }
  }
  if (verb == "STATUS" || verb == "DEMOTE") {
    std::ostringstream row;
    row << (aDatabase.mIsPrimary ? "primary " : "replica ") << aDatabase.mTerm << ' '
        << aDatabase.Position() << " 0 0 " << aDatabase.mBusy << ' '
        << aDatabase.mConnections;
    return done(row.str(), false);
  }
  bool isWrite = verb == "WRITE";
  if (verb == "EXECUTE") {
    auto prepared = aConnection.mPrepared.find(TakeWord(rest));
    if (prepared == aConnection.mPrepared.end()) {
      return error("NOSTMT");
    }
    isWrite = prepared->second;
  } else if (verb != "READ" && verb != "WRITE" && verb != "COMMIT") {
    return error("MALFORMED");
  }
  bool isCommit = verb == "COMMIT";
  bool isPlain = aConnection.mState == 'T' && !aConnection.mIsReadOnly;
  bool needsLead = isWrite || (isPlain && !(isCommit && !aConnection.mHasWritten));
  if (needsLead && !aDatabase.mIsPrimary) {
    return error("RDONLY");
  }
  if (lacks) {
    return error("LAGGING");
  }
  int slots = aDatabase.mGroup->mSlots;
  if (aDatabase.mBusy >= slots + kDatabaseQueue) {
    return error("BUSY");
  }
  ++aDatabase.mBusy;
  auto work = mWork(text);
  auto started = Now();
  mRun[id] = { started, 0, aDatabase.mId };
  // A slot each: those behind the slots wait for one of those before them.
  auto queued = std::max(0, aDatabase.mBusy - slots);
  lock.unlock();
  Sleep(work + 0.008 * queued / slots);
  lock.lock();
  --aDatabase.mBusy;
  if (needsLead && !aDatabase.mIsPrimary) {
    return error("RDONLY");
  }
  bool isKept =
    (isWrite && aConnection.mState == 'I') || (isCommit && aConnection.mHasWritten);
  if (isKept) {
    aDatabase.mLog.push_back({ aDatabase.mTerm, id });
    // The answer waits for as many replicas as the service says.
    auto place = aDatabase.mLog.size();
    int process = aDatabase.mProcess;
    auto received = [&] {
      int count = 0;
      for (const auto& it : aDatabase.mGroup->mDatabases) {
        bool has = it->mLog.size() >= place && it->mLog[place - 1].mId == id;
        count += it.get() != &aDatabase && !it->mIsDown && has ? 1 : 0;
      }
      return count;
    };
    while (received() < aDatabase.mGroup->mSyncReplicas &&
           aDatabase.mProcess == process) {
      lock.unlock();
      Sleep(kSyncPoll);
      lock.lock();
    }
  }
  aConnection.mHasWritten |= isWrite;
  if (isCommit) {
    aConnection.mState = 'I';
  }
  mRun[id].mEndedAt = Now();
  return done(isWrite || isCommit ? std::string() : "r" + std::to_string(mDigests),
              true);
}

bool Cloud::Start(const Address& aAddress)
{
  return Listen(aAddress, [this](SocketPtr aSocket) { Serve(*aSocket); });
}

void Cloud::Serve(Socket& aSocket)
{
  while (auto request = ReadHttp(aSocket)) {
    if (request->mTarget != "/failover" || request->mMethod != "POST") {
      WriteHttp(aSocket, 404, json::object());
      continue;
    }
    if (mIsDown) {
      return;
    }
    auto body = json::parse(request->mBody, nullptr, false);
    Order order{ Now(),
                 request->mHeaders["sesameway-lease-holder"],
                 ToNumber(request->mHeaders["sesameway-fence-token"]),
                 body.value("service", ""),
                 body.value("id", "") };
    Record::Line("platform: POST /failover holder=%s fence=%lu service=%s id=%s",
                 order.mHolder.c_str(),
                 static_cast<unsigned long>(order.mFence),
                 order.mService.c_str(),
                 order.mId.c_str());
    bool isTaken = mDatabases.Promote(order.mService, order.mId);
    {
      std::lock_guard lock(mMutex);
      mOrders.push_back(order);
    }
    Sleep(mAnswerTime);
    if (!WriteHttp(aSocket, isTaken ? 200 : 409, json::object())) {
      return;
    }
  }
}

std::vector<Cloud::Order> Cloud::Orders()
{
  std::lock_guard lock(mMutex);
  return mOrders;
}

bool Daemon::Start()
{
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  int ends[2] = { -1, -1 };
  if (mHasPipe) {
    if (::pipe2(ends, O_CLOEXEC) != 0) {
      return false;
    }
    posix_spawn_file_actions_adddup2(&actions, ends[1], STDOUT_FILENO);
  } else {
    posix_spawn_file_actions_addopen(
      &actions, STDOUT_FILENO, mLog.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  }
  posix_spawn_file_actions_addopen(&actions,
                                   STDERR_FILENO,
                                   (mLog + ".err").c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND,
                                   0644);
  std::string program = "target/sesameproxy";
  std::string variable = "SESAMEWAY_BOOT=" + mSettings;
  std::string path =
    std::string("PATH=") + (std::getenv("PATH") ? std::getenv("PATH") : "");
  char* arguments[] = { program.data(), nullptr };
  char* environment[] = { variable.data(), path.data(), nullptr };
  int error =
    ::posix_spawn(&mPid, program.c_str(), &actions, nullptr, arguments, environment);
  posix_spawn_file_actions_destroy(&actions);
  if (mHasPipe) {
    ::close(ends[1]);
    std::thread([this, fd = ends[0]] {
      std::ofstream log(mLog, std::ios::app);
      char buffer[65536];
      for (;;) {
        if (!mIsRead) {
          Sleep(0.02);
          continue;
        }
        auto n = ::read(fd, buffer, sizeof buffer);
        if (n <= 0) {
          ::close(fd);
          return;
        }
        log.write(buffer, n);
      }
    }).detach();
  }
  if (error != 0) {
    mPid = 0;
    return false;
  }
  Record::Line("start: %s pid %d", mName.c_str(), mPid);
  return true;
}

void Daemon::Signal(int aSignal)
{
  if (mPid != 0) {
    ::kill(mPid, aSignal);
  }
}

bool Daemon::HasEnded()
{
  if (mPid != 0 && ::waitpid(mPid, nullptr, WNOHANG) == mPid) {
    mPid = 0;
  }
  return mPid == 0;
}

double Daemon::WaitOrKill(double aDeadline)
{
  auto since = Now();
  while (!HasEnded()) {
    if (Now() >= aDeadline) {
      Record::Line("SIGKILL: %s", mName.c_str());
      ::kill(mPid, SIGKILL);
      ::waitpid(mPid, nullptr, 0);
      mPid = 0;
    }
    Sleep(0.005);
  }
  return Now() - since;
}

bool Daemon::IsReady()
{
  auto socket = Socket::Connect(mReady, 0.5);
  if (!socket) {
    return false;
  }
  socket->Write("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n");
  auto line = socket->ReadLine(Now() + 1);
  return line && line->find(" 200") != std::string::npos;
}

Daemon::~Daemon()
{
  if (mPid != 0) {
    ::kill(mPid, SIGKILL);
    ::waitpid(mPid, nullptr, 0);
  }
}

namespace {

json Configuration(const std::vector<std::string>& aServices, int aSyncReplicas)
{
  json routes = json::array();
  json services = json::array();
  for (const auto& it : aServices) {
    services.push_back(
      { { "name", it }, { "maxConns", 22 }, { "syncReplicas", aSyncReplicas } });
    routes.push_back({ { "name", it + "-p" },
                       { "host", it + "-primary" },
                       { "service", it },
                       { "type", "primary" },
                       { "timeoutMs", 1000 },
                       { "goalMs", 600 },
                       { "prio", 1 },
                       { "public", false } });
    routes.push_back({ { "name", it + "-b" },
                       { "host", it + "-bounded" },
                       { "service", it },
                       { "type", "bounded" },
                       { "maxStaleMs", 1500 },
                       { "timeoutMs", 2000 },
                       { "goalMs", 1200 },
                       { "prio", 2 },
                       { "public", false } });
  }
  return { { "version", 3 },
           { "routes", routes },
           { "services", services },
           { "limits", { { "txIdleMs", 5000 } } },
           { "tenants",
             { { { "name", "norte" },
                 { "apiKeys", { "u3f1" } },
                 { "perS", 2000.0 },
                 { "burst", 4000.0 } } } } };
}

} // namespace

Fleet* StartFleet(const FleetOptions& aOptions)
{
  std::signal(SIGPIPE, SIG_IGN);
  auto* fleet = new Fleet;
  fleet->mNet = ChooseNet();
  char folder[] = "/tmp/review-2-XXXXXX";
  if (fleet->mNet.empty() || ::mkdtemp(folder) == nullptr) {
    return nullptr;
  }
  fleet->mFolder = folder;
  fleet->mStoreAddress = { fleet->mNet + ".200", 8466 };
  fleet->mCloudAddress = { fleet->mNet + ".201", 8466 };
  fleet->mStore = std::make_unique<Store>();
  fleet->mDatabases = std::make_unique<Databases>(*fleet->mStore);
  fleet->mCloud = std::make_unique<Cloud>(*fleet->mDatabases);
  int host = 100;
  for (const auto& it : aOptions.mServices) {
    std::vector<Address> addresses;
    for (int n = 0; n < 3; ++n) {
      addresses.push_back({ fleet->mNet + '.' + std::to_string(host++), 5400 });
    }
    fleet->mDatabases->Add(it, addresses).mSyncReplicas = aOptions.mSyncReplicas;
  }
  fleet->mStore->Put(
    "config", "main", Configuration(aOptions.mServices, aOptions.mSyncReplicas));
  if (!fleet->mStore->Start(fleet->mStoreAddress) ||
      !fleet->mCloud->Start(fleet->mCloudAddress) || !fleet->mDatabases->Start()) {
    return nullptr;
  }
  const std::vector<std::string> zones{ "andina-bog", "caribe-baq", "pacifico-clo" };
  std::map<std::string, int> inZone;
  for (int n = 0; n < aOptions.mDaemons; ++n) {
    auto ip = fleet->mNet + '.' + std::to_string(n + 1);
    const auto& zone = zones[n % 3];
    auto daemon = std::make_unique<Daemon>();
    daemon->mName = "front-" + zone + '-' + std::to_string(++inZone[zone]);
    daemon->mFront = { ip, 8465 };
    daemon->mReady = { ip, 8460 };
    daemon->mSettings = fleet->mFolder + '/' + daemon->mName + ".json";
    daemon->mLog = fleet->mFolder + '/' + daemon->mName + ".log";
    daemon->mHasPipe = aOptions.mHasPipes;
    json settings{
      { "nodeName", daemon->mName },
      { "role", "proxy" },
      { "machineClass", "front" },
      { "serves", { "front", "control" } },
      { "ip", ip },
      { "zone", zone },
      { "region", zone.substr(0, zone.find('-')) },
      { "zones",
        { { "andina-bog", "andina" },
          { "caribe-baq", "caribe" },
          { "pacifico-clo", "pacifico" } } },
      { "listen",
        { { "front", ip + ":8465" },
          { "ready", ip + ":8460" },
          { "control", ip + ":8462" } } },
      { "portRange", { 7560, 7575 } },
      { "seedNodes",
        { fleet->mNet + ".1:8462", fleet->mNet + ".2:8462", fleet->mNet + ".3:8462" } },
      { "bootstrap", true },
      { "limits",
        { { "cpuShare", 0.25 },
          { "vcpus", 1 },
          { "ramMb", 260 },
          { "maxFds", 4200 },
          { "linkMbps", 1000.0 },
          { "diskMb", 0 } } },
      { "dataDir", nullptr },
      { "discovery", "platform" },
      { "heartbeatMs", 1200 },
      { "parameters",
        { { "contactMs", 5000 },
          { "drainMs", 7000 },
          { "graceS", 6 },
          { "slackMs", 200 },
          { "applyMs", 4000 },
          { "requireFence", false },
          { "thawMs", 300 } } },
      { "platform",
        { { "addr", fleet->mStoreAddress.Text() },
          { "form", "objects" },
          { "writesPerS", 400 },
          { "readsPerS", 2000 },
          { "retainS", 20 },
          { "valueBytes", 1048576 } } },
      { "cloud",
        { { "addr", fleet->mCloudAddress.Text() },
          { "perS", 50.0 },
          { "duties", { "failover" } },
          { "dutyPerS", 50.0 } } }
    };
    std::ofstream(daemon->mSettings) << settings.dump(2);
    fleet->mDaemons.push_back(std::move(daemon));
  }
  for (auto& it : fleet->mDaemons) {
    if (!it->Start()) {
      return nullptr;
    }
  }
  auto until = Now() + 25;
  for (;;) {
    bool isReady = std::all_of(fleet->mDaemons.begin(),
                               fleet->mDaemons.end(),
                               [](auto& aIt) { return aIt->IsReady(); });
    for (const auto& it : aOptions.mServices) {
      isReady = isReady && fleet->mStore->Get("sesameway", "group." + it);
    }
    if (isReady) {
      break;
    }
    if (Now() > until) {
      Record::Line("the fleet did not become ready");
      StopFleet(*fleet);
      return nullptr;
    }
    Sleep(0.1);
  }
  Record::Line("all daemons are ready, holder %s", fleet->mStore->Holder().c_str());
  return fleet;
}

void StopFleet(Fleet& aFleet)
{
  for (auto& it : aFleet.mDaemons) {
    it->mIsRead = true;
    it->Signal(SIGKILL);
  }
  for (auto& it : aFleet.mDaemons) {
    it->WaitOrKill(Now() + 1);
  }
  std::error_code ignored;
  std::filesystem::remove_all(aFleet.mFolder, ignored);
}

bool Session::Open(const Address& aTo,
                   const std::string& aRoute,
                   const std::string& aKey)
{
  mSocket = Socket::Connect(aTo, 1);
  if (!mSocket || !mSocket->Write("CONNECT " + aRoute + ' ' + aKey + "\r\n")) {
    mSocket.reset();
    return false;
  }
  auto line = mSocket->ReadLine(Now() + 2);
  bool isOpen = line && line->rfind("READY", 0) == 0;
  if (!isOpen) {
    mSocket.reset();
  }
  return isOpen;
}

Answer Session::Query(const std::string& aId,
                      const std::string& aText,
                      double aDeadline)
{
  Answer answer;
  if (!mSocket->Write("QUERY " + aId + ' ' + aText + "\r\n")) {
    answer.mAt = Now();
    return answer;
  }
  while (auto line = mSocket->ReadLine(aDeadline)) {
    auto rest = *line;
    auto word = TakeWord(rest);
    if (word == "COMPLETE") {
      answer.mWord = word;
      answer.mDetail = rest;
    } else if (word == "ERROR") {
      answer.mWord = TakeWord(rest);
      answer.mDetail = rest;
    } else if (word == "READY") {
      answer.mState = TakeWord(rest);
      answer.mIsComplete = true;
      break;
    }
  }
  answer.mAt = Now();
  return answer;
}

std::string NewId()
{
  char text[17];
  std::snprintf(text, sizeof text, "%016lx", static_cast<unsigned long>(Random()()));
  return text;
}

} // namespace world
