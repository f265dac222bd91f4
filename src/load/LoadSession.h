#pragma once

#include "load/Plan.h"
#include "load/Target.h"

#include <memory>
#include <random>
#include <string>
#include <vector>

namespace sesameway::load {

// Counts and latencies of one session, or the sums over several sessions.
struct Tally
{
  std::uint64_t mAcknowledged = 0;
  std::uint64_t mReads = 0;
  // Reads after the session's first acknowledged write, and those among them that were
  // not served by the primary. The answers to writes name the primary.
  std::uint64_t mJudgedReads = 0;
  std::uint64_t mReplicaReads = 0;
  std::uint64_t mNotRun = 0;
  std::uint64_t mUnknown = 0;
  // Sessions whose acknowledged writes could not all be read at the end.
  std::uint64_t mLost = 0;
  // Reads that missed the session's own acknowledged writes.
  std::uint64_t mStale = 0;
  // Answers that show more writes than were sent, so that a write has run twice.
  std::uint64_t mRepeated = 0;
  // Latencies of the successful reads and writes in microseconds.
  std::vector<float> mReadLatencies;
  std::vector<float> mWriteLatencies;
  std::vector<TimePoint> mAcknowledgedAt;

  void Add(const Tally& aOther);
};

// One session of the load. Each of its writes adds one to a record that no other
// session uses, and each read is checked against the writes acknowledged so far.
class LoadSession
{
public:
  LoadSession(const Plan& aPlan,
              std::size_t aNumber,
              std::string aRecord,
              std::unique_ptr<Target> aTarget);
  // Sends reads and writes until the time is up.
  void RunUntil(TimePoint aEnd);
  // Reads the record by the route of writes and checks it against all acknowledged
  // writes. A record that can't be read counts as lost.
  void CheckFinalValue();
  const Tally& Result() const { return mTally; }

private:
  // Waits until the next statement is due and returns when that was. Latencies count
  // from this time, so that they include the delay of a statement that starts late.
  TimePoint WaitUntilDue(TimePoint aEnd);
  void Read(TimePoint aDue);
  void Write(TimePoint aDue);
  // Add one to the record, by a single statement or in a transaction.
  Answer AddOne(const std::string& aRequestId);
  Answer AddOneInTransaction(const std::string& aRequestId);
  Statement NewStatement(const std::string& aRoute,
                         StatementKind aKind,
                         std::vector<Operation> aOperations = {}) const;
  // Returns the record's value in an answer, 0 if the answer does not contain it.
  long CounterIn(const Answer& aAnswer) const;
  // Counts an answer that is NotRun or Unknown.
  void CountFailure(const Answer& aAnswer);

  const Plan& mPlan;
  std::string mRecord;
  std::unique_ptr<Target> mTarget;
  std::mt19937_64 mRandom;
  Tally mTally;
  TimePoint mNextDue{};
  // The database that served the last acknowledged write; empty before the first.
  std::string mPrimary;
  // Number of writes begun, which is the greatest value that a read may return.
  long mSent = 0;
  // Value of mSent for the last acknowledged write, below which a read counts as stale.
  long mAcknowledged = 0;
};

} // namespace sesameway::load
