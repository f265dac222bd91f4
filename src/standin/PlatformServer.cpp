#include "standin/PlatformServer.h"

#include <thread>

namespace sesameway::standin {

namespace {

// How often a watch checks whether its client has cancelled it.
constexpr auto kWatchPoll = milliseconds(100);

grpc::Status Unavailable()
{
  // The error details tell an answer of the store itself from an error of the caller's
  // own channel.
  return { grpc::StatusCode::UNAVAILABLE, "out", "store" };
}

} // namespace

bool PlatformServer::BeginCall(const std::string& aCall)
{
  std::unique_lock lock(mMutex);
  ++mCalls[aCall];
  auto until = mFrozenUntil;
  auto delay = milliseconds(mDelayMs);
  lock.unlock();
  std::this_thread::sleep_until(until);
  std::this_thread::sleep_for(delay);
  lock.lock();
  return !mIsUnavailable;
}

grpc::Status PlatformServer::Get(grpc::ServerContext*,
                                 const wire::GetRequest* aRequest,
                                 wire::GetAnswer* aAnswer)
{
  if (!BeginCall("get")) {
    return Unavailable();
  }
  std::lock_guard lock(mMutex);
  auto it = mObjects.find(aRequest->name());
  bool isFound = it != mObjects.end() && !it->second.deleted();
  aAnswer->set_found(isFound);
  if (it != mObjects.end()) {
    *aAnswer->mutable_object() = it->second;
  } else {
    aAnswer->mutable_object()->set_name(aRequest->name());
  }
  return grpc::Status::OK;
}

grpc::Status PlatformServer::List(grpc::ServerContext*,
                                  const wire::ListRequest* aRequest,
                                  wire::ListAnswer* aAnswer)
{
  if (!BeginCall("list")) {
    return Unavailable();
  }
  std::lock_guard lock(mMutex);
  for (auto it = mObjects.lower_bound(aRequest->prefix());
       it != mObjects.end() && it->first.starts_with(aRequest->prefix());
       ++it) {
    *aAnswer->add_objects() = it->second;
  }
  aAnswer->set_revision(mRevision);
  return grpc::Status::OK;
}

grpc::Status PlatformServer::Put(grpc::ServerContext*,
                                 const wire::PutRequest* aRequest,
                                 wire::PutAnswer* aAnswer)
{
  if (!BeginCall("put")) {
    return Unavailable();
  }
  std::lock_guard lock(mMutex);
  auto& object = mObjects[aRequest->name()];
  // A deleted object keeps its version, so that a delayed write that expects an older
  // version can't restore it.
  bool isExpected = object.version() == aRequest->expected_version() ||
                    (object.deleted() && aRequest->expected_version() == 0);
  if (!isExpected) {
    *aAnswer->mutable_object() = object;
    return grpc::Status::OK;
  }
  object.set_name(aRequest->name());
  object.set_version(object.version() + 1);
  object.set_revision(++mRevision);
  object.set_body(aRequest->remove() ? std::string() : aRequest->body());
  object.set_deleted(aRequest->remove());
  aAnswer->set_applied(true);
  *aAnswer->mutable_object() = object;
  mChanged.notify_all();
  if (mLoseAnswers > 0) {
    --mLoseAnswers;
    return { grpc::StatusCode::UNAVAILABLE, "answer lost" };
  }
  return grpc::Status::OK;
}

grpc::Status PlatformServer::Watch(grpc::ServerContext* aContext,
                                   const wire::WatchRequest* aRequest,
                                   grpc::ServerWriter<wire::StoreObject>* aWriter)
{
  if (!BeginCall("watch")) {
    return Unavailable();
  }
  std::uint64_t seen = aRequest->after_revision();
  while (!aContext->IsCancelled()) {
    std::map<std::uint64_t, wire::StoreObject> changes;
    {
      std::unique_lock lock(mMutex);
      mChanged.wait_for(
        lock, kWatchPoll, [&] { return mRevision > seen || mIsUnavailable; });
      if (mIsUnavailable) {
        return Unavailable();
      }
      for (const auto& it : mObjects) {
        bool isNew =
          it.second.revision() > seen && it.first.starts_with(aRequest->prefix());
        if (isNew) {
          changes[it.second.revision()] = it.second;
        }
      }
      seen = mRevision;
    }
    for (const auto& it : changes) {
      if (!aWriter->Write(it.second)) {
        return grpc::Status::OK;
      }
    }
  }
  return grpc::Status::OK;
}

grpc::Status PlatformServer::Vms(grpc::ServerContext*,
                                 const wire::VmsRequest*,
                                 wire::VmsAnswer* aAnswer)
{
  if (!BeginCall("vms")) {
    return Unavailable();
  }
  std::lock_guard lock(mMutex);
  ApplyDueVms();
  for (const auto& it : mVms) {
    *aAnswer->add_vms() = it.second;
  }
  return grpc::Status::OK;
}

grpc::Status PlatformServer::Fault(grpc::ServerContext*,
                                   const wire::FaultRequest* aRequest,
                                   wire::FaultAnswer*)
{
  std::lock_guard lock(mMutex);
  switch (aRequest->kind()) {
    case wire::FaultRequest::CLEAR:
      mIsUnavailable = false;
      mFrozenUntil = TimePoint{};
      mDelayMs = 0;
      mLoseAnswers = 0;
      break;
    case wire::FaultRequest::STOP:
    case wire::FaultRequest::CUT:
      mIsUnavailable = true;
      break;
    case wire::FaultRequest::FREEZE:
      mFrozenUntil = Clock::now() + milliseconds(aRequest->amount());
      break;
    case wire::FaultRequest::DELAY:
      mDelayMs = aRequest->amount();
      break;
    case wire::FaultRequest::LOSE_ANSWER:
      mLoseAnswers = aRequest->amount();
      break;
    default:
      return { grpc::StatusCode::INVALID_ARGUMENT,
               "this fault does not apply to the platform" };
  }
  mChanged.notify_all();
  return grpc::Status::OK;
}

grpc::Status PlatformServer::Counts(grpc::ServerContext*,
                                    const wire::CountsRequest*,
                                    wire::CountsAnswer* aAnswer)
{
  std::lock_guard lock(mMutex);
  for (const auto& it : mCalls) {
    (*aAnswer->mutable_calls())[it.first] = it.second;
  }
  return grpc::Status::OK;
}

grpc::Status PlatformServer::SetVm(grpc::ServerContext*,
                                   const wire::VmUpdate* aRequest,
                                   wire::FaultAnswer*)
{
  std::lock_guard lock(mMutex);
  mPendingVms.push_back({ Clock::now() + mListLag, *aRequest });
  return grpc::Status::OK;
}

void PlatformServer::ApplyDueVms()
{
  while (!mPendingVms.empty() && mPendingVms.front().mDue <= Clock::now()) {
    const auto& update = mPendingVms.front().mUpdate;
    if (update.gone()) {
      mVms.erase(update.name());
    } else {
      auto& vm = mVms[update.name()];
      vm.set_name(update.name());
      vm.set_zone(update.zone());
      vm.set_peer_address(update.peer_address());
      vm.set_leaving(update.leaving());
      vm.set_incarnation(update.incarnation());
    }
    mPendingVms.pop_front();
  }
}

} // namespace sesameway::standin
