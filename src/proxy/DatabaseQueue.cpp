#include "proxy/DatabaseQueue.h"

#include "daemon/Log.h"
#include "proxy/Replies.h"

#include <algorithm>
#include <utility>

namespace sesameway::proxy {

namespace {

constexpr Duration kMinTickInterval = milliseconds(2);
// Bounds the log lines about one database's limit, which changes several times a second
// while the database fails.
constexpr Duration kLimitLogInterval = seconds(1);

// Reads, writes, commits and status commands occupy a slot of the database.
bool OccupiesSlot(CommandKind aKind)
{
  switch (aKind) {
    case CommandKind::Commit:
    case CommandKind::Read:
    case CommandKind::Write:
    case CommandKind::ExecuteRead:
    case CommandKind::ExecuteWrite:
    case CommandKind::Status:
      return true;
    case CommandKind::Begin:
    case CommandKind::BeginRead:
    case CommandKind::Rollback:
    case CommandKind::Set:
    case CommandKind::Prepare:
    case CommandKind::Reset:
    case CommandKind::Demote:
      return false;
  }
  return true;
}

bool OccupiesSlot(const std::vector<ConnectionCommand>& aCommands)
{
  return std::any_of(aCommands.begin(), aCommands.end(), [](const auto& aIt) {
    return OccupiesSlot(aIt.mKind);
  });
}

// What the reply says about the database's load. Errors of the statement itself, and
// refusals because of the database's role or position, say nothing: they come at once,
// and a caller may cause them.
std::optional<ConcurrencyLimit::Outcome> OutcomeOf(ReplyCode aCode)
{
  switch (aCode) {
    case ReplyCode::Done:
      return ConcurrencyLimit::Outcome::Good;
    case ReplyCode::Busy:
      return ConcurrencyLimit::Outcome::Refused;
    case ReplyCode::TimedOut:
      return ConcurrencyLimit::Outcome::Failed;
    case ReplyCode::Lost:
      return ConcurrencyLimit::Outcome::NoAnswer;
    default:
      return std::nullopt;
  }
}

// A connection whose batches wait in the queue for a slot.
class QueuedLink
  : public DatabaseLink
  , public std::enable_shared_from_this<QueuedLink>
{
public:
  QueuedLink(std::shared_ptr<DatabaseQueue> aQueue, DatabaseLinkPtr aLink)
    : mQueue(std::move(aQueue))
    , mLink(std::move(aLink))
  {
  }

  void Send(std::vector<ConnectionCommand> aCommands, Replies aDone) override
  {
    if (!OccupiesSlot(aCommands)) {
      mLink->Send(std::move(aCommands), std::move(aDone));
      return;
    }
    mDone = std::move(aDone);
    mTicket = mQueue->NextTicket();
    auto onReplies = [self =
                        shared_from_this()](std::vector<ConnectionReply> aReplies) {
      self->mTicket = 0;
      std::exchange(self->mDone, nullptr)(std::move(aReplies));
    };
    mQueue->Submit(mTicket,
                   { mLink, std::move(aCommands), mTerms, std::move(onReplies) });
  }

  void SetTerms(const StatementTerms& aTerms) override { mTerms = aTerms; }
  bool IsClosed() const override { return mLink->IsClosed(); }

  void Close() override
  {
    auto self = shared_from_this();
    bool isUnsent = WithdrawUnsent();
    mLink->Close();
    if (isUnsent) {
      EndUnsent();
    }
  }

  void OnBroken(std::function<void()> aCallback) override
  {
    mOnBroken = std::move(aCallback);
    if (!mOnBroken) {
      mLink->OnBroken(nullptr);
      return;
    }
    mLink->OnBroken([weak = weak_from_this()] {
      if (auto self = weak.lock()) {
        self->OnLinkBroken();
      }
    });
  }

private:
  bool WithdrawUnsent()
  {
    return mTicket != 0 && mQueue->Withdraw(std::exchange(mTicket, 0));
  }

  void EndUnsent()
  {
    std::vector<ConnectionReply> replies{ UnsentReply(
      ReplyCode::Aborted, "connection_closed", Clock::now()) };
    std::exchange(mDone, nullptr)(std::move(replies));
  }

  // For the session a batch that waits is in progress, so it gets a reply rather than
  // the callback for a connection that breaks while idle.
  void OnLinkBroken()
  {
    if (WithdrawUnsent()) {
      EndUnsent();
    } else if (mOnBroken) {
      std::exchange(mOnBroken, nullptr)();
    }
  }

  std::shared_ptr<DatabaseQueue> mQueue;
  DatabaseLinkPtr mLink;
  StatementTerms mTerms;
  std::uint64_t mTicket = 0;
  Replies mDone;
  std::function<void()> mOnBroken;
};

} // namespace

DatabaseQueue::DatabaseQueue(Loop& aLoop,
                             std::string aDatabase,
                             std::size_t aSlots,
                             Counter aCount)
  : mDatabase(std::move(aDatabase))
  , mCount(std::move(aCount))
  , mQueue(1)
  , mLimit(aSlots)
  , mTick(aLoop)
{
  ApplyLimit("start");
}

DatabaseLinkPtr DatabaseQueue::Wrap(DatabaseLinkPtr aLink)
{
  return std::make_shared<QueuedLink>(shared_from_this(), std::move(aLink));
}

void DatabaseQueue::SetSlots(std::size_t aSlots)
{
  mLimit.SetMaximum(aSlots);
  ApplyLimit("slots");
}

void DatabaseQueue::SetStartRate(std::optional<double> aPerSecond)
{
  Execute(mQueue.SetStartRate(aPerSecond, Clock::now()));
}

void DatabaseQueue::StopStarting()
{
  mIsStopped = true;
  ApplyLimit("stop");
}

void DatabaseQueue::Restart(const char* aCause)
{
  mLimit.Restart(Clock::now());
  ApplyLimit(aCause);
}

void DatabaseQueue::OnOpening()
{
  mQueue.Occupy();
  ++mOpenings;
}

void DatabaseQueue::OnOpeningEnded()
{
  --mOpenings;
  Execute(mQueue.Vacate(Clock::now()));
}

std::optional<TimePoint> DatabaseQueue::RefusedUntil(const StatementTerms& aTerms) const
{
  return mQueue.RefusedUntil(aTerms, Clock::now());
}

Duration DatabaseQueue::ExpectedWait(const StatementTerms& aTerms) const
{
  return mQueue.ExpectedWait(aTerms, Clock::now());
}

void DatabaseQueue::Submit(std::uint64_t aTicket, Batch aBatch)
{
  auto terms = aBatch.mTerms;
  mBatches[aTicket] = std::move(aBatch);
  Execute(mQueue.Add(aTicket, std::move(terms), Clock::now()));
}

bool DatabaseQueue::Withdraw(std::uint64_t aTicket)
{
  if (!mQueue.Drop(aTicket)) {
    return false;
  }
  mBatches.erase(aTicket);
  return true;
}

void DatabaseQueue::Execute(const StatementQueue::Actions& aActions)
{
  // An action's callback may release the last reference to the queue.
  auto self = shared_from_this();
  for (const auto& it : aActions) {
    std::visit([this](const auto& aAction) { Execute(aAction); }, it);
  }
  SetTick();
}

void DatabaseQueue::Execute(const StatementQueue::Start& aStart)
{
  auto it = mBatches.find(aStart.mTicket);
  if (it == mBatches.end()) {
    return;
  }
  auto& batch = it->second;
  batch.mSentAt = Clock::now();
  batch.mRunning = mQueue.Running() + mOpenings;
  auto link = batch.mLink;
  link->Send(std::move(batch.mCommands),
             [self = shared_from_this(),
              ticket = aStart.mTicket](std::vector<ConnectionReply> aReplies) {
               self->OnReplies(ticket, std::move(aReplies));
             });
}

void DatabaseQueue::Execute(const StatementQueue::Refuse& aRefuse)
{
  auto node = mBatches.extract(aRefuse.mTicket);
  if (node.empty()) {
    return;
  }
  std::string reason = "queue_";
  reason += kQueueRefusalNames.Name(aRefuse.mReason);
  mCount(reason);
  std::vector<ConnectionReply> replies{ UnsentReply(
    ReplyCode::Busy, reason, aRefuse.mRetryAt) };
  node.mapped().mDone(std::move(replies));
}

void DatabaseQueue::OnReplies(std::uint64_t aTicket,
                              std::vector<ConnectionReply> aReplies)
{
  auto now = Clock::now();
  auto batch = std::move(mBatches.extract(aTicket).mapped());
  auto code = aReplies.empty() ? ReplyCode::Lost : aReplies.back().mCode;
  if (auto outcome = OutcomeOf(code)) {
    mLimit.OnResult(
      batch.mTerms.mCostClass, now - batch.mSentAt, *outcome, batch.mRunning, now);
  }
  // A lower limit holds before the slot that is free now is given to another statement.
  auto actions = SetQueueLimit(now);
  auto started = mQueue.OnEnded(aTicket, code == ReplyCode::Done, now);
  actions.insert(actions.end(), started.begin(), started.end());
  LogLimit(kReplyCodeNames.Name(code), now);
  batch.mDone(std::move(aReplies));
  Execute(actions);
}

StatementQueue::Actions DatabaseQueue::SetQueueLimit(TimePoint aNow)
{
  return mQueue.SetLimit(mIsStopped ? 0 : mLimit.Limit(), aNow);
}

void DatabaseQueue::ApplyLimit(std::string_view aCause)
{
  auto now = Clock::now();
  LogLimit(aCause, now);
  auto actions = SetQueueLimit(now);
  if (!actions.empty()) {
    Execute(actions);
  }
}

void DatabaseQueue::LogLimit(std::string_view aCause, TimePoint aNow)
{
  auto limit = mLimit.Limit();
  if (limit == mLoggedLimit || aNow < mNextLogAt) {
    return;
  }
  LOG(INFO) << daemon::LogLine("concurrency_limit")
                 .With("database", mDatabase)
                 .With("from", mLoggedLimit)
                 .With("to", limit)
                 .With("cause", aCause)
                 .With("waiting", mQueue.Waiting());
  mLoggedLimit = limit;
  mNextLogAt = aNow + kLimitLogInterval;
}

void DatabaseQueue::SetTick()
{
  auto next = mQueue.NextTick();
  if (next == TimePoint::max()) {
    mTick.Cancel();
    return;
  }
  mTick.Set(std::max(next, Clock::now() + kMinTickInterval), [weak = weak_from_this()] {
    if (auto self = weak.lock()) {
      self->Execute(self->mQueue.OnTick(Clock::now()));
    }
  });
}

} // namespace sesameway::proxy
