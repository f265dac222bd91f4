#pragma once

#include "sesameway/StatementPlan.h"

namespace sesameway {

// A transaction at its home, from the connection it is begun on to the end. Passive, as
// StatementPlan. After FinishTransaction the connection goes back, or is closed if it
// is not clean, which rolls back.
struct KeepOpen
{
  Answer mAnswer;
};
struct FinishTransaction
{
  Answer mAnswer;
  bool mIsClean;
};
// Give the connection back, then wait as AwaitSafe says; then OnSafe.
struct AwaitCommitSafe
{
  AwaitSafe mWait;
};
using TransactionAction = std::
  variant<SendCommand, AwaitConfirmed, KeepOpen, AwaitCommitSafe, FinishTransaction>;

class TransactionPlan
{
public:
  // `aTerm` is that of the primary which the connection leads to.
  explicit TransactionPlan(std::uint64_t aTerm);

  TransactionAction Begin(GroupRequest aRequest, TimePoint aNow);
  // The next statement, which is the only one at a time.
  TransactionAction OnStatement(GroupRequest aRequest, TimePoint aNow);
  TransactionAction OnReply(DatabaseReply aReply, TimePoint aNow);
  TransactionAction OnConfirmed(WaitResult aEnd, TimePoint aNow);
  TransactionAction OnSafe(WaitResult aEnd, TimePoint aNow);

  // When it is rolled back unless a statement comes first; none while one is under way.
  std::optional<TimePoint> IdleDeadline() const { return mIdleDeadline; }
  // Whether it has idled for too long and is over: its connection is to be closed.
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
