#include "operator/OperatorServer.h"

namespace sesameway::operators {

grpc::ServerUnaryReactor* OperatorServer::Metrics(grpc::CallbackServerContext* aContext,
                                                  const wire::MetricsRequest*,
                                                  wire::MetricsAnswer* aAnswer)
{
  for (const auto& it : mHost.Metrics()) {
    auto* metric = aAnswer->add_metrics();
    metric->set_name(it.first);
    metric->set_value(it.second);
  }
  auto* reactor = aContext->DefaultReactor();
  reactor->Finish(grpc::Status::OK);
  return reactor;
}

grpc::ServerUnaryReactor* OperatorServer::Status(grpc::CallbackServerContext* aContext,
                                                 const wire::DaemonStatusRequest*,
                                                 wire::TextAnswer* aAnswer)
{
  aAnswer->set_text(mHost.Status());
  auto* reactor = aContext->DefaultReactor();
  reactor->Finish(grpc::Status::OK);
  return reactor;
}

grpc::ServerUnaryReactor* OperatorServer::Explain(grpc::CallbackServerContext* aContext,
                                                  const wire::ExplainRequest* aRequest,
                                                  wire::TextAnswer* aAnswer)
{
  aAnswer->set_text(
    mHost.Explain(aRequest->key_name(), aRequest->route(), aRequest->write()));
  auto* reactor = aContext->DefaultReactor();
  reactor->Finish(grpc::Status::OK);
  return reactor;
}

} // namespace sesameway::operators
