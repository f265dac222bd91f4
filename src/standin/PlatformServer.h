#pragma once

#include "platform.grpc.pb.h"
#include "standin.grpc.pb.h"

#include "sesameway/Time.h"

#include <atomic>
#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <string>

namespace sesameway::standin {

// Stand-in for the platform: its store and its list of VMs, in memory, and the commands
// by which tests inject faults. The list of VMs shows each change only after a lag.
class PlatformServer final
  : public wire::Platform::Service
  , public wire::Standin::Service
{
public:
  explicit PlatformServer(milliseconds aListLag)
    : mListLag(aListLag)
  {
  }
  grpc::Status Get(grpc::ServerContext* aContext,
                   const wire::GetRequest* aRequest,
                   wire::GetAnswer* aAnswer) override;
  grpc::Status List(grpc::ServerContext* aContext,
                    const wire::ListRequest* aRequest,
                    wire::ListAnswer* aAnswer) override;
  grpc::Status Put(grpc::ServerContext* aContext,
                   const wire::PutRequest* aRequest,
                   wire::PutAnswer* aAnswer) override;
  grpc::Status Watch(grpc::ServerContext* aContext,
                     const wire::WatchRequest* aRequest,
                     grpc::ServerWriter<wire::StoreObject>* aWriter) override;
  grpc::Status Vms(grpc::ServerContext* aContext,
                   const wire::VmsRequest* aRequest,
                   wire::VmsAnswer* aAnswer) override;
  grpc::Status Fault(grpc::ServerContext* aContext,
                     const wire::FaultRequest* aRequest,
                     wire::FaultAnswer* aAnswer) override;
  grpc::Status Counts(grpc::ServerContext* aContext,
                      const wire::CountsRequest* aRequest,
                      wire::CountsAnswer* aAnswer) override;
  grpc::Status SetVm(grpc::ServerContext* aContext,
                     const wire::VmUpdate* aRequest,
                     wire::FaultAnswer* aAnswer) override;

private:
  // Counts the call and waits for an injected freeze and delay. Returns false during an
  // injected outage of the store.
  bool BeginCall(const std::string& aCall);
  // Applies the updates of VMs whose lag has passed.
  void ApplyDueVms();

  struct PendingVm
  {
    TimePoint mDue;
    wire::VmUpdate mUpdate;
  };
  milliseconds mListLag;
  std::mutex mMutex;
  std::condition_variable mChanged;
  std::map<std::string, wire::StoreObject> mObjects;
  std::uint64_t mRevision = 0;
  std::map<std::string, wire::Vm> mVms;
  std::deque<PendingVm> mPendingVms;
  std::map<std::string, std::uint64_t> mCalls;
  bool mIsUnavailable = false;
  TimePoint mFrozenUntil{};
  std::uint64_t mDelayMs = 0;
  // Number of changes that are still to be made without an answer.
  std::uint64_t mLoseAnswers = 0;
};

} // namespace sesameway::standin
