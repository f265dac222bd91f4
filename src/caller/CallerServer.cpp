#include "caller/CallerServer.h"

#include "wire/Convert.h"

#include <deque>
#include <mutex>

namespace sesameway::caller {

namespace {

// A caller may send this many statements ahead of their answers.
constexpr std::size_t kMaxQueuedStatements = 64;
// With this many answers not taken yet, nothing more is read from the caller.
constexpr std::size_t kMaxUnwrittenAnswers = 128;

std::string KeyOf(grpc::CallbackServerContext* aContext)
{
  const auto& metadata = aContext->client_metadata();
  auto it = metadata.find(wire::kKeyMetadata);
  return it == metadata.end() ? std::string()
                              : std::string(it->second.data(), it->second.size());
}

} // namespace

// Reads ahead, runs one statement at a time, writes answers in that order.
class SessionStream
  : public grpc::ServerBidiReactor<wire::CallerRequest, wire::CallerAnswer>
{
public:
  SessionStream(grpc::CallbackServerContext* aContext,
                std::shared_ptr<caller::Session> aSession,
                std::shared_ptr<StreamTable> aTable)
    : mContext(aContext)
    , mSession(std::move(aSession))
    , mTable(std::move(aTable))
    , mSelf(this)
  {
    mTable->Add(this, mSelf);
    StartRead(&mIncoming);
  }

  // Tells the caller to move; what is under way goes on.
  void AskToMove()
  {
    std::lock_guard lock(mMutex);
    Queue(NotRun(Reason::Draining));
  }

  // Takes no further statement and ends the stream after the answers due.
  void Close()
  {
    std::unique_lock lock(mMutex);
    mEnded = true;
    FinishIfIdle(lock);
  }

  void OnReadDone(bool aOk) override
  {
    if (!aOk) {
      Close();
      return;
    }
    auto statement = wire::ReadCallerRequest(mIncoming, Clock::now());
    mIncoming.Clear();
    {
      std::lock_guard lock(mMutex);
      if (mEnded) {
        // Its id is above the last one accepted, which the caller is told.
        return;
      }
      mLastId = statement.mId;
      if (mWaiting.size() >= kMaxQueuedStatements) {
        Answer refusal = NotRun(Reason::QueueFull, Clock::now());
        refusal.mId = statement.mId;
        Queue(refusal);
      } else {
        mWaiting.push_back(std::move(statement));
      }
    }
    RunNext();
    ReadNext();
  }

  void OnWriteDone(bool aOk) override
  {
    bool mayRead = false;
    {
      std::unique_lock lock(mMutex);
      mOutgoing.pop_front();
      mWriting = false;
      if (!aOk) {
        mOutgoing.clear();
      }
      WriteNext();
      bool isOver = FinishIfIdle(lock);
      mayRead = !isOver && mIsReadPaused;
      mIsReadPaused = false;
    }
    if (mayRead) {
      ReadNext();
    }
  }

  void OnCancel() override
  {
    std::unique_lock lock(mMutex);
    mEnded = true;
    mWaiting.clear();
    FinishIfIdle(lock);
  }

  void OnDone() override
  {
    mTable->Remove(this);
    auto self = std::move(mSelf);
  }

private:
  void ReadNext()
  {
    std::lock_guard lock(mMutex);
    if (mFinished) {
      return;
    }
    if (mOutgoing.size() >= kMaxUnwrittenAnswers) {
      mIsReadPaused = true;
      return;
    }
    StartRead(&mIncoming);
  }

  void RunNext()
  {
    Statement statement;
    {
      std::lock_guard lock(mMutex);
      if (mRunning || mWaiting.empty()) {
        return;
      }
      mRunning = true;
      statement = std::move(mWaiting.front());
      mWaiting.pop_front();
    }
    mSession->Execute(std::move(statement), [self = mSelf](Answer aAnswer) {
      {
        std::unique_lock lock(self->mMutex);
        self->mRunning = false;
        self->Queue(aAnswer);
        if (self->FinishIfIdle(lock)) {
          return;
        }
      }
      self->RunNext();
    });
  }

  void Queue(const Answer& aAnswer)
  {
    if (mFinished) {
      return;
    }
    mOutgoing.push_back(wire::MakeCallerAnswer(aAnswer, Clock::now()));
    WriteNext();
  }

  void WriteNext()
  {
    if (mWriting || mOutgoing.empty() || mFinished) {
      return;
    }
    mWriting = true;
    StartWrite(&mOutgoing.front());
  }

  bool FinishIfIdle(std::unique_lock<std::mutex>& aLock)
  {
    bool isIdle = !mRunning && !mWriting && mWaiting.empty() && mOutgoing.empty();
    if (!mEnded || !isIdle || mFinished) {
      return false;
    }
    mFinished = true;
    // What the caller sent after this id has not run and will not.
    mContext->AddTrailingMetadata(wire::kLastIdMetadata, std::to_string(mLastId));
    aLock.unlock();
    Finish(grpc::Status::OK);
    return true;
  }

  grpc::CallbackServerContext* mContext;
  std::shared_ptr<caller::Session> mSession;
  std::shared_ptr<StreamTable> mTable;
  std::mutex mMutex;
  wire::CallerRequest mIncoming;
  std::deque<Statement> mWaiting;
  std::deque<wire::CallerAnswer> mOutgoing;
  std::uint64_t mLastId = 0;
  bool mRunning = false;
  bool mWriting = false;
  bool mIsReadPaused = false;
  bool mEnded = false;
  bool mFinished = false;
  std::shared_ptr<SessionStream> mSelf;
};

void StreamTable::Add(SessionStream* aStream, std::weak_ptr<SessionStream> aWeak)
{
  std::lock_guard lock(mMutex);
  mStreams[aStream] = std::move(aWeak);
}

void StreamTable::Remove(SessionStream* aStream)
{
  std::lock_guard lock(mMutex);
  mStreams.erase(aStream);
}

std::vector<std::shared_ptr<SessionStream>> StreamTable::All() const
{
  std::vector<std::shared_ptr<SessionStream>> all;
  std::lock_guard lock(mMutex);
  for (const auto& it : mStreams) {
    if (auto stream = it.second.lock()) {
      all.push_back(std::move(stream));
    }
  }
  return all;
}

CallerServer::CallerServer(SessionFactory& aFactory)
  : mFactory(aFactory)
  , mStreams(std::make_shared<StreamTable>())
{
}

void CallerServer::AskToMove()
{
  for (const auto& it : mStreams->All()) {
    it->AskToMove();
  }
}

void CallerServer::CloseSessions()
{
  for (const auto& it : mStreams->All()) {
    it->Close();
  }
}

std::size_t CallerServer::OpenSessions() const
{
  return mStreams->All().size();
}

grpc::ServerBidiReactor<wire::CallerRequest, wire::CallerAnswer>* CallerServer::Session(
  grpc::CallbackServerContext* aContext)
{
  return new SessionStream(aContext, mFactory.Open(KeyOf(aContext)), mStreams);
}

} // namespace sesameway::caller
