#pragma once

#include "daemon/ConnectionPool.h"
#include "daemon/FailoverRun.h"
#include "daemon/Metrics.h"
#include "daemon/Workers.h"
#include "peer/Peer.h"
#include "sesameway/Catalogue.h"
#include "sesameway/Routing.h"
#include "sesameway/StatementPlan.h"

#include <atomic>
#include <list>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace sesameway::daemon {

// What a home needs of the daemon around it.
struct HomeContext
{
  Workers* mWorkers = nullptr;
  Metrics* mMetrics = nullptr;
  database::DatabaseFactory mFactory;
  peer::Peers* mPeers = nullptr;
  std::string mDaemon;
  std::string mZone;
  // An organisation's share of scarce connections.
  std::function<std::uint32_t(const std::string&)> mWeightOf = [](const std::string&) {
    return 1;
  };
};

// A group as its home daemon serves it: what is known of its databases, and the waits
// for a primary, for a safe position and for a confirmed term.
// Lock: mMutex, taken before a pool's and never while a callback runs; the failover
// run's is taken alone.
class GroupHome : public std::enable_shared_from_this<GroupHome>
{
public:
  using Resume = std::function<void(WaitResult)>;

  GroupHome(HomeContext aContext, Group aGroup, int aConnectionsPerDatabase);
  void Start();
  // Hears of nothing any more; statements that wait are not resumed.
  void Stop();
  // Stops when the statements and transactions that it has are over.
  void Retire() { mRetired = true; }
  // Work that holds up the end of a retired home.
  void BeginWork() { ++mOpenWork; }
  void EndWork() { --mOpenWork; }
  // Its place among the group's homes, known anew as daemons come and go.
  void SetPlace(HomePlace aPlace) { mFailover->SetPlace(std::move(aPlace)); }
  void OnAnnounce(const peer::PrimaryHint& aHint) { mFailover->OnAnnounce(aHint); }
  peer::PrimaryHint Hint() const { return mFailover->Hint(); }

  void Execute(GroupRequest aRequest, peer::AnswerCallback aDone);
  void Begin(GroupRequest aRequest, peer::BeginCallback aDone);

  GroupView View() const;
  // Copies what a decision on one statement needs under one lock.
  RouteChoice Choose(const GroupRequest& aRequest, bool aIsRead, std::uint64_t* aTerm);
  bool Meets(const GroupRequest& aRequest, const LogPosition& aPosition) const;
  ConnectionPool& PoolOf(std::size_t aDatabase) { return *mNodes[aDatabase].mPool; }
  const std::string& NameOf(std::size_t aDatabase) const
  {
    return mNodes[aDatabase].mEntry.mName;
  }
  const HomeContext& Context() const { return mContext; }
  const std::string& Name() const { return mGroup.mName; }
  // Whether it leads to the same databases. Others need another home.
  bool Serves(const Group& aGroup) const
  {
    return mGroup.mDatabases == aGroup.mDatabases;
  }
  void SetConnections(int aPerDatabase);
  // Of all its databases together.
  PoolLoad ConnectionLoad() const;

  // Each resumes once, at the deadline at the latest, and earlier as overtaken when it
  // can't come true any more: no majority is in reach, or a later term has begun.
  void WaitForPrimary(std::uint64_t aAfterTerm, TimePoint aDeadline, Resume aResume);
  void WaitUntilSafe(const LogPosition& aEntry, TimePoint aDeadline, Resume aResume);
  // Asks the databases anew: the term must be in force after `aSince`.
  void WaitUntilConfirmed(const LogPosition& aEntry,
                          TimePoint aSince,
                          TimePoint aDeadline,
                          Resume aResume);

private:
  struct Node
  {
    DatabaseEntry mEntry;
    std::shared_ptr<database::Database> mDatabase;
    std::shared_ptr<ConnectionPool> mPool;
    std::shared_ptr<void> mWatch;
  };
  struct Wait
  {
    std::function<bool(const GroupView&)> mIsOver;
    std::function<bool()> mIsHopeless;
    TimePoint mDeadline;
    Resume mResume;
    bool mNeedsRound = false;
  };

  void WatchNode(std::size_t aDatabase);
  void OnStatus(std::size_t aDatabase,
                const std::optional<DatabaseStatus>& aStatus,
                TimePoint aSentAt);
  // Takes over who is primary from the failover run.
  void UpdatePrimary();
  // Sends on what waits for a primary that was replaced.
  void LeaveReplaced(std::size_t aDatabase);
  // Under mMutex.
  bool IsSuperseded(std::uint64_t aTerm) const;
  void AddWait(Wait aWait);
  // Ends the waits that are over or expired, and starts a round if one is wanted.
  void Settle();
  void StartRound();
  void Tick();

  HomeContext mContext;
  Group mGroup;
  std::vector<Node> mNodes;
  std::shared_ptr<FailoverRun> mFailover;
  mutable std::mutex mMutex;
  GroupView mView;
  // Of the view's term, also while it is leaving.
  std::optional<std::size_t> mLastPrimary;
  bool mLacksMajority = false;
  HeadHistory mHistory;
  std::list<Wait> mWaits;
  bool mRoundInFlight = false;
  TimePoint mNextRound{};
  // Rounds are closer together until then.
  TimePoint mAgedReadsUntil{};
  std::atomic<std::uint64_t> mTurn = 0;
  std::atomic<std::size_t> mOpenWork = 0;
  std::atomic<bool> mRetired = false;
  std::atomic<bool> mStopped = false;
};

using GroupHomePtr = std::shared_ptr<GroupHome>;

} // namespace sesameway::daemon
