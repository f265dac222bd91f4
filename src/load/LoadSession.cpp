#include "load/LoadSession.h"

#include <cstdlib>
#include <thread>

namespace sesameway::load {

namespace {

constexpr Duration kTimeout = seconds(5);
constexpr Duration kFinalReadTimeout = seconds(15);
constexpr Duration kMaxRetryPause = milliseconds(500);
constexpr Duration kMinRetryPause = milliseconds(5);
constexpr int kMaxAttempts = 20;

float MicrosecondsSince(TimePoint aStart)
{
  return std::chrono::duration<float, std::micro>(Clock::now() - aStart).count();
}

// Sleeps until the time at which the answer suggests a retry, but at least
// kMinRetryPause and at most kMaxRetryPause.
void Pause(const Answer& aAnswer)
{
  auto now = Clock::now();
  auto wait =
    std::clamp<Duration>(aAnswer.mRetryAt - now, kMinRetryPause, kMaxRetryPause);
  std::this_thread::sleep_until(now + wait);
}

template<typename Value>
void Append(std::vector<Value>& aTo, const std::vector<Value>& aFrom)
{
  aTo.insert(aTo.end(), aFrom.begin(), aFrom.end());
}

} // namespace

void Tally::Add(const Tally& aOther)
{
  mAcknowledged += aOther.mAcknowledged;
  mReads += aOther.mReads;
  mJudgedReads += aOther.mJudgedReads;
  mReplicaReads += aOther.mReplicaReads;
  mNotRun += aOther.mNotRun;
  mUnknown += aOther.mUnknown;
  mLost += aOther.mLost;
  mStale += aOther.mStale;
  mRepeated += aOther.mRepeated;
  Append(mReadLatencies, aOther.mReadLatencies);
  Append(mWriteLatencies, aOther.mWriteLatencies);
  Append(mAcknowledgedAt, aOther.mAcknowledgedAt);
}

LoadSession::LoadSession(const Plan& aPlan,
                         std::size_t aNumber,
                         std::string aRecord,
                         std::unique_ptr<Target> aTarget)
  : mPlan(aPlan)
  , mRecord(std::move(aRecord))
  , mTarget(std::move(aTarget))
  , mRandom(aPlan.mSeed * 1'000'003 + aNumber)
{
}

void LoadSession::RunUntil(TimePoint aEnd)
{
  mNextDue = TimePoint{};
  while (Clock::now() < aEnd) {
    auto due = WaitUntilDue(aEnd);
    if (due >= aEnd) {
      return;
    }
    if (static_cast<int>(mRandom() % 100) < mPlan.mReadPercent) {
      Read(due);
    } else {
      Write(due);
    }
  }
}

TimePoint LoadSession::WaitUntilDue(TimePoint aEnd)
{
  auto now = Clock::now();
  if (mPlan.mRate <= 0) {
    return now;
  }
  // Open loop: the times at which statements are due do not depend on the answers.
  // Their intervals are exponentially distributed.
  std::exponential_distribution<double> gap(mPlan.mRate / mPlan.mSessions);
  auto wait = std::chrono::duration<double>(gap(mRandom));
  mNextDue = (mNextDue == TimePoint{} ? now : mNextDue) +
             std::chrono::duration_cast<Duration>(wait);
  std::this_thread::sleep_until(std::min(mNextDue, aEnd));
  return mNextDue;
}

Statement LoadSession::NewStatement(const std::string& aRoute,
                                    StatementKind aKind,
                                    std::vector<Operation> aOperations) const
{
  Statement statement;
  statement.mRoute = aRoute;
  statement.mKind = aKind;
  statement.mOperations = std::move(aOperations);
  statement.mDeadline = Clock::now() + kTimeout;
  return statement;
}

long LoadSession::CounterIn(const Answer& aAnswer) const
{
  for (const auto& it : aAnswer.mRows) {
    if (it.mKey == mRecord) {
      return std::atol(it.mValue.c_str());
    }
  }
  return 0;
}

void LoadSession::CountFailure(const Answer& aAnswer)
{
  mTally.mNotRun += aAnswer.mOutcome == Outcome::NotRun ? 1 : 0;
  mTally.mUnknown += aAnswer.mOutcome == Outcome::Unknown ? 1 : 0;
}

void LoadSession::Read(TimePoint aDue)
{
  auto answer = mTarget->Execute(NewStatement(
    mPlan.mReadRoute, StatementKind::Execute, { { OperationKind::Get, mRecord, {} } }));
  if (answer.mOutcome != Outcome::Done) {
    CountFailure(answer);
    Pause(answer);
    return;
  }
  mTally.mReadLatencies.push_back(MicrosecondsSince(aDue));
  ++mTally.mReads;
  if (!mPrimary.empty()) {
    ++mTally.mJudgedReads;
    mTally.mReplicaReads += answer.mServedBy != mPrimary ? 1 : 0;
  }
  auto seen = CounterIn(answer);
  mTally.mStale += seen < mAcknowledged ? 1 : 0;
  mTally.mRepeated += seen > mSent ? 1 : 0;
}

void LoadSession::Write(TimePoint aDue)
{
  bool isTransaction = static_cast<int>(mRandom() % 100) < mPlan.mTransactionPercent;
  auto requestId = mRecord + "/" + std::to_string(++mSent);
  for (int n = 0; n < kMaxAttempts; ++n) {
    auto answer = isTransaction ? AddOneInTransaction(requestId) : AddOne(requestId);
    if (answer.mOutcome == Outcome::Done) {
      mTally.mWriteLatencies.push_back(MicrosecondsSince(aDue));
      mTally.mAcknowledgedAt.push_back(Clock::now());
      ++mTally.mAcknowledged;
      mPrimary = answer.mServedBy;
      mAcknowledged = mSent;
      return;
    }
    CountFailure(answer);
    Pause(answer);
  }
  // The write is given up. Later reads may or may not include it.
}

Answer LoadSession::AddOne(const std::string& aRequestId)
{
  std::vector<Operation> operations{ { OperationKind::Add, mRecord, "1" } };
  if (mPlan.mValueBytes > 0) {
    operations.push_back(
      { OperationKind::Put, mRecord + "/value", std::string(mPlan.mValueBytes, 'x') });
  }
  auto statement =
    NewStatement(mPlan.mRoute, StatementKind::Execute, std::move(operations));
  statement.mRequestId = aRequestId;
  return mTarget->Execute(std::move(statement));
}

Answer LoadSession::AddOneInTransaction(const std::string& aRequestId)
{
  auto answer = mTarget->Execute(NewStatement(mPlan.mRoute, StatementKind::Begin));
  if (answer.mOutcome != Outcome::Done) {
    return answer;
  }
  answer = mTarget->Execute(NewStatement(
    mPlan.mRoute, StatementKind::Execute, { { OperationKind::Add, mRecord, "1" } }));
  if (answer.mOutcome != Outcome::Done) {
    mTarget->Execute(NewStatement(mPlan.mRoute, StatementKind::Rollback));
    return answer;
  }
  auto commit = NewStatement(mPlan.mRoute, StatementKind::Commit);
  commit.mRequestId = aRequestId;
  return mTarget->Execute(std::move(commit));
}

void LoadSession::CheckFinalValue()
{
  auto limit = Clock::now() + kFinalReadTimeout;
  while (Clock::now() < limit) {
    auto answer = mTarget->Execute(NewStatement(
      mPlan.mRoute, StatementKind::Execute, { { OperationKind::Get, mRecord, {} } }));
    if (answer.mOutcome != Outcome::Done) {
      Pause(answer);
      continue;
    }
    auto seen = CounterIn(answer);
    mTally.mLost += seen < mAcknowledged ? 1 : 0;
    mTally.mRepeated += seen > mSent ? 1 : 0;
    return;
  }
  ++mTally.mLost;
}

} // namespace sesameway::load
