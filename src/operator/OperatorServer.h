#pragma once

#include "caller.grpc.pb.h"

#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace sesameway::operators {

// What a daemon provides to its OperatorServer.
class OperatorHost
{
public:
  virtual ~OperatorHost() = default;
  virtual std::vector<std::pair<std::string, double>> Metrics() const = 0;
  // Returns lines of key=value pairs.
  virtual std::string Status() const = 0;
  // Returns key=value pairs that say why a request on the route, with the key of this
  // name, would be routed or refused.
  virtual std::string Explain(const std::string& aKeyName,
                              const std::string& aRoute,
                              bool aIsWrite) const = 0;
};

// Serves the operators' calls to a daemon over gRPC.
class OperatorServer : public wire::Operator::CallbackService
{
public:
  explicit OperatorServer(OperatorHost& aHost)
    : mHost(aHost)
  {
  }
  grpc::ServerUnaryReactor* Metrics(grpc::CallbackServerContext* aContext,
                                    const wire::MetricsRequest* aRequest,
                                    wire::MetricsAnswer* aAnswer) override;
  grpc::ServerUnaryReactor* Status(grpc::CallbackServerContext* aContext,
                                   const wire::DaemonStatusRequest* aRequest,
                                   wire::TextAnswer* aAnswer) override;
  grpc::ServerUnaryReactor* Explain(grpc::CallbackServerContext* aContext,
                                    const wire::ExplainRequest* aRequest,
                                    wire::TextAnswer* aAnswer) override;

private:
  OperatorHost& mHost;
};

} // namespace sesameway::operators
