#include "caller/CallerServer.h"

#include "wire/Convert.h"

#include <deque>
#include <mutex>
#include <utility>

namespace sesameway::caller {

namespace {

// Statements of a session that may wait for the one that is running. Further statements
// are answered with QueueFull.
constexpr std::size_t kMaxQueuedStatements = 64;
// Reading from the caller pauses while this many answers are waiting to be written.
constexpr std::size_t kMaxUnwrittenAnswers = 128;

std::string KeyOf(grpc::CallbackServerContext* aContext)
{
  const auto& metadata = aContext->client_metadata();
  auto it = metadata.find(wire::kKeyMetadata);
  return it == metadata.end() ? std::string()
                              : std::string(it->second.data(), it->second.size());
}

} // namespace

// Server side of one session. It reads statements ahead into a queue, executes them one
// at a time and writes the answers in the order of execution. The reactor keeps itself
// alive through mSelf until OnDone.
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

  // Sends a notice that asks the caller to continue at another daemon. Statements that
  // were already sent still run.
  void AskToMove()
  {
    std::lock_guard lock(mMutex);
    Queue(NotRun(Reason::Draining));
  }

  // Accepts no further statements and ends the stream once the accepted ones are
  // answered.
  void Close()
  {
    std::unique_lock lock(mMutex);
    mEnded = true;
    FinishIfIdle(lock);
  }

  // Answers the accepted statements without waiting for their end, so that the stream
  // ends.
  void AnswerAll()
  {
    std::unique_lock lock(mMutex);
    mEnded = true;
    if (std::exchange(mRunning, false)) {
      mIsAbandoned = true;
      Queue(mAnswerIfAbandoned);
    }
    for (const auto& it : std::exchange(mWaiting, {})) {
      auto answer = NotRun(Reason::Draining, Clock::now());
      answer.mId = it.mId;
      Queue(answer);
    }
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
        // The statement is dropped. The caller learns this from the trailing metadata:
        // the id of the last accepted statement is lower than this one's.
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
      mAnswerIfAbandoned = statement.MayHaveEffect()
                             ? Unknown(Reason::Draining)
                             : NotRun(Reason::Draining, Clock::now());
      mAnswerIfAbandoned.mId = statement.mId;
    }
    mSession->Execute(std::move(statement), [self = mSelf](Answer aAnswer) {
      {
        std::unique_lock lock(self->mMutex);
        if (self->mIsAbandoned) {
          return;
        }
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
    // Statements with a higher id have not run and will not run.
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
  // The answer to the running statement if it is not waited for, and whether it has
  // been given.
  Answer mAnswerIfAbandoned;
  bool mIsAbandoned = false;
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

void CallerServer::AnswerAll()
{
  for (const auto& it : mStreams->All()) {
    it->AnswerAll();
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
