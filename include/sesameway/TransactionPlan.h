#pragma once

#include "sesameway/StatementPlan.h"

namespace sesameway {

// Send the answer; the transaction stays open.
struct KeepOpen
{
  Answer mAnswer;
};
// Send the answer; the transaction is over. Unless AwaitCommitSafe has already released
// the connection, release it, or close it if mIsClean is false, which rolls back.
struct FinishTransaction
{
  Answer mAnswer;
  bool mIsClean;
};
// Release the connection and wait as AwaitSafe says, then call OnSafe.
struct AwaitCommitSafe
{
  AwaitSafe mWait;
};
using TransactionAction = std::
  variant<SendCommand, AwaitConfirmed, KeepOpen, AwaitCommitSafe, FinishTransaction>;

// Runs one transaction at its home, from the begin on one connection to its end.
// Passive, like StatementPlan.
class TransactionPlan
{
public:
  // `aTerm` is the term of the primary that the connection leads to.
  explicit TransactionPlan(std::uint64_t aTerm);

  TransactionAction Begin(GroupRequest aRequest, TimePoint aNow);
  // Runs the next statement. Only one may be in progress at a time.
  TransactionAction OnStatement(GroupRequest aRequest, TimePoint aNow);
  TransactionAction OnReply(DatabaseReply aReply, TimePoint aNow);
  TransactionAction OnConfirmed(WaitResult aEnd, TimePoint aNow);
  TransactionAction OnSafe(WaitResult aEnd, TimePoint aNow);

  // When the transaction is rolled back unless a statement arrives first; nullopt while
  // a statement is in progress.
  std::optional<TimePoint> IdleDeadline() const { return mIdleDeadline; }
  // Ends the transaction if it has been idle for too long. Returns true if so; the
  // caller must then close its connection.
  bool OnIdle(TimePoint aNow);

private:
  TransactionAction Refuse(Answer aAnswer) const;
  TransactionAction Conclude(Answer aAnswer, TimePoint aNow);
  TransactionAction OnLost(TimePoint aNow);
  TransactionAction OnOk(TimePoint aNow);

  std::uint64_t mTerm;
  GroupRequest mRequest;
  bool mIsOpen = true;
  TimePoint mBegan{};
  DatabaseReply mReply;
  std::optional<TimePoint> mIdleDeadline;
};

} // namespace sesameway
