#include "sesameway/StatementQueue.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace sesameway {

namespace {

// At most this many statements wait, apart from those of open transactions.
constexpr std::size_t kMaxWaiting = 256;
// One start in this many goes to the kind of request that has waited longest.
constexpr std::size_t kMinimumPeriod = 8;
// Expected time to open a connection.
constexpr Duration kOpeningCost = milliseconds(12);
// Expected wait while nothing may start; how long that lasts is not known here. Reads
// should be routed elsewhere.
constexpr Duration kStoppedWait = milliseconds(400);
// An organisation whose waiting statements were passed over catches up at most this
// much slot time, so that it does not shut out the others afterwards.
constexpr Duration kMaxCredit = milliseconds(200);
// An organisation is charged at most this much above the expected cost of a statement,
// so that one lost answer doesn't shut it out for long.
constexpr Duration kMaxExtraCharge = milliseconds(200);
// Number of organisations of a priority above which unused ones are forgotten.
constexpr std::size_t kMaxFlows = 128;
// A longer time between starts has no use and could exceed the range of times.
constexpr double kMaxStartInterval = 3600;
constexpr Duration kNever = Duration::max();

} // namespace

StatementQueue::Actions StatementQueue::SetLimit(std::size_t aLimit, TimePoint aNow)
{
  mLimit = aLimit;
  return OnTick(aNow);
}

StatementQueue::Actions StatementQueue::SetStartRate(std::optional<double> aPerSecond,
                                                     TimePoint aNow)
{
  if (!aPerSecond) {
    mStartInterval = Duration::zero();
  } else if (!(*aPerSecond > 0)) {
    mStartInterval = kNever;
  } else {
    // Rounded up, so that the rate is never exceeded.
    std::chrono::duration<double> interval(
      std::min(1 / *aPerSecond, kMaxStartInterval));
    mStartInterval = std::chrono::ceil<Duration>(interval);
  }
  return OnTick(aNow);
}

StatementQueue::Actions StatementQueue::Add(std::uint64_t aTicket,
                                            StatementTerms aTerms,
                                            TimePoint aNow)
{
  Actions actions;
  if (auto refusal = Judge(aTerms, aNow)) {
    RefuseNow(aTicket, aTerms, refusal->mReason, aNow, actions);
  } else {
    if (mWaiting.size() - mTransactions.mStatements >= kMaxWaiting &&
        !aTerms.mIsInTransaction) {
      auto cost = mCosts.Find(aTerms.mCostClass).mCost;
      if (auto displaced = FindDisplaced(aTerms, cost)) {
        RefuseWaiting(*displaced, QueueRefusal::Full, aNow, actions);
      }
    }
    Insert(aTicket, std::move(aTerms), aNow);
  }
  Dispatch(aNow, actions);
  return actions;
}

bool StatementQueue::Drop(std::uint64_t aTicket)
{
  auto it = std::find_if(mWaiting.begin(), mWaiting.end(), [&](const auto& aIt) {
    return aIt.mTicket == aTicket;
  });
  if (it == mWaiting.end()) {
    return false;
  }
  auto dropped = Remove(it - mWaiting.begin());
  --dropped.mFlow->mUses;
  return true;
}

StatementQueue::Actions StatementQueue::OnEnded(std::uint64_t aTicket,
                                                bool aIsSample,
                                                TimePoint aNow)
{
  Actions actions;
  auto it = mRunning.find(aTicket);
  if (it == mRunning.end()) {
    return actions;
  }
  auto& statement = it->second;
  if (aIsSample) {
    Measure(statement, aNow);
  }
  auto extra = aNow - statement.mSince - statement.mCost;
  statement.mFlow->mStartTag += std::min(extra, kMaxExtraCharge);
  --statement.mFlow->mUses;
  mRunning.erase(it);
  // While nothing waits or runs, organisations do not compete.
  if (mWaiting.empty() && mRunning.empty()) {
    mLevels.clear();
  }
  Dispatch(aNow, actions);
  return actions;
}

StatementQueue::Actions StatementQueue::Vacate(TimePoint aNow)
{
  mOccupied -= std::min<std::size_t>(mOccupied, 1);
  return OnTick(aNow);
}

StatementQueue::Actions StatementQueue::OnTick(TimePoint aNow)
{
  Actions actions;
  Dispatch(aNow, actions);
  return actions;
}

TimePoint StatementQueue::NextTick() const
{
  auto next = TimePoint::max();
  for (const auto& it : mWaiting) {
    auto deadline = it.mTerms.mDeadline;
    if (deadline != TimePoint::max() && !it.mTerms.mIsInTransaction) {
      deadline -= it.mEstimate.CostForRefusal(mNow) - Duration(1);
    }
    next = std::min(next, deadline);
  }
  if (!mWaiting.empty() && Busy() < mLimit) {
    next = std::min(next, NextStartAt());
  }
  return next;
}

std::optional<TimePoint> StatementQueue::RefusedUntil(const StatementTerms& aTerms,
                                                      TimePoint aNow) const
{
  auto refusal = Judge(aTerms, aNow);
  return refusal ? std::optional(refusal->mRetryAt) : std::nullopt;
}

Duration StatementQueue::ExpectedWait(const StatementTerms& aTerms,
                                      TimePoint aNow) const
{
  if (IsStopped()) {
    return kStoppedWait;
  }
  auto ahead = AheadByOrder(aTerms);
  if (!aTerms.mIsInTransaction) {
    auto minimum = AheadByMinimum(aTerms);
    if (minimum.mStatements < ahead.mStatements && minimum.mCost < ahead.mCost) {
      ahead = minimum;
    }
  }
  return Delay(ahead, aNow);
}

// Whether a new statement is refused, and why.
std::optional<StatementQueue::Refusal> StatementQueue::Judge(
  const StatementTerms& aTerms,
  TimePoint aNow) const
{
  auto estimate = mCosts.Find(aTerms.mCostClass);
  auto refuse = [&](QueueRefusal aReason) {
    auto earliest = EarliestRetry(aTerms, estimate.mCost, aNow);
    return Refusal{ aReason, mRetryTimes.Peek(aTerms.mPriority, earliest) };
  };
  if (aTerms.mIsInTransaction) {
    if (aTerms.mDeadline <= aNow) {
      return refuse(QueueRefusal::Expired);
    }
    return std::nullopt;
  }
  // With nothing starting, how long the wait will be is not known; the statement waits.
  auto wait = IsStopped() ? Duration::zero() : ExpectedWait(aTerms, aNow);
  if (aTerms.mDeadline - aNow < wait + estimate.CostForRefusal(aNow)) {
    return refuse(QueueRefusal::Deadline);
  }
  if (mWaiting.size() - mTransactions.mStatements >= kMaxWaiting &&
      !FindDisplaced(aTerms, estimate.mCost)) {
    return refuse(QueueRefusal::Full);
  }
  return std::nullopt;
}

// Finds the waiting statement that a new one displaces if the queue is full: the one
// that would run last, but not the only one of its kind. Otherwise an organisation or
// kind of low priority could fill the queue and shut out all others. Returns
// std::nullopt if the new statement itself would run last.
std::optional<std::size_t> StatementQueue::FindDisplaced(const StatementTerms& aTerms,
                                                         Duration aCost) const
{
  auto rank = [](const Kind* aKind,
                 std::size_t aNew,
                 std::uint32_t aPriority,
                 Duration aFlowEnd,
                 std::uint64_t aNumber) {
    auto ofKind = aNew + (aKind ? aKind->mWaiting : 0);
    return std::tuple(ofKind > 1, aPriority, aFlowEnd, ofKind, aNumber);
  };
  Duration flowEnd{};
  const Flow* own = nullptr;
  if (auto level = mLevels.find(aTerms.mPriority); level != mLevels.end()) {
    flowEnd = level->second.mVirtualTime;
    const auto& flows = level->second.mFlows;
    if (auto flow = flows.find(aTerms.mOrganisation); flow != flows.end()) {
      own = &flow->second;
      flowEnd = std::max(flowEnd, own->mStartTag);
    }
  }
  flowEnd += aCost + (own ? own->mBacklog.mCost : Duration::zero());
  auto kind = mKinds.find(aTerms.mCostClass);
  const auto* ownKind = kind == mKinds.end() ? nullptr : &kind->second;
  auto last = rank(ownKind, 1, aTerms.mPriority, flowEnd, mArrivals + 1);
  std::optional<std::size_t> found;
  for (std::size_t n = 0; n < mWaiting.size(); ++n) {
    const auto& it = mWaiting[n];
    if (it.mTerms.mIsInTransaction) {
      continue;
    }
    auto end =
      it.mFlow == own ? flowEnd : it.mFlow->mStartTag + it.mFlow->mBacklog.mCost;
    auto isNewOfKind = it.mKind == ownKind ? 1U : 0U;
    auto other = rank(it.mKind, isNewOfKind, it.mTerms.mPriority, end, it.mNumber);
    if (other > last) {
      last = other;
      found = n;
    }
  }
  return found;
}

// What runs before a new statement by the order of starts.
StatementQueue::Backlog StatementQueue::AheadByOrder(const StatementTerms& aTerms) const
{
  auto ahead = mTransactions;
  if (aTerms.mIsInTransaction) {
    return ahead;
  }
  for (const auto& it : mLevels) {
    if (it.first > aTerms.mPriority) {
      break;
    }
    auto backlog = it.first < aTerms.mPriority
                     ? it.second.mBacklog
                     : AheadInLevel(it.second, aTerms.mOrganisation);
    ahead.mStatements += backlog.mStatements;
    ahead.mCost += backlog.mCost;
  }
  return ahead;
}

// What runs before a new statement of the organisation within its priority: all that
// the organisation has waiting, and of each other organisation what starts by that
// time.
StatementQueue::Backlog StatementQueue::AheadInLevel(
  const Level& aLevel,
  const std::string& aOrganisation) const
{
  Backlog ahead;
  auto start = aLevel.mVirtualTime;
  auto own = aLevel.mFlows.find(aOrganisation);
  if (own != aLevel.mFlows.end()) {
    const auto& flow = own->second;
    ahead = flow.mBacklog;
    start = ahead.mStatements > 0 ? flow.mStartTag + ahead.mCost
                                  : std::max(start, flow.mStartTag);
  }
  for (auto it = aLevel.mFlows.begin(); it != aLevel.mFlows.end(); ++it) {
    const auto& [statements, cost] = it->second.mBacklog;
    auto lead = start - it->second.mStartTag;
    if (it == own || statements == 0 || lead < Duration::zero()) {
      continue;
    }
    auto each = std::max(Duration(1), cost / static_cast<std::int64_t>(statements));
    auto count = std::min<std::size_t>(statements, lead / each + 1);
    ahead.mStatements += count;
    ahead.mCost += each * static_cast<std::int64_t>(count);
  }
  return ahead;
}

// What runs before a new statement if it starts only as one of the guaranteed minimum,
// which the kinds of request take in turns.
StatementQueue::Backlog StatementQueue::AheadByMinimum(
  const StatementTerms& aTerms) const
{
  auto total = mTransactions.mCost;
  for (const auto& it : mLevels) {
    total += it.second.mBacklog.mCost;
  }
  // More urgent kinds are served by the order of starts and seldom take a turn.
  std::size_t others = 0;
  std::size_t ownTurns = 1;
  for (const auto& it : mKinds) {
    if (it.first == aTerms.mCostClass) {
      ownTurns += it.second.mWaiting;
    } else if (it.second.mPriority >= aTerms.mPriority) {
      ++others;
    }
  }
  auto turns = (others + 1) * ownTurns;
  auto starts = kMinimumPeriod * turns - mStartsByOrder - 1;
  auto each = total / static_cast<std::int64_t>(std::max<std::size_t>(1, Waiting()));
  return { starts, each * static_cast<std::int64_t>(starts) };
}

// Time until a statement can start that has `aAhead` before it.
Duration StatementQueue::Delay(const Backlog& aAhead, TimePoint aNow) const
{
  auto delay = SlotDelay(aAhead.mCost, aNow);
  if (mStartInterval == Duration::zero()) {
    return delay;
  }
  auto first = std::max(aNow, NextStartAt()) - aNow;
  auto statements = static_cast<std::int64_t>(aAhead.mStatements);
  return std::max(delay, first + mStartInterval * statements);
}

// Time until a slot is free after `aWork` has been spread over the slots, each of which
// takes its part once it is free.
Duration StatementQueue::SlotDelay(Duration aWork, TimePoint aNow) const
{
  auto times = SlotTimes(aNow);
  auto sum = aWork;
  for (std::size_t n = 0; n < times.size(); ++n) {
    sum += times[n];
    auto level = sum / static_cast<std::int64_t>(n + 1);
    if (n + 1 == times.size() || level <= times[n + 1]) {
      return level;
    }
  }
  return kStoppedWait;
}

// Times until each slot of the limit is expected to be free, in ascending order.
std::vector<Duration> StatementQueue::SlotTimes(TimePoint aNow) const
{
  std::vector<Duration> times(mOccupied, kOpeningCost);
  for (const auto& it : mRunning) {
    // A statement that is late is expected to take as long again as it is late already.
    auto left = it.second.mCost - (aNow - it.second.mSince);
    times.push_back(std::max(left, -left));
  }
  times.resize(std::max(times.size(), mLimit), Duration::zero());
  std::sort(times.begin(), times.end());
  // Above the limit, the first ones to end leave no slot free.
  auto excess = static_cast<std::ptrdiff_t>(times.size() - mLimit);
  times.erase(times.begin(), times.begin() + excess);
  return times;
}

bool StatementQueue::IsStopped() const
{
  return mLimit == 0 || mStartInterval == kNever;
}

// Time between two statements at the rate at which the queue drains.
Duration StatementQueue::Spacing(Duration aCost) const
{
  auto slots = static_cast<std::int64_t>(std::max<std::size_t>(1, mLimit));
  auto interval = mStartInterval == kNever ? Duration::zero() : mStartInterval;
  return std::max(aCost / slots, interval);
}

TimePoint StatementQueue::EarliestRetry(const StatementTerms& aTerms,
                                        Duration aCost,
                                        TimePoint aNow) const
{
  return aNow + std::max(ExpectedWait(aTerms, aNow), Spacing(aCost));
}

void StatementQueue::RefuseNow(std::uint64_t aTicket,
                               const StatementTerms& aTerms,
                               QueueRefusal aReason,
                               TimePoint aNow,
                               Actions& aActions)
{
  auto cost = mCosts.Find(aTerms.mCostClass).mCost;
  auto earliest = EarliestRetry(aTerms, cost, aNow);
  auto retryAt = mRetryTimes.Take(aTerms.mPriority, earliest, Spacing(cost), aNow);
  aActions.push_back(Refuse{ aTicket, retryAt, aReason });
}

void StatementQueue::RefuseWaiting(std::size_t aIndex,
                                   QueueRefusal aReason,
                                   TimePoint aNow,
                                   Actions& aActions)
{
  auto statement = Remove(aIndex);
  --statement.mFlow->mUses;
  RefuseNow(statement.mTicket, statement.mTerms, aReason, aNow, aActions);
}

void StatementQueue::Insert(std::uint64_t aTicket,
                            StatementTerms aTerms,
                            TimePoint aNow)
{
  auto& level = mLevels[aTerms.mPriority];
  auto& flow = level.mFlows[aTerms.mOrganisation];
  auto& kind = mKinds[aTerms.mCostClass];
  auto estimate = mCosts.Find(aTerms.mCostClass);
  // An organisation without waiting statements has no claim to time that has passed.
  if (flow.mBacklog.mStatements == 0) {
    flow.mStartTag = std::max(flow.mStartTag, level.mVirtualTime);
  }
  ++flow.mUses;
  ++kind.mWaiting;
  kind.mPriority = aTerms.mPriority;
  auto count = [&](Backlog& aBacklog) {
    ++aBacklog.mStatements;
    aBacklog.mCost += estimate.mCost;
  };
  if (aTerms.mIsInTransaction) {
    count(mTransactions);
  } else {
    count(level.mBacklog);
    count(flow.mBacklog);
  }
  mWaiting.push_back(
    { aTicket, ++mArrivals, aNow, std::move(aTerms), estimate, &level, &flow, &kind });
}

// Removes a waiting statement from the queue. Its organisation's entry stays in use.
StatementQueue::WaitingStatement StatementQueue::Remove(std::size_t aIndex)
{
  std::swap(mWaiting[aIndex], mWaiting.back());
  auto statement = std::move(mWaiting.back());
  mWaiting.pop_back();
  auto discount = [&](Backlog& aBacklog) {
    --aBacklog.mStatements;
    aBacklog.mCost -= statement.mEstimate.mCost;
  };
  if (statement.mTerms.mIsInTransaction) {
    discount(mTransactions);
  } else {
    discount(statement.mLevel->mBacklog);
    discount(statement.mFlow->mBacklog);
  }
  if (--statement.mKind->mWaiting == 0) {
    mKinds.erase(statement.mTerms.mCostClass);
  }
  return statement;
}

// Refuses statements whose deadline has passed or will have passed when they end.
void StatementQueue::RefuseHopeless(TimePoint aNow, Actions& aActions)
{
  for (std::size_t n = 0; n < mWaiting.size();) {
    const auto& it = mWaiting[n];
    auto left = it.mTerms.mDeadline - aNow;
    bool isTooLate =
      !it.mTerms.mIsInTransaction && left < it.mEstimate.CostForRefusal(aNow);
    if (left <= Duration::zero()) {
      RefuseWaiting(n, QueueRefusal::Expired, aNow, aActions);
    } else if (isTooLate) {
      RefuseWaiting(n, QueueRefusal::Deadline, aNow, aActions);
    } else {
      ++n;
    }
  }
}

void StatementQueue::Dispatch(TimePoint aNow, Actions& aActions)
{
  mNow = aNow;
  RefuseHopeless(aNow, aActions);
  while (!mWaiting.empty() && Busy() < mLimit && NextStartAt() <= aNow) {
    bool isMinimum = ++mStartsByOrder == kMinimumPeriod;
    if (isMinimum) {
      mStartsByOrder = 0;
    }
    auto next = isMinimum ? FindLongestWaiting() : FindNext(aNow);
    StartWaiting(next, aNow, aActions);
  }
}

// Urgency comes before the target: if a late statement ran after less urgent ones that
// can still meet theirs, the most urgent kind would be served worst whenever a
// statement of the database takes longer than its target allows.
std::size_t StatementQueue::FindNext(TimePoint aNow) const
{
  auto rank = [&](const WaitingStatement& aIt) {
    const auto& terms = aIt.mTerms;
    bool isLate = aNow + aIt.mEstimate.mCost > terms.mGoalAt;
    return std::tuple(!terms.mIsInTransaction,
                      terms.mPriority,
                      isLate,
                      aIt.mFlow->mStartTag,
                      terms.mGoalAt,
                      aIt.mNumber);
  };
  std::size_t found = 0;
  for (std::size_t n = 1; n < mWaiting.size(); ++n) {
    if (rank(mWaiting[n]) < rank(mWaiting[found])) {
      found = n;
    }
  }
  return found;
}

// Finds the oldest statement of the kind that has waited longest for a start. By the
// age of statements alone, kinds with short deadlines would never get the minimum:
// theirs have been refused before they are the oldest.
std::size_t StatementQueue::FindLongestWaiting() const
{
  auto rank = [](const WaitingStatement& aIt) {
    return std::pair(std::max(aIt.mSince, aIt.mKind->mStartedAt), aIt.mNumber);
  };
  std::size_t found = 0;
  for (std::size_t n = 1; n < mWaiting.size(); ++n) {
    if (rank(mWaiting[n]) < rank(mWaiting[found])) {
      found = n;
    }
  }
  return found;
}

void StatementQueue::StartWaiting(std::size_t aIndex, TimePoint aNow, Actions& aActions)
{
  mWaiting[aIndex].mKind->mStartedAt = aNow;
  auto statement = Remove(aIndex);
  auto& level = *statement.mLevel;
  auto& flow = *statement.mFlow;
  auto cost = statement.mEstimate.mCost;
  flow.mStartTag = std::max(flow.mStartTag, level.mVirtualTime - kMaxCredit);
  level.mVirtualTime = std::max(level.mVirtualTime, flow.mStartTag);
  flow.mStartTag += cost;
  ForgetUnused(level);
  mLastStartAt = aNow;
  mRunning[statement.mTicket] = {
    std::move(statement.mTerms.mCostClass), cost, aNow, &flow
  };
  aActions.push_back(Start{ statement.mTicket });
}

void StatementQueue::Measure(const RunningStatement& aStatement, TimePoint aNow)
{
  const auto& costClass = aStatement.mCostClass;
  mCosts.Add(costClass, aNow - aStatement.mSince, aNow);
  auto estimate = mCosts.Find(costClass);
  for (auto& it : mWaiting) {
    if (it.mTerms.mCostClass != costClass) {
      continue;
    }
    auto change = estimate.mCost - it.mEstimate.mCost;
    if (it.mTerms.mIsInTransaction) {
      mTransactions.mCost += change;
    } else {
      it.mLevel->mBacklog.mCost += change;
      it.mFlow->mBacklog.mCost += change;
    }
    it.mEstimate = estimate;
  }
}

void StatementQueue::ForgetUnused(Level& aLevel)
{
  if (aLevel.mFlows.size() <= kMaxFlows) {
    return;
  }
  std::erase_if(aLevel.mFlows, [&](const auto& aIt) {
    return aIt.second.mUses == 0 && aIt.second.mStartTag <= aLevel.mVirtualTime;
  });
}

TimePoint StatementQueue::NextStartAt() const
{
  if (mStartInterval == kNever) {
    return TimePoint::max();
  }
  return mLastStartAt ? *mLastStartAt + mStartInterval : TimePoint{};
}

} // namespace sesameway
