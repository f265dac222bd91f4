// Case: sessions that have read a large answer once and stay open. The platform ends a
// process whose resident memory exceeds its limit and starts it again.
// Arguments: folder, record. Exits with 1 if the rule on faults is broken, 0 if it
// holds, 2 if the case could not run.

#include "Fixture.h"

#include "HttpClient.h"

#include <glog/logging.h>

#include <csignal>
#include <cstdlib>
#include <iostream>

using namespace sesameway;
using namespace sesameway::review;

namespace {

// A client whose session stays open. It reads one item, waits, and reads again; after
// the end of the session it connects anew.
class IdleClient
{
public:
  IdleClient(Loop& aLoop,
             Record& aRecord,
             std::string aName,
             std::string aItem,
             std::function<std::string()> aChoose,
             Duration aPause)
    : mLoop(aLoop)
    , mRecord(aRecord)
    , mName(std::move(aName))
    , mItem(std::move(aItem))
    , mChoose(std::move(aChoose))
    , mPause(aPause)
    , mTimer(aLoop)
  {
  }

  void StartAt(TimePoint aWhen)
  {
    mTimer.Set(aWhen, [this] { Connect(); });
  }
  std::size_t mAnswers = 0;

private:
  void Connect()
  {
    auto socket = std::make_shared<tcp::socket>(mLoop.Io());
    socket->async_connect(platform::ToEndpoint(mChoose()), [this, socket](auto aError) {
      if (aError) {
        StartAt(Clock::now() + seconds(1));
        return;
      }
      mLines = std::make_shared<LineConnection>(std::move(*socket));
      mIsAccepted = false;
      mLines->mOnLine = [this](const std::string& aLine) { OnLine(aLine); };
      mLines->mOnClosed = [this] {
        mRecord.Line(mName + " sees its session end");
        bool triesAgain = ++mTries <= 2;
        mTries = triesAgain ? mTries : 0;
        StartAt(Clock::now() + (triesAgain ? milliseconds(500) : mPause));
      };
      mLines->Start();
      mLines->Write("CONNECT db key-1\r\n");
    });
  }

  void Send()
  {
    auto id = mName + '-' + std::to_string(++mIds);
    mRecord.Line(mName + " sends " + id + " READ " + mItem);
    mLines->Write("QUERY " + id + " READ " + mItem + "\r\n");
  }

  void OnLine(const std::string& aLine)
  {
    if (aLine.starts_with("ROW")) {
      return;
    }
    bool isReady = aLine.starts_with("READY");
    if (!isReady) {
      mRecord.Line(mName + " gets " + aLine);
      mAnswers += aLine.starts_with("COMPLETE") ? 1 : 0;
      mTries = aLine.starts_with("COMPLETE") ? 0 : mTries;
    } else if (!std::exchange(mIsAccepted, true)) {
      Send();
    } else {
      mTimer.Set(Clock::now() + mPause, [this] {
        if (mLines->IsOpen()) {
          Send();
        }
      });
    }
  }

  Loop& mLoop;
  Record& mRecord;
  std::string mName;
  std::string mItem;
  std::function<std::string()> mChoose;
  int mTries = 0;
  Duration mPause;
  Timer mTimer;
  LineConnectionPtr mLines;
  bool mIsAccepted = false;
  std::uint64_t mIds = 0;
};

} // namespace

int main(int argc, char** argv)
{
  if (argc < 4) {
    return 2;
  }
  bool isOne = std::string(argv[3]) == "one";
  bool hasTrouble =
    std::getenv("TROUBLE") == nullptr || std::string(std::getenv("TROUBLE")) != "0";
  std::signal(SIGPIPE, SIG_IGN);
  google::InitGoogleLogging(argv[0]);
  FLAGS_minloglevel = 2;

  // As on the sheet: 292 sessions at nine daemons of 260 MB each.
  constexpr int kRamMb = 260;
  constexpr std::size_t kSessions = 292;
  const auto kStart = seconds(6);
  const Duration kPause = isOne ? milliseconds(1500) : seconds(20);
  const Duration kEnd = isOne ? seconds(100) : seconds(75);

  Record record(argv[2]);
  Loop loop;
  Databases::Options options;
  // Rows of 1,000,000 bytes, each a message of less than 1 MiB.
  options.mLargeRow = 1'000'000;
  options.mLargeRows = isOne ? 150 : 7;
  Deployment deployment(loop, record, options);
  nlohmann::json tenants = nlohmann::json::array({ { { "name", "acme" },
                                                     { "apiKeys", { "key-1" } },
                                                     { "perS", 200 },
                                                     { "burst", 200 } } });
  nlohmann::json routes =
    nlohmann::json::array({ MakeRoute("db", "bounded", 1500, 2000) });
  std::vector<std::string> zones{
    "z0", "z0", "z0", "z0", "z1", "z1", "z1", "z2", "z2"
  };
  if (!deployment.Start(zones, argv[1], kRamMb, tenants, routes)) {
    return 2;
  }
  auto& daemons = deployment.mDaemons;
  std::vector<std::unique_ptr<IdleClient>> clients;
  auto began = Clock::now();
  std::size_t turn = 0;
  for (std::size_t n = 0; n < kSessions; ++n) {
    bool isLarge = hasTrouble && (!isOne || n == 0);
    auto choose = [&daemons, &turn, n, isOne] {
      auto index = isOne && n == 0 ? turn++ : n;
      return daemons[index % daemons.size()]->CallerAddress();
    };
    clients.push_back(std::make_unique<IdleClient>(loop,
                                                   record,
                                                   "c" + std::to_string(n),
                                                   isLarge ? "large" : "1a4",
                                                   choose,
                                                   kPause));
    clients.back()->StartAt(began + kStart + n * milliseconds(isOne ? 5 : 60));
  }
  std::vector<int> ends(daemons.size());
  std::vector<double> most(daemons.size());
  std::vector<TimePoint> startAt(daemons.size(), TimePoint::max());
  Timer watch(loop);
  std::function<void()> look = [&] {
    auto now = Clock::now();
    for (std::size_t n = 0; n < daemons.size(); ++n) {
      if (now >= startAt[n]) {
        daemons[n]->Start();
        startAt[n] = TimePoint::max();
      }
      auto mb = daemons[n]->Pid() != 0 ? daemons[n]->ResidentMb() : 0;
      most[n] = std::max(most[n], mb);
      if (mb > kRamMb) {
        record.Line("front-" + std::to_string(n) + " has " + std::to_string(mb) +
                    " MB and is ended by the platform");
        daemons[n]->Kill();
        ++ends[n];
        startAt[n] = now + seconds(1);
      }
    }
    watch.Set(now + milliseconds(50), look);
  };
  look();
  Timer end(loop);
  end.Set(began + kEnd, [&] { loop.Stop(); });
  loop.Run();

  std::size_t answers = 0;
  for (const auto& it : clients) {
    answers += it->mAnswers;
  }
  int over = 0;
  for (std::size_t n = 0; n < daemons.size(); ++n) {
    over += ends[n] >= 3 ? 1 : 0;
    auto text = "front-" + std::to_string(n) + " ended " + std::to_string(ends[n]) +
                " times, at most " + std::to_string(most[n]) + " MB";
    std::cout << text << '\n';
    record.Line(text);
  }
  std::cout << "answers " << answers << ", daemons that ended three times " << over
            << std::endl;
  daemons.clear();
  if (answers == 0) {
    return 2;
  }
  return over >= 2 ? 1 : 0;
}
