#pragma once

#include "sesameway/NameTable.h"
#include "sesameway/Time.h"
#include "sesameway/Token.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace sesameway {

enum class OperationKind : std::uint8_t
{
  Get,
  Put,
  Add,
  Scan,
};
inline constexpr NameTable<OperationKind, 4> kOperationKindNames{
  { "get", "put", "add", "scan" }
};

struct Operation
{
  OperationKind mKind = OperationKind::Get;
  std::string mKey;
  std::string mValue;
};

struct Row
{
  std::string mKey;
  std::string mValue;
  bool operator==(const Row&) const = default;
};

enum class StatementKind : std::uint8_t
{
  Execute,
  Begin,
  Commit,
  Rollback,
  // Determines the outcome of a request id: returns its recorded result, or else
  // records that the request did not run, after which it can never run.
  Lookup,
};
inline constexpr NameTable<StatementKind, 5> kStatementKindNames{
  { "execute", "begin", "commit", "rollback", "lookup" }
};

inline constexpr std::size_t kMaxOperations = 64;
inline constexpr std::size_t kMaxKeyBytes = 256;
inline constexpr std::size_t kMaxValueBytes = 65'536;
inline constexpr std::size_t kMaxRequestIdBytes = 128;
inline constexpr std::size_t kMaxTokenEntries = 64;
inline constexpr std::size_t kMaxNameBytes = 256;
// Keys with this prefix are reserved for the proxy's own records.
inline constexpr std::string_view kReservedKeyPrefix = "\x01sesameway/";

// A caller's request, decoded from the wire format.
struct Statement
{
  std::uint64_t mId = 0;
  std::string mRoute;
  StatementKind mKind = StatementKind::Execute;
  std::vector<Operation> mOperations;
  // Identifies the request across retries. If it is empty, a request that may have an
  // effect must not be retried.
  std::string mRequestId;
  SessionToken mToken;
  TimePoint mDeadline;

  bool Writes() const;
  // Whether it is unknown, if the answer is lost, what effect the statement had.
  bool MayHaveEffect() const;
};

enum class Outcome : std::uint8_t
{
  // The statement ran, and the answer is complete.
  Done,
  // The statement is proved to have had no effect.
  NotRun,
  // The statement may or may not have had its effect; a lookup by request id determines
  // which.
  Unknown,
};
inline constexpr NameTable<Outcome, 3> kOutcomeNames{
  { "done", "not_run", "unknown" }
};

enum class Reason : std::uint8_t
{
  None,
  Malformed,
  TooLarge,
  UnknownRoute,
  BadToken,
  NoKey,
  KeyRefused,
  NotPermitted,
  RateExceeded,
  QueueFull,
  DeadlinePassed,
  NoPrimary,
  NoConnection,
  Conflict,
  Draining,
  NotReady,
  ConnectionLost,
  NotSafeInTime,
  TransactionState,
  NotRecorded,
  Isolated,
};
inline constexpr NameTable<Reason, 21> kReasonNames{ { "none",
                                                       "malformed",
                                                       "too_large",
                                                       "unknown_route",
                                                       "bad_token",
                                                       "no_key",
                                                       "key_refused",
                                                       "not_permitted",
                                                       "rate_exceeded",
                                                       "queue_full",
                                                       "deadline",
                                                       "no_primary",
                                                       "no_connection",
                                                       "conflict",
                                                       "draining",
                                                       "not_ready",
                                                       "connection_lost",
                                                       "not_safe_in_time",
                                                       "transaction_state",
                                                       "not_recorded",
                                                       "isolated" } };

struct Answer
{
  std::uint64_t mId = 0;
  Outcome mOutcome = Outcome::NotRun;
  Reason mReason = Reason::None;
  std::string mDetail;
  std::vector<Row> mRows;
  // The positions that this answer adds to the session's token; after
  // SessionPlan::OnAnswer, the session's whole token.
  SessionToken mToken;
  // When to retry, by this process's clock; TimePoint{} if a retry is of no use.
  TimePoint mRetryAt{};
  // The database that served the statement.
  std::string mServedBy;
};

// Returns an answer that says that the statement had no effect.
Answer NotRun(Reason aReason, TimePoint aRetryAt = {}, std::string aDetail = {});
// Returns an answer that says that the outcome is unknown.
Answer Unknown(Reason aReason, TimePoint aRetryAt = {}, std::string aDetail = {});

// Checks the form of a statement. Returns the reason to refuse it, or Reason::None if
// it is valid.
Reason CheckForm(const Statement& aStatement);

} // namespace sesameway
