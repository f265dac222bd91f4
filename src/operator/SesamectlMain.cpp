#include "operator/Commands.h"

#include <boost/program_options.hpp>

#include <iostream>
#include <memory>

namespace {

using namespace sesameway;
namespace po = boost::program_options;
using Words = std::vector<std::string>;

constexpr const char* kCommands =
  "sesamectl COMMAND [OPTION ...]\n"
  "\n"
  "Commands:\n"
  "  check DIR            check the entry files DIR/KIND/NAME.toml; with --platform,\n"
  "                       check them together with the entries in the store\n"
  "  diff DIR             show which entries differ from those in the store\n"
  "  apply DIR            write the entries that differ to the store\n"
  "  remove KIND/NAME     remove one entry from the store\n"
  "  status               show which revision is in force at each --daemon, and which\n"
  "                       entries it rejected\n"
  "  metrics              show the metrics of each --daemon, one a line\n"
  "  key give NAME        create a key for --organisation and show it; it can't be\n"
  "                       shown again\n"
  "  key withdraw NAME    withdraw a key and wait until each --daemon knows it\n"
  "  trace                show why a request on --route with the key named\n"
  "                       --key-name would be routed or refused at each --daemon\n"
  "\n"
  "Exit codes: 0 done, 1 failed or in conflict, 2 invalid usage or file.\n"
  "\n"
  "Options";

po::options_description Options()
{
  po::options_description options(kCommands);
  options.add_options()("help", "show this text")("version", "show the version")(
    "platform", po::value<std::string>(), "IP:port of the platform's store")(
    "daemon",
    po::value<Words>()->default_value({}, ""),
    "IP:port of a daemon's caller port; repeatable")(
    "organisation", po::value<std::string>(), "organisation that the key is for")(
    "route", po::value<std::string>(), "name of the route to trace")(
    "key-name", po::value<std::string>(), "name of the key, not the key itself")(
    "write", "trace a write instead of a read");
  return options;
}

int BadUsage(const std::string& aText)
{
  std::cerr << "sesamectl: " << aText << "; see sesamectl --help\n";
  return operators::kBadUsage;
}

int RunTrace(const po::variables_map& aValues)
{
  auto daemons = aValues["daemon"].as<Words>();
  if (daemons.empty() || aValues.count("route") == 0 ||
      aValues.count("key-name") == 0) {
    return BadUsage("trace needs --daemon, --route and --key-name");
  }
  return operators::Trace(daemons,
                          aValues["key-name"].as<std::string>(),
                          aValues["route"].as<std::string>(),
                          aValues.count("write") > 0);
}

// Runs the commands that need the store.
int RunWithStore(const Words& aWords,
                 const po::variables_map& aValues,
                 operators::StoreClient& aStore)
{
  const auto& command = aWords[0];
  if (command == "diff" && aWords.size() == 2) {
    return operators::Diff(aStore, aWords[1]);
  }
  if (command == "apply" && aWords.size() == 2) {
    return operators::Apply(aStore, aWords[1]);
  }
  if (command == "remove" && aWords.size() == 2) {
    return operators::Remove(aStore, aWords[1]);
  }
  bool isKey = command == "key" && aWords.size() == 3;
  if (isKey && aWords[1] == "give") {
    if (aValues.count("organisation") == 0) {
      return BadUsage("key give needs --organisation");
    }
    return operators::GiveKey(
      aStore, aWords[2], aValues["organisation"].as<std::string>());
  }
  if (isKey && aWords[1] == "withdraw") {
    return operators::WithdrawKey(aStore, aWords[2], aValues["daemon"].as<Words>());
  }
  return BadUsage("unknown command, or wrong number of arguments");
}

int Run(const Words& aWords, const po::variables_map& aValues)
{
  std::unique_ptr<operators::StoreClient> store;
  if (aValues.count("platform") > 0) {
    store = std::make_unique<operators::StoreClient>(
      platform::MakeGrpcPlatform(aValues["platform"].as<std::string>()));
  }
  if (aWords[0] == "check" && aWords.size() == 2) {
    return operators::Check(store.get(), aWords[1]);
  }
  if (aWords[0] == "status" && aWords.size() == 1) {
    auto daemons = aValues["daemon"].as<Words>();
    if (daemons.empty() && !store) {
      return BadUsage("status needs --daemon or --platform");
    }
    return operators::Status(store.get(), daemons);
  }
  if (aWords[0] == "metrics" && aWords.size() == 1) {
    auto daemons = aValues["daemon"].as<Words>();
    return daemons.empty() ? BadUsage("metrics needs --daemon")
                           : operators::ShowMetrics(daemons);
  }
  if (aWords[0] == "trace" && aWords.size() == 1) {
    return RunTrace(aValues);
  }
  if (!store) {
    return BadUsage("this command needs --platform");
  }
  return RunWithStore(aWords, aValues, *store);
}

} // namespace

int main(int argc, char** argv)
{
  auto visible = Options();
  po::options_description all;
  all.add(visible).add_options()("words", po::value<Words>());
  po::positional_options_description positional;
  positional.add("words", -1);
  po::variables_map values;
  try {
    po::store(
      po::command_line_parser(argc, argv).options(all).positional(positional).run(),
      values);
  } catch (const po::error& error) {
    return BadUsage(error.what());
  }
  if (values.count("help") > 0) {
    std::cout << visible;
    return operators::kDone;
  }
  if (values.count("version") > 0) {
    std::cout << "sesamectl 0.1.0\n";
    return operators::kDone;
  }
  if (values.count("words") == 0) {
    std::cerr << visible;
    return operators::kBadUsage;
  }
  return Run(values["words"].as<Words>(), values);
}
