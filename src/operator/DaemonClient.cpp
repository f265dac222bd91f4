#include "operator/DaemonClient.h"

#include "caller.grpc.pb.h"
#include "wire/GrpcCall.h"

namespace sesameway::operators {

namespace {

constexpr auto kCallTimeout = std::chrono::seconds(2);

void SetDeadline(grpc::ClientContext& aContext)
{
  aContext.set_deadline(std::chrono::system_clock::now() + kCallTimeout);
}

} // namespace

std::optional<std::string> DaemonClient::Status() const
{
  auto stub = wire::Operator::NewStub(wire::MakeChannel(mAddress));
  grpc::ClientContext context;
  SetDeadline(context);
  wire::TextAnswer answer;
  if (!stub->Status(&context, {}, &answer).ok()) {
    return std::nullopt;
  }
  return answer.text();
}

std::optional<std::map<std::string, double>> DaemonClient::Metrics() const
{
  auto stub = wire::Operator::NewStub(wire::MakeChannel(mAddress));
  grpc::ClientContext context;
  SetDeadline(context);
  wire::MetricsAnswer answer;
  if (!stub->Metrics(&context, {}, &answer).ok()) {
    return std::nullopt;
  }
  std::map<std::string, double> metrics;
  for (const auto& it : answer.metrics()) {
    metrics[it.name()] = it.value();
  }
  return metrics;
}

std::optional<std::string> DaemonClient::Explain(const std::string& aKeyName,
                                                 const std::string& aRoute,
                                                 bool aIsWrite) const
{
  auto stub = wire::Operator::NewStub(wire::MakeChannel(mAddress));
  grpc::ClientContext context;
  SetDeadline(context);
  wire::ExplainRequest request;
  request.set_key_name(aKeyName);
  request.set_route(aRoute);
  request.set_write(aIsWrite);
  wire::TextAnswer answer;
  if (!stub->Explain(&context, request, &answer).ok()) {
    return std::nullopt;
  }
  return answer.text();
}

std::string ValueOf(const std::string& aText, const std::string& aKey)
{
  auto at = (' ' + aText).find(' ' + aKey + '=');
  if (at == std::string::npos) {
    return {};
  }
  auto begin = at + aKey.size() + 1;
  return aText.substr(begin, aText.find_first_of(" \n", begin) - begin);
}

} // namespace sesameway::operators
