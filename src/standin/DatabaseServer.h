#pragma once

#include "standin/StandinDatabase.h"

namespace sesameway::standin {

// Serves a stand-in database over gRPC, and the commands by which tests inject faults.
class DatabaseServer final
  : public wire::Database::Service
  , public wire::Standin::Service
{
public:
  explicit DatabaseServer(StandinDatabase& aDatabase)
    : mDatabase(aDatabase)
  {
  }
  grpc::Status Connect(
    grpc::ServerContext* aContext,
    grpc::ServerReaderWriter<wire::DatabaseReply, wire::DatabaseCommand>* aStream)
    override;
  grpc::Status Status(grpc::ServerContext* aContext,
                      const wire::DatabaseStatusRequest* aRequest,
                      wire::DatabaseStatus* aReply) override;
  grpc::Status WatchStatus(grpc::ServerContext* aContext,
                           const wire::DatabaseStatusRequest* aRequest,
                           grpc::ServerWriter<wire::DatabaseStatus>* aWriter) override;
  grpc::Status Fence(grpc::ServerContext* aContext,
                     const wire::FenceRequest* aRequest,
                     wire::FenceReply* aReply) override;
  grpc::Status Promote(grpc::ServerContext* aContext,
                       const wire::PromoteRequest* aRequest,
                       wire::ControlReply* aReply) override;
  grpc::Status Follow(grpc::ServerContext* aContext,
                      const wire::FollowRequest* aRequest,
                      wire::ControlReply* aReply) override;
  grpc::Status Replicate(grpc::ServerContext* aContext,
                         const wire::ReplicateRequest* aRequest,
                         grpc::ServerWriter<wire::ReplicateReply>* aWriter) override;
  grpc::Status Fault(grpc::ServerContext* aContext,
                     const wire::FaultRequest* aRequest,
                     wire::FaultAnswer* aAnswer) override;
  grpc::Status Counts(grpc::ServerContext* aContext,
                      const wire::CountsRequest* aRequest,
                      wire::CountsAnswer* aAnswer) override;

private:
  void FillControl(bool aIsAccepted, wire::ControlReply* aReply) const;
  // Cuts the traffic that the scope names: `replication`, `clients`, `status` or `all`.
  // Any other scope ends all cuts.
  void Cut(const std::string& aScope);
  // Whether control and status calls must fail because a test has cut them.
  bool IsStatusCut() const;

  StandinDatabase& mDatabase;
  std::mutex mMutex;
  std::map<std::string, std::uint64_t> mCalls;
  void CountCall(const std::string& aName);
};

} // namespace sesameway::standin
