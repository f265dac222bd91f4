#include "standin/DatabaseServer.h"

#include "wire/Convert.h"

#include <cstdlib>
#include <iostream>

namespace sesameway::standin {

namespace {

// WatchStatus sends the status after this time even if it has not changed.
constexpr auto kStatusInterval = milliseconds(400);

grpc::Status Unavailable()
{
  return { grpc::StatusCode::UNAVAILABLE, "cut" };
}

// Reserves one of the database's connections while a stream is open.
class ConnectionGuard
{
public:
  explicit ConnectionGuard(StandinDatabase& aDatabase)
    : mDatabase(aDatabase)
    , mIsReserved(aDatabase.ReserveConnection())
  {
  }
  ConnectionGuard(const ConnectionGuard&) = delete;
  ConnectionGuard& operator=(const ConnectionGuard&) = delete;
  ~ConnectionGuard()
  {
    if (mIsReserved) {
      mDatabase.ReleaseConnection();
    }
  }
  bool IsReserved() const { return mIsReserved; }

private:
  StandinDatabase& mDatabase;
  bool mIsReserved;
};

// If this environment variable is set, the database prints the metadata and commands
// that it receives from clients.
constexpr const char* kEchoVariable = "SESAMEWAY_STANDIN_ECHO";

void Echo(const std::string& aText)
{
  static const bool kIsOn = std::getenv(kEchoVariable) != nullptr;
  if (kIsOn) {
    std::cout << "received " + aText + '\n' << std::flush;
  }
}

void EchoMetadata(const grpc::ServerContext& aContext)
{
  for (const auto& it : aContext.client_metadata()) {
    Echo(std::string(it.first.begin(), it.first.end()) + ": " +
         std::string(it.second.begin(), it.second.end()));
  }
}

} // namespace

grpc::Status DatabaseServer::Connect(
  grpc::ServerContext* aContext,
  grpc::ServerReaderWriter<wire::DatabaseReply, wire::DatabaseCommand>* aStream)
{
  CountCall("connect");
  mDatabase.SleepWhileFrozen();
  mDatabase.SimulateDistance(kRoundTrip);
  ConnectionGuard guard(mDatabase);
  if (!guard.IsReserved()) {
    return { grpc::StatusCode::RESOURCE_EXHAUSTED, "too many connections" };
  }
  auto& faults = mDatabase.InjectedFaults();
  if (faults.mCutClients) {
    return Unavailable();
  }
  EchoMetadata(*aContext);
  aStream->SendInitialMetadata();
  StandinDatabase::Session session;
  wire::DatabaseCommand command;
  while (aStream->Read(&command)) {
    Echo(command.ShortDebugString());
    if (faults.mCutClients) {
      return Unavailable();
    }
    auto reply = mDatabase.Run(session, wire::ReadDatabaseCommand(command));
    if (faults.mLoseAnswers > 0) {
      --faults.mLoseAnswers;
      return Unavailable();
    }
    if (faults.mCutClients || !aStream->Write(wire::MakeDatabaseReply(reply))) {
      return Unavailable();
    }
  }
  return grpc::Status::OK;
}

grpc::Status DatabaseServer::Status(grpc::ServerContext*,
                                    const wire::DatabaseStatusRequest*,
                                    wire::DatabaseStatus* aReply)
{
  CountCall("status");
  mDatabase.SleepWhileFrozen();
  mDatabase.SimulateDistance(kRoundTrip);
  if (IsStatusCut()) {
    return Unavailable();
  }
  *aReply = wire::MakeDatabaseStatus(mDatabase.Status());
  return grpc::Status::OK;
}

grpc::Status DatabaseServer::WatchStatus(
  grpc::ServerContext* aContext,
  const wire::DatabaseStatusRequest*,
  grpc::ServerWriter<wire::DatabaseStatus>* aWriter)
{
  CountCall("watch_status");
  std::uint64_t seen = 0;
  while (!aContext->IsCancelled()) {
    seen = mDatabase.WaitForChange(seen, kStatusInterval);
    mDatabase.SleepWhileFrozen();
    mDatabase.SimulateDistance(kOneWay);
    if (IsStatusCut() ||
        !aWriter->Write(wire::MakeDatabaseStatus(mDatabase.Status()))) {
      return Unavailable();
    }
  }
  return grpc::Status::OK;
}

grpc::Status DatabaseServer::Fence(grpc::ServerContext*,
                                   const wire::FenceRequest* aRequest,
                                   wire::FenceReply* aReply)
{
  CountCall("fence");
  mDatabase.SleepWhileFrozen();
  mDatabase.SimulateDistance(kRoundTrip);
  if (IsStatusCut()) {
    return Unavailable();
  }
  aReply->set_granted(mDatabase.Fence(aRequest->term()));
  *aReply->mutable_status() = wire::MakeDatabaseStatus(mDatabase.Status());
  return grpc::Status::OK;
}

grpc::Status DatabaseServer::Promote(grpc::ServerContext*,
                                     const wire::PromoteRequest* aRequest,
                                     wire::ControlReply* aReply)
{
  CountCall("promote");
  mDatabase.SleepWhileFrozen();
  mDatabase.SimulateDistance(kRoundTrip);
  if (IsStatusCut()) {
    return Unavailable();
  }
  FillControl(mDatabase.Promote(aRequest->term()), aReply);
  return grpc::Status::OK;
}

grpc::Status DatabaseServer::Follow(grpc::ServerContext*,
                                    const wire::FollowRequest* aRequest,
                                    wire::ControlReply* aReply)
{
  CountCall("follow");
  mDatabase.SleepWhileFrozen();
  mDatabase.SimulateDistance(kRoundTrip);
  if (IsStatusCut()) {
    return Unavailable();
  }
  FillControl(mDatabase.Follow(aRequest->term(), aRequest->address()), aReply);
  return grpc::Status::OK;
}

grpc::Status DatabaseServer::Replicate(
  grpc::ServerContext* aContext,
  const wire::ReplicateRequest* aRequest,
  grpc::ServerWriter<wire::ReplicateReply>* aWriter)
{
  CountCall("replicate");
  std::vector<LogPosition> terms;
  for (const auto& it : aRequest->terms()) {
    terms.push_back({ it.term(), it.position() });
  }
  std::uint64_t position = mDatabase.CommonPosition(terms, aRequest->position());
  wire::ReplicateReply first;
  first.set_truncate(true);
  first.set_truncate_to(position);
  std::vector<LogEntry> entries;
  bool isFirst = true;
  while (!aContext->IsCancelled()) {
    mDatabase.SleepWhileFrozen();
    entries.clear();
    if (mDatabase.InjectedFaults().mCutReplication ||
        !mDatabase.EntriesAfter(aRequest->term(), position, &entries)) {
      return Unavailable();
    }
    wire::ReplicateReply reply = isFirst ? first : wire::ReplicateReply();
    for (const auto& it : entries) {
      auto* entry = reply.add_entries();
      wire::FillPosition(it.mAt, entry->mutable_at());
      wire::FillOperations(it.mWrites, entry->mutable_writes());
      entry->set_request_id(it.mRequestId);
      wire::FillRows(it.mResult, entry->mutable_result());
    }
    if ((isFirst || !entries.empty()) && !aWriter->Write(reply)) {
      return grpc::Status::OK;
    }
    isFirst = false;
    position += entries.size();
  }
  return grpc::Status::OK;
}

grpc::Status DatabaseServer::Fault(grpc::ServerContext*,
                                   const wire::FaultRequest* aRequest,
                                   wire::FaultAnswer*)
{
  auto& faults = mDatabase.InjectedFaults();
  switch (aRequest->kind()) {
    case wire::FaultRequest::CLEAR:
      faults.mDelayMs = 0;
      faults.mReplicationDelayMs = 0;
      faults.mDistanceMs = 0;
      faults.mLoseAnswers = 0;
      faults.mFrozenUntilMs = 0;
      Cut("none");
      mDatabase.SetLeaving(false);
      break;
    case wire::FaultRequest::FREEZE:
      mDatabase.Freeze(milliseconds(aRequest->amount()));
      break;
    case wire::FaultRequest::DELAY:
      faults.mDelayMs = aRequest->amount();
      break;
    case wire::FaultRequest::CUT:
      Cut(aRequest->scope());
      break;
    case wire::FaultRequest::LOSE_ANSWER:
      faults.mLoseAnswers = aRequest->amount();
      break;
    case wire::FaultRequest::REPLICATION_DELAY:
      faults.mReplicationDelayMs = aRequest->amount();
      break;
    case wire::FaultRequest::DISTANCE:
      faults.mDistanceMs = aRequest->amount();
      break;
    case wire::FaultRequest::LEAVING:
      mDatabase.SetLeaving(aRequest->amount() > 0);
      break;
    default:
      return { grpc::StatusCode::INVALID_ARGUMENT,
               "this fault does not apply to a database" };
  }
  return grpc::Status::OK;
}

grpc::Status DatabaseServer::Counts(grpc::ServerContext*,
                                    const wire::CountsRequest*,
                                    wire::CountsAnswer* aAnswer)
{
  std::lock_guard lock(mMutex);
  for (const auto& it : mCalls) {
    (*aAnswer->mutable_calls())[it.first] = it.second;
  }
  return grpc::Status::OK;
}

void DatabaseServer::FillControl(bool aIsAccepted, wire::ControlReply* aReply) const
{
  aReply->set_accepted(aIsAccepted);
  *aReply->mutable_status() = wire::MakeDatabaseStatus(mDatabase.Status());
}

void DatabaseServer::Cut(const std::string& aScope)
{
  auto& faults = mDatabase.InjectedFaults();
  bool isAll = aScope == "all";
  faults.mCutReplication = isAll || aScope == "replication";
  faults.mCutClients = isAll || aScope == "clients";
  faults.mCutStatus = isAll || aScope == "status";
}

bool DatabaseServer::IsStatusCut() const
{
  return mDatabase.InjectedFaults().mCutStatus;
}

void DatabaseServer::CountCall(const std::string& aName)
{
  std::lock_guard lock(mMutex);
  ++mCalls[aName];
}

} // namespace sesameway::standin
