#pragma once

#include "proxy/Backend.h"
#include "proxy/DatabasePool.h"
#include "proxy/Loop.h"
#include "proxy/Settings.h"
#include "sesameway/HeadQuestions.h"
#include "sesameway/Leadership.h"
#include "sesameway/Promotion.h"
#include "sesameway/ReplicaChoice.h"
#include "sesameway/Routing.h"

#include <functional>
#include <map>
#include <memory>
#include <set>

namespace sesameway::proxy {

// All databases as this daemon sees them: which it may use for what, and its
// connections to them. On the loop's thread. FleetPlacement.cpp holds who gets a
// connection where, FleetPrimary.cpp what a change of primary does, FleetHeads.cpp what
// is known of primaries' positions.
class DatabaseFleet : public Backend
{
public:
  using StatusReader = std::function<std::optional<DatabaseReport>(const std::string&)>;
  DatabaseFleet(Loop& aLoop,
                DatabaseConnector& aDatabases,
                const Settings& aSettings,
                StatusReader aReadStatus);

  void SetCatalogue(CataloguePtr aCatalogue);
  // Zones of all daemons, this one included, to share out connections.
  void SetDaemonZones(const std::vector<std::string>& aZones);
  void OnListed(const ListedDatabase& aDatabase);
  void OnRemoved(const std::string& aName);
  void OnRecord(const GroupRecord& aRecord, std::uint64_t aRevision);
  // When it was last known that all changes of records up to then are here.
  void SetContact(TimePoint aContact);
  // Whether this daemon asks primaries for their positions often, for its fellows too;
  // otherwise fellows tell, and it asks only if they don't.
  void SetAsksForHeads(bool aAsks) { mAsksForHeads = aAsks; }
  // Of each group, as of the time of its own question.
  std::map<std::string, HeadHistory::Sample> Heads() const;
  // A fellow's, which knew that the primary was in force; `aAt` is not later than the
  // fellow's question.
  void OnPeerHead(const std::string& aGroup, const LogPosition& aHead, TimePoint aAt);
  TimePoint Contact() const { return mContact; }
  // Sends nothing more to the group's primary. Calls back when nothing is under way
  // there.
  void StandDown(const std::string& aGroup,
                 std::uint64_t aChange,
                 std::function<void()> aDone);
  // Every 50 ms or so.
  void Tick();
  // A line for each group on the primary that it is taken to have.
  void LogGroups() const;

  std::vector<const ListedDatabase*> OfGroup(const std::string& aGroup) const
  {
    return mList.OfGroup(aGroup);
  }
  std::set<std::string> Groups() const;
  const Leadership* FindLeadership(const std::string& aGroup) const;
  // A status or demote command.
  void Ask(const std::string& aDatabase,
           const ConnectionCommand& aCommand,
           TimePoint aDeadline,
           std::function<void(std::optional<ConnectionReply>)> aDone);
  TimePoint HeardAt(const std::string& aDatabase) const;
  std::optional<Duration> Silence(const std::string& aDatabase, TimePoint aNow) const;

  std::uint64_t Acquire(const LeaseRequest& aNeed, LeaseCallback aDone) override;
  void CancelAcquire(std::uint64_t aTicket) override;
  void Release(const LeasePtr& aLease, bool aIsBroken) override;
  bool IsInForce(const ConnectionLease& aLease) const override;
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
  // A question to all databases of a group but its primary.
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
    // Of the primary that it is about.
    std::uint64_t mChange = 0;
    TimePoint mSince;
    std::function<void(bool)> mDone;
  };
  // A primary's head that counts once a round after it has been confirmed.
  struct ProposedHead
  {
    LogPosition mPosition;
    TimePoint mSentAt;
    TimePoint mReceivedAt;
  };
  struct Group
  {
    Leadership mLeadership;
    // When the record in force came here.
    TimePoint mRecordedAt{};
    HeadHistory mHeads;
    HeadPollSchedule mHeadPollSchedule;
    std::optional<ProposedHead> mProposed;
    RoundPtr mRound;
    std::vector<Confirmation> mConfirmations;
    TimePoint mRoundFailedAt{};
  };
  struct Pending
  {
    LeaseRequest mNeed;
    LeaseCallback mDone;
    // Where it waits; empty while it waits for a primary.
    std::string mDatabase;
    // Whether it waits there because the database is the primary, by this change.
    bool mIsAtPrimary = false;
    std::uint64_t mChange = 0;
  };

  // Whether the group's primary may be used, and its answers believed.
  bool MayUsePrimary(const std::string& aGroup) const;
  // Whether statements may be sent to the primary, if their answers are confirmed.
  bool MayTryPrimary(const std::string& aGroup, TimePoint aNow) const;
  struct Ending;
  // Until they have ended, or their time is over.
  void PollEnding(const std::shared_ptr<Ending>& aEnding);
  // A record of the group is new.
  void OnChange(const GroupRecord& aRecord);
  // Whether the database is the group's primary by this change, as far as is known.
  bool IsInForce(const std::string& aGroup,
                 const std::string& aDatabase,
                 std::uint64_t aChange) const;
  // Whether it waits at a database that is not the primary any more.
  bool IsReplaced(const Pending& aPending) const;
  // Whether it waits at a replica that takes no new work.
  bool IsAtLeavingReplica(const Pending& aPending) const;
  // Those that wait at a database that is not the primary any more, or at a replica
  // that leaves, are placed anew.
  void WithdrawPlacements(const std::string& aGroup);
  // Connections to a primary that are in use and not in force any more.
  std::vector<LeasePtr> Replaced(const std::string& aGroup) const;
  // Of answers that came after `aSince`, about the primary in force.
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
  Duration DistanceTo(const std::string& aZone) const;
  std::size_t LimitOf(const ListedDatabase& aDatabase) const;
  void SetLimits();
  // Gives up the databases that have been missing from the store too long.
  void ForgetMissing(TimePoint aNow);
  void Retire(PoolPtr aPool);
  void NoteHead(const std::string& aGroup,
                const std::string& aDatabase,
                const ConnectionReply& aReply,
                TimePoint aSentAt);
  void AskForHead(const std::string& aName, Group& aGroup, TimePoint aNow);

  Loop& mLoop;
  DatabaseConnector& mDatabases;
  StatusReader mReadStatus;
  std::string mZone;
  std::map<std::string, std::string> mRegions;
  CataloguePtr mCatalogue;
  std::map<std::string, std::size_t> mDaemonsByZone;
  std::size_t mDaemons = 1;
  DatabaseList mList;
  std::map<std::string, PoolPtr> mPools;
  // Of earlier entries, while their connections are in use.
  std::vector<PoolPtr> mRetired;
  std::map<std::string, Group> mGroups;
  std::map<std::uint64_t, Pending> mPending;
  std::uint64_t mNextTicket = 1;
  TimePoint mContact{};
  bool mAsksForHeads = false;
};

} // namespace sesameway::proxy
