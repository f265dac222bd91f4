#pragma once

#include "proxy/Loop.h"
#include "proxy/Transport.h"
#include "sesameway/ConcurrencyLimit.h"
#include "sesameway/StatementQueue.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace sesameway::proxy {

// The statements that wait at one of a database's homes for the database's slots.
// Carries out the decisions of StatementQueue; ConcurrencyLimit learns from the
// database's answers how many statements may run at once. Used on the event loop's
// thread only.
class DatabaseQueue : public std::enable_shared_from_this<DatabaseQueue>
{
public:
  // Counts an event of this name for the metrics.
  using Counter = std::function<void(const std::string&)>;
  // A batch of commands that runs as one unit on a slot.
  struct Batch
  {
    DatabaseLinkPtr mLink;
    std::vector<ConnectionCommand> mCommands;
    StatementTerms mTerms;
    DatabaseLink::Replies mDone;
    TimePoint mSentAt{};
    // How many batches and openings of connections occupied slots when this one was
    // sent.
    std::size_t mRunning = 0;
  };

  DatabaseQueue(Loop& aLoop, std::string aDatabase, std::size_t aSlots, Counter aCount);

  // Returns a link whose batches wait for a slot before they are sent on `aLink`.
  DatabaseLinkPtr Wrap(DatabaseLinkPtr aLink);
  void SetSlots(std::size_t aSlots);
  // Limits how many statements start per second; none means no limit.
  void SetStartRate(std::optional<double> aPerSecond);
  // Starts no more statements. Those that wait stay until they are taken back or their
  // deadlines pass.
  void StopStarting();
  // The database has started anew, or is used again after an outage.
  void Restart(const char* aCause);
  // Opening a connection occupies a slot of the database.
  void OnOpening();
  void OnOpeningEnded();
  // When a statement with these terms would have to come back, if it would be refused.
  std::optional<TimePoint> RefusedUntil(const StatementTerms& aTerms) const;
  Duration ExpectedWait(const StatementTerms& aTerms) const;
  std::size_t Waiting() const { return mQueue.Waiting(); }
  std::size_t Running() const { return mQueue.Running(); }
  std::size_t Limit() const { return mLimit.Limit(); }

  // Returns the ticket for the next call of Submit.
  std::uint64_t NextTicket() { return mNextTicket++; }
  // Sends the batch once it has a slot, or refuses it. The replies may be passed before
  // the call returns.
  void Submit(std::uint64_t aTicket, Batch aBatch);
  // Takes back a batch that has not been sent, whose replies are then not passed.
  // Returns false if it was sent.
  bool Withdraw(std::uint64_t aTicket);

private:
  void Execute(const StatementQueue::Actions& aActions);
  void Execute(const StatementQueue::Start& aStart);
  void Execute(const StatementQueue::Refuse& aRefuse);
  void OnReplies(std::uint64_t aTicket, std::vector<ConnectionReply> aReplies);
  StatementQueue::Actions SetQueueLimit(TimePoint aNow);
  void ApplyLimit(std::string_view aCause);
  void LogLimit(std::string_view aCause, TimePoint aNow);
  void SetTick();

  std::string mDatabase;
  Counter mCount;
  StatementQueue mQueue;
  ConcurrencyLimit mLimit;
  Timer mTick;
  // Whether StopStarting has been called; mLimit then no longer counts.
  bool mIsStopped = false;
  // Connections that are being opened.
  std::size_t mOpenings = 0;
  std::uint64_t mNextTicket = 1;
  std::map<std::uint64_t, Batch> mBatches;
  std::size_t mLoggedLimit = 0;
  TimePoint mNextLogAt{};
};

} // namespace sesameway::proxy
