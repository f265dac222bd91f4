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

// The parts and settings of the daemon that a home uses.
struct HomeContext
{
  Workers* mWorkers = nullptr;
  Metrics* mMetrics = nullptr;
  database::DatabaseFactory mFactory;
  peer::Peers* mPeers = nullptr;
  std::string mDaemon;
  std::string mZone;
  // Returns an organisation's weight in the queue for connections.
  std::function<std::uint32_t(const std::string&)> mWeightOf = [](const std::string&) {
    return 1;
  };
};

// Serves one group at one of its home daemons. Keeps the current view of the group's
// databases, the connection pools, and the statements that wait for a primary, for a
// log position to become safe or for a term to be confirmed. Lock: mMutex, taken before
// a pool's mutex and never held while a callback runs. The mutex of FailoverRun is not
// taken while mMutex is held.
class GroupHome : public std::enable_shared_from_this<GroupHome>
{
public:
  using Resume = std::function<void(WaitResult)>;

  GroupHome(HomeContext aContext, Group aGroup, int aConnectionsPerDatabase);
  void Start();
  // Ends the watches, probes and failover actions. Waiting statements are not resumed.
  void Stop();
  // Stops the home once its open statements and transactions have ended.
  void Retire() { mRetired = true; }
  // These two count the open statements and transactions, which delay the end of a
  // retired home.
  void BeginWork() { ++mOpenWork; }
  void EndWork() { --mOpenWork; }
  // Sets the ranking of the group's homes, which changes as daemons join and leave.
  void SetRanking(HomeRanking aRanking) { mFailover->SetRanking(std::move(aRanking)); }
  void OnAnnounce(const peer::PrimaryHint& aHint) { mFailover->OnAnnounce(aHint); }
  peer::PrimaryHint Hint() const { return mFailover->Hint(); }

  void Execute(GroupRequest aRequest, peer::AnswerCallback aDone);
  void Begin(GroupRequest aRequest, peer::BeginCallback aDone);

  GroupView View() const;
  // Chooses the database for one statement. `aTerm` receives the term of the view that
  // the choice is based on.
  RouteChoice Choose(const GroupRequest& aRequest, bool aIsRead, std::uint64_t* aTerm);
  bool Meets(const GroupRequest& aRequest, const LogPosition& aPosition) const;
  ConnectionPool& PoolOf(std::size_t aDatabase) { return *mNodes[aDatabase].mPool; }
  const std::string& NameOf(std::size_t aDatabase) const
  {
    return mNodes[aDatabase].mEntry.mName;
  }
  const HomeContext& Context() const { return mContext; }
  const std::string& Name() const { return mGroup.mName; }
  // Whether this home has the same databases as the group's entry. An entry with other
  // databases needs a new home.
  bool HasDatabasesOf(const Group& aGroup) const
  {
    return mGroup.mDatabases == aGroup.mDatabases;
  }
  void SetConnectionLimit(int aPerDatabase);
  // Returns the sum of the loads of all the databases' pools.
  PoolLoad ConnectionLoad() const;

  // Each wait calls `aResume` once: when the condition is met, at the deadline, or
  // earlier with WaitResult::Overtaken. WaitForPrimary ends with Overtaken if there is
  // no primary and no majority is in reach. The other waits end with Overtaken if a
  // later term has a primary, because their conditions can no longer be met. If the
  // home stops first, `aResume` is not called.
  void WaitForPrimary(std::uint64_t aAfterTerm, TimePoint aDeadline, Resume aResume);
  void WaitUntilSafe(const LogPosition& aEntry, TimePoint aDeadline, Resume aResume);
  // Waits until the entry is safe and its term is confirmed to be in force after
  // `aSince`. Probes the databases again for this.
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
    std::function<bool(const GroupView&)> mIsMet;
    std::function<bool()> mCannotBeMet;
    TimePoint mDeadline;
    Resume mResume;
    bool mNeedsProbe = false;
  };

  void WatchDatabase(std::size_t aDatabase);
  void OnStatus(std::size_t aDatabase,
                const std::optional<DatabaseStatus>& aStatus,
                TimePoint aSentAt);
  // Copies the term and the primary from the failover run into the view.
  void UpdatePrimary();
  // Fails the requests that wait for a connection to a replaced primary, and breaks the
  // connections to it that are in use.
  void AbandonPrimary(std::size_t aDatabase);
  // Whether a later term than `aTerm` has a primary. Requires mMutex.
  bool IsSuperseded(std::uint64_t aTerm) const;
  void AddWait(Wait aWait);
  // Resumes the waits that are met, can no longer be met or have expired. Starts a
  // probe round if a remaining wait needs one.
  void ResumeWaits();
  void StartProbeRound();
  void Tick();

  HomeContext mContext;
  Group mGroup;
  std::vector<Node> mNodes;
  std::shared_ptr<FailoverRun> mFailover;
  mutable std::mutex mMutex;
  GroupView mView;
  // The primary of the view's term, also while that primary is leaving.
  std::optional<std::size_t> mLastPrimary;
  bool mLacksMajority = false;
  HeadHistory mHistory;
  std::list<Wait> mWaits;
  bool mProbeRoundInFlight = false;
  TimePoint mNextProbeRound{};
  // Until this time, probe rounds use the shorter interval, because reads with a
  // maximum age have arrived.
  TimePoint mBoundedReadsUntil{};
  std::atomic<std::uint64_t> mRoundRobin = 0;
  std::atomic<std::size_t> mOpenWork = 0;
  std::atomic<bool> mRetired = false;
  std::atomic<bool> mStopped = false;
};

using GroupHomePtr = std::shared_ptr<GroupHome>;

} // namespace sesameway::daemon
