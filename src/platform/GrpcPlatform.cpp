#include "platform/Platform.h"

#include "platform.grpc.pb.h"
#include "wire/GrpcCall.h"

#include <atomic>
#include <mutex>
#include <vector>

namespace sesameway::platform {

namespace {

using Stub = wire::Platform::Stub;

Object ReadObject(const wire::StoreObject& aFrom)
{
  return {
    aFrom.name(), aFrom.version(), aFrom.revision(), aFrom.body(), aFrom.deleted()
  };
}

// Whether the store itself reported an outage. Only an error that the store sent
// carries details; an error that gRPC created on this side, such as a lost connection,
// has none.
bool IsOutageReply(const grpc::Status& aStatus)
{
  return !aStatus.ok() && !aStatus.error_details().empty();
}

// Remembers when the latest call was sent that the store answered with an outage error.
class OutageTracker
{
public:
  void Observe(const grpc::Status& aStatus, TimePoint aSentAt)
  {
    auto sent = aSentAt.time_since_epoch().count();
    if (IsOutageReply(aStatus) && sent > mLastSentAt) {
      mLastSentAt = sent;
    }
  }
  TimePoint Read() const { return TimePoint(Duration(mLastSentAt.load())); }

private:
  std::atomic<Duration::rep> mLastSentAt = 0;
};
using OutageTrackerPtr = std::shared_ptr<OutageTracker>;

// Stream of changes in the store. It keeps itself alive through mSelf until OnDone.
class StoreWatch
  : public grpc::ClientReadReactor<wire::StoreObject>
  , public std::enable_shared_from_this<StoreWatch>
{
public:
  StoreWatch(std::shared_ptr<Stub> aStub,
             OutageTrackerPtr aOutages,
             wire::WatchRequest aRequest,
             std::function<void(std::optional<Object>)> aOnChange)
    : mStub(std::move(aStub))
    , mOutages(std::move(aOutages))
    , mRequest(std::move(aRequest))
    , mOnChange(std::move(aOnChange))
  {
  }

  void Start()
  {
    mSelf = shared_from_this();
    mStub->async()->Watch(&mContext, &mRequest, this);
    StartRead(&mChange);
    StartCall();
  }

  void Stop() { mContext.TryCancel(); }

  void OnReadDone(bool aOk) override
  {
    if (!aOk) {
      return;
    }
    mOnChange(ReadObject(mChange));
    StartRead(&mChange);
  }

  void OnDone(const grpc::Status& aStatus) override
  {
    // The store ends the stream when its outage begins, so the time of this report is
    // used instead of the time at which the watch was started.
    mOutages->Observe(aStatus, Clock::now());
    mOnChange(std::nullopt);
    auto self = std::move(mSelf);
  }

private:
  std::shared_ptr<Stub> mStub;
  OutageTrackerPtr mOutages;
  grpc::ClientContext mContext;
  wire::WatchRequest mRequest;
  std::function<void(std::optional<Object>)> mOnChange;
  wire::StoreObject mChange;
  std::shared_ptr<StoreWatch> mSelf;
};

// When the last channel with callback calls is destroyed, gRPC 1.51 stops and joins the
// threads that run callbacks. A call holds its channel until its callback has returned,
// so the channel may be destroyed on one of these threads, which then joins itself, and
// the process aborts. To prevent this, the channel is kept until the process ends; a
// process has one platform, so this does not accumulate.
void KeepChannelAlive(const std::shared_ptr<Stub>& aStub)
{
  static std::mutex mutex;
  static auto* kept = new std::vector<std::shared_ptr<Stub>>;
  std::lock_guard lock(mutex);
  kept->push_back(aStub);
}

class GrpcPlatform : public Platform
{
public:
  explicit GrpcPlatform(const std::string& aAddress)
    : mStub(wire::Platform::NewStub(wire::MakeChannel(aAddress)))
  {
    KeepChannelAlive(mStub);
  }

  TimePoint LastOutageAt() const override { return mOutages->Read(); }

  void List(const std::string& aPrefix,
            TimePoint aDeadline,
            std::function<void(std::optional<Listing>)> aDone) override
  {
    wire::ListRequest request;
    request.set_prefix(aPrefix);
    wire::StartUnary<wire::ListRequest, wire::ListAnswer>(
      std::move(request),
      aDeadline,
      [this](auto... aCall) { mStub->async()->List(aCall...); },
      [done = std::move(aDone), outages = mOutages, sent = Clock::now()](
        const auto& aStatus, const auto& aReply) {
        outages->Observe(aStatus, sent);
        if (!aStatus.ok()) {
          done(std::nullopt);
          return;
        }
        Listing listing;
        listing.mRevision = aReply.revision();
        for (const auto& it : aReply.objects()) {
          listing.mObjects.push_back(ReadObject(it));
        }
        done(std::move(listing));
      });
  }

  void Get(const std::string& aName,
           TimePoint aDeadline,
           std::function<void(std::optional<Object>)> aDone) override
  {
    wire::GetRequest request;
    request.set_name(aName);
    wire::StartUnary<wire::GetRequest, wire::GetAnswer>(
      std::move(request),
      aDeadline,
      [this](auto... aCall) { mStub->async()->Get(aCall...); },
      [done = std::move(aDone), outages = mOutages, sent = Clock::now()](
        const auto& aStatus, const auto& aReply) {
        outages->Observe(aStatus, sent);
        done(aStatus.ok() ? std::optional(ReadObject(aReply.object())) : std::nullopt);
      });
  }

  void Put(const std::string& aName,
           const std::string& aBody,
           std::uint64_t aExpectedVersion,
           bool aRemove,
           TimePoint aDeadline,
           std::function<void(std::optional<PutResult>)> aDone) override
  {
    wire::PutRequest request;
    request.set_name(aName);
    request.set_body(aBody);
    request.set_expected_version(aExpectedVersion);
    request.set_remove(aRemove);
    wire::StartUnary<wire::PutRequest, wire::PutAnswer>(
      std::move(request),
      aDeadline,
      [this](auto... aCall) { mStub->async()->Put(aCall...); },
      [done = std::move(aDone), outages = mOutages, sent = Clock::now()](
        const auto& aStatus, const auto& aReply) {
        outages->Observe(aStatus, sent);
        if (!aStatus.ok()) {
          done(std::nullopt);
          return;
        }
        done(PutResult{ aReply.applied(), ReadObject(aReply.object()) });
      });
  }

  std::shared_ptr<void> Watch(
    const std::string& aPrefix,
    std::uint64_t aAfterRevision,
    std::function<void(std::optional<Object>)> aOnChange) override
  {
    wire::WatchRequest request;
    request.set_prefix(aPrefix);
    request.set_after_revision(aAfterRevision);
    auto watch = std::make_shared<StoreWatch>(
      mStub, mOutages, std::move(request), std::move(aOnChange));
    watch->Start();
    return { watch.get(), [watch](void*) { watch->Stop(); } };
  }

  void Vms(TimePoint aDeadline,
           std::function<void(std::optional<std::vector<Vm>>)> aDone) override
  {
    wire::StartUnary<wire::VmsRequest, wire::VmsAnswer>(
      {},
      aDeadline,
      [this](auto... aCall) { mStub->async()->Vms(aCall...); },
      [done = std::move(aDone), outages = mOutages, sent = Clock::now()](
        const auto& aStatus, const auto& aReply) {
        outages->Observe(aStatus, sent);
        if (!aStatus.ok()) {
          done(std::nullopt);
          return;
        }
        std::vector<Vm> vms;
        for (const auto& it : aReply.vms()) {
          vms.push_back({ it.name(),
                          it.zone(),
                          it.peer_address(),
                          it.incarnation(),
                          it.leaving() });
        }
        done(std::move(vms));
      });
  }

private:
  std::shared_ptr<Stub> mStub;
  OutageTrackerPtr mOutages = std::make_shared<OutageTracker>();
};

} // namespace

std::shared_ptr<Platform> MakeGrpcPlatform(const std::string& aAddress)
{
  return std::make_shared<GrpcPlatform>(aAddress);
}

} // namespace sesameway::platform
