#pragma once

#include "proxy/Backend.h"
#include "proxy/DatabasePool.h"
#include "proxy/LinkBorrower.h"
#include "proxy/LinkLender.h"
#include "proxy/Loop.h"
#include "proxy/Settings.h"
#include "sesameway/ColdAllowance.h"
#include "sesameway/Evacuations.h"
#include "sesameway/HeadPollSchedule.h"
#include "sesameway/HomeRanking.h"
#include "sesameway/Leadership.h"
#include "sesameway/Membership.h"
#include "sesameway/Promotion.h"
#include "sesameway/ReplicaChoice.h"
#include "sesameway/Routing.h"

#include <functional>
#include <map>
#include <memory>
#include <set>

namespace sesameway::proxy {

// All databases as this daemon sees them: which of them it may use and for what, and
// its connection pools. Used on the event loop's thread only. FleetPlacement.cpp
// decides which request gets a connection to which database, FleetZones.cpp which
// databases may get it at all, FleetPrimary.cpp handles changes of primary,
// FleetHeads.cpp tracks the log positions of primaries, and FleetHomes.cpp has the
// connections to databases that are used through their homes.
class DatabaseFleet : public Backend
{
public:
  using StatusReader = std::function<std::optional<DatabaseReport>(const std::string&)>;
  DatabaseFleet(
    Loop& aLoop,
    DatabaseConnector& aDatabases,
    const Settings& aSettings,
    StatusReader aReadStatus,
    LinkBorrower::Counter aCount = [](const std::string&) {});

  void SetCatalogue(CataloguePtr aCatalogue);
  void SetPeers(peer::Peers* aPeers) { mBorrower.SetPeers(aPeers); }
  // Sets the daemons of the fleet, including this one. Each database's connection limit
  // is divided among them, or among the database's homes.
  void SetDaemons(const std::vector<MemberRecord>& aDaemons);
  // Lends a connection to a peer if this daemon is a home of the database.
  void Lend(const peer::LinkRequest& aRequest,
            const std::function<void(peer::LinkOffer)>& aDone)
  {
    mLender.Lend(aRequest, aDone);
  }
  // Takes back the lent connections that no statement uses.
  void TakeBackIdleLinks() { mLender.TakeBackIdle(Duration::zero()); }
  void TakeBackAllLinks() { mLender.TakeBackAll(); }
  // The queues before the databases that this daemon is a home of start no more
  // statements.
  void StopStarting();
  // Lends no more connections. Those that are lent stay so until they are returned.
  void StopLending() { mLender.Stop(); }
  std::size_t LentCount() const { return mLender.LentCount(); }
  // What waits and runs in the queues of the databases that this daemon is a home of.
  struct HomeLoad
  {
    std::size_t mHomes = 0;
    std::size_t mWaiting = 0;
    std::size_t mRunning = 0;
  };
  HomeLoad Load() const;
  // Sets the names of all daemons, including this one. They share the rate at which
  // statements are started at a cold database.
  void SetDaemonNames(std::vector<std::string> aNames);
  void OnListed(const ListedDatabase& aDatabase);
  // Statements per second that the whole fleet may send to the database while it is
  // cold; none if there is no such bound.
  std::optional<double> ColdRate(const ListedDatabase& aDatabase, TimePoint aNow) const;
  void OnRemoved(const std::string& aName);
  void OnRecord(const GroupRecord& aRecord, std::uint64_t aRevision);
  // The store no longer has the group's record.
  void OnRecordRemoved(const std::string& aGroup, std::uint64_t aRevision);
  // The store has, or no longer has, the object that asks for the evacuation of a zone.
  void OnEvacuation(const std::string& aZone,
                    const std::string& aBody,
                    std::uint64_t aRevision);
  void OnEvacuationRemoved(const std::string& aZone, std::uint64_t aRevision);
  const Evacuations& CurrentEvacuations() const { return mEvacuations; }
  // Sets the time up to which this daemon has certainly seen all changes of records.
  void SetContact(TimePoint aContact);
  // Whether this daemon queries primaries for their log positions often, on behalf of
  // its peers as well. Otherwise it gets the positions from peers and queries a primary
  // only if they report none.
  void SetAsksForHeads(bool aAsks) { mAsksForHeads = aAsks; }
  // Returns the newest known log position of each group's primary, with the time at
  // which this daemon or a peer sent the query for it.
  std::map<std::string, HeadHistory::Sample> Heads() const;
  // Takes a primary's log position from a peer that knew the primary to be in force.
  // `aAt` must not be later than the time of the peer's query.
  void OnPeerHead(const std::string& aGroup, const LogPosition& aHead, TimePoint aAt);
  TimePoint Contact() const { return mContact; }
  // Stops sending statements to the group's primary. Calls back once no statement is in
  // progress there.
  void StandDown(const std::string& aGroup,
                 std::uint64_t aChange,
                 std::function<void()> aDone);
  // Must be called about every 50 ms.
  void Tick();
  // Logs one line per group with the primary that this daemon assumes and whether it
  // may be used.
  void LogGroups() const;

  std::vector<const ListedDatabase*> OfGroup(const std::string& aGroup) const
  {
    return mList.OfGroup(aGroup);
  }
  std::set<std::string> Groups() const;
  // How many replicas have received a commit of the group before it is acknowledged;
  // none if there is no configuration yet or it lacks the group.
  std::optional<std::uint32_t> SyncReplicas(const std::string& aGroup) const;
  const Leadership* FindLeadership(const std::string& aGroup) const;
  // Sends a status or demote command to a database. Calls back with none if the
  // database is unknown, no connection was available or no reply came by the deadline.
  void Ask(const std::string& aDatabase,
           const ConnectionCommand& aCommand,
           TimePoint aDeadline,
           std::function<void(std::optional<ConnectionReply>)> aDone);
  TimePoint HeardAt(const std::string& aDatabase) const;
  std::optional<Duration> Silence(const std::string& aDatabase, TimePoint aNow) const;

  std::uint64_t Acquire(const LeaseRequest& aRequest, LeaseCallback aDone) override;
  void CancelAcquire(std::uint64_t aTicket) override;
  void Release(const LeasePtr& aLease, bool aIsBroken) override;
  bool IsInForce(const ConnectionLease& aLease) const override;
  bool MustEndTransaction(const ConnectionLease& aLease) const override;
  bool AreRepliesTrusted(const ConnectionLease& aLease) const override;
  void Confirm(const ConnectionLease& aLease,
               TimePoint aSince,
               std::function<void(bool)> aDone) override;
  std::optional<LogPosition> HeadSince(const std::string& aGroup,
                                       TimePoint aSince) const override;
  bool IsUnresponsive(const ConnectionLease& aLease) const override;
  void OnSent(const ConnectionLease& aLease) override;
  void OnReply(const ConnectionLease& aLease,
               const ConnectionReply& aReply,
               TimePoint aSentAt) override;

private:
  using PoolPtr = std::shared_ptr<DatabasePool>;
  // A round of status queries to all databases of a group except its primary, which
  // finds out whether one of them has become the primary.
  struct Round
  {
    std::uint64_t mChange = 0;
    TimePoint mSentAt{};
    std::size_t mOpen = 0;
    bool mHasFailed = false;
  };
  using RoundPtr = std::shared_ptr<Round>;
  struct Confirmation
  {
    // The change by which the primary in question became the primary.
    std::uint64_t mChange = 0;
    TimePoint mSince;
    std::function<void(bool)> mDone;
  };
  // A primary's log position that arrived while this daemon could not be sure that the
  // database was still the primary. It is used once a round that was sent later
  // confirms the primary.
  struct UnconfirmedHead
  {
    LogPosition mPosition;
    TimePoint mSentAt;
    TimePoint mReceivedAt;
  };
  struct Group
  {
    Leadership mLeadership;
    // When this daemon received the group's current record.
    TimePoint mRecordedAt{};
    HeadHistory mHeads;
    HeadPollSchedule mHeadPollSchedule;
    std::optional<UnconfirmedHead> mUnconfirmedHead;
    RoundPtr mRound;
    std::vector<Confirmation> mConfirmations;
    TimePoint mRoundFailedAt{};
  };
  struct Pending
  {
    LeaseRequest mRequest;
    LeaseCallback mDone;
    // The database for whose connection the request waits; empty while no database has
    // been chosen.
    std::string mDatabase;
    // Whether the database was chosen as the group's primary, and by which change it
    // was the primary.
    bool mIsAtPrimary = false;
    std::uint64_t mChange = 0;
    // Databases that can't serve the request in time, and the earliest time at which
    // one of them may.
    std::set<std::string> mOverloaded{};
    TimePoint mRetryAt = TimePoint::max();
  };

  // Whether this daemon's information is recent enough to use the group's primary and
  // to trust its replies without confirmation.
  bool MayUsePrimary(const std::string& aGroup) const;
  // Whether statements may be sent to the primary provided that their replies are
  // confirmed if necessary.
  bool MayTryPrimary(const std::string& aGroup, TimePoint aNow) const;
  struct StandDownWait;
  // Polls until the statements have ended, closes the connections of those that are
  // left at the time limit, and calls back.
  void PollStandDown(const std::shared_ptr<StandDownWait>& aWait);
  // Applies a new record of a group.
  void OnChange(const GroupRecord& aRecord);
  // Whether the database is the group's primary by this change according to the latest
  // known record.
  bool IsInForce(const std::string& aGroup,
                 const std::string& aDatabase,
                 std::uint64_t aChange) const;
  // Whether the request waits for a connection to a database that is no longer the
  // primary.
  bool IsReplaced(const Pending& aPending) const;
  // Whether the request waits for a connection to a replica that accepts no new work
  // because it is being removed.
  bool IsAtLeavingReplica(const Pending& aPending) const;
  // Whether the request waits for a connection to a database that it may no longer use.
  bool IsAtExcluded(const Pending& aPending) const;
  // Why the request may not use the database; null if it may.
  const char* ReasonToExclude(const LeaseRequest& aRequest,
                              const ListedDatabase& aDatabase) const;
  // This daemon's part of the rate.
  double ColdShare(const ListedDatabase& aDatabase, double aRate) const;
  // Takes a start at the database if it is cold. Returns the time to try again if there
  // is none.
  std::optional<TimePoint> TakeColdStart(const ListedDatabase& aDatabase,
                                         TimePoint aNow);
  void NoteColdStatement(const std::string& aDatabase, TimePoint aNow);
  // Why no database can serve the request, so that waiting is in vain; null if one may.
  const char* ReasonToRefuse(const LeaseRequest& aRequest) const;
  // Withdraws the requests that wait for a former primary, for a replica that is being
  // removed, or for a database that they may no longer use. The next tick chooses
  // another database for them.
  void WithdrawPlacements(const std::string& aGroup);
  // Returns the leases in use on a primary that is no longer in force.
  std::vector<LeasePtr> LeasesOnReplacedPrimary(const std::string& aGroup) const;
  // Confirms that the primary in force had not been replaced before `aSince`, the time
  // at which the replies in question arrived.
  void ConfirmPrimary(const std::string& aGroup,
                      TimePoint aSince,
                      std::function<void(bool)> aDone);
  void StartRound(const std::string& aName);
  void OnRoundAnswer(const std::string& aName,
                     const RoundPtr& aRound,
                     const std::optional<ConnectionReply>& aReply);
  void OnRoundOver(const std::string& aName, const RoundPtr& aRound);
  void Place(std::uint64_t aTicket);
  void PlaceAt(std::uint64_t aTicket, const PoolPtr& aPool, bool aIsPrimary);
  void OnGranted(std::uint64_t aTicket, tl::expected<LeasePtr, Refusal> aLease);
  void PlaceRead(std::uint64_t aTicket);
  void Refuse(std::uint64_t aTicket, const char* aReason, TimePoint aRetryAt);
  PoolPtr FindPool(const std::string& aName) const;
  // The pool from which this daemon lends as a home of the database; null if it is
  // none.
  PoolPtr FindHomePool(const std::string& aName) const;
  // The same, but null while the database's zone is evacuated.
  PoolPtr FindLendingPool(const std::string& aName) const;
  // Gives the database's pools the kind and limit that this daemon's role asks for.
  void AssignRole(const ListedDatabase& aDatabase);
  void AssignRoles();
  HomePlan PlanFor(const ListedDatabase& aDatabase) const;
  std::size_t ConnectionsOf(const ListedDatabase& aDatabase) const;
  // Adapts a home's pools to the daemon's new rank among the homes, or to none.
  void MovePools(PoolPtr& aPool, PoolPtr& aHome, bool aIsHome, bool aIsFirst);
  // Replaces the pool unless it is of this kind.
  void SetPoolKind(PoolPtr& aPool, const ListedDatabase& aDatabase, PoolKind aKind);
  void RemovePools(const std::string& aName);
  void NoteHomeRole(const std::string& aDatabase, HomeRole aRole);
  // As second home of primaries, asks them for their status, so that a fault of the
  // first home is told from a fault of the database.
  void CheckPrimaries(TimePoint aNow);
  // Also as a home of any database, asks one that has left statements unanswered.
  bool MustCheck(const std::string& aDatabase,
                 const DatabasePool& aPool,
                 TimePoint aNow) const;
  // Bounds what this daemon starts, as a home, at cold databases.
  void ApplyColdRates(TimePoint aNow);
  Duration ExpectedWaitAt(const DatabasePool& aPool,
                          const StatementTerms& aTerms,
                          TimePoint aNow) const;
  void OnOverload(std::uint64_t aTicket, TimePoint aRetryAt);
  // Whether the database could not be reached a short time ago.
  bool IsSuspect(const DatabasePool& aPool, TimePoint aNow) const;
  Duration LatencyTo(const std::string& aZone) const;
  std::size_t LimitOf(const ListedDatabase& aDatabase) const;
  // Retires the pools of databases that have been missing from the store for too long.
  void RemoveMissing(TimePoint aNow);
  void Retire(PoolPtr aPool);
  void NoteHead(const std::string& aGroup,
                const std::string& aDatabase,
                const ConnectionReply& aReply,
                TimePoint aSentAt);
  void AskForHead(const std::string& aName, Group& aGroup, TimePoint aNow);

  Loop& mLoop;
  DatabaseConnector& mDatabases;
  StatusReader mReadStatus;
  LinkBorrower::Counter mCount;
  LinkBorrower mBorrower;
  LinkLender mLender;
  std::string mName;
  std::string mZone;
  std::map<std::string, std::string> mRegions;
  CataloguePtr mCatalogue;
  HomeFleet mHomeFleet;
  std::map<std::string, std::size_t> mDaemonsByZone;
  std::size_t mDaemons = 1;
  DatabaseList mList;
  Evacuations mEvacuations;
  std::vector<std::string> mDaemonNames;
  double mColdOver;
  double mColdSlack;
  std::map<std::string, ColdAllowance> mColdAllowances;
  // The pools from which this daemon's sessions get their connections.
  std::map<std::string, PoolPtr> mPools;
  // The pools of databases that this daemon is a home of. At the first home it is the
  // same pool as above; sessions of the second home go through the first one's queue.
  std::map<std::string, PoolPtr> mHomePools;
  std::map<std::string, HomeRole> mHomeRoles;
  TimePoint mNextPrimaryCheckAt{};
  // Pools of removed or replaced databases, kept while their connections are in use.
  std::vector<PoolPtr> mRetired;
  std::map<std::string, Group> mGroups;
  std::map<std::uint64_t, Pending> mPending;
  std::uint64_t mNextTicket = 1;
  TimePoint mContact{};
  bool mAsksForHeads = false;
};

} // namespace sesameway::proxy
