#pragma once

#include "sesameway/Database.h"
#include "sesameway/GroupRequest.h"
#include "sesameway/Routing.h"

#include <optional>
#include <variant>

namespace sesameway {

// Actions that a plan requests from its driver, one at a time. The driver performs the
// action and reports the result by the event named in the action's comment. Tests drive
// the plans through the same interface.

// Apply ChooseForRead or ChooseForWrite to the current view of the group, then call
// OnRoute.
struct ChooseRoute
{
  bool mForRead;
};
// Acquire a connection to the database, then call OnConnection.
struct AcquireConnection
{
  std::size_t mDatabase;
  TimePoint mDeadline;
};
// Send the command over the connection acquired last, release the connection once the
// reply has arrived or is lost, then call OnReply.
struct SendCommand
{
  DatabaseCommand mCommand;
  TimePoint mDeadline;
};
// Wait until a primary of a term later than mAfterTerm is known, then call OnPrimary.
struct AwaitPrimary
{
  std::uint64_t mAfterTerm;
  TimePoint mDeadline;
};
// Wait until IsSafe holds for the entry, then call OnSafe.
struct AwaitSafe
{
  LogPosition mEntry;
  TimePoint mDeadline;
};
// Wait until IsConfirmed holds for the entry's term and IsSafe for the entry, then call
// OnConfirmed.
struct AwaitConfirmed
{
  LogPosition mEntry;
  TimePoint mSince;
  TimePoint mDeadline;
};
// Wait until mAt, then call OnRetry.
struct AwaitRetry
{
  TimePoint mAt;
};
// The plan is complete.
struct FinishStatement
{
  Answer mAnswer;
  // The database that served the statement, if any.
  std::optional<std::size_t> mDatabase;
};
using PlanAction = std::variant<ChooseRoute,
                                AcquireConnection,
                                SendCommand,
                                AwaitPrimary,
                                AwaitSafe,
                                AwaitConfirmed,
                                AwaitRetry,
                                FinishStatement>;

enum class WaitResult : std::uint8_t
{
  Reached,
  // The awaited condition can no longer occur, usually because of a newer term.
  Overtaken,
  Expired,
};
inline constexpr NameTable<WaitResult, 3> kWaitResultNames{
  { "reached", "overtaken", "expired" }
};

// Returns the id under which a database records the result of a request; empty if the
// request has no id. It contains the organisation and the route, so that nobody can
// obtain another caller's result.
std::string RecordedId(const GroupRequest& aRequest);

// Whether the recorded result is the cancellation that a lookup writes, which proves
// that the request did not run.
bool IsCancelled(const DatabaseReply& aReply);

// Runs one statement outside transactions: a read, a write, or the lookup of a request
// id. Passive: each event takes the current time and returns the next action.
class StatementPlan
{
public:
  explicit StatementPlan(GroupRequest aRequest);

  PlanAction Start(TimePoint aNow);
  // `aTerm` is the term of the chosen primary, if a primary was chosen.
  PlanAction OnRoute(const RouteDecision& aDecision,
                     std::uint64_t aTerm,
                     TimePoint aNow);
  PlanAction OnConnection(bool aIsGranted, Reason aReason, TimePoint aNow);
  // `aMeetsRequirement` is the result of MeetsRequirement for the reply's position; it
  // is used for reads at replicas.
  PlanAction OnReply(DatabaseReply aReply, bool aMeetsRequirement, TimePoint aNow);
  // WaitResult::Overtaken means that no majority of the group is reachable.
  PlanAction OnPrimary(WaitResult aEnd, TimePoint aNow);
  PlanAction OnSafe(WaitResult aEnd, TimePoint aNow);
  PlanAction OnConfirmed(WaitResult aEnd, TimePoint aNow);
  PlanAction OnRetry(TimePoint aNow);

  const GroupRequest& Request() const { return mRequest; }

private:
  PlanAction Route(TimePoint aNow);
  PlanAction OnReadReply(bool aMeetsRequirement, TimePoint aNow);
  PlanAction OnLost(TimePoint aNow);
  // Counts a replica that could not serve the statement. After a few of them only the
  // primary is asked.
  void CountReplicaFailure();
  PlanAction Done();
  PlanAction GiveUp(Reason aReason, TimePoint aNow) const;
  PlanAction Cancelled() const;
  DatabaseCommand MakeCommand() const;
  TimePoint AttemptDeadline(TimePoint aNow) const;

  GroupRequest mRequest;
  bool mIsRead;
  // False for a write without a request id, which must not be sent again once it may
  // have reached a database.
  bool mMayRepeat;
  // Whether an attempt was sent whose outcome is unknown.
  bool mMayHaveRun = false;
  bool mIsReplica = false;
  int mReplicaFailures = 0;
  bool mPrimaryOnly = false;
  std::size_t mDatabase = 0;
  std::uint64_t mTerm = 0;
  TimePoint mReadBegan{};
  DatabaseReply mReply;
};

} // namespace sesameway
