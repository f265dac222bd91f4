#include "database/Database.h"

#include "database.grpc.pb.h"
#include "wire/Convert.h"
#include "wire/GrpcCall.h"

#include <grpcpp/alarm.h>

#include <atomic>
#include <mutex>

namespace sesameway::database {

namespace {

using Stub = wire::Database::Stub;

// A connection is one bidirectional stream. The reactor keeps itself alive through
// mSelf until OnDone.
class GrpcConnection
  : public Connection
  , public grpc::ClientBidiReactor<wire::DatabaseCommand, wire::DatabaseReply>
  , public std::enable_shared_from_this<GrpcConnection>
{
public:
  GrpcConnection(std::shared_ptr<Stub> aStub,
                 std::function<void(ConnectionPtr)> aOnOpen)
    : mStub(std::move(aStub))
    , mOnOpen(std::move(aOnOpen))
  {
  }

  void Open(TimePoint aDeadline)
  {
    mSelf = shared_from_this();
    mStub->async()->Connect(&mContext, this);
    // The database sends its initial metadata once it has accepted the connection.
    StartRead(&mIncoming);
    SetAlarm(aDeadline, kOpeningId);
    StartCall();
  }

  void OnReadInitialMetadataDone(bool aOk) override
  {
    if (aOk) {
      FinishOpen(true);
    }
  }

  void Send(DatabaseCommand aCommand, TimePoint aDeadline, ReplyCallback aDone) override
  {
    {
      std::lock_guard lock(mMutex);
      if (!mBroken) {
        aCommand.mId = ++mLastId;
        mWaitingId = aCommand.mId;
        mWaiting = std::move(aDone);
        mNext = wire::MakeDatabaseCommand(aCommand);
        SetAlarm(aDeadline, aCommand.mId);
        WriteNext();
        return;
      }
    }
    aDone(DatabaseReply{});
  }

  bool IsBroken() const override { return mBroken; }

  void OnWriteDone(bool aOk) override
  {
    std::lock_guard lock(mMutex);
    mIsWriting = false;
    if (aOk) {
      WriteNext();
    }
  }

  void Abandon() override { mContext.TryCancel(); }

  void OnReadDone(bool aOk) override
  {
    if (!aOk) {
      return;
    }
    auto reply = wire::ReadDatabaseReply(mIncoming);
    mIncoming.Clear();
    ReplyCallback done;
    {
      std::lock_guard lock(mMutex);
      // A late reply to an earlier command has another id and is dropped.
      if (reply.mId == mWaitingId) {
        done = std::exchange(mWaiting, nullptr);
      }
    }
    StartRead(&mIncoming);
    if (done) {
      done(std::move(reply));
    }
  }

  void OnDone(const grpc::Status&) override
  {
    ReplyCallback done;
    {
      std::lock_guard lock(mMutex);
      mBroken = true;
      done = std::exchange(mWaiting, nullptr);
    }
    if (done) {
      done(DatabaseReply{});
    }
    FinishOpen(false);
    auto self = std::move(mSelf);
  }

private:
  static constexpr std::uint64_t kOpeningId = 0;

  // Called with mMutex held. The reply to a command can arrive before OnWriteDone of
  // its write, and gRPC allows one write at a time, so the next command may have to
  // wait.
  void WriteNext()
  {
    if (mIsWriting || !mNext) {
      return;
    }
    mIsWriting = true;
    mOutgoing = std::move(*mNext);
    mNext.reset();
    StartWrite(&mOutgoing);
  }

  // Cancels the stream if the command with this id, or the opening of the stream if it
  // is kOpeningId, is still waiting at the deadline.
  void SetAlarm(TimePoint aDeadline, std::uint64_t aId)
  {
    mAlarm = std::make_unique<grpc::Alarm>();
    mAlarm->Set(wire::ToSystemDeadline(aDeadline),
                [weak = weak_from_this(), aId](bool aIsDue) {
                  auto self = weak.lock();
                  if (aIsDue && self && self->IsWaitingFor(aId)) {
                    self->Abandon();
                  }
                });
  }

  bool IsWaitingFor(std::uint64_t aId)
  {
    std::lock_guard lock(mMutex);
    return aId == kOpeningId ? mOnOpen != nullptr
                             : mWaitingId == aId && mWaiting != nullptr;
  }

  void FinishOpen(bool aOpened)
  {
    std::function<void(ConnectionPtr)> done;
    {
      std::lock_guard lock(mMutex);
      done = std::exchange(mOnOpen, nullptr);
    }
    if (done) {
      done(aOpened ? std::static_pointer_cast<Connection>(shared_from_this())
                   : nullptr);
    }
  }

  std::shared_ptr<Stub> mStub;
  grpc::ClientContext mContext;
  std::mutex mMutex;
  std::function<void(ConnectionPtr)> mOnOpen;
  std::unique_ptr<grpc::Alarm> mAlarm;
  wire::DatabaseReply mIncoming;
  std::optional<wire::DatabaseCommand> mNext;
  wire::DatabaseCommand mOutgoing;
  bool mIsWriting = false;
  std::uint64_t mLastId = 0;
  std::uint64_t mWaitingId = 0;
  ReplyCallback mWaiting;
  std::atomic<bool> mBroken = false;
  std::shared_ptr<GrpcConnection> mSelf;
};

// The connection that users of Database hold. Its destruction cancels the stream, even
// while a command is waiting for its reply.
class ConnectionHandle : public Connection
{
public:
  explicit ConnectionHandle(std::shared_ptr<GrpcConnection> aConnection)
    : mConnection(std::move(aConnection))
  {
  }
  ConnectionHandle(const ConnectionHandle&) = delete;
  ConnectionHandle& operator=(const ConnectionHandle&) = delete;
  ~ConnectionHandle() override { mConnection->Abandon(); }

  void Send(DatabaseCommand aCommand, TimePoint aDeadline, ReplyCallback aDone) override
  {
    mConnection->Send(std::move(aCommand), aDeadline, std::move(aDone));
  }
  bool IsBroken() const override { return mConnection->IsBroken(); }
  void Abandon() override { mConnection->Abandon(); }

private:
  std::shared_ptr<GrpcConnection> mConnection;
};

// Stream of a database's status. It keeps itself alive through mSelf until OnDone.
class StatusWatch
  : public grpc::ClientReadReactor<wire::DatabaseStatus>
  , public std::enable_shared_from_this<StatusWatch>
{
public:
  StatusWatch(std::shared_ptr<Stub> aStub, StatusCallback aOnStatus)
    : mStub(std::move(aStub))
    , mOnStatus(std::move(aOnStatus))
  {
  }

  void Start()
  {
    mSelf = shared_from_this();
    mStub->async()->WatchStatus(&mContext, &mRequest, this);
    StartRead(&mStatus);
    StartCall();
  }

  void Stop() { mContext.TryCancel(); }

  void OnReadDone(bool aOk) override
  {
    if (!aOk) {
      return;
    }
    mOnStatus(wire::ReadDatabaseStatus(mStatus));
    StartRead(&mStatus);
  }

  void OnDone(const grpc::Status&) override
  {
    mOnStatus(std::nullopt);
    auto self = std::move(mSelf);
  }

private:
  std::shared_ptr<Stub> mStub;
  StatusCallback mOnStatus;
  grpc::ClientContext mContext;
  wire::DatabaseStatusRequest mRequest;
  wire::DatabaseStatus mStatus;
  std::shared_ptr<StatusWatch> mSelf;
};

class GrpcDatabase : public Database
{
public:
  explicit GrpcDatabase(const std::string& aAddress)
    : mStub(wire::Database::NewStub(wire::MakeChannel(aAddress)))
  {
  }

  void Connect(TimePoint aDeadline, std::function<void(ConnectionPtr)> aDone) override
  {
    auto wrap = [done = std::move(aDone)](ConnectionPtr aConnection) {
      auto inner = std::static_pointer_cast<GrpcConnection>(aConnection);
      done(inner ? std::make_shared<ConnectionHandle>(inner) : nullptr);
    };
    std::make_shared<GrpcConnection>(mStub, wrap)->Open(aDeadline);
  }

  void Status(TimePoint aDeadline, StatusCallback aDone) override
  {
    wire::StartUnary<wire::DatabaseStatusRequest, wire::DatabaseStatus>(
      {},
      aDeadline,
      [this](auto... aCall) { mStub->async()->Status(aCall...); },
      [done = std::move(aDone)](const auto& aStatus, const auto& aReply) {
        done(aStatus.ok() ? std::optional(wire::ReadDatabaseStatus(aReply))
                          : std::nullopt);
      });
  }

  std::shared_ptr<void> Watch(StatusCallback aOnStatus) override
  {
    auto watch = std::make_shared<StatusWatch>(mStub, std::move(aOnStatus));
    watch->Start();
    return { watch.get(), [watch](void*) { watch->Stop(); } };
  }

  void Fence(std::uint64_t aTerm,
             const std::string& aCandidate,
             TimePoint aDeadline,
             FenceCallback aDone) override
  {
    wire::FenceRequest request;
    request.set_term(aTerm);
    request.set_candidate(aCandidate);
    wire::StartUnary<wire::FenceRequest, wire::FenceReply>(
      std::move(request),
      aDeadline,
      [this](auto... aCall) { mStub->async()->Fence(aCall...); },
      [done = std::move(aDone)](const auto& aStatus, const auto& aReply) {
        if (!aStatus.ok()) {
          done(std::nullopt);
          return;
        }
        done(
          FenceResult{ aReply.granted(), wire::ReadDatabaseStatus(aReply.status()) });
      });
  }

  void Promote(std::uint64_t aTerm, TimePoint aDeadline, StatusCallback aDone) override
  {
    wire::PromoteRequest request;
    request.set_term(aTerm);
    SendControl(
      std::move(request),
      aDeadline,
      [this](auto... aCall) { mStub->async()->Promote(aCall...); },
      std::move(aDone));
  }

  void Follow(std::uint64_t aTerm,
              const std::string& aAddress,
              TimePoint aDeadline,
              StatusCallback aDone) override
  {
    wire::FollowRequest request;
    request.set_term(aTerm);
    request.set_address(aAddress);
    SendControl(
      std::move(request),
      aDeadline,
      [this](auto... aCall) { mStub->async()->Follow(aCall...); },
      std::move(aDone));
  }

private:
  template<typename Request, typename Start>
  void SendControl(Request aRequest,
                   TimePoint aDeadline,
                   Start aStart,
                   StatusCallback aDone)
  {
    wire::StartUnary<Request, wire::ControlReply>(
      std::move(aRequest),
      aDeadline,
      aStart,
      [done = std::move(aDone)](const auto& aStatus, const auto& aReply) {
        bool isDone = aStatus.ok() && aReply.accepted();
        done(isDone ? std::optional(wire::ReadDatabaseStatus(aReply.status()))
                    : std::nullopt);
      });
  }

  std::shared_ptr<Stub> mStub;
};

} // namespace

DatabaseFactory MakeGrpcDatabaseFactory()
{
  return [](const std::string&, const std::string& aAddress) {
    return std::make_shared<GrpcDatabase>(aAddress);
  };
}

} // namespace sesameway::database
