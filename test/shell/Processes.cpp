#include "shell/Processes.h"

#include "TestMain.h"

#include "caller.grpc.pb.h"
#include "sesameway/CatalogueText.h"
#include "standin.grpc.pb.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <grpcpp/grpcpp.h>
#include <netinet/in.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <thread>

namespace sesameway::test {

namespace {

constexpr Duration kPollInterval = milliseconds(20);
constexpr Duration kReadyTimeout = seconds(30);
constexpr Duration kCallTimeout = seconds(5);
constexpr int kFirstPort = 27'000;
constexpr int kPortCount = 1'000;
constexpr int kBlockSize = 100;
// Offsets of ports within a block: the platform, the first database, and the first
// caller and peer port of the daemons.
constexpr int kPlatformOffset = 1;
constexpr int kDatabaseOffset = 2;
constexpr int kCallerOffset = 60;
constexpr int kPeerOffset = 80;

// Returns a socket bound to the port, or -1 if the port is taken. Without SO_REUSEADDR
// the bind fails for every port in use, even if its user has set SO_REUSEPORT.
int Bind(int aPort, bool aMayReuse = false)
{
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int mayReuse = aMayReuse ? 1 : 0;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &mayReuse, sizeof(mayReuse));
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(aPort));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  if (bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0) {
    return fd;
  }
  close(fd);
  return -1;
}

bool IsFree(int aPort)
{
  // With SO_REUSEADDR the bind succeeds if the port only has connections in TIME_WAIT,
  // and fails if a socket listens on it.
  int fd = Bind(aPort, true);
  if (fd < 0) {
    return false;
  }
  close(fd);
  return true;
}

bool AreFree(int aFirst, int aLast)
{
  for (int n = aFirst; n <= aLast; ++n) {
    if (!IsFree(n)) {
      return false;
    }
  }
  return true;
}

std::string Quoted(const std::string& aText)
{
  return '"' + aText + '"';
}

template<typename Service>
auto StubOf(const std::string& aAddress)
{
  return Service::NewStub(
    grpc::CreateChannel(aAddress, grpc::InsecureChannelCredentials()));
}

void SetDeadline(grpc::ClientContext& aContext)
{
  aContext.set_deadline(std::chrono::system_clock::now() + kCallTimeout);
}

} // namespace

Process::Process(const std::string& aProgram,
                 const std::vector<std::string>& aArguments,
                 const std::filesystem::path& aLog)
{
  std::string path = gArgument + "/" + aProgram;
  std::vector<char*> words{ path.data() };
  std::vector<std::string> arguments = aArguments;
  for (auto& it : arguments) {
    words.push_back(it.data());
  }
  words.push_back(nullptr);
  int log = open(aLog.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
  mPid = fork();
  if (mPid == 0) {
    // Only async-signal-safe calls are allowed after the fork of a multi-threaded
    // program.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    dup2(log, STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
    execv(path.c_str(), words.data());
    _exit(127);
  }
  close(log);
}

Process::~Process()
{
  if (IsRunning()) {
    kill(mPid, SIGKILL);
    waitpid(mPid, nullptr, 0);
  }
}

void Process::Signal(int aSignal) const
{
  if (mStatus == kStillRunning) {
    kill(mPid, aSignal);
  }
}

int Process::Wait(TimePoint aDeadline)
{
  while (mStatus == kStillRunning) {
    int status = 0;
    if (waitpid(mPid, &status, WNOHANG) == mPid) {
      mStatus = WIFSIGNALED(status) ? -WTERMSIG(status) : WEXITSTATUS(status);
      break;
    }
    if (Clock::now() >= aDeadline) {
      break;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return mStatus;
}

Cluster::Cluster(ClusterOptions aOptions)
  : mOptions(std::move(aOptions))
{
  ReservePorts();
  StartPlatform();
  for (int group = 0; group < mOptions.mGroups; ++group) {
    for (int n = 0; n < mOptions.mDatabases; ++n) {
      StartDatabase(group, n, n == 0 ? std::string() : DatabaseAddress(group, 0));
    }
  }
  WriteCatalogue();
  if (Apply() != 0) {
    throw std::runtime_error("catalogue not applied: " + Log());
  }
  if (!mOptions.mStartDaemons) {
    return;
  }
  for (int n = 0; n < mOptions.mDaemons; ++n) {
    StartDaemon(n);
  }
  for (int n = 0; n < mOptions.mDaemons; ++n) {
    WaitReady(n);
  }
}

Cluster::~Cluster()
{
  mDaemons.clear();
  mDatabases.clear();
  mPlatform.reset();
  close(mGuard);
}

std::string Cluster::Address(int aOffset) const
{
  return "127.0.0.1:" + std::to_string(mFirstPort + aOffset);
}

std::string Cluster::PlatformAddress() const
{
  return Address(kPlatformOffset);
}

std::string Cluster::DatabaseAddress(int aGroup, int aDatabase) const
{
  return Address(kDatabaseOffset + aGroup * mOptions.mDatabases + aDatabase);
}

std::string Cluster::CallerAddress(int aDaemon) const
{
  return Address(kCallerOffset + aDaemon);
}

std::string Cluster::PeerAddress(int aDaemon) const
{
  return Address(kPeerOffset + aDaemon);
}

void Cluster::ReservePorts()
{
  bool isTooLarge =
    kDatabaseOffset + mOptions.mGroups * mOptions.mDatabases > kCallerOffset ||
    mOptions.mDaemons > kPeerOffset - kCallerOffset;
  if (isTooLarge) {
    throw std::runtime_error("more processes than a block of ports holds");
  }
  const char* text = std::getenv("SESAMEWAY_TEST_PORTS");
  int first = text ? std::atoi(text) : kFirstPort;
  for (int base = first; base < first + kPortCount; base += kBlockSize) {
    int guard = Bind(base);
    if (guard >= 0 && AreFree(base + 1, base + kBlockSize - 1)) {
      mGuard = guard;
      mFirstPort = base;
      return;
    }
    if (guard >= 0) {
      close(guard);
    }
  }
  throw std::runtime_error("no free block of ports");
}

void Cluster::StartPlatform()
{
  mPlatform = std::make_unique<Process>(
    "sesamestand",
    std::vector<std::string>{ "--platform", "--address", PlatformAddress() },
    Folder() / "log");
  if (!WaitUntil([&] { return !Counts(PlatformAddress()).contains("unreachable"); },
                 kReadyTimeout)) {
    throw std::runtime_error("platform not ready: " + Log());
  }
}

void Cluster::RestartPlatform()
{
  mPlatform.reset();
  StartPlatform();
}

void Cluster::StartDatabase(int aGroup, int aDatabase, const std::string& aFollows)
{
  auto address = DatabaseAddress(aGroup, aDatabase);
  std::vector<std::string> arguments{
    "--database",
    "group-" + std::to_string(aGroup) + "-" + std::to_string(aDatabase),
    "--address",
    address,
    "--connections",
    std::to_string(mOptions.mConnections),
  };
  arguments.push_back(aFollows.empty() ? "--primary" : "--follows=" + aFollows);
  mDatabases[{ aGroup, aDatabase }] =
    std::make_unique<Process>("sesamestand", arguments, Folder() / "log");
  if (!WaitUntil([&] { return !Counts(address).contains("unreachable"); },
                 kReadyTimeout)) {
    throw std::runtime_error("database not ready: " + Log());
  }
}

void Cluster::RestartDatabase(int aGroup, int aDatabase, const std::string& aFollows)
{
  mDatabases.erase({ aGroup, aDatabase });
  StartDatabase(aGroup, aDatabase, aFollows);
}

Process& Cluster::Database(int aGroup, int aDatabase)
{
  return *mDatabases.at({ aGroup, aDatabase });
}

void Cluster::WriteEntry(const std::string& aKind,
                         const std::string& aName,
                         const std::string& aBody)
{
  auto folder = Folder() / "catalogue" / aKind;
  std::filesystem::create_directories(folder);
  std::ofstream(folder / (aName + ".toml")) << aBody;
}

void Cluster::WriteCatalogue()
{
  std::string names;
  for (const auto& it : mOptions.mOrganisations) {
    std::ostringstream body;
    body << std::fixed << "name = " << Quoted(it) << "\nrate = " << mOptions.mRate
         << "\nburst = " << mOptions.mBurst << "\n";
    WriteEntry("organisation", it, body.str());
    WriteEntry("key",
               it + "-1",
               "name = " + Quoted(it + "-1") + "\norganisation = " + Quoted(it) +
                 "\nhash = " + Quoted(HashKey(it + "-key")) + "\n");
    names += (names.empty() ? "" : ", ") + Quoted(it);
  }
  std::ostringstream service;
  service << "name = \"registry\"\nowner = " << Quoted(mOptions.mOrganisations[0])
          << "\n";
  for (int group = 0; group < mOptions.mGroups; ++group) {
    auto number = std::to_string(group);
    service << "[[group]]\nname = \"group-" << number
            << "\"\nslots = " << mOptions.mSlots
            << "\nconnections = " << mOptions.mConnections << "\n";
    for (int n = 0; n < mOptions.mDatabases; ++n) {
      service << "[[group.database]]\nname = \"group-" << number << '-' << n
              << "\"\nzone = \"zone-" << n % mOptions.mZones
              << "\"\naddress = " << Quoted(DatabaseAddress(group, n)) << "\n";
    }
    auto route = "\"\nservice = \"registry\"\ngroup = \"group-" + number +
                 "\"\norganisations = [" + names + "]\n";
    WriteEntry("route", "strict-" + number, "name = \"strict-" + number + route);
    WriteEntry("route",
               "aged-" + number,
               "name = \"aged-" + number + route + "max_age_ms = 1000\n");
  }
  WriteEntry("service", "registry", service.str());
}

int Cluster::Apply()
{
  return Run(
    "sesamectl",
    { "--platform", PlatformAddress(), "apply", (Folder() / "catalogue").string() });
}

int Cluster::Run(const std::string& aProgram,
                 const std::vector<std::string>& aArguments)
{
  Process process(aProgram, aArguments, Folder() / "log");
  return process.Wait(Clock::now() + kReadyTimeout);
}

void Cluster::WriteSettings(int aDaemon)
{
  auto number = std::to_string(aDaemon);
  std::ofstream(Folder() / ("vm-" + number + ".toml"))
    << "name = \"vm-" << number << "\"\nzone = \"zone-" << aDaemon % mOptions.mZones
    << "\"\nregion = \"region-0\"\ncaller_address = " << Quoted(CallerAddress(aDaemon))
    << "\npeer_address = " << Quoted(PeerAddress(aDaemon))
    << "\nplatform_address = " << Quoted(PlatformAddress()) << "\n"
    << mOptions.mSettings;
}

void Cluster::SetVm(int aDaemon, bool aIsLeaving, bool aIsGone)
{
  grpc::ClientContext context;
  SetDeadline(context);
  wire::VmUpdate request;
  request.set_name("vm-" + std::to_string(aDaemon));
  request.set_zone("zone-" + std::to_string(aDaemon % mOptions.mZones));
  request.set_peer_address(PeerAddress(aDaemon));
  request.set_leaving(aIsLeaving);
  request.set_gone(aIsGone);
  wire::FaultAnswer answer;
  StubOf<wire::Standin>(PlatformAddress())->SetVm(&context, request, &answer);
}

void Cluster::StartDaemon(int aDaemon)
{
  WriteSettings(aDaemon);
  SetVm(aDaemon, false, false);
  mDaemons.erase(aDaemon);
  auto settings = Folder() / ("vm-" + std::to_string(aDaemon) + ".toml");
  mDaemons[aDaemon] = std::make_unique<Process>(
    "sesamed",
    std::vector<std::string>{ "--settings", settings.string() },
    Folder() / "log");
}

void Cluster::WaitReady(int aDaemon)
{
  auto isServing = [&] {
    auto session = Session(aDaemon, mOptions.mOrganisations[0]);
    for (int group = 0; group < mOptions.mGroups; ++group) {
      auto statement = MakeStatement(
        "strict-" + std::to_string(group), OperationKind::Get, "ready", {}, seconds(1));
      if (session.Execute(statement).mOutcome != Outcome::Done) {
        return false;
      }
    }
    return true;
  };
  if (!WaitUntil(isServing, kReadyTimeout)) {
    throw std::runtime_error("daemon not ready: " + Log());
  }
}

caller::SessionClient Cluster::Session(int aDaemon, const std::string& aOrganisation)
{
  return { CallerAddress(aDaemon), aOrganisation + "-key" };
}

void Cluster::Fault(const std::string& aAddress,
                    wire::FaultRequest::Kind aKind,
                    std::uint64_t aAmount,
                    const std::string& aScope)
{
  grpc::ClientContext context;
  SetDeadline(context);
  wire::FaultRequest request;
  request.set_kind(aKind);
  request.set_amount(aAmount);
  request.set_scope(aScope);
  wire::FaultAnswer answer;
  if (!StubOf<wire::Standin>(aAddress)->Fault(&context, request, &answer).ok()) {
    throw std::runtime_error("fault refused by " + aAddress);
  }
}

std::map<std::string, std::uint64_t> Cluster::Counts(const std::string& aAddress)
{
  grpc::ClientContext context;
  SetDeadline(context);
  wire::CountsAnswer answer;
  if (!StubOf<wire::Standin>(aAddress)->Counts(&context, {}, &answer).ok()) {
    return { { "unreachable", 1 } };
  }
  return { answer.calls().begin(), answer.calls().end() };
}

std::map<std::string, double> Cluster::Metrics(int aDaemon)
{
  grpc::ClientContext context;
  SetDeadline(context);
  wire::MetricsAnswer answer;
  StubOf<wire::Operator>(CallerAddress(aDaemon))->Metrics(&context, {}, &answer);
  std::map<std::string, double> values;
  for (const auto& it : answer.metrics()) {
    values[it.name()] = it.value();
  }
  return values;
}

std::string Cluster::Log() const
{
  std::ostringstream text;
  text << std::ifstream(Folder() / "log").rdbuf();
  return text.str();
}

Statement MakeStatement(const std::string& aRoute,
                        OperationKind aKind,
                        const std::string& aKey,
                        const std::string& aValue,
                        Duration aTimeout)
{
  Statement statement;
  statement.mRoute = aRoute;
  statement.mOperations.push_back({ aKind, aKey, aValue });
  statement.mDeadline = Clock::now() + aTimeout;
  return statement;
}

bool WaitUntil(const std::function<bool()>& aCondition, Duration aTimeout)
{
  auto limit = Clock::now() + aTimeout;
  while (!aCondition()) {
    if (Clock::now() >= limit) {
      return false;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return true;
}

} // namespace sesameway::test
