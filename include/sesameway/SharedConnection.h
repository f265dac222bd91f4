#pragma once

#include "sesameway/NameTable.h"
#include "sesameway/Token.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sesameway {

// What is asked of a database over a connection that sessions share one after the
// other.
enum class CommandKind : std::uint8_t
{
  // A transaction that may write, and one that only reads.
  Begin,
  BeginRead,
  Commit,
  Rollback,
  Read,
  Write,
  // A session value.
  Set,
  Prepare,
  ExecuteRead,
  ExecuteWrite,
  // Drops all values and prepared statements of the connection.
  Reset,
  Status,
  // Makes a primary of a lower term a replica.
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
  // The caller's request id; empty for commands of our own.
  std::string mId;
  // Read, write, commit: the caller's text, sent on unchanged. Execute: what follows
  // the prepared statement's name. Set: the value. Prepare: the statement's shape.
  std::string mText;
  // Of the session value, or of the prepared statement on this connection.
  std::string mName;
  // Prepare: whether the statement writes.
  bool mPreparesWrite = false;
  // The database refuses the read, or the beginning, if its log lacks this position.
  std::optional<LogPosition> mAfter;
  // Demote: the term whose primary is another.
  std::uint64_t mTerm = 0;
};

// How a statement or an attempt ended.
enum class ReplyCode : std::uint8_t
{
  Done,
  // The first six promise that nothing of the caller's attempt is kept.
  Busy,
  Aborted,
  Behind,
  ReadOnly,
  WrongDatabase,
  TooManyConnections,
  // The database does not know the prepared statement; it has not run.
  NotPrepared,
  // It has run, without success.
  Failed,
  TimedOut,
  Denied,
  NoRoute,
  TooLarge,
  Malformed,
  // Whether it ran is not known.
  Unknown,
  // The connection broke before the reply was whole.
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

// Whether a database that answers so has certainly not run the statement.
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
  // Only its end is taken; that rolls back.
  Failed,
};

struct ConnectionReply
{
  ReplyCode mCode = ReplyCode::Lost;
  // What a database says with an error, for the log.
  std::string mDetail;
  std::vector<std::string> mRows;
  // The database's proof of the rows, delivered with them unchanged.
  std::string mDigest;
  TransactionState mTransaction = TransactionState::None;
  // The end of the database's log after the statement, where it tells.
  std::optional<LogPosition> mPosition;
};

// A prepared statement, by what it does.
struct PreparedStatement
{
  bool mIsWrite = false;
  std::string mShape;
  bool operator==(const PreparedStatement&) const = default;
};

using SessionValues = std::map<std::string, std::string>;

// What a shared connection holds, and what must be sent before the next session's
// statement runs there as on a connection of its own.
class SharedConnectionState
{
public:
  // Commands that turn the connection's values into the session's. They are taken as
  // done: a connection on which one fails is to be closed.
  std::vector<ConnectionCommand> SyncValues(const SessionValues& aValues);
  // The statement's name on this connection. Sessions that prepare the same statement
  // share one; a command to prepare it is added where it is new here.
  std::string NameOf(const PreparedStatement& aStatement,
                     std::vector<ConnectionCommand>& aCommands);
  // The database does not know the statement any more.
  void Forget(const PreparedStatement& aStatement);
  // How many commands SyncValues would need, to choose among connections.
  std::size_t SyncCost(const SessionValues& aValues) const;

private:
  bool HasExtraValue(const SessionValues& aValues) const;

  SessionValues mValues;
  // Names by what they stand for.
  std::map<std::pair<bool, std::string>, std::string> mPrepared;
  std::uint64_t mNextName = 1;
};

} // namespace sesameway
