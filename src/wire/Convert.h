#pragma once

#include "caller.pb.h"
#include "common.pb.h"
#include "database.pb.h"
#include "platform.pb.h"

#include "sesameway/Database.h"
#include "sesameway/Statement.h"

#include <google/protobuf/repeated_field.h>

// Conversions between the core's types and the protobuf messages that are exchanged
// with callers and databases.
namespace sesameway::wire {

// Metadata of a session's stream: the caller's key in the initial metadata, and the id
// of the last accepted statement in the trailing metadata.
inline constexpr const char* kKeyMetadata = "sesameway-key";
inline constexpr const char* kLastIdMetadata = "sesameway-last-id";

void FillOperations(const std::vector<sesameway::Operation>& aFrom,
                    google::protobuf::RepeatedPtrField<Operation>* aTo);
std::vector<sesameway::Operation> ReadOperations(
  const google::protobuf::RepeatedPtrField<Operation>& aFrom);

void FillRows(const std::vector<sesameway::Row>& aFrom,
              google::protobuf::RepeatedPtrField<Row>* aTo);
std::vector<sesameway::Row> ReadRows(
  const google::protobuf::RepeatedPtrField<Row>& aFrom);

void FillToken(const SessionToken& aFrom,
               google::protobuf::RepeatedPtrField<TokenEntry>* aTo);
SessionToken ReadToken(const google::protobuf::RepeatedPtrField<TokenEntry>& aFrom);

void FillPosition(const sesameway::LogPosition& aFrom, LogPosition* aTo);
sesameway::LogPosition ReadPosition(const LogPosition& aFrom);

sesameway::Statement ReadCallerRequest(const CallerRequest& aFrom, TimePoint aNow);
CallerRequest MakeCallerRequest(const sesameway::Statement& aFrom, TimePoint aNow);
CallerAnswer MakeCallerAnswer(const Answer& aFrom, TimePoint aNow);
Answer ReadCallerAnswer(const CallerAnswer& aFrom, TimePoint aNow);

DatabaseCommand MakeDatabaseCommand(const sesameway::DatabaseCommand& aFrom);
sesameway::DatabaseCommand ReadDatabaseCommand(const DatabaseCommand& aFrom);
DatabaseReply MakeDatabaseReply(const sesameway::DatabaseReply& aFrom);
sesameway::DatabaseReply ReadDatabaseReply(const DatabaseReply& aFrom);
sesameway::DatabaseStatus ReadDatabaseStatus(const DatabaseStatus& aFrom);
DatabaseStatus MakeDatabaseStatus(const sesameway::DatabaseStatus& aFrom);

} // namespace sesameway::wire
