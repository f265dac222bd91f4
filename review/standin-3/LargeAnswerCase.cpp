// Case: reads whose answers are larger than 8 MiB, while the settings file changes.
// Arguments: folder, record. Exits with 1 if LOST is broken, 0 if it holds, 2 if the
// case could not run.

#include "Fixture.h"

#include "HttpClient.h"

#include <glog/logging.h>

#include <csignal>
#include <cstdlib>
#include <iostream>

using namespace sesameway;
using namespace sesameway::review;

namespace {

constexpr Duration kPause = milliseconds(400);

// A client that reads one item after the other, each in a session of its own.
struct Reader
{
  struct Result
  {
    TimePoint mSentAt;
    bool mIsAnswered = false;
    bool mIsCut = false;
    std::size_t mBytes = 0;
  };

  Reader(Loop& aLoop, Record& aRecord, std::string aName, std::string aItem)
    : mLoop(aLoop)
    , mRecord(aRecord)
    , mName(std::move(aName))
    , mItem(std::move(aItem))
    , mTimer(aLoop)
  {
  }

  void Start(const std::string& aAddress)
  {
    auto socket = std::make_shared<tcp::socket>(mLoop.Io());
    socket->async_connect(
      platform::ToEndpoint(aAddress), [this, socket, aAddress](auto aError) {
        if (aError) {
          Again(aAddress);
          return;
        }
        mLines = std::make_shared<LineConnection>(std::move(*socket));
        mResults.emplace_back();
        mLines->mOnLine = [this, aAddress](const std::string& aLine) {
          OnLine(aLine, aAddress);
        };
        mLines->mOnClosed = [this, aAddress] {
          auto& result = mResults.back();
          result.mIsCut = result.mSentAt != TimePoint{} && !result.mIsAnswered;
          if (result.mIsCut) {
            mRecord.Line(mName + " sees its connection end without an answer, after " +
                         std::to_string(result.mBytes) + " bytes");
          }
          Again(aAddress);
        };
        mLines->Start();
        mLines->Write("CONNECT db key-1\r\n");
      });
  }

  std::vector<Result> mResults;

private:
  void Again(const std::string& aAddress)
  {
    mTimer.Set(Clock::now() + kPause, [this, aAddress] { Start(aAddress); });
  }

  void OnLine(const std::string& aLine, const std::string& aAddress)
  {
    auto& result = mResults.back();
    result.mBytes += aLine.size() + 2;
    if (result.mSentAt == TimePoint{}) {
      if (!aLine.starts_with("READY")) {
        mLines->mOnClosed = [] {};
        mLines->Close();
        Again(aAddress);
        return;
      }
      auto id = mName + '-' + std::to_string(mResults.size());
      mRecord.Line(mName + " sends " + id + " READ " + mItem);
      result.mSentAt = Clock::now();
      result.mBytes = 0;
      mLines->Write("QUERY " + id + " READ " + mItem + "\r\n");
    } else if (aLine.starts_with("READY")) {
      result.mIsAnswered = true;
      mRecord.Line(mName + " has its answer, " + std::to_string(result.mBytes) +
                   " bytes");
      mLines->mOnClosed = [] {};
      mLines->Write("QUIT\r\n");
      mLines->Close();
      Again(aAddress);
    } else if (!aLine.starts_with("ROW")) {
      mRecord.Line(mName + " gets " + aLine);
    }
  }

  Loop& mLoop;
  Record& mRecord;
  std::string mName;
  std::string mItem;
  Timer mTimer;
  LineConnectionPtr mLines;
};

} // namespace

int main(int argc, char** argv)
{
  if (argc < 3) {
    return 2;
  }
  bool hasTrouble =
    std::getenv("TROUBLE") == nullptr || std::string(std::getenv("TROUBLE")) != "0";
  std::signal(SIGPIPE, SIG_IGN);
  google::InitGoogleLogging(argv[0]);
  FLAGS_minloglevel = 2;

  const auto kHangupAt = seconds(12);
  const auto kApply = seconds(4);
  const auto kEnd = seconds(20);

  Record record(argv[2]);
  Loop loop;
  Databases::Options options;
  // Nine rows of 1,000,000 bytes, each a message of less than 1 MiB.
  options.mLargeRow = 1'000'000;
  options.mLargeRows = 9;
  Deployment deployment(loop, record, options);
  nlohmann::json tenants = nlohmann::json::array({ { { "name", "acme" },
                                                     { "apiKeys", { "key-1" } },
                                                     { "perS", 200 },
                                                     { "burst", 200 } } });
  nlohmann::json routes =
    nlohmann::json::array({ MakeRoute("db", "primary", 0, 2000) });
  if (!deployment.Start({ "z0", "z1", "z2" }, argv[1], 260, tenants, routes)) {
    return 2;
  }
  Reader large(loop, record, "large", "large");
  Reader small(loop, record, "small", "1a4");
  Timer start(loop);
  auto began = Clock::now();
  start.Set(began + seconds(6), [&] {
    large.Start(deployment.mDaemons[0]->CallerAddress());
    small.Start(deployment.mDaemons[0]->CallerAddress());
  });
  Timer hangup(loop);
  hangup.Set(began + kHangupAt, [&] {
    if (hasTrouble) {
      record.Line("SIGHUP to the daemon that takes the requests");
      deployment.mDaemons[0]->Signal(SIGHUP);
    }
  });
  Timer end(loop);
  end.Set(began + kEnd, [&] { loop.Stop(); });
  loop.Run();

  std::size_t watched = 0;
  std::size_t lost = 0;
  for (const auto& it : large.mResults) {
    bool isNearHangup = hasTrouble && it.mSentAt >= began + kHangupAt &&
                        it.mSentAt <= began + kHangupAt + kApply;
    watched += isNearHangup ? 1 : 0;
    lost += isNearHangup && it.mIsCut ? 1 : 0;
  }
  std::size_t cut = 0;
  std::size_t answered = 0;
  for (const auto& it : large.mResults) {
    cut += it.mIsCut ? 1 : 0;
    answered += it.mIsAnswered ? 1 : 0;
  }
  std::size_t control = 0;
  for (const auto& it : small.mResults) {
    control += it.mIsAnswered ? 1 : 0;
  }
  auto text = "large reads answered " + std::to_string(answered) + ", cut " +
              std::to_string(cut) + "; within applyMs of SIGHUP " +
              std::to_string(watched) + ", of these lost " + std::to_string(lost) +
              "; small reads answered " + std::to_string(control);
  std::cout << text << std::endl;
  record.Line(text);
  deployment.mDaemons.clear();
  if (control == 0 || (hasTrouble && watched == 0)) {
    return 2;
  }
  return lost > 0 ? 1 : 0;
}
