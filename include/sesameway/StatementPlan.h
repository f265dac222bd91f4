#pragma once

#include "sesameway/Database.h"
#include "sesameway/GroupRequest.h"
#include "sesameway/Routing.h"

#include <optional>
#include <variant>

namespace sesameway {

// What a plan asks of its driver, one thing at a time. The driver does it and tells the
// plan by the event that is named with each; a bench drives the same seam.

// Apply ChooseForRead or ChooseForWrite to the group as it is known; then OnRoute.
struct ChooseRoute
{
  bool mForRead;
};
// Borrow a connection to the database; then OnConnection.
struct AcquireConnection
{
  std::size_t mDatabase;
  TimePoint mDeadline;
};
// Send over the connection borrowed last and give it back when the reply is in or lost;
// then OnReply.
struct SendCommand
{
  DatabaseCommand mCommand;
  TimePoint mDeadline;
};
// Until a primary of a term after this one is known; then OnPrimary.
struct AwaitPrimary
{
  std::uint64_t mAfterTerm;
  TimePoint mDeadline;
};
// Until IsSafe holds for the entry; then OnSafe.
struct AwaitSafe
{
  LogPosition mEntry;
  TimePoint mDeadline;
};
// Until IsConfirmed and IsSafe hold for the entry's term and the entry; then
// OnConfirmed.
struct AwaitConfirmed
{
  LogPosition mEntry;
  TimePoint mSince;
  TimePoint mDeadline;
};
// Until the time given; then OnRetry.
struct AwaitRetry
{
  TimePoint mAt;
};
// The plan is over.
struct FinishStatement
{
  Answer mAnswer;
  // The database that served it.
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
  // What was waited for can't come any more, as a rule for a newer term.
  Overtaken,
  Expired,
};
inline constexpr NameTable<WaitResult, 3> kWaitResultNames{
  { "reached", "overtaken", "expired" }
};

// The id under which a database records the result of a request. Names the
// organisation and route, so that nobody is given another's result.
std::string RecordedId(const GroupRequest& aRequest);

// Whether the recorded result says that a lookup came first: the request did not run.
bool IsCancelled(const DatabaseReply& aReply);

// One statement outside transactions: a read, a write, or the lookup of a request id.
// Passive: each event takes the present time and returns what to do next.
class StatementPlan
{
public:
  explicit StatementPlan(GroupRequest aRequest);

  PlanAction Start(TimePoint aNow);
  // `aTerm` is the term of the primary chosen, if one was.
  PlanAction OnRoute(const RouteDecision& aDecision,
                     std::uint64_t aTerm,
                     TimePoint aNow);
  PlanAction OnConnection(bool aIsGranted, Reason aReason, TimePoint aNow);
  // `aMeetsRequirement`: MeetsRequirement for the reply's position, asked for reads at
  // replicas.
  PlanAction OnReply(DatabaseReply aReply, bool aMeetsRequirement, TimePoint aNow);
  // Overtaken: the group has no majority in reach.
  PlanAction OnPrimary(WaitResult aEnd, TimePoint aNow);
  PlanAction OnSafe(WaitResult aEnd, TimePoint aNow);
  PlanAction OnConfirmed(WaitResult aEnd, TimePoint aNow);
  PlanAction OnRetry(TimePoint aNow);

  const GroupRequest& Request() const { return mRequest; }

private:
  PlanAction Route(TimePoint aNow);
  PlanAction OnReadReply(bool aMeetsRequirement, TimePoint aNow);
  PlanAction OnLost(TimePoint aNow);
  // After some replicas that could not serve the primary is asked.
  void CountReplicaFailure();
  PlanAction Done();
  PlanAction GiveUp(Reason aReason, TimePoint aNow) const;
  PlanAction Cancelled() const;
  DatabaseCommand MakeCommand() const;
  TimePoint AttemptDeadline(TimePoint aNow) const;

  GroupRequest mRequest;
  bool mIsRead;
  // A write without a request id must not be sent again once it may have left.
  bool mMayRepeat;
  // An attempt was sent and its fate is not known.
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
