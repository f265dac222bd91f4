#pragma once

#include "sesameway/DatabaseList.h"
#include "sesameway/Leadership.h"
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
  // The end of the log that it has received; a replica applies it later.
  LogPosition mReceived;
  Duration mLag{};
  std::uint32_t mConnections = 0;
};

// The coordinator's part in one group: finds the first primary, notices that the
// primary is gone or leaving, and has another database take over. Nothing is sent to
// the old primary any more once the order goes out: each daemon has stood down, or has
// lost contact for so long that it may not use the primary. Before its first order each
// coordinator names the database in the record, so that no write that its predecessor
// has sent can be taken afterwards. An order without an answer may take effect late, so
// it is repeated to the same database; another one is named after a refusal only, and
// once no earlier order can take effect any more. While the primary serves, the other
// databases are asked until each is known to follow, and former primaries demoted.
class PromotionPlan
{
public:
  struct Probe
  {
    std::string mDatabase;
  };
  // Asks all contactReport daemons when they last heard from the primary.
  struct QueryDaemons
  {};
  // On condition of the record's revision.
  struct WriteRecord
  {
    GroupRecord mRecord;
    std::uint64_t mExpected = 0;
  };
  // To those that have not answered yet.
  struct AskStandDown
  {
    std::uint64_t mChange = 0;
    std::vector<std::string> mDaemons;
  };
  // The platform makes the database the primary of the next term.
  struct OrderPromotion
  {
    std::string mDatabase;
    // The daemons that have stood down, and those whose contact has run out instead.
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
    OutOfReachOfMost,
    ReplacedUnasked,
  };

  // What the daemon knows besides.
  struct ClusterState
  {
    std::vector<const ListedDatabase*> mDatabases;
    // All daemons that have a record in the store, this one included.
    std::vector<std::string> mDaemons;
    // Those of them that have not answered for long, and may be gone for good.
    std::set<std::string> mMissing;
    // Of the store; every daemon that had its record by then is among them.
    std::uint64_t mRevision = 0;
    // Of this coordinator's lease.
    std::uint64_t mFence = 0;
    std::string mSelf;
  };

  explicit PromotionPlan(std::string aGroup)
    : mGroup(std::move(aGroup))
  {
  }

  // Call every 50 to 100 ms while this daemon is the coordinator. The record is the
  // newest known, its revision 0 if the store has none.
  Actions Step(const GroupRecord& aRecord,
               std::uint64_t aRevision,
               const ClusterState& aClusterState,
               TimePoint aNow);

  // `aAskedAt`: when the command was sent that was answered.
  void OnReport(const std::string& aDatabase,
                const DatabaseReport& aReport,
                TimePoint aAskedAt);
  // Any answer of the database to this daemon.
  void OnHeard(const std::string& aDatabase, TimePoint aAt);
  // A contactReport's answer, or this daemon's own: how long the primary has left its
  // statements unanswered; none if it has not sent any for a while.
  void OnContactReport(const std::string& aDaemon,
                       std::optional<Duration> aSilence,
                       TimePoint aNow);
  void OnStoodDown(const std::string& aDaemon, std::uint64_t aChange);
  // The store has answered, whether it took the record or not. None: no answer.
  void OnWritten(std::optional<bool> aIsTaken, TimePoint aNow);
  // Whether the platform took the order; none without answer.
  void OnOrdered(std::optional<bool> aIsTaken, TimePoint aNow);
  // Why the change under way was begun.
  Cause ChangeCause() const { return mCause; }

private:
  struct DatabaseInfo
  {
    DatabaseReport mReport;
    // TimePoint{}: never.
    TimePoint mAskedAt{};
    TimePoint mHeardAt{};
    TimePoint mProbedAt{};
    // When the platform last refused to promote it.
    TimePoint mRefusedAt{};
    // Whether it follows the primary that serves, and how often it was asked for that.
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
  std::string ChooseTarget(const GroupRecord& aRecord,
                           const ClusterState& aClusterState,
                           TimePoint aNow) const;
  std::string FindTarget(const GroupRecord& aRecord,
                         const ClusterState& aClusterState,
                         TimePoint aNow) const;
  bool IsTargetRecorded(const std::string& aTarget,
                        const GroupRecord& aRecord,
                        std::uint64_t aRevision,
                        const ClusterState& aClusterState) const;
  // From when on no order that was sent can take effect any more.
  TimePoint OrderEffectDeadline() const;
  // The same once the change is over, or another has begun.
  TimePoint OrderEffectDeadlineAfterChange() const;
  std::vector<std::string> NotStoodDown(const ClusterState& aClusterState) const;
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
  // No write is sent before this; the last one may still be under way.
  TimePoint mWriteAgainAt{};
  Cause mCause = Cause::None;
  // The last change whose end this plan has seen.
  std::uint64_t mServedChange = 0;
  TimePoint mServingSince{};
  // The change that the following belongs to.
  std::uint64_t mChange = 0;
  TimePoint mChangingSince{};
  TimePoint mQuiescedAt{};
  std::set<std::string> mStoodDown;
  // A write under way may still replace a record of this revision.
  std::uint64_t mWriteBaseRevision = 0;
  // By this plan, in any change.
  bool mHasRecordedTarget = false;
  // The last order of the change; empty: none yet.
  std::string mOrdered;
  TimePoint mOrderedAt{};
  // None: no answer so far.
  std::optional<bool> mIsOrderTaken;
  TimePoint mOrderAgainAt{};
  // By the orders before that one.
  TimePoint mEarlierOrderDeadline{};
};
inline constexpr NameTable<PromotionPlan::Cause, 6> kPromotionCauseNames{
  { "none",
    "no_record",
    "leaving",
    "silent",
    "out_of_reach_of_most",
    "replaced_unasked" }
};

} // namespace sesameway
