#pragma once

#include "sesameway/NameTable.h"
#include "sesameway/Time.h"
#include "sesameway/Token.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace sesameway {

// Kinds of commands to a database over a connection that sessions use in turn.
enum class CommandKind : std::uint8_t
{
  // Begin starts a transaction that may write, BeginRead one that only reads.
  Begin,
  BeginRead,
  Commit,
  Rollback,
  Read,
  Write,
  // Sets a session value.
  Set,
  Prepare,
  ExecuteRead,
  ExecuteWrite,
  // Drops all values and prepared statements of the connection.
  Reset,
  Status,
  // Turns a primary of a lower term into a replica.
  Demote,
};
inline constexpr NameTable<CommandKind, 13> kCommandKindNames{ { "begin",
                                                                 "begin_read",
                                                                 "commit",
                                                                 "rollback",
                                                                 "read",
                                                                 "write",
                                                                 "set",
                                                                 "prepare",
                                                                 "execute_read",
                                                                 "execute_write",
                                                                 "reset",
                                                                 "status",
                                                                 "demote" } };

inline bool IsWrite(CommandKind aKind)
{
  return aKind == CommandKind::Write || aKind == CommandKind::ExecuteWrite;
}

inline bool IsRead(CommandKind aKind)
{
  return aKind == CommandKind::Read || aKind == CommandKind::ExecuteRead;
}

struct ConnectionCommand
{
  CommandKind mKind = CommandKind::Read;
  // The caller's request id; empty for the proxy's own commands.
  std::string mId;
  // Read, write, commit: the caller's text, passed on unchanged. Execute: the text that
  // follows the prepared statement's name. Set: the value. Prepare: the statement's
  // shape.
  std::string mText;
  // Name of the session value, or of the prepared statement on this connection.
  std::string mName;
  // Prepare: whether the statement writes.
  bool mPreparesWrite = false;
  // The database refuses the read or the begin if its log does not hold this position.
  std::optional<LogPosition> mAfter;
  // Demote: the term of the primary that has replaced this one.
  std::uint64_t mTerm = 0;
};

// How a statement or an attempt ended.
enum class ReplyCode : std::uint8_t
{
  Done,
  // The six codes from Busy to TooManyConnections guarantee that nothing of the
  // caller's attempt is kept.
  Busy,
  Aborted,
  Behind,
  ReadOnly,
  WrongDatabase,
  TooManyConnections,
  // The database does not know the prepared statement and has not run it.
  NotPrepared,
  // The statement ran and failed.
  Failed,
  TimedOut,
  Denied,
  NoRoute,
  TooLarge,
  Malformed,
  // It is unknown whether the statement ran.
  Unknown,
  // The connection broke before the whole reply had arrived.
  Lost,
};
inline constexpr NameTable<ReplyCode, 16> kReplyCodeNames{ { "done",
                                                             "busy",
                                                             "aborted",
                                                             "behind",
                                                             "read_only",
                                                             "wrong_database",
                                                             "too_many_connections",
                                                             "not_prepared",
                                                             "failed",
                                                             "timed_out",
                                                             "denied",
                                                             "no_route",
                                                             "too_large",
                                                             "malformed",
                                                             "unknown",
                                                             "lost" } };

// Whether this code proves that the database has not run the statement.
constexpr bool IsNotRun(ReplyCode aCode)
{
  return aCode == ReplyCode::Busy || aCode == ReplyCode::Aborted ||
         aCode == ReplyCode::Behind || aCode == ReplyCode::ReadOnly ||
         aCode == ReplyCode::WrongDatabase || aCode == ReplyCode::TooManyConnections ||
         aCode == ReplyCode::NotPrepared;
}

enum class TransactionState : std::uint8_t
{
  None,
  Open,
  // The database accepts only the end of the transaction, which rolls it back.
  Failed,
};

struct ConnectionReply
{
  ReplyCode mCode = ReplyCode::Lost;
  // The database's error text, for the log.
  std::string mDetail;
  std::vector<std::string> mRows;
  // The database's digest of the rows, passed on unchanged with them.
  std::string mDigest;
  TransactionState mTransaction = TransactionState::None;
  // The end of the database's log after the statement, if the database reports it.
  std::optional<LogPosition> mPosition;
  // Set if the statement was refused before it was sent to the database: when to try
  // again.
  std::optional<TimePoint> mRetryAt;
};

// Whether the reply says that nothing of the batch was sent to a database.
inline bool IsUnsent(const ConnectionReply& aReply)
{
  return aReply.mRetryAt.has_value();
}

// A prepared statement, identified by its content rather than its name.
struct PreparedStatement
{
  bool mIsWrite = false;
  std::string mShape;
  bool operator==(const PreparedStatement&) const = default;
  // A defaulted operator<=> is read as a comparison with 0 by the linter.
  bool operator<(const PreparedStatement& aOther) const
  {
    return std::tie(mIsWrite, mShape) < std::tie(aOther.mIsWrite, aOther.mShape);
  }
};

using SessionValues = std::map<std::string, std::string>;

// Session values and prepared statements on a shared connection. Determines what must
// be sent so that the next session's statement runs as on a connection of its own.
class SharedConnectionState
{
public:
  // Returns the commands that replace the connection's values by the session's. The new
  // values are recorded at once, so a connection on which one of the commands fails
  // must be closed.
  std::vector<ConnectionCommand> SyncValues(const SessionValues& aValues);
  // Returns the statement's name on this connection. Sessions that prepare the same
  // statement share one name. Appends a prepare command to `aCommands` if the statement
  // is new on this connection.
  std::string NameOf(const PreparedStatement& aStatement,
                     std::vector<ConnectionCommand>& aCommands);
  // Call when the database no longer knows the statement.
  void Forget(const PreparedStatement& aStatement);
  // Estimates how many commands SyncValues would return, to choose among connections. A
  // reset counts as many commands.
  std::size_t SyncCost(const SessionValues& aValues) const;
  // What is set on the connection is no longer known, so the next SyncValues resets it.
  void SetUnknown() { mIsUnknown = true; }

private:
  bool HasExtraValue(const SessionValues& aValues) const;

  SessionValues mValues;
  // Names of prepared statements on the connection.
  std::map<PreparedStatement, std::string> mPrepared;
  std::uint64_t mNextName = 1;
  bool mIsUnknown = false;
};

} // namespace sesameway
