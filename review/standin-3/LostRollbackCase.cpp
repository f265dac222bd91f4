// Case: databases lose a share of their answers, also to ROLLBACK, on connections that
// stay open. Arguments: folder, record.
// Exits with 1 if RECOVER is broken, 0 if it holds, 2 if it could not run.

#include "Client.h"

#include <glog/logging.h>

#include <csignal>
#include <cstdlib>
#include <iostream>

using namespace sesameway;
using namespace sesameway::review;

int main(int argc, char** argv)
{
  if (argc < 3) {
    return 2;
  }
  std::string folder = argv[1];
  bool hasTrouble =
    std::getenv("TROUBLE") == nullptr || std::string(std::getenv("TROUBLE")) != "0";
  std::signal(SIGPIPE, SIG_IGN);
  google::InitGoogleLogging(argv[0]);
  FLAGS_minloglevel = 2;

  // As on the sheet of the small deployment: nine daemons in three zones, a service of
  // three databases, 22 connections and 3 slots each.
  constexpr int kClients = 292;
  constexpr double kShare = 0.0379;
  constexpr int kSpans = 3;
  const auto kFaultAt = seconds(12);
  const auto kBackAt = kFaultAt + seconds(1);
  const auto kLossAt = kBackAt + seconds(3);
  const auto kLossTime = milliseconds(6200);
  const auto kLossInterval = kLossTime + seconds(1);
  const auto kJudgedFrom = kLossAt + kSpans * kLossInterval;
  const auto kEnd = kJudgedFrom + seconds(25);

  Record record(argv[2]);
  Loop loop;
  Databases::Options options;
  Deployment deployment(loop, record, options);
  nlohmann::json tenants = nlohmann::json::array({ { { "name", "acme" },
                                                     { "apiKeys", { "key-1" } },
                                                     { "perS", 2000 },
                                                     { "burst", 2000 } } });
  nlohmann::json routes =
    nlohmann::json::array({ MakeRoute("db", "primary", 0, 1000) });
  std::vector<std::string> zones{
    "z0", "z0", "z0", "z0", "z1", "z1", "z1", "z2", "z2"
  };
  if (!deployment.Start(zones, folder, 260, tenants, routes)) {
    return 2;
  }

  std::mt19937_64 random(11);
  std::vector<Client::Result> results;
  std::vector<std::shared_ptr<Client>> clients;
  auto choose = [&] {
    return deployment.mDaemons[random() % deployment.mDaemons.size()]->CallerAddress();
  };
  // Half of the transactions roll back, a tenth of the clients leave in the middle.
  auto make = [&]() -> Client::Operation {
    auto item = std::to_string(random() % 2000);
    auto kind = random() % 10;
    std::vector<Client::Step> steps{ { "BEGIN" }, { "READ " + item } };
    if (kind < 5) {
      steps.push_back({ "ROLLBACK" });
    } else if (kind < 6) {
      steps.push_back({ "LEAVE" });
    } else {
      steps.push_back({ "WRITE " + item + " data" });
      steps.push_back({ "COMMIT" });
    }
    return { steps };
  };
  Timer start(loop);
  auto began = Clock::now();
  start.Set(began + seconds(4), [&] {
    for (int n = 0; n < kClients; ++n) {
      clients.push_back(std::make_shared<Client>(loop,
                                                 record,
                                                 "c" + std::to_string(n),
                                                 "db",
                                                 "key-1",
                                                 milliseconds(750),
                                                 choose,
                                                 make,
                                                 results));
      clients.back()->Start();
    }
  });
  Timer fault(loop);
  fault.Set(began + kFaultAt, [&] {
    record.Line("all processes of the proxy are killed");
    for (const auto& it : deployment.mDaemons) {
      it->Kill();
    }
  });
  Timer back(loop);
  back.Set(began + kBackAt, [&] {
    record.Line("all processes of the proxy start again");
    for (const auto& it : deployment.mDaemons) {
      it->Start();
    }
  });
  std::deque<Timer> spans;
  for (int n = 0; n < kSpans && hasTrouble; ++n) {
    auto at = began + kLossAt + n * kLossInterval;
    spans.emplace_back(loop).Set(at, [&] {
      record.Line("the primary loses a share of its answers");
      deployment.mDatabases.LoseAnswers({ 0 }, kShare);
    });
    spans.emplace_back(loop).Set(at + kLossTime, [&] {
      record.Line("no more answers are lost");
      deployment.mDatabases.LoseAnswers({}, 0);
    });
  }
  Timer end(loop);
  end.Set(began + kEnd, [&] { loop.Stop(); });
  loop.Run();

  auto share = [&](TimePoint aFrom, TimePoint aTo) {
    std::size_t asked = 0;
    std::size_t served = 0;
    for (const auto& it : results) {
      if (it.mStartedAt >= aFrom && it.mStartedAt < aTo) {
        ++asked;
        served += it.mIsServed ? 1 : 0;
      }
    }
    std::cout << "asked " << asked << " served " << served << '\n';
    record.Line("asked " + std::to_string(asked) + " served " + std::to_string(served));
    return asked == 0 ? -1.0 : double(served) / double(asked);
  };
  auto before = share(began + seconds(5), began + kFaultAt - milliseconds(500));
  auto after = share(began + kJudgedFrom, began + kEnd - seconds(5));
  std::cout << "lost answers " << deployment.mDatabases.LostAnswers()
            << ", to ROLLBACK " << deployment.mDatabases.LostRollbacks()
            << ", served before " << before << ", after " << after << std::endl;
  deployment.mDaemons.clear();
  if (before < 0.25 || after < 0) {
    return 2;
  }
  return after < 0.25 ? 1 : 0;
}
