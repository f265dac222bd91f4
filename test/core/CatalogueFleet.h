#pragma once

#include "sesameway/CatalogueDistribution.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace sesameway::test {

// The store as daemons see it, with a history of when each change was accepted.
struct FakeStore
{
  struct Accepted
  {
    StoredObject mObject;
    TimePoint mAt;
  };
  std::map<std::string, StoredObject> mObjects;
  std::vector<Accepted> mHistory;
  std::uint64_t mRevision = 0;
  bool mIsDown = false;

  bool Put(const std::string& aName,
           const std::string& aBody,
           std::uint64_t aExpected,
           TimePoint aNow)
  {
    auto& object = mObjects[aName];
    if (object.mVersion != aExpected) {
      return false;
    }
    object = { aName, aExpected + 1, ++mRevision, aBody, false };
    mHistory.push_back({ object, aNow });
    return true;
  }
};

// Simulates the catalogue distribution of several daemons over a fake store and network
// in simulated time. The daemons' clocks run at the same speed but differ by an offset.
class CatalogueFleet
{
public:
  struct Daemon
  {
    PeerDaemon mSelf;
    std::uint64_t mIncarnation = 0;
    Duration mClockOffset{};
    std::unique_ptr<CatalogueTable> mTable;
    std::unique_ptr<CatalogueDistribution> mDistribution;
    TimePoint mPausedUntil{};
    bool mIsCutFromStore = false;
    bool mIsCutFromPeers = false;
    // Number of the daemon's current watch of the store; 0 if there is none.
    std::uint64_t mWatch = 0;
    std::uint64_t mWatchAfter = 0;
    TimePoint mLastDelivery{};
    std::map<std::string, std::uint64_t> mInForce;
  };

  CatalogueFleet(std::size_t aDaemons, std::size_t aZones, std::uint64_t aSeed)
    : mRandom(aSeed)
  {
    for (std::size_t n = 0; n < aDaemons; ++n) {
      auto name = "vm" + std::to_string(n);
      mDaemons.push_back({});
      mDaemons[n].mSelf = { name, "z" + std::to_string(n % aZones), name, false };
      Restart(n);
    }
  }

  void Restart(std::size_t aNumber)
  {
    auto& it = mDaemons[aNumber];
    ++it.mIncarnation;
    it.mClockOffset = seconds(1000 + mRandom() % 1000);
    it.mTable = std::make_unique<CatalogueTable>();
    it.mDistribution = std::make_unique<CatalogueDistribution>(
      it.mSelf,
      it.mIncarnation,
      std::vector<std::string>{ "vm0", "vm1", "vm2" },
      mRandom());
    it.mPausedUntil = {};
    it.mWatch = 0;
    it.mInForce.clear();
  }

  void Run(Duration aFor)
  {
    auto end = mNow + aFor;
    while (mNow < end) {
      mNow += kStep;
      RunDue();
      for (std::size_t n = 0; n < mDaemons.size(); ++n) {
        if (mDaemons[n].mPausedUntil <= mNow) {
          Act(n);
        }
      }
      if (mOnStep) {
        mOnStep();
      }
    }
  }

  // Applies an operator's change; returns false if the store is down.
  bool Change(const std::string& aName, const std::string& aBody)
  {
    if (mStore.mIsDown) {
      return false;
    }
    mStore.Put(aName, aBody, mStore.mObjects[aName].mVersion, mNow);
    PushToWatches();
    return true;
  }

  void SetDown(bool aIsDown)
  {
    mStore.mIsDown = aIsDown;
    for (std::size_t n = 0; aIsDown && n < mDaemons.size(); ++n) {
      EndWatch(n, StoreFailure::Down);
    }
  }

  void CutFromStore(std::size_t aNumber, bool aIsCut)
  {
    mDaemons[aNumber].mIsCutFromStore = aIsCut;
    if (aIsCut) {
      EndWatch(aNumber, StoreFailure::Silent);
    }
  }

  TimePoint ClockOf(std::size_t aNumber) const
  {
    return mNow + mDaemons[aNumber].mClockOffset;
  }

  std::vector<Daemon> mDaemons;
  FakeStore mStore;
  TimePoint mNow{ seconds(1) };
  std::map<std::string, int> mCalls;
  // Percentage of messages that are lost.
  unsigned mLossPercent = 0;
  std::function<void()> mOnStep;

private:
  static constexpr Duration kStep = milliseconds(50);
  static constexpr Duration kStoreTimeout = seconds(1);
  static constexpr Duration kPullTimeout = milliseconds(700);

  static constexpr std::uint64_t kBrokenWatch = ~std::uint64_t{ 0 };

  using Event = std::function<void()>;
  // Runs an event at a daemon at `aWhen`, or when its pause ends. The event is dropped
  // if the daemon has been restarted by then.
  void At(TimePoint aWhen, std::size_t aNumber, Event aEvent)
  {
    mEvents.emplace(
      aWhen, [this, aNumber, aEvent, incarnation = mDaemons[aNumber].mIncarnation] {
        const auto& it = mDaemons[aNumber];
        if (it.mIncarnation != incarnation) {
          return;
        }
        if (it.mPausedUntil > mNow) {
          At(it.mPausedUntil, aNumber, aEvent);
          return;
        }
        aEvent();
      });
  }

  void RunDue()
  {
    while (!mEvents.empty() && mEvents.begin()->first <= mNow) {
      auto event = mEvents.begin()->second;
      mEvents.erase(mEvents.begin());
      event();
    }
  }

  Duration Delay() { return milliseconds(mRandom() % 200); }
  bool IsLost() { return mRandom() % 100 < mLossPercent; }

  void Act(std::size_t aNumber)
  {
    auto now = ClockOf(aNumber);
    for (const auto& it : mDaemons[aNumber].mDistribution->Tick(now)) {
      std::visit([&](const auto& aAction) { Do(aNumber, aAction); }, it);
    }
  }

  // Runs `aEffect` at the store. Its argument is the time at which the call was sent,
  // by the daemon's clock. The function that it returns handles the answer at the
  // daemon.
  void CallStore(std::size_t aNumber,
                 const std::string& aKind,
                 std::function<std::function<void()>(TimePoint)> aEffect)
  {
    ++mCalls[aKind];
    auto sent = ClockOf(aNumber);
    auto fail = [this, aNumber, sent](StoreFailure aFailure) {
      mDaemons[aNumber].mDistribution->OnStoreFailed(sent, ClockOf(aNumber), aFailure);
    };
    bool isSilent = mDaemons[aNumber].mIsCutFromStore || IsLost();
    if (isSilent) {
      At(mNow + kStoreTimeout, aNumber, [fail] { fail(StoreFailure::Silent); });
      return;
    }
    auto incarnation = mDaemons[aNumber].mIncarnation;
    mEvents.emplace(mNow + Delay(), [this, aNumber, aEffect, sent, fail, incarnation] {
      // A request may take effect after the daemon that sent it has ended.
      bool isDown = mStore.mIsDown;
      Event answer = isDown ? [fail] { fail(StoreFailure::Down); } : aEffect(sent);
      if (mDaemons[aNumber].mIncarnation != incarnation) {
        return;
      }
      if (IsLost() || mDaemons[aNumber].mIsCutFromStore) {
        At(mNow + kStoreTimeout, aNumber, [fail] { fail(StoreFailure::Silent); });
        return;
      }
      At(mNow + Delay(), aNumber, answer);
    });
  }

  void Do(std::size_t aNumber, const ListStore&)
  {
    CallStore(aNumber, "list", [this, aNumber](TimePoint aSentAt) -> Event {
      auto objects = mStore.mObjects;
      auto revision = mStore.mRevision;
      return [this, aNumber, objects, revision, aSentAt] {
        auto& it = mDaemons[aNumber];
        std::vector<StoredObject> entries;
        for (const auto& object : objects) {
          if (object.first.starts_with(kReaderPrefix)) {
            it.mDistribution->OnLease(ClockOf(aNumber), object.second, false);
          } else {
            entries.push_back(object.second);
          }
        }
        it.mTable->ApplyListing(entries, revision);
        it.mDistribution->OnListed(aSentAt);
      };
    });
  }

  void Do(std::size_t aNumber, const GetLease& aAction)
  {
    auto name = aAction.mName;
    CallStore(aNumber, "get", [this, aNumber, name](TimePoint) -> Event {
      auto object = mStore.mObjects[name];
      object.mName = name;
      return [this, aNumber, object] {
        mDaemons[aNumber].mDistribution->OnLeaseRead(ClockOf(aNumber), object);
      };
    });
  }

  void Do(std::size_t aNumber, const PutLease& aAction)
  {
    CallStore(aNumber, "put", [this, aNumber, aAction](TimePoint aSentAt) -> Event {
      bool isApplied =
        mStore.Put(aAction.mName, aAction.mBody, aAction.mExpectedVersion, mNow);
      PushToWatches();
      auto object = mStore.mObjects[aAction.mName];
      return [this, aNumber, aSentAt, isApplied, object] {
        mDaemons[aNumber].mDistribution->OnPut(
          aSentAt, ClockOf(aNumber), isApplied, object);
      };
    });
  }

  void Do(std::size_t aNumber, const ListVms&)
  {
    CallStore(aNumber, "vms", [this, aNumber](TimePoint) -> Event {
      std::vector<PeerDaemon> members;
      for (const auto& it : mDaemons) {
        members.push_back(it.mSelf);
      }
      return [this, aNumber, members] {
        mDaemons[aNumber].mDistribution->OnMembers(members);
      };
    });
  }

  void Do(std::size_t aNumber, const WatchStore&)
  {
    ++mCalls["watch"];
    auto& it = mDaemons[aNumber];
    it.mWatch = ++mWatches;
    it.mWatchAfter = it.mTable->Revision();
    it.mLastDelivery = mNow;
    if (mStore.mIsDown || it.mIsCutFromStore) {
      EndWatch(aNumber, mStore.mIsDown ? StoreFailure::Down : StoreFailure::Silent);
      return;
    }
    PushToWatches();
  }

  void Do(std::size_t aNumber, const CancelWatch&) { mDaemons[aNumber].mWatch = 0; }

  void EndWatch(std::size_t aNumber, StoreFailure aFailure)
  {
    auto& it = mDaemons[aNumber];
    bool isBroken = it.mWatchAfter == kBrokenWatch;
    if (it.mWatch == 0 || isBroken) {
      return;
    }
    auto watch = it.mWatch;
    // A broken stream delivers no more changes, and the daemon detects the break late.
    if (aFailure == StoreFailure::Silent) {
      it.mWatch = ++mWatches;
      it.mWatchAfter = kBrokenWatch;
      watch = it.mWatch;
    }
    auto at = std::max(it.mLastDelivery, mNow + Delay());
    At(at, aNumber, [this, aNumber, watch, aFailure] {
      auto& to = mDaemons[aNumber];
      if (to.mWatch == watch) {
        to.mWatch = 0;
        to.mDistribution->OnWatchEnded(aFailure);
      }
    });
  }

  void PushToWatches()
  {
    for (std::size_t n = 0; n < mDaemons.size(); ++n) {
      Push(n);
    }
  }

  void Push(std::size_t aNumber)
  {
    auto& it = mDaemons[aNumber];
    if (it.mWatch == 0 || mStore.mIsDown) {
      return;
    }
    std::map<std::uint64_t, StoredObject> changes;
    for (const auto& object : mStore.mObjects) {
      if (object.second.mRevision > it.mWatchAfter) {
        changes[object.second.mRevision] = object.second;
      }
    }
    for (const auto& change : changes) {
      it.mWatchAfter = change.first;
      it.mLastDelivery = std::max(it.mLastDelivery + microseconds(1), mNow + Delay());
      At(it.mLastDelivery,
         aNumber,
         [this, aNumber, object = change.second, watch = it.mWatch] {
           auto& to = mDaemons[aNumber];
           if (to.mWatch != watch) {
             return;
           }
           if (object.mName.starts_with(kReaderPrefix)) {
             to.mDistribution->OnLease(ClockOf(aNumber), object, true);
           } else {
             to.mTable->Apply(object);
           }
         });
    }
  }

  void Do(std::size_t aNumber, const PullFrom& aAction)
  {
    ++mCalls["pull"];
    auto address = aAction.mAddress;
    auto sent = ClockOf(aNumber);
    auto base = mDaemons[aNumber].mTable->Revision();
    std::size_t other = std::stoul(address.substr(2));
    auto fail = [this, aNumber, address, sent] {
      mDaemons[aNumber].mDistribution->OnPulled(
        address, sent, ClockOf(aNumber), std::nullopt);
    };
    const auto& from = mDaemons[other];
    bool isSilent = mDaemons[aNumber].mIsCutFromPeers || from.mIsCutFromPeers ||
                    from.mPausedUntil > mNow || IsLost();
    if (isSilent || other == aNumber) {
      At(mNow + kPullTimeout, aNumber, fail);
      return;
    }
    auto incarnation = mDaemons[aNumber].mIncarnation;
    mEvents.emplace(mNow + Delay(), [=, this] {
      auto& it = mDaemons[other];
      if (mDaemons[aNumber].mIncarnation != incarnation) {
        return;
      }
      if (!it.mDistribution->IsServing()) {
        At(mNow, aNumber, fail);
        return;
      }
      auto changes = it.mTable->ChangesSince(base);
      auto lease = it.mDistribution->Lease();
      auto revision = it.mTable->Revision();
      auto age = ClockOf(other) - it.mDistribution->Contact();
      auto answer = [=, this] {
        auto& to = mDaemons[aNumber];
        to.mDistribution->OnLease(ClockOf(aNumber), lease, false);
        to.mTable->ApplyDelta(base, revision, changes);
        to.mDistribution->OnPulled(address, sent, ClockOf(aNumber), age);
      };
      At(mNow + Delay(), aNumber, answer);
      if (mRandom() % 8 == 0) {
        At(mNow + 10 * Delay(), aNumber, answer);
      }
    });
  }

  std::mt19937_64 mRandom;
  std::multimap<TimePoint, Event> mEvents;
  std::uint64_t mWatches = 0;
};

} // namespace sesameway::test
