#pragma once

#include "sesameway/DatabaseList.h"
#include "sesameway/Leadership.h"
#include "sesameway/PromotionTarget.h"
#include "sesameway/Token.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace sesameway {

// A database's answer to a status command.
struct DatabaseReport
{
  DatabaseRole mRole = DatabaseRole::Unknown;
  std::uint64_t mTerm = 0;
  // The last log position that the database has received. A replica may not have
  // applied it yet.
  LogPosition mReceived;
  Duration mLag{};
  std::uint32_t mConnections = 0;
};

// Changes the primary of one group, on the daemon that holds the coordinator lease. It
// finds the first primary, detects that the primary has failed or is leaving, and has
// another database promoted. Passive: the caller performs the actions that Step returns
// and reports their results. A promotion is ordered only once no daemon sends anything
// to the old primary any more: each daemon has either stood down or has been without
// contact with the store for so long that it may not use the primary. Before its first
// order, each coordinator records its target in the group record, so that no
// conditional write still in flight from its predecessor can succeed afterwards. An
// unanswered order may take effect late. It is therefore repeated to the same database;
// another database is chosen only after a refusal and once no earlier order can still
// take effect. Where commits wait for replicas, no database is promoted that may lack
// an acknowledged commit while one that may hold it is listed. While the primary
// serves, the other databases are polled until each is known to follow it, and former
// primaries are demoted.
class PromotionPlan
{
public:
  struct Probe
  {
    std::string mDatabase;
  };
  // Asks every other daemon for its contact report on the primary. Unless the question
  // is urgent, reports of daemons that have lost the primary suffice, also a few
  // seconds later.
  struct QueryDaemons
  {
    bool mIsUrgent = false;
  };
  // Writes the group record on condition that its stored revision is mExpected; 0 means
  // that no record exists yet.
  struct WriteRecord
  {
    GroupRecord mRecord;
    std::uint64_t mExpected = 0;
  };
  // Asks the daemons that have not confirmed yet to stop using the old primary.
  struct AskStandDown
  {
    std::uint64_t mChange = 0;
    std::vector<std::string> mDaemons;
  };
  // Orders the platform to make the database the primary of the next term.
  struct OrderPromotion
  {
    std::string mDatabase;
    // For the log: the last log position that each listed database has reported, as
    // "database@term.number", and ":leaving" behind one that leaves.
    std::vector<std::string> mReports;
    // For the log: how many daemons have stood down, and the names of those whose
    // contact has expired instead.
    std::size_t mStoodDown = 0;
    std::vector<std::string> mWaitedOut;
  };
  struct OrderDemotion
  {
    std::string mDatabase;
    std::uint64_t mTerm = 0;
  };
  using Action = std::variant<Probe,
                              QueryDaemons,
                              WriteRecord,
                              AskStandDown,
                              OrderPromotion,
                              OrderDemotion>;
  using Actions = std::vector<Action>;

  enum class Cause : std::uint8_t
  {
    None,
    NoRecord,
    Leaving,
    Silent,
    // The primary is silent for most daemons, though not for this one.
    OutOfReachOfMost,
    // Another database is primary of a newer term without an order of the coordinator.
    ReplacedUnasked,
    Evacuated,
  };

  // The coordinator's view of the group's databases and of all daemons.
  struct ClusterState
  {
    std::vector<const ListedDatabase*> mDatabases;
    // All daemons that have a record in the store, this one included.
    std::vector<std::string> mDaemons;
    // The daemons of mDaemons that are marked as missing: they have not answered for a
    // long time and may be gone for good.
    std::set<std::string> mMissing;
    // Store revision of this view. mDaemons includes every daemon whose record was
    // written by then.
    std::uint64_t mRevision = 0;
    // Fencing token of this coordinator's lease.
    std::uint64_t mFence = 0;
    std::string mSelf;
    // Databases of these zones are not used: their primaries are replaced, and none of
    // them becomes primary, unless it alone holds acknowledged commits.
    std::set<std::string> mEvacuatedZones;
    // How many replicas have received a commit of the group before it is acknowledged;
    // none if the configuration in force doesn't say.
    std::optional<std::uint32_t> mSyncReplicas;
    bool IsEvacuated(const ListedDatabase& aDatabase) const
    {
      return mEvacuatedZones.contains(aDatabase.mZone);
    }
  };

  explicit PromotionPlan(std::string aGroup)
    : mGroup(std::move(aGroup))
  {
  }

  // Call every 50 to 100 ms while this daemon is the coordinator. `aRecord` is the
  // newest group record known and `aRevision` its revision, 0 if the store has none.
  Actions Step(const GroupRecord& aRecord,
               std::uint64_t aRevision,
               const ClusterState& aClusterState,
               TimePoint aNow);

  // `aAskedAt` is when the answered status command was sent.
  void OnReport(const std::string& aDatabase,
                const DatabaseReport& aReport,
                TimePoint aAskedAt);
  // Records that the database answered any request of this daemon.
  void OnHeard(const std::string& aDatabase, TimePoint aAt);
  // Records the contact report of another daemon or of this one. `aSilence` is how long
  // the primary has left the daemon's statements unanswered; nullopt if the daemon has
  // not sent it any for a while.
  void OnContactReport(const std::string& aDaemon,
                       std::optional<Duration> aSilence,
                       TimePoint aNow);
  void OnStoodDown(const std::string& aDaemon, std::uint64_t aChange);
  // Result of a WriteRecord: whether the store accepted the record, or nullopt if it
  // did not answer.
  void OnWritten(std::optional<bool> aIsTaken, TimePoint aNow);
  // Result of an OrderPromotion: whether the platform accepted the order, or nullopt if
  // it did not answer.
  void OnOrdered(std::optional<bool> aIsTaken, TimePoint aNow);
  // Why the current change of primary was started.
  Cause ChangeCause() const { return mCause; }
  // Why the last Step ordered no promotion although no daemon used the old primary;
  // None if there was no such reason.
  PromotionWait Wait() const { return mWait; }

private:
  struct DatabaseInfo
  {
    DatabaseReport mReport;
    // When the status command of the last report was sent; TimePoint{} if there is no
    // report.
    TimePoint mAskedAt{};
    TimePoint mHeardAt{};
    TimePoint mProbedAt{};
    // When the platform last refused to promote this database.
    TimePoint mRefusedAt{};
    // How often the database was asked whether it follows the current primary, and when
    // it is asked again.
    int mFollowChecks = 0;
    TimePoint mNextFollowCheck{};
  };
  struct ContactReport
  {
    std::optional<Duration> mSilence;
    TimePoint mAnsweredAt{};
  };

  void StepLearning(const ClusterState& aClusterState,
                    TimePoint aNow,
                    Actions& aActions);
  void StepServing(const GroupRecord& aRecord,
                   std::uint64_t aRevision,
                   const ClusterState& aClusterState,
                   TimePoint aNow,
                   Actions& aActions);
  void StepChanging(const GroupRecord& aRecord,
                    std::uint64_t aRevision,
                    const ClusterState& aClusterState,
                    TimePoint aNow,
                    Actions& aActions);
  void DemoteFormer(const GroupRecord& aRecord,
                    const ClusterState& aClusterState,
                    TimePoint aNow,
                    Actions& aActions);
  Cause FindCause(const GroupRecord& aRecord,
                  const ClusterState& aClusterState,
                  TimePoint aNow) const;
  bool IsOutOfReach(const ClusterState& aClusterState, TimePoint aNow) const;
  bool IsQuiesced(const GroupRecord& aRecord,
                  std::uint64_t aRevision,
                  const ClusterState& aClusterState,
                  TimePoint aNow,
                  Actions& aActions) const;
  bool CanReplace(Cause aCause,
                  const GroupRecord& aRecord,
                  const ClusterState& aClusterState,
                  TimePoint aNow) const;
  PromotionSurvey Survey(const GroupRecord& aRecord,
                         const ClusterState& aClusterState,
                         TimePoint aNow) const;
  tl::expected<std::string, PromotionWait> FindTarget(const GroupRecord& aRecord,
                                                      const ClusterState& aClusterState,
                                                      TimePoint aNow) const;
  bool IsTargetRecorded(const std::string& aTarget,
                        const GroupRecord& aRecord,
                        std::uint64_t aRevision,
                        const ClusterState& aClusterState) const;
  // Time from which no promotion order sent so far can take effect.
  TimePoint OrderEffectDeadline() const;
  // The same for use after the current change, when an order that the platform accepted
  // has already taken effect.
  TimePoint OrderEffectDeadlineAfterChange() const;
  std::vector<std::string> NotStoodDown(const ClusterState& aClusterState) const;
  std::vector<std::string> DescribeReports(const ClusterState& aClusterState) const;
  bool FinishIfTaken(const GroupRecord& aRecord,
                     std::uint64_t aRevision,
                     const ClusterState& aClusterState,
                     TimePoint aNow,
                     Actions& aActions);
  void ProbeAll(const ClusterState& aClusterState,
                Duration aInterval,
                TimePoint aNow,
                Actions& aActions);
  void Write(GroupRecord aRecord,
             std::uint64_t aRevision,
             TimePoint aNow,
             Actions& aActions);

  std::string mGroup;
  std::map<std::string, DatabaseInfo> mDatabases;
  std::map<std::string, ContactReport> mContactReports;
  TimePoint mStartedAt{};
  TimePoint mDaemonsQueriedAt{};
  // When a daemon last reported that it had lost the primary.
  TimePoint mLossReportedAt{};
  // No record is written before this time, as the previous write may still be in
  // flight.
  TimePoint mWriteAgainAt{};
  Cause mCause = Cause::None;
  PromotionWait mWait = PromotionWait::None;
  // The last change that this plan has seen completed.
  std::uint64_t mServedChange = 0;
  TimePoint mServingSince{};
  // The change that the members below belong to.
  std::uint64_t mChange = 0;
  TimePoint mChangingSince{};
  TimePoint mQuiescedAt{};
  std::set<std::string> mStoodDown;
  // A write that is still in flight may replace the record of this revision.
  std::uint64_t mWriteBaseRevision = 0;
  // Whether this plan has sent a write that records a target, in this change or an
  // earlier one.
  bool mHasRecordedTarget = false;
  // The database of the last promotion order in this change; empty if none was sent.
  std::string mOrdered;
  TimePoint mOrderedAt{};
  // Whether the platform accepted that order; nullopt while there is no answer.
  std::optional<bool> mIsOrderTaken;
  TimePoint mOrderAgainAt{};
  // Time from which no order sent before the one to mOrdered can take effect.
  TimePoint mEarlierOrderDeadline{};
};
inline constexpr NameTable<PromotionPlan::Cause, 7> kPromotionCauseNames{
  { "none",
    "no_record",
    "leaving",
    "silent",
    "out_of_reach_of_most",
    "replaced_unasked",
    "evacuated" }
};

} // namespace sesameway
