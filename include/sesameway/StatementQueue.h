#pragma once

#include "sesameway/NameTable.h"
#include "sesameway/RetryTimes.h"
#include "sesameway/StatementCosts.h"
#include "sesameway/StatementTerms.h"
#include "sesameway/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace sesameway {

enum class QueueRefusal : std::uint8_t
{
  // The statement would not have ended before its deadline.
  Deadline,
  // Too many statements wait.
  Full,
  // The deadline has passed.
  Expired,
};
inline constexpr NameTable<QueueRefusal, 3> kQueueRefusalNames{
  { "deadline", "full", "expired" }
};

// Queue of the statements for one database. Decides which statement runs next on the
// database's slots, and which are refused because they can't be served in time.
class StatementQueue
{
public:
  struct Start
  {
    std::uint64_t mTicket = 0;
  };
  // Refuse a statement; it has not been run.
  struct Refuse
  {
    std::uint64_t mTicket = 0;
    TimePoint mRetryAt;
    QueueRefusal mReason = QueueRefusal::Deadline;
  };
  using Action = std::variant<Start, Refuse>;
  using Actions = std::vector<Action>;

  // At most `aLimit` statements run at once.
  explicit StatementQueue(std::size_t aLimit)
    : mLimit(aLimit)
  {
  }
  // Waiting statements refer to entries of the queue's own maps.
  StatementQueue(const StatementQueue&) = delete;
  StatementQueue& operator=(const StatementQueue&) = delete;
  StatementQueue(StatementQueue&&) = default;
  StatementQueue& operator=(StatementQueue&&) = default;
  ~StatementQueue() = default;

  // With a limit of 0 nothing starts, and statements wait until their deadlines.
  Actions SetLimit(std::size_t aLimit, TimePoint aNow);
  // Limits how many statements start per second; std::nullopt means no limit. In any
  // second at most the rate plus one statement start.
  Actions SetStartRate(std::optional<double> aPerSecond, TimePoint aNow);
  // A ticket must not be in use. The result may refuse another statement to make room.
  Actions Add(std::uint64_t aTicket, StatementTerms aTerms, TimePoint aNow);
  // Removes a waiting statement whose caller has disconnected. Returns false if the
  // statement is not waiting.
  bool Drop(std::uint64_t aTicket);
  // A started statement has ended. Its time counts for its cost class if `aIsSample` is
  // true.
  Actions OnEnded(std::uint64_t aTicket, bool aIsSample, TimePoint aNow);
  // Work without a ticket that occupies a slot: a connection that is being opened.
  void Occupy() { ++mOccupied; }
  Actions Vacate(TimePoint aNow);
  // Refuses statements that can't be served in time any more and starts those for which
  // the start rate leaves room. Call it at NextTick().
  Actions OnTick(TimePoint aNow);
  // Time of the next OnTick call; TimePoint::max() if none is needed.
  TimePoint NextTick() const;
  // If a statement with these terms would be refused now, the time at which it would
  // have to be retried.
  std::optional<TimePoint> RefusedUntil(const StatementTerms& aTerms,
                                        TimePoint aNow) const;
  // Expected wait before a statement with these terms would start.
  Duration ExpectedWait(const StatementTerms& aTerms, TimePoint aNow) const;

  std::size_t Waiting() const { return mWaiting.size(); }
  std::size_t Running() const { return mRunning.size(); }

private:
  // Statements and their expected slot time.
  struct Backlog
  {
    std::size_t mStatements = 0;
    Duration mCost{};
  };
  // An organisation within a priority. Times are those of start-time fair queueing:
  // virtual time, in slot time used per organisation.
  struct Flow
  {
    // Virtual time at which the next statement starts.
    Duration mStartTag{};
    // Waiting statements outside of transactions.
    Backlog mBacklog;
    // Waiting and running statements that refer to this entry.
    std::size_t mUses = 0;
  };
  struct Level
  {
    Duration mVirtualTime{};
    Backlog mBacklog;
    std::map<std::string, Flow, std::less<>> mFlows;
  };
  // Kind of request: statements of one cost class.
  struct Kind
  {
    std::uint32_t mPriority = 0;
    std::size_t mWaiting = 0;
    TimePoint mStartedAt{};
  };
  struct WaitingStatement
  {
    std::uint64_t mTicket = 0;
    // Counts arrivals.
    std::uint64_t mNumber = 0;
    TimePoint mSince{};
    StatementTerms mTerms;
    StatementCosts::Estimate mEstimate;
    Level* mLevel = nullptr;
    Flow* mFlow = nullptr;
    Kind* mKind = nullptr;
  };
  struct RunningStatement
  {
    std::string mCostClass;
    Duration mCost{};
    TimePoint mSince{};
    Flow* mFlow = nullptr;
  };
  // Decision to refuse a new statement.
  struct Refusal
  {
    QueueRefusal mReason;
    TimePoint mRetryAt;
  };

  std::optional<Refusal> Judge(const StatementTerms& aTerms, TimePoint aNow) const;
  std::optional<std::size_t> FindDisplaced(const StatementTerms& aTerms,
                                           Duration aCost) const;
  Backlog AheadByOrder(const StatementTerms& aTerms) const;
  Backlog AheadInLevel(const Level& aLevel, const std::string& aOrganisation) const;
  Backlog AheadByMinimum(const StatementTerms& aTerms) const;
  Duration Delay(const Backlog& aAhead, TimePoint aNow) const;
  Duration SlotDelay(Duration aWork, TimePoint aNow) const;
  std::vector<Duration> SlotTimes(TimePoint aNow) const;
  bool IsStopped() const;
  Duration Spacing(Duration aCost) const;
  TimePoint EarliestRetry(const StatementTerms& aTerms,
                          Duration aCost,
                          TimePoint aNow) const;
  void RefuseNow(std::uint64_t aTicket,
                 const StatementTerms& aTerms,
                 QueueRefusal aReason,
                 TimePoint aNow,
                 Actions& aActions);
  void RefuseWaiting(std::size_t aIndex,
                     QueueRefusal aReason,
                     TimePoint aNow,
                     Actions& aActions);
  void Insert(std::uint64_t aTicket, StatementTerms aTerms, TimePoint aNow);
  WaitingStatement Remove(std::size_t aIndex);
  void RefuseHopeless(TimePoint aNow, Actions& aActions);
  void Dispatch(TimePoint aNow, Actions& aActions);
  std::size_t FindNext(TimePoint aNow) const;
  std::size_t FindLongestWaiting() const;
  void StartWaiting(std::size_t aIndex, TimePoint aNow, Actions& aActions);
  void Measure(const RunningStatement& aStatement, TimePoint aNow);
  void ForgetUnused(Level& aLevel);
  TimePoint NextStartAt() const;
  std::size_t Busy() const { return mRunning.size() + mOccupied; }

  std::size_t mLimit;
  std::size_t mOccupied = 0;
  // Least time between two starts; zero if the start rate is not limited.
  Duration mStartInterval{};
  std::optional<TimePoint> mLastStartAt;
  // Starts since one was last given to the kind that had waited longest.
  std::size_t mStartsByOrder = 0;
  std::uint64_t mArrivals = 0;
  TimePoint mNow{};
  // In no particular order.
  std::vector<WaitingStatement> mWaiting;
  std::map<std::uint64_t, RunningStatement> mRunning;
  std::map<std::uint32_t, Level> mLevels;
  std::map<std::string, Kind, std::less<>> mKinds;
  // Waiting statements of open transactions.
  Backlog mTransactions;
  StatementCosts mCosts;
  RetryTimes mRetryTimes;
};

} // namespace sesameway
