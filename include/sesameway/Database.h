#pragma once

#include "sesameway/Statement.h"

#include <cstdint>
#include <string>
#include <vector>

namespace sesameway {

// A command that a daemon sends over a database connection.
struct DatabaseCommand
{
  // Unique on its connection; a reply with another id is dropped.
  std::uint64_t mId = 0;
  StatementKind mKind = StatementKind::Execute;
  std::vector<Operation> mOperations;
  std::string mRequestId;
  // A write is refused by a database that is not primary of this term.
  std::uint64_t mTerm = 0;
};

enum class ReplyStatus : std::uint8_t
{
  Ok,
  NotPrimary,
  Conflict,
  TooManyConnections,
  Malformed,
  NotFound,
  // The connection broke before the reply came.
  Lost,
};
inline constexpr NameTable<ReplyStatus, 7> kReplyStatusNames{ { "ok",
                                                                "not_primary",
                                                                "conflict",
                                                                "too_many_connections",
                                                                "malformed",
                                                                "not_found",
                                                                "lost" } };

struct DatabaseReply
{
  std::uint64_t mId = 0;
  ReplyStatus mStatus = ReplyStatus::Lost;
  std::vector<Row> mRows;
  // For a write, the position of its own entry; for a read, the end of the log when it
  // ran.
  LogPosition mPosition;
  // The request id had been recorded before; rows and position are the recorded ones.
  bool mRecorded = false;
};

struct DatabaseStatus
{
  std::string mName;
  bool mPrimary = false;
  // The greatest term that the database has granted. It accepts nothing of an older
  // term.
  std::uint64_t mGrantedTerm = 0;
  LogPosition mHead;
  // Address of the database that this one replicates from; empty if none.
  std::string mFollows;
  bool mLeaving = false;
};

struct FenceResult
{
  bool mGranted = false;
  DatabaseStatus mStatus;
};

} // namespace sesameway
