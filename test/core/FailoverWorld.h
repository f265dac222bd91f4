#pragma once

#include "sesameway/Failover.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <stdexcept>
#include <string>

namespace sesameway::test {

struct ModelEntry
{
  std::uint64_t mTerm;
  std::uint64_t mId;
  bool operator==(const ModelEntry&) const = default;
};

struct ModelDatabase
{
  std::vector<ModelEntry> mLog;
  std::uint64_t mGranted = 1;
  bool mPrimary = false;
  bool mLeaving = false;
  std::optional<std::size_t> mFollows;
  // While paused, the database neither reports nor executes orders; its state is the
  // same afterwards.
  bool mPaused = false;

  LogPosition Head() const
  {
    return { mLog.empty() ? 0 : mLog.back().mTerm, mLog.size() };
  }
};

struct ModelWrite
{
  LogPosition mEntry;
  std::uint64_t mId;
};

struct ModelHome
{
  std::unique_ptr<FailoverMachine> mMachine;
  GroupView mView;
  std::vector<ModelWrite> mWaiting;
  std::uint64_t mIncarnation = 0;
  bool mDead = false;
};

// Model of databases, homes and the messages between them, driven step by step. Each
// home runs the FailoverMachine under test and acknowledges a write once IsSafe accepts
// it.
class FailoverWorld
{
public:
  FailoverWorld(std::size_t aDatabases, std::size_t aHomes, FailoverLimits aLimits = {})
    : mLimits(aLimits)
    , mDatabases(aDatabases)
    , mHomes(aHomes)
  {
    mDatabases[0].mPrimary = true;
    for (std::size_t n = 0; n < aDatabases; ++n) {
      mDatabases[n].mLog.push_back({ 1, 0 });
      if (n > 0) {
        mDatabases[n].mFollows = 0;
      }
    }
    mPromoted[1].insert(0);
    for (std::size_t n = 0; n < aHomes; ++n) {
      Restart(n);
    }
  }

  // Restarts a home, which loses all its state.
  void Restart(std::size_t aHome)
  {
    std::vector<std::string> names;
    GroupView view;
    for (std::size_t n = 0; n < mDatabases.size(); ++n) {
      names.push_back(Name(n));
      view.mDatabases.emplace_back();
    }
    auto& home = mHomes[aHome];
    home.mMachine = std::make_unique<FailoverMachine>(names, mLimits, mNow);
    home.mMachine->SetHomes(aHome, mHomes.size() - 1);
    home.mView = view;
    home.mWaiting.clear();
    ++home.mIncarnation;
  }

  static std::string Name(std::size_t aDatabase)
  {
    return "db" + std::to_string(aDatabase);
  }

  DatabaseStatus StatusOf(std::size_t aDatabase) const
  {
    const auto& it = mDatabases[aDatabase];
    auto follows = it.mFollows ? Name(*it.mFollows) : std::string();
    return {
      Name(aDatabase), it.mPrimary, it.mGranted, it.Head(), follows, it.mLeaving
    };
  }

  void Report(std::size_t aDatabase, std::size_t aHome)
  {
    if (!mDatabases[aDatabase].mPaused && !mHomes[aHome].mDead) {
      OnStatus(aHome, aDatabase, StatusOf(aDatabase));
    }
  }

  void ReportLate(std::size_t aDatabase, std::size_t aHome)
  {
    if (!mDatabases[aDatabase].mPaused) {
      Send(aHome, [this, aHome, aDatabase, status = StatusOf(aDatabase)] {
        OnStatus(aHome, aDatabase, status);
      });
    }
  }

  void OnStatus(std::size_t aHome, std::size_t aDatabase, const DatabaseStatus& aStatus)
  {
    auto& home = mHomes[aHome];
    ApplyReport(&home.mView.mDatabases[aDatabase], aStatus, mNow);
    Perform(aHome, home.mMachine->OnStatus(aDatabase, aStatus, mNow));
    Acknowledge(home);
  }

  // Sends a write through a home to the database that the home considers the primary.
  void Write(std::size_t aHome)
  {
    auto& home = mHomes[aHome];
    auto primary = home.mMachine->ServingPrimary(mNow);
    if (home.mDead || !primary) {
      return;
    }
    auto& database = mDatabases[*primary];
    if (database.mPrimary && database.mGranted == home.mMachine->Term()) {
      database.mLog.push_back({ database.mGranted, ++mLastId });
      home.mWaiting.push_back({ database.Head(), mLastId });
    }
  }

  // Sends a retry of an earlier request through a home. The primary finds the recorded
  // result, possibly of an older term, and the home must acknowledge it only when safe.
  void Lookup(std::size_t aHome, std::size_t aPlace)
  {
    auto& home = mHomes[aHome];
    auto primary = home.mMachine->ServingPrimary(mNow);
    if (home.mDead || !primary) {
      return;
    }
    const auto& database = mDatabases[*primary];
    if (database.mPrimary && database.mGranted == home.mMachine->Term()) {
      auto place = aPlace % database.mLog.size();
      home.mWaiting.push_back(
        { { database.mGranted, place + 1 }, database.mLog[place].mId });
    }
  }

  void Pull(std::size_t aDatabase, std::size_t aAtMost)
  {
    auto& database = mDatabases[aDatabase];
    if (!database.mFollows || database.mPaused) {
      return;
    }
    const auto& from = mDatabases[*database.mFollows];
    if (from.mPaused || !from.mPrimary || from.mGranted != database.mGranted) {
      return;
    }
    auto& log = database.mLog;
    std::size_t common = 0;
    while (common < log.size() && common < from.mLog.size() &&
           log[common] == from.mLog[common]) {
      ++common;
    }
    log.resize(common);
    for (std::size_t n = 0; n < aAtMost && log.size() < from.mLog.size(); ++n) {
      log.push_back(from.mLog[log.size()]);
    }
  }

  void Tick(std::size_t aHome)
  {
    if (!mHomes[aHome].mDead) {
      Perform(aHome, mHomes[aHome].mMachine->Tick(mNow));
    }
  }

  enum class Delivery
  {
    Once,
    Twice,
    Dropped,
  };
  void Deliver(std::size_t aMessage, Delivery aDelivery)
  {
    if (mMessages.empty()) {
      return;
    }
    auto at = mMessages.begin() + static_cast<long>(aMessage % mMessages.size());
    auto message = *at;
    if (aDelivery != Delivery::Twice) {
      mMessages.erase(at);
    }
    if (aDelivery != Delivery::Dropped) {
      message();
    }
  }

  // Lets time pass without new faults: databases that are not paused report and
  // replicate, all messages arrive, and homes tick.
  void Run(Duration aTime)
  {
    constexpr Duration kStep = milliseconds(20);
    for (auto end = mNow + aTime; mNow < end; mNow += kStep) {
      for (std::size_t n = 0; n < mDatabases.size(); ++n) {
        Pull(n, 100);
        for (std::size_t home = 0; home < mHomes.size(); ++home) {
          Report(n, home);
        }
      }
      for (std::size_t home = 0; home < mHomes.size(); ++home) {
        Tick(home);
      }
      for (std::size_t left = mMessages.size() * 8; left > 0 && !mMessages.empty();
           --left) {
        Deliver(0, Delivery::Once);
      }
      Check();
    }
  }

  // The database promoted in the newest term.
  std::size_t Newest() const { return *mPromoted.rbegin()->second.begin(); }
  std::uint64_t NewestTerm() const { return mPromoted.rbegin()->first; }

  // Throws if the newest primary lacks an acknowledged write, or if its log position
  // does not satisfy the write's token.
  void Check() const
  {
    const auto& newest = mDatabases[Newest()];
    if (!newest.mPrimary || newest.mGranted != NewestTerm()) {
      return;
    }
    for (const auto& it : mAcknowledged) {
      auto place = it.mEntry.mPosition;
      if (it.mEntry.mTerm > NewestTerm()) {
        continue;
      }
      bool holds = place <= newest.mLog.size() && newest.mLog[place - 1].mId == it.mId;
      if (!holds) {
        throw std::runtime_error("acknowledged write lost");
      }
      if (!newest.Head().Covers(it.mEntry)) {
        throw std::runtime_error("token can't be satisfied");
      }
    }
  }

  FailoverLimits mLimits;
  std::vector<ModelDatabase> mDatabases;
  std::vector<ModelHome> mHomes;
  std::vector<std::function<void()>> mMessages;
  std::vector<ModelWrite> mAcknowledged;
  std::map<std::uint64_t, std::set<std::size_t>> mPromoted;
  std::vector<FailoverAction> mActions;
  TimePoint mNow{ seconds(1000) };
  // Called with the home and the action before each action of a home is carried out.
  std::function<void(std::size_t, const FailoverAction&)> mOnAction;

private:
  // Queues a message to a home; it is dropped if the home has been restarted or has
  // failed by the time of delivery.
  void Send(std::size_t aHome, std::function<void()> aWork)
  {
    auto incarnation = mHomes[aHome].mIncarnation;
    mMessages.push_back([this, aHome, incarnation, work = std::move(aWork)] {
      if (mHomes[aHome].mIncarnation == incarnation && !mHomes[aHome].mDead) {
        work();
      }
    });
  }

  // Queues an order to a database; it is dropped if the database is paused on delivery.
  void Order(std::size_t aDatabase, std::function<void()> aWork)
  {
    mMessages.push_back([this, aDatabase, work = std::move(aWork)] {
      if (!mDatabases[aDatabase].mPaused) {
        work();
      }
    });
  }

  void Acknowledge(ModelHome& aHome)
  {
    std::erase_if(aHome.mWaiting, [&](const ModelWrite& aWrite) {
      if (!IsSafe(aHome.mView, aWrite.mEntry)) {
        return false;
      }
      mAcknowledged.push_back(aWrite);
      return true;
    });
  }

  void Perform(std::size_t aHome, const FailoverActions& aActions)
  {
    for (const auto& it : aActions) {
      mActions.push_back(it);
      if (mOnAction) {
        mOnAction(aHome, it);
      }
      if (!mHomes[aHome].mDead) {
        std::visit([&](const auto& aAction) { Do(aHome, aAction); }, it);
      }
    }
  }

  void Do(std::size_t aHome, const AskPeers& aAction)
  {
    for (std::size_t n = 0; n < mHomes.size(); ++n) {
      if (n == aHome) {
        continue;
      }
      Send(n, [this, n, aHome, aAction] {
        const auto& machine = *mHomes[n].mMachine;
        PeerOpinion opinion{ machine.Term(), machine.Primary(), {} };
        if (opinion.mPrimary) {
          opinion.mSilence = machine.SilenceOf(*opinion.mPrimary, mNow);
        }
        Send(aHome, [this, aHome, aAction, opinion] {
          Perform(aHome, mHomes[aHome].mMachine->OnPeer(aAction.mRound, opinion, mNow));
        });
      });
    }
  }

  void Do(std::size_t aHome, const SendFence& aAction)
  {
    Order(aAction.mDatabase, [this, aHome, aAction] {
      auto& database = mDatabases[aAction.mDatabase];
      bool isGranted = aAction.mTerm > database.mGranted;
      if (isGranted) {
        database.mGranted = aAction.mTerm;
        database.mPrimary = false;
        database.mFollows.reset();
      }
      FenceResult result{ isGranted, StatusOf(aAction.mDatabase) };
      Send(aHome, [this, aHome, aAction, result] {
        Perform(aHome,
                mHomes[aHome].mMachine->OnFence(
                  aAction.mDatabase, aAction.mTerm, result, mNow));
      });
    });
  }

  void Do(std::size_t aHome, const SendPromote& aAction)
  {
    Order(aAction.mDatabase, [this, aHome, aAction] {
      auto& database = mDatabases[aAction.mDatabase];
      if (aAction.mTerm != database.mGranted) {
        return;
      }
      if (!database.mPrimary) {
        database.mPrimary = true;
        database.mFollows.reset();
        database.mLog.push_back({ aAction.mTerm, ++mLastId });
        mPromoted[aAction.mTerm].insert(aAction.mDatabase);
        if (mPromoted[aAction.mTerm].size() > 1) {
          throw std::runtime_error("two primaries in one term");
        }
      }
      Send(aHome, [this, aHome, aAction, status = StatusOf(aAction.mDatabase)] {
        Perform(aHome,
                mHomes[aHome].mMachine->OnPromote(
                  aAction.mDatabase, aAction.mTerm, status, mNow));
      });
    });
  }

  void Do(std::size_t, const SendFollow& aAction)
  {
    Order(aAction.mDatabase, [this, aAction] {
      auto& database = mDatabases[aAction.mDatabase];
      bool isOld = aAction.mTerm < database.mGranted;
      if (isOld || (database.mPrimary && aAction.mTerm == database.mGranted)) {
        return;
      }
      database.mGranted = aAction.mTerm;
      database.mPrimary = false;
      database.mFollows = aAction.mPrimary;
    });
  }

  void Do(std::size_t aHome, const AnnouncePrimary& aAction)
  {
    for (std::size_t n = 0; n < mHomes.size(); ++n) {
      if (n != aHome) {
        Send(n, [this, n, aAction] {
          Perform(
            n, mHomes[n].mMachine->OnAnnounce(aAction.mTerm, aAction.mDatabase, mNow));
        });
      }
    }
  }

  void Do(std::size_t, const StepReached&) {}

  std::uint64_t mLastId = 0;
};

} // namespace sesameway::test
