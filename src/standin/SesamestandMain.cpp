#include "program/CommandLine.h"
#include "standin/DatabaseServer.h"
#include "standin/PlatformServer.h"

#include <grpcpp/grpcpp.h>

#include <csignal>
#include <cstdlib>
#include <iostream>

namespace {

using namespace sesameway;

constexpr const char* kProgram = "sesamestand";

// Serves until SIGTERM or SIGINT. Returns only if the address can't be listened on.
template<typename Server>
int Serve(Server& aServer, wire::Standin::Service& aFaults, const std::string& aAddress)
{
  grpc::ServerBuilder builder;
  builder.AddListeningPort(aAddress, grpc::InsecureServerCredentials());
  builder.RegisterService(&aServer);
  builder.RegisterService(&aFaults);
  auto server = builder.BuildAndStart();
  if (!server) {
    std::cerr << "sesamestand: can't listen on " << aAddress << '\n';
    return EXIT_FAILURE;
  }
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  int signal = 0;
  sigwait(&signals, &signal);
  std::_Exit(EXIT_SUCCESS);
}

const std::map<std::string, wire::FaultRequest::Kind> kFaultKinds{
  { "clear", wire::FaultRequest::CLEAR },
  { "freeze", wire::FaultRequest::FREEZE },
  { "delay", wire::FaultRequest::DELAY },
  { "cut", wire::FaultRequest::CUT },
  { "lose-answer", wire::FaultRequest::LOSE_ANSWER },
  { "stop", wire::FaultRequest::STOP },
  { "replication-delay", wire::FaultRequest::REPLICATION_DELAY },
  { "leaving", wire::FaultRequest::LEAVING },
  { "distance", wire::FaultRequest::DISTANCE },
};

int SendFault(const boost::program_options::variables_map& aValues)
{
  auto kind = kFaultKinds.find(aValues["fault"].as<std::string>());
  if (kind == kFaultKinds.end()) {
    std::string names;
    for (const auto& it : kFaultKinds) {
      names += " " + it.first;
    }
    return program::ReportUsageError(kProgram, "--fault must be one of" + names);
  }
  auto address = aValues["address"].as<std::string>();
  auto stub = wire::Standin::NewStub(
    grpc::CreateChannel(address, grpc::InsecureChannelCredentials()));
  wire::FaultRequest request;
  request.set_kind(kind->second);
  request.set_amount(aValues["amount"].as<std::uint64_t>());
  request.set_scope(aValues["scope"].as<std::string>());
  grpc::ClientContext context;
  wire::FaultAnswer answer;
  return stub->Fault(&context, request, &answer).ok() ? EXIT_SUCCESS : EXIT_FAILURE;
}

// Prints the number of calls that a stand-in has received, by name of the call.
int PrintCounts(const std::string& aAddress)
{
  auto stub = wire::Standin::NewStub(
    grpc::CreateChannel(aAddress, grpc::InsecureChannelCredentials()));
  grpc::ClientContext context;
  wire::CountsAnswer answer;
  if (!stub->Counts(&context, {}, &answer).ok()) {
    return EXIT_FAILURE;
  }
  std::map<std::string, std::uint64_t> calls(answer.calls().begin(),
                                             answer.calls().end());
  for (const auto& it : calls) {
    std::cout << it.first << '=' << it.second << '\n';
  }
  return EXIT_SUCCESS;
}

int SendVm(const boost::program_options::variables_map& aValues)
{
  auto words = aValues["set-vm"].as<std::vector<std::string>>();
  if (words.size() < 3) {
    return program::ReportUsageError(
      kProgram, "--set-vm takes NAME ZONE PEER-ADDRESS [leaving|gone]");
  }
  auto address = aValues["address"].as<std::string>();
  auto stub = wire::Standin::NewStub(
    grpc::CreateChannel(address, grpc::InsecureChannelCredentials()));
  wire::VmUpdate request;
  request.set_name(words[0]);
  request.set_zone(words[1]);
  request.set_peer_address(words[2]);
  request.set_leaving(words.size() > 3 && words[3] == "leaving");
  request.set_gone(words.size() > 3 && words[3] == "gone");
  grpc::ClientContext context;
  wire::FaultAnswer answer;
  return stub->SetVm(&context, request, &answer).ok() ? EXIT_SUCCESS : EXIT_FAILURE;
}

} // namespace

int main(int argc, char** argv)
{
  namespace po = boost::program_options;
  program::CommandLine commandLine{
    kProgram,
    "--address IP:PORT (--platform | --database NAME | --fault KIND | --set-vm VM)",
    "Runs a stand-in for the platform's store or for one database of a group, in\n"
    "memory, for tests; or injects a fault into a stand-in that runs at --address.",
  };
  commandLine.mOptions.add_options()(
    "address", po::value<std::string>(), "IP:port to listen on")(
    "platform",
    "run as the platform's store")("list-lag-ms",
                                   po::value<int>()->default_value(200),
                                   "ms until the list of VMs shows a change")(
    "database", po::value<std::string>(), "run as the database of this name")(
    "primary", "start as primary of term 1")(
    "follows", po::value<std::string>()->default_value(""), "IP:port of the primary")(
    "connections",
    po::value<int>()->default_value(20),
    "greatest number of open connections")(
    "connect-ms", po::value<int>()->default_value(10), "ms to open a connection")(
    "fault",
    po::value<std::string>(),
    "clear, freeze, delay, distance, cut, lose-answer, stop, replication-delay or "
    "leaving")("counts", "print how many calls the stand-in at --address has received")(
    "amount",
    po::value<std::uint64_t>()->default_value(0),
    "milliseconds or count, depending on the fault")(
    "scope",
    po::value<std::string>()->default_value("all"),
    "what to cut: replication, clients, status or all")(
    "set-vm",
    po::value<std::vector<std::string>>()->multitoken(),
    "change a VM in the platform's list: NAME ZONE PEER-ADDRESS [leaving|gone]");
  auto parsed = program::Parse(std::move(commandLine), argc, argv);
  if (!parsed) {
    return parsed.error();
  }
  const auto& values = *parsed;
  if (values.count("address") == 0) {
    return program::ReportUsageError(kProgram, "--address IP:PORT is required");
  }
  if (values.count("fault") > 0) {
    return SendFault(values);
  }
  if (values.count("counts") > 0) {
    return PrintCounts(values["address"].as<std::string>());
  }
  if (values.count("set-vm") > 0) {
    return SendVm(values);
  }
  if ((values.count("platform") > 0) == (values.count("database") > 0)) {
    return program::ReportUsageError(
      kProgram, "exactly one of --platform and --database is required");
  }
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  auto address = values["address"].as<std::string>();
  if (values.count("platform") > 0) {
    standin::PlatformServer platform(milliseconds(values["list-lag-ms"].as<int>()));
    return Serve<wire::Platform::Service>(platform, platform, address);
  }
  standin::DatabaseOptions database;
  database.mName = values["database"].as<std::string>();
  database.mAddress = address;
  database.mPrimary = values.count("primary") > 0;
  database.mFollows = values["follows"].as<std::string>();
  database.mConnections = values["connections"].as<int>();
  database.mConnectMs = values["connect-ms"].as<int>();
  standin::StandinDatabase records(database);
  standin::DatabaseServer server(records);
  return Serve<wire::Database::Service>(server, server, address);
}
