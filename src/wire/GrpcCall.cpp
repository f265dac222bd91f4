#include "wire/GrpcCall.h"

namespace sesameway::wire {

namespace {

constexpr int kMinReconnectMs = 20;
constexpr int kMaxReconnectMs = 500;

} // namespace

std::shared_ptr<grpc::Channel> MakeChannel(const std::string& aAddress)
{
  grpc::ChannelArguments arguments;
  arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, kMinReconnectMs);
  arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, kMinReconnectMs);
  arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, kMaxReconnectMs);
  // Channels with the same target and arguments share one TCP connection unless each
  // has a subchannel pool of its own.
  arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
  arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
  return grpc::CreateCustomChannel(
    aAddress, grpc::InsecureChannelCredentials(), arguments);
}

} // namespace sesameway::wire
