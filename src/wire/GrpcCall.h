#pragma once

#include "sesameway/Time.h"

#include <grpcpp/grpcpp.h>

#include <functional>
#include <memory>

namespace sesameway::wire {

inline std::chrono::system_clock::time_point ToSystemDeadline(TimePoint aDeadline)
{
  // gRPC takes deadlines of the system clock. The conversion is repeated for each call,
  // as the system clock may be adjusted in between.
  return std::chrono::system_clock::now() +
         std::chrono::duration_cast<std::chrono::system_clock::duration>(aDeadline -
                                                                         Clock::now());
}

// Owns the context, request and reply of a unary call until its callback has run.
template<typename Request, typename Reply>
struct UnaryCall
{
  grpc::ClientContext mContext;
  Request mRequest;
  Reply mReply;
};

// Starts a unary call through `aStart(context, request, reply, onStatus)`. `aDone` is
// called once, with the status and the reply.
template<typename Request, typename Reply, typename Start, typename Done>
void StartUnary(Request aRequest, TimePoint aDeadline, Start aStart, Done aDone)
{
  auto call = std::make_shared<UnaryCall<Request, Reply>>();
  call->mContext.set_deadline(ToSystemDeadline(aDeadline));
  call->mRequest = std::move(aRequest);
  aStart(&call->mContext,
         &call->mRequest,
         &call->mReply,
         [call, done = std::move(aDone)](const grpc::Status& aStatus) {
           done(aStatus, call->mReply);
         });
}

// Creates a channel to IP:port that shares its TCP connection with no other channel and
// waits at most half a second before it reconnects, fast enough for failover.
std::shared_ptr<grpc::Channel> MakeChannel(const std::string& aAddress);

} // namespace sesameway::wire
