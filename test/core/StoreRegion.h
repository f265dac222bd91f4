#pragma once

#include "sesameway/FollowedKinds.h"
#include "sesameway/ObjectTransfer.h"
#include "sesameway/PeerPullSchedule.h"
#include "sesameway/StoreWatchers.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace sesameway::test {

// Simulates the daemons of one region, which learn of the store's changes from it and
// from each other. Links and processors have a limited speed; time is simulated.
class StoreRegion
{
public:
  // A link of 20 Mbit/s.
  static constexpr double kLinkSpeed = 2'500'000;
  // Kinds of objects. The daemons' own kind comes first.
  inline static const std::string kOwn = "sesameway";
  inline static const std::string kConfiguration = "config";
  inline static const std::string kDatabases = "servers";

  struct Daemon
  {
    NearDaemon mSelf;
    // How many times slower than usual its processor and its link are.
    double mSlowness = 1;
    double mPressure = 1;
    bool mIsRunning = true;
    bool mIsTurnedAway = false;
    bool mIsCutFromStore = false;
    // Kinds for which the answers of the store are lost.
    std::set<std::string> mLostKinds;
    // The revision of the configuration in force; 0 if there is none.
    std::uint64_t mInForce = 0;
    TimePoint mStartedAt{};

  private:
    friend class StoreRegion;
    int mBoot = 0;
    std::unique_ptr<FollowedKinds> mFollowed;
    std::unique_ptr<StoreWatchers> mWatchers;
    std::unique_ptr<PeerPullSchedule> mSchedule;
    ObjectTable mTable;
    ChangeSender mSender;
    PieceReceiver mReceiver;
    std::set<std::size_t> mAsked;
    TimePoint mNextPull{};
    TimePoint mProcessorFreeAt{};
    TimePoint mSendsUntil{};
    TimePoint mReceivesUntil{};
  };

  StoreRegion(std::size_t aDaemons, std::size_t aZones)
  {
    for (std::size_t n = 0; n < aDaemons; ++n) {
      auto zone = "z" + std::to_string(n % aZones);
      mDaemons.push_back(std::make_unique<Daemon>());
      mDaemons.back()->mSelf = { zone + "-" + std::to_string(100 + n), zone };
      Write(kOwn + "/member." + mDaemons.back()->mSelf.mName, std::string(140, 'm'));
    }
    for (std::size_t n = 0; n < aDaemons; ++n) {
      Start(n);
    }
  }

  Daemon& At(std::size_t aNumber) { return *mDaemons[aNumber]; }
  // Number of the daemon at a rank in the order of the region's daemons.
  std::size_t AtRank(std::size_t aRank) const
  {
    for (std::size_t n = 0; n < mDaemons.size(); ++n) {
      if (mDaemons[n]->mWatchers->Rank() == aRank) {
        return n;
      }
    }
    return 0;
  }
  TimePoint Now() const { return mNow; }

  // Writes an object to the store. Returns its revision.
  std::uint64_t Write(const std::string& aName, std::string aBody)
  {
    ++mRevision;
    mObjects[aName] = { aName, mRevision, mRevision, std::move(aBody), false };
    auto waiting = std::move(mWatches);
    mWatches.clear();
    for (auto& it : waiting) {
      if (KindOf(aName) == it->mCall.mKind) {
        Answer(it);
      } else {
        mWatches.push_back(it);
      }
    }
    return mRevision;
  }

  // Loses the answers to the daemon's watches that are waiting: to those of one kind,
  // or of all if the kind is empty.
  void Silence(std::size_t aNumber, const std::string& aKind = {})
  {
    std::erase_if(mWatches, [&](const auto& aWatch) {
      bool isOfKind = aKind.empty() || aWatch->mCall.mKind == aKind;
      return aWatch->mDaemon == aNumber && isOfKind;
    });
  }

  void Kill(std::size_t aNumber)
  {
    mDaemons[aNumber]->mIsRunning = false;
    ++mDaemons[aNumber]->mBoot;
    Silence(aNumber);
  }

  void Start(std::size_t aNumber)
  {
    auto& daemon = *mDaemons[aNumber];
    daemon.mIsRunning = true;
    ++daemon.mBoot;
    daemon.mStartedAt = mNow;
    daemon.mInForce = 0;
    daemon.mTable = {};
    daemon.mReceiver = {};
    daemon.mAsked.clear();
    daemon.mProcessorFreeAt = mNow;
    daemon.mFollowed = std::make_unique<FollowedKinds>(
      std::vector<FollowedKind>{ { kOwn, milliseconds(700) },
                                 { kConfiguration, milliseconds(1500) },
                                 { kDatabases, seconds(3) } });
    daemon.mWatchers = std::make_unique<StoreWatchers>(daemon.mSelf);
    daemon.mSchedule = std::make_unique<PeerPullSchedule>(daemon.mSelf.mName, mNow);
    std::vector<NearDaemon> near;
    for (const auto& it : mDaemons) {
      near.push_back(it->mSelf);
    }
    daemon.mWatchers->SetDaemons(std::move(near));
    MakeCalls(aNumber);
    Tick(aNumber);
  }

  void After(Duration aTime, std::function<void()> aTask)
  {
    mTasks.emplace(mNow + aTime, std::move(aTask));
  }

  void Run(Duration aTime)
  {
    auto end = mNow + aTime;
    while (!mTasks.empty() && mTasks.begin()->first <= end) {
      auto node = mTasks.extract(mTasks.begin());
      mNow = std::max(mNow, node.key());
      node.mapped()();
    }
    mNow = end;
  }

private:
  using Task = std::function<void()>;
  static constexpr Duration kNearDelay = microseconds(1400);
  static constexpr Duration kStoreDelay = milliseconds(20);
  static constexpr Duration kTickInterval = milliseconds(60);
  static constexpr Duration kPullInterval = milliseconds(350);
  static constexpr Duration kPullTimeout = milliseconds(600);
  // The time that the processor of a usual VM needs.
  static constexpr Duration kTickWork = milliseconds(1);
  static constexpr Duration kCallWork = milliseconds(2);
  static constexpr double kNanosPerByte = 360;
  // Bytes of an answer beside the objects.
  static constexpr std::size_t kAnswerBytes = 1200;
  static constexpr std::size_t kChunkBytes = 16'384;
  static constexpr Duration kWatchGrace = milliseconds(800);
  static constexpr Duration kStallTimeout = milliseconds(800);
  static constexpr Duration kLongestDelay = seconds(10);

  struct Call
  {
    std::size_t mDaemon = 0;
    int mBoot = 0;
    StoreCall mCall;
    TimePoint mSentAt{};
    bool mIsOver = false;
    TimePoint mLastByteAt{};
  };
  using CallPtr = std::shared_ptr<Call>;

  // Runs the task on the daemon's processor.
  void Work(std::size_t aNumber, Duration aWork, Task aTask)
  {
    auto& daemon = *mDaemons[aNumber];
    auto work = std::chrono::duration_cast<Duration>(aWork * daemon.mSlowness);
    daemon.mProcessorFreeAt = std::max(daemon.mProcessorFreeAt, mNow) + work;
    auto boot = daemon.mBoot;
    mTasks.emplace(daemon.mProcessorFreeAt, [&daemon, boot, task = std::move(aTask)] {
      if (daemon.mBoot == boot) {
        task();
      }
    });
  }

  Duration TimeOnLink(const Daemon& aDaemon, std::size_t aBytes) const
  {
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
      static_cast<double>(aBytes) * aDaemon.mPressure / kLinkSpeed));
  }

  // The bytes take their turn on the receiver's link when they have reached it.
  void Receive(Daemon& aTo, std::size_t aBytes, TimePoint aArriveAt, Task aTask)
  {
    mTasks.emplace(aArriveAt, [this, &aTo, aBytes, task = std::move(aTask)] {
      aTo.mReceivesUntil = std::max(aTo.mReceivesUntil, mNow) + TimeOnLink(aTo, aBytes);
      mTasks.emplace(aTo.mReceivesUntil, task);
    });
  }

  void Send(std::size_t aFrom, std::size_t aTo, std::size_t aBytes, Task aTask)
  {
    auto& from = *mDaemons[aFrom];
    from.mSendsUntil = std::max(from.mSendsUntil, mNow) + TimeOnLink(from, aBytes);
    Receive(*mDaemons[aTo], aBytes, from.mSendsUntil + kNearDelay, std::move(aTask));
  }

  void Tick(std::size_t aNumber)
  {
    Work(aNumber, kTickWork, [this, aNumber] {
      auto& daemon = *mDaemons[aNumber];
      bool mustWatch =
        daemon.mWatchers->MustWatch(daemon.mFollowed->OldestContact(), mNow);
      if (daemon.mFollowed->IsComplete()) {
        daemon.mFollowed->SetFollowing(mustWatch);
        MakeCalls(aNumber);
        PullFromParent(aNumber);
      }
      PullFromPeers(aNumber);
      After(kTickInterval, [this, aNumber, boot = daemon.mBoot] {
        if (mDaemons[aNumber]->mBoot == boot) {
          Tick(aNumber);
        }
      });
    });
  }

  void MakeCalls(std::size_t aNumber)
  {
    auto& daemon = *mDaemons[aNumber];
    for (auto& it : daemon.mFollowed->Due(mNow)) {
      SendToStore(std::make_shared<Call>(
        Call{ aNumber, daemon.mBoot, std::move(it), mNow, false, {} }));
    }
    auto next = daemon.mFollowed->NextDue();
    if (next && *next > mNow) {
      After(*next - mNow, [this, aNumber, boot = daemon.mBoot] {
        if (mDaemons[aNumber]->mBoot == boot) {
          MakeCalls(aNumber);
        }
      });
    }
  }

  void SendToStore(const CallPtr& aCall)
  {
    auto& daemon = *mDaemons[aCall->mDaemon];
    bool isWatch = aCall->mCall.mType == StoreCallType::Watch;
    auto limit = aCall->mCall.mDeadline + (isWatch ? kWatchGrace : Duration::zero());
    GiveUpAt(aCall, limit, limit);
    if (daemon.mIsCutFromStore || daemon.mLostKinds.contains(aCall->mCall.mKind)) {
      return;
    }
    After(kStoreDelay, [this, aCall, isWatch] {
      if (mDaemons[aCall->mDaemon]->mIsTurnedAway) {
        After(kStoreDelay, [this, aCall] { End(aCall, std::nullopt); });
      } else if (!isWatch || !ChangesFor(*aCall).empty()) {
        Answer(aCall);
      } else {
        mWatches.push_back(aCall);
        After(aCall->mCall.mDeadline - mNow, [this, aCall] {
          if (std::erase(mWatches, aCall) != 0) {
            Answer(aCall);
          }
        });
      }
    });
  }

  // A response that keeps arriving is waited for beyond its call's limit.
  void GiveUpAt(const CallPtr& aCall, TimePoint aTime, TimePoint aLimit)
  {
    mTasks.emplace(aTime, [this, aCall, aLimit] {
      if (aCall->mIsOver) {
        return;
      }
      auto until = std::min(aCall->mLastByteAt + kStallTimeout, aLimit + kLongestDelay);
      if (aCall->mLastByteAt != TimePoint{} && until > mNow) {
        GiveUpAt(aCall, until, aLimit);
        return;
      }
      End(aCall, std::nullopt);
    });
  }

  std::vector<StoredObject> ChangesFor(const Call& aCall) const
  {
    std::vector<StoredObject> objects;
    for (const auto& it : mObjects) {
      bool isNew = it.second.mRevision > aCall.mCall.mRevision;
      if (KindOf(it.first) == aCall.mCall.mKind && isNew) {
        objects.push_back(it.second);
      }
    }
    return objects;
  }

  struct Response
  {
    std::vector<StoredObject> mObjects;
    std::uint64_t mRevision = 0;
  };

  void Answer(const CallPtr& aCall)
  {
    Response response{ ChangesFor(*aCall), mRevision };
    std::size_t bytes = kAnswerBytes;
    for (const auto& it : response.mObjects) {
      bytes += it.mBody.size();
    }
    SendChunk(aCall, bytes, mNow + kStoreDelay, std::move(response));
  }

  void SendChunk(const CallPtr& aCall,
                 std::size_t aBytes,
                 TimePoint aArriveAt,
                 Response aResponse)
  {
    auto chunk = std::min(aBytes, kChunkBytes);
    auto& daemon = *mDaemons[aCall->mDaemon];
    Receive(daemon,
            chunk,
            aArriveAt,
            [this, aCall, left = aBytes - chunk, response = std::move(aResponse)] {
              aCall->mLastByteAt = mNow;
              if (aCall->mIsOver) {
                return;
              }
              if (left != 0) {
                SendChunk(aCall, left, mNow, response);
              } else {
                End(aCall, response);
              }
            });
  }

  void End(const CallPtr& aCall, std::optional<Response> aResponse)
  {
    if (aCall->mIsOver) {
      return;
    }
    aCall->mIsOver = true;
    std::erase(mWatches, aCall);
    auto& daemon = *mDaemons[aCall->mDaemon];
    if (daemon.mBoot != aCall->mBoot) {
      return;
    }
    Work(aCall->mDaemon, kCallWork, [this, aCall, response = std::move(aResponse)] {
      auto number = aCall->mDaemon;
      auto& followed = *mDaemons[number]->mFollowed;
      const auto& kind = aCall->mCall.mKind;
      if (!response) {
        followed.OnFailure(kind, mNow);
        MakeCalls(number);
        return;
      }
      Apply(number, response->mObjects, [this, number, aCall, response] {
        mDaemons[number]->mFollowed->OnAnswer(
          aCall->mCall.mKind, response->mRevision, aCall->mSentAt);
        MakeCalls(number);
      });
    });
  }

  // Applies the objects and then runs the task.
  void Apply(std::size_t aNumber, const std::vector<StoredObject>& aObjects, Task aTask)
  {
    auto& daemon = *mDaemons[aNumber];
    std::uint64_t configuration = 0;
    Duration work{};
    for (const auto& it : aObjects) {
      if (daemon.mTable.Apply(it) && KindOf(it.mName) == kConfiguration) {
        configuration = it.mRevision;
        work += std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
          kNanosPerByte * 1e-9 * static_cast<double>(it.mBody.size())));
      }
    }
    if (work == Duration::zero()) {
      aTask();
      return;
    }
    Work(aNumber, work, [&daemon, configuration, task = std::move(aTask)] {
      daemon.mInForce = configuration;
      task();
    });
  }

  void PullFromParent(std::size_t aNumber)
  {
    auto& daemon = *mDaemons[aNumber];
    auto parent = Find(daemon.mWatchers->PeerToAsk());
    if (!parent || mNow < daemon.mNextPull) {
      return;
    }
    daemon.mNextPull = mNow + kPullInterval;
    Pull(aNumber, *parent, [this, aNumber](bool aHasAnswered) {
      auto& asker = *mDaemons[aNumber];
      aHasAnswered ? asker.mWatchers->OnAnswer(asker.mFollowed->OldestContact(), mNow)
                   : asker.mWatchers->OnNoAnswer();
    });
  }

  void PullFromPeers(std::size_t aNumber)
  {
    auto& daemon = *mDaemons[aNumber];
    auto next =
      daemon.mSchedule->Next(daemon.mFollowed->OldestContact(), mDaemons.size(), mNow);
    for (auto it : next) {
      Pull(aNumber, it, [](bool) {});
    }
  }

  std::optional<std::size_t> Find(const std::string& aName) const
  {
    for (std::size_t n = 0; n < mDaemons.size(); ++n) {
      if (mDaemons[n]->mSelf.mName == aName) {
        return n;
      }
    }
    return std::nullopt;
  }

  using Done = std::function<void(bool)>;

  void Pull(std::size_t aNumber, std::size_t aPeer, Done aDone)
  {
    auto& daemon = *mDaemons[aNumber];
    if (aPeer != aNumber && daemon.mAsked.insert(aPeer).second) {
      Ask(aNumber, aPeer, ChangePull(daemon.mFollowed->Revisions()), std::move(aDone));
    }
  }

  void Ask(std::size_t aNumber, std::size_t aPeer, ChangePull aPull, Done aDone)
  {
    auto& daemon = *mDaemons[aNumber];
    auto isOver = std::make_shared<bool>(false);
    auto askedAt = mNow;
    ChangeRequest request{ aPull.Revisions(), daemon.mReceiver.Received() };
    After(kPullTimeout, [this, aNumber, aPeer, aDone, isOver, boot = daemon.mBoot] {
      if (!std::exchange(*isOver, true) && mDaemons[aNumber]->mBoot == boot) {
        mDaemons[aNumber]->mAsked.erase(aPeer);
        aDone(false);
      }
    });
    Send(aNumber, aPeer, kAnswerBytes / 4, [=, this] {
      Work(aPeer, kCallWork, [=, this] {
        auto& peer = *mDaemons[aPeer];
        bool isServing = peer.mFollowed->Revision() != 0;
        auto contacts = peer.mFollowed->Contacts();
        // Ages travel, and count from when the peer was asked.
        for (auto& it : contacts) {
          it.second = askedAt - (mNow - it.second);
        }
        auto batch =
          peer.mSender.Next(peer.mTable, peer.mFollowed->Revisions(), request);
        std::size_t bytes = kAnswerBytes;
        bytes += batch.mPiece ? batch.mPiece->mBytes.size() : 0;
        for (const auto& it : batch.mObjects) {
          bytes += it.mBody.size();
        }
        auto boot = mDaemons[aNumber]->mBoot;
        Send(aPeer, aNumber, bytes, [=, this] {
          if (mDaemons[aNumber]->mBoot != boot || std::exchange(*isOver, true)) {
            return;
          }
          Work(aNumber, kCallWork, [=, this] {
            OnBatch(aNumber, aPeer, isServing, batch, contacts, aPull, aDone);
          });
        });
      });
    });
  }

  void OnBatch(std::size_t aNumber,
               std::size_t aPeer,
               bool aIsServing,
               const ChangeBatch& aBatch,
               const KindContacts& aContacts,
               ChangePull aPull,
               const Done& aDone)
  {
    auto& daemon = *mDaemons[aNumber];
    if (!aIsServing) {
      daemon.mAsked.erase(aPeer);
      aDone(false);
      return;
    }
    auto objects = aBatch.mObjects;
    bool isNew = !objects.empty();
    if (aBatch.mPiece) {
      auto object = daemon.mReceiver.Add(*aBatch.mPiece, mNow);
      isNew |= object.has_value();
      if (object) {
        daemon.mFollowed->OnProgress(KindOf(aBatch.mPiece->mId.mName), mNow);
      }
      if (object && *object) {
        objects.push_back(std::move(**object));
      }
    }
    Apply(aNumber, objects, [=, this]() mutable {
      auto& asker = *mDaemons[aNumber];
      asker.mFollowed->OnPeerAnswer(
        aPull.OnAnswer(aBatch.mRevisions, aBatch.mIncompleteKinds), aContacts);
      aDone(true);
      if (isNew && !aBatch.mIncompleteKinds.empty()) {
        Ask(aNumber, aPeer, std::move(aPull), aDone);
      } else {
        asker.mAsked.erase(aPeer);
      }
    });
  }

  std::vector<std::unique_ptr<Daemon>> mDaemons;
  std::multimap<TimePoint, Task> mTasks;
  TimePoint mNow{ seconds(1000) };
  std::map<std::string, StoredObject> mObjects;
  std::uint64_t mRevision = 0;
  // Calls that wait for a change.
  std::vector<CallPtr> mWatches;
};

} // namespace sesameway::test
