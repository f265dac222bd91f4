#pragma once

#include "Fixture.h"

#include "HttpClient.h"

namespace sesameway::review {

// A client of the platform: a session that runs one operation after the other. An
// operation that is answered with a promise, or whose session ends before its commit
// was sent, is tried again with new ids at another daemon, twice at most.
class Client : public std::enable_shared_from_this<Client>
{
public:
  struct Step
  {
    // The text after the id; "LEAVE" closes the session without a word.
    std::string mText;
  };
  struct Operation
  {
    std::vector<Step> mSteps;
  };
  struct Result
  {
    TimePoint mStartedAt;
    bool mIsServed = false;
  };
  using ChooseDaemon = std::function<std::string()>;
  using MakeOperation = std::function<Operation()>;

  Client(Loop& aLoop,
         Record& aRecord,
         std::string aName,
         std::string aRoute,
         std::string aKey,
         Duration aPause,
         ChooseDaemon aChoose,
         MakeOperation aMake,
         std::vector<Result>& aResults)
    : mLoop(aLoop)
    , mRecord(aRecord)
    , mName(std::move(aName))
    , mRoute(std::move(aRoute))
    , mKey(std::move(aKey))
    , mPause(aPause)
    , mChoose(std::move(aChoose))
    , mMake(std::move(aMake))
    , mResults(aResults)
    , mTimer(aLoop)
    , mWatch(aLoop)
  {
  }

  void Start() { Wait(mPause); }
  void Stop() { mIsStopped = true; }

private:
  void Wait(Duration aPause)
  {
    mTimer.Set(Clock::now() + aPause, [this] {
      if (mIsStopped) {
        return;
      }
      mOperation = mMake();
      mStartedAt = Clock::now();
      mTries = 0;
      Try();
    });
  }

  void Try()
  {
    ++mTries;
    mStep = 0;
    if (mLines && mLines->IsOpen()) {
      SendStep();
      return;
    }
    auto address = mChoose();
    auto socket = std::make_shared<tcp::socket>(mLoop.Io());
    auto number = ++mSession;
    // A session whose CONNECT is not answered within 2 s is closed.
    mWatch.Set(Clock::now() + seconds(2), [this, number] { OnEnd(number); });
    socket->async_connect(
      platform::ToEndpoint(address), [this, socket, number, address](auto aError) {
        if (number != mSession) {
          return;
        }
        if (aError) {
          OnEnd(number);
          return;
        }
        mLines = std::make_shared<LineConnection>(std::move(*socket));
        mLines->mOnLine = [this, number](const std::string& aLine) {
          if (number == mSession) {
            OnLine(aLine);
          }
        };
        mLines->mOnClosed = [this, number] { OnEnd(number); };
        mLines->Start();
        mIsAccepted = false;
        mLines->Write("CONNECT " + mRoute + ' ' + mKey + "\r\n");
      });
  }

  void SendStep()
  {
    const auto& text = mOperation.mSteps[mStep].mText;
    if (text == "LEAVE") {
      mRecord.Line(mName + " leaves");
      CloseSession();
      Finish(true);
      return;
    }
    auto id = mName + '-' + std::to_string(++mIds);
    mRecord.Line(mName + " sends " + id + ' ' + text);
    mHasFailed = false;
    // The client gives the operation up when its time budget of 10 s is over.
    auto number = mSession;
    mWatch.Set(mStartedAt + seconds(10), [this, number] { OnEnd(number); });
    mLines->Write("QUERY " + id + ' ' + text + "\r\n");
  }

  void OnLine(const std::string& aLine)
  {
    if (!mIsAccepted) {
      mIsAccepted = aLine.starts_with("READY");
      mIsAccepted ? SendStep() : OnEnd(mSession);
      return;
    }
    if (aLine.starts_with("ERROR")) {
      mRecord.Line(mName + " gets " + aLine);
      mHasFailed = true;
    } else if (aLine.starts_with("COMPLETE")) {
      mRecord.Line(mName + " gets " + aLine);
    }
    if (!aLine.starts_with("READY")) {
      return;
    }
    if (mHasFailed) {
      // The session ends outside the state I, or the try failed: the client closes it.
      OnEnd(mSession);
    } else if (++mStep < mOperation.mSteps.size()) {
      SendStep();
    } else {
      Finish(true);
    }
  }

  void CloseSession()
  {
    ++mSession;
    if (mLines) {
      mLines->mOnClosed = [] {};
      mLines->Close();
      mLines.reset();
    }
  }

  void OnEnd(std::uint64_t aSession)
  {
    if (aSession != mSession) {
      return;
    }
    CloseSession();
    if (mTries <= 2 && Clock::now() < mStartedAt + seconds(9)) {
      auto number = mSession;
      mTimer.Set(Clock::now() + milliseconds(50), [this, number] {
        if (number == mSession) {
          Try();
        }
      });
      return;
    }
    Finish(false);
  }

  void Finish(bool aIsServed)
  {
    mWatch.Cancel();
    mResults.push_back({ mStartedAt, aIsServed });
    Wait(mPause);
  }

  Loop& mLoop;
  Record& mRecord;
  std::string mName;
  std::string mRoute;
  std::string mKey;
  Duration mPause;
  ChooseDaemon mChoose;
  MakeOperation mMake;
  std::vector<Result>& mResults;
  Timer mTimer;
  Timer mWatch;
  LineConnectionPtr mLines;
  Operation mOperation;
  TimePoint mStartedAt{};
  std::size_t mStep = 0;
  int mTries = 0;
  std::uint64_t mSession = 0;
  std::uint64_t mIds = 0;
  bool mIsAccepted = false;
  bool mHasFailed = false;
  bool mIsStopped = false;
};

} // namespace sesameway::review
