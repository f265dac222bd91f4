#pragma once

#include "daemon/Workers.h"
#include "database/Database.h"
#include "peer/Peer.h"
#include "sesameway/Catalogue.h"
#include "sesameway/Failover.h"

#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace sesameway::daemon {

class Metrics;

// The rank of one home among the homes of its group, and the other homes.
struct HomeRanking
{
  // Rank of this home. The home with rank 0 acts first.
  std::size_t mRank = 0;
  // Peer addresses of the other homes.
  std::vector<std::string> mOtherHomes;
};

struct FailoverContext
{
  peer::Peers* mPeers = nullptr;
  Metrics* mMetrics = nullptr;
  Group mGroup;
  // In the order of the databases in mGroup.
  std::vector<std::shared_ptr<database::Database>> mDatabases;
};

// What a home knows about the primary of its group.
struct PrimaryState
{
  std::uint64_t mTerm = 0;
  std::optional<std::size_t> mPrimary;
  // The primary that new work may be sent to, or none if there is no such primary.
  std::optional<std::size_t> mServing;
  bool mLacksMajority = false;
};

// Runs the failover state machine of a group: passes it the answers of the databases
// and of the other homes, and performs the actions that it returns. Lock: mMutex, taken
// while no lock except Engine::mMutex is held. It is released before any call to
// another object.
class FailoverRun : public std::enable_shared_from_this<FailoverRun>
{
public:
  // `aOnChange` is called without mMutex held when the state of the primary may have
  // changed.
  FailoverRun(FailoverContext aContext, std::function<void()> aOnChange);
  void SetRanking(HomeRanking aRanking);
  // No requests or announcements are sent after this call.
  void Stop();

  void OnStatus(std::size_t aDatabase, const std::optional<DatabaseStatus>& aStatus);
  void OnConnections(std::size_t aDatabase, std::optional<TimePoint> aFailingSince);
  void OnAnnounce(const peer::PrimaryHint& aHint);
  void Tick();

  PrimaryState State() const;
  Duration SilenceOf(std::size_t aDatabase) const;
  // What this home tells another home that asks for the primary.
  peer::PrimaryHint Hint() const;

private:
  void Perform(const FailoverActions& aActions);
  void Do(const AskPeers& aAction);
  void Do(const SendFence& aAction);
  void Do(const SendPromote& aAction);
  void Do(const SendFollow& aAction);
  void Do(const AnnouncePrimary& aAction);
  void Do(const StepReached& aAction);
  void OnHint(std::uint64_t aRound, const std::optional<peer::PrimaryHint>& aHint);
  std::optional<std::size_t> IndexOf(const std::string& aName) const;
  std::vector<std::string> OtherHomes() const;

  FailoverContext mContext;
  std::function<void()> mOnChange;
  mutable std::mutex mMutex;
  FailoverMachine mMachine;
  HomeRanking mRanking;
  bool mStopped = false;
};

} // namespace sesameway::daemon
