#include "sesameway/Limits.h"

#include <algorithm>

namespace sesameway {

namespace {

// A product of a rate and a time does not fit 64 bits.
__extension__ using Wide = __int128;

constexpr std::int64_t kTicksPerSecond =
  std::chrono::duration_cast<Duration>(seconds(1)).count();

// A statement waits for borrowed tokens only if a lender can be asked within this time:
// three round trips between regions.
constexpr Duration kLoanWait = milliseconds(150);
// How long a statement waits for a token while its own refill or a lender may still
// bring one. In a large fleet the tokens of a small organisation lie with a few daemons
// in other regions, which are asked one after the other.
constexpr Duration kTokenWait = milliseconds(400);
// Pause before a lender that had no tokens is asked again. Doubles with each
// consecutive reply without tokens: an organisation that exceeds its rate finds none
// anywhere.
constexpr Duration kRequestPause = milliseconds(10);
constexpr int kMaxPauseDoublings = 3;
// Upper limit of the pause that a lender itself names as its time until the next token.
constexpr Duration kMaxPause = milliseconds(500);
constexpr Duration kPauseAfterTimeout = milliseconds(100);
// A daemon that admitted a statement within this time keeps at least as many tokens as
// its bucket has room for, and so lends only while the bucket is more than half full.
constexpr Duration kRecentAdmission = milliseconds(200);
constexpr std::size_t kMaxOpenRequests = 3;
constexpr std::size_t kMaxWaiters = 64;
constexpr Duration kRetryAfter = milliseconds(50);

} // namespace

Share TokenBucket::ShareAt(TimePoint aAt) const
{
  if (aAt >= mShare.mLeaseEnd) {
    return mShare.mFloor;
  }
  return { mShare.mFloor.mRate + mShare.mLeased.mRate,
           mShare.mFloor.mBurst + mShare.mLeased.mBurst };
}

void TokenBucket::SetShare(const HeldShare& aShare, TimePoint aNow)
{
  bool isFirst = ShareAt(mAt) == Share{} && mReserved.empty() && aShare.mSince < aNow;
  if (isFirst) {
    mAt = aShare.mSince;
  } else {
    Advance(aNow);
  }
  auto before = ShareAt(mAt);
  mShare = aShare;
  auto after = ShareAt(mAt);
  if (after.mBurst > before.mBurst) {
    Reserve(after.mBurst - before.mBurst, mAt + kLoanReservation);
  }
  Clamp(after.mBurst);
}

bool TokenBucket::Take(TimePoint aNow)
{
  Advance(aNow);
  if (mLevel < kOneToken) {
    return false;
  }
  mLevel -= kOneToken;
  return true;
}

NanoTokens TokenBucket::Lend(NanoTokens aWanted, TimePoint aNow)
{
  Advance(aNow);
  auto spare = (mLevel / kOneToken + 1) / 2;
  auto lent = std::min(aWanted / kOneToken, spare) * kOneToken;
  if (lent <= 0) {
    return 0;
  }
  mLevel -= lent;
  Reserve(lent, mAt + kLoanReservation);
  return lent;
}

void TokenBucket::Deposit(NanoTokens aTokens, TimePoint aNow)
{
  Advance(aNow);
  mLevel += std::max<NanoTokens>(0, aTokens);
  Clamp(ShareAt(mAt).mBurst);
}

NanoTokens TokenBucket::Room(TimePoint aNow)
{
  Advance(aNow);
  return std::max<NanoTokens>(0, ShareAt(mAt).mBurst - mReservedTotal - mLevel);
}

NanoTokens TokenBucket::Level(TimePoint aNow)
{
  Advance(aNow);
  return mLevel;
}

TimePoint TokenBucket::NextToken(TimePoint aNow, std::size_t aBefore)
{
  Advance(aNow);
  auto share = ShareAt(mAt);
  auto tokens = static_cast<NanoTokens>(aBefore + 1) * kOneToken;
  if (mLevel >= tokens) {
    return mAt;
  }
  if (share.mRate <= 0 || share.mBurst < kOneToken) {
    return TimePoint::max();
  }
  Wide missing = Wide{ tokens - mLevel } * kTicksPerSecond;
  auto ticks = static_cast<std::int64_t>(missing / share.mRate + 1);
  return mAt + Duration(ticks);
}

// Steps through every time at which the capacity changes, so that the result does not
// depend on how often this is called.
void TokenBucket::Advance(TimePoint aNow)
{
  while (mAt < aNow) {
    auto until = aNow;
    if (mShare.mLeaseEnd > mAt) {
      until = std::min(until, mShare.mLeaseEnd);
    }
    if (!mReserved.empty()) {
      until = std::min(until, std::max(mAt, mReserved.front().mUntil));
    }
    Refill(until);
    while (!mReserved.empty() && mReserved.front().mUntil <= mAt) {
      mReservedTotal -= mReserved.front().mTokens;
      mReserved.pop_front();
    }
    Clamp(ShareAt(mAt).mBurst);
  }
}

void TokenBucket::Refill(TimePoint aUntil)
{
  auto share = ShareAt(mAt);
  auto room = share.mBurst - mReservedTotal - mLevel;
  Wide parts = Wide{ (aUntil - mAt).count() } * share.mRate + mRemainder;
  Wide tokens = parts / kTicksPerSecond;
  mAt = aUntil;
  if (tokens >= room) {
    mLevel += std::max<NanoTokens>(0, room);
    mRemainder = 0;
    return;
  }
  mLevel += static_cast<NanoTokens>(tokens);
  mRemainder = static_cast<std::int64_t>(parts % kTicksPerSecond);
}

void TokenBucket::Reserve(NanoTokens aTokens, TimePoint aUntil)
{
  mReserved.push_back({ aTokens, aUntil });
  mReservedTotal += aTokens;
}

void TokenBucket::Clamp(NanoTokens aCapacity)
{
  mLevel = std::clamp<NanoTokens>(
    mLevel, 0, std::max<NanoTokens>(0, aCapacity - mReservedTotal));
}

void Limiter::SetShare(const HeldShare& aShare, TimePoint aNow)
{
  mBucket.SetShare(aShare, aNow);
}

void Limiter::SetLenders(std::vector<std::string> aLenders)
{
  std::vector<Lender> lenders;
  for (auto& it : aLenders) {
    const auto* known = Find(it);
    lenders.push_back(known ? *known : Lender{ std::move(it) });
  }
  mLenders = std::move(lenders);
}

LimiterStep Limiter::Admit(std::uint64_t aTicket, TimePoint aDeadline, TimePoint aNow)
{
  LimiterStep step;
  // Serve the waiting statements first, even if their tick is overdue.
  ServeWaiters(step, 0, aNow);
  bool mayTake = mWaiters.empty();
  if (mayTake && mBucket.Take(aNow)) {
    step.mDecisions.push_back({ aTicket, true, aNow });
    mLastAdmitted = aNow;
    SendRequests(step, aNow);
    return Finish(std::move(step), aNow);
  }
  // Statements that already wait are entitled to the refill first.
  auto own = mBucket.NextToken(aNow, mWaiters.size());
  bool isOwnNear = own <= aNow + kTokenWait;
  bool isLoanNear = NextRequestAt(aNow) <= aNow + kLoanWait;
  if ((!isOwnNear && !isLoanNear) || mWaiters.size() >= kMaxWaiters) {
    step.mDecisions.push_back({ aTicket, false, RetryAt(aNow) });
    return Finish(std::move(step), aNow);
  }
  mWaiters.push_back({ aTicket, aNow, std::min(aDeadline, aNow + kTokenWait) });
  SendRequests(step, aNow);
  return Finish(std::move(step), aNow);
}

LimiterStep Limiter::OnLoan(std::uint64_t aRequest, const Loan& aLoan, TimePoint aNow)
{
  LimiterStep step;
  auto it = mTokenRequests.find(aRequest);
  // A request is removed with its first reply, so a duplicate reply adds no tokens.
  if (it == mTokenRequests.end()) {
    return Finish(std::move(step), aNow);
  }
  auto request = std::move(it->second);
  mTokenRequests.erase(it);
  bool isInTime = aNow < request.mDeadline;
  if (auto* lender = Find(request.mLender)) {
    lender->mAsked = false;
    lender->mAnsweredAt = aNow;
    bool hasGiven = aLoan.mTokens > 0;
    bool isStillNeeded = hasGiven && !mWaiters.empty();
    lender->mRefusals =
      hasGiven ? 0 : std::min(lender->mRefusals + 1, kMaxPauseDoublings);
    auto told = hasGiven ? Duration::zero() : std::min(aLoan.mNext, kMaxPause);
    auto pause = std::max(kRequestPause * (1 << lender->mRefusals), told);
    lender->mRetryAt = isStillNeeded ? aNow : aNow + pause;
    if (!isInTime) {
      lender->mRetryAt = aNow + kPauseAfterTimeout;
    }
  }
  ServeWaiters(step, isInTime ? aLoan.mTokens : 0, aNow);
  if (!mWaiters.empty()) {
    SendRequests(step, aNow);
  }
  RefuseUnservable(step, aNow);
  return Finish(std::move(step), aNow);
}

LimiterStep Limiter::OnTick(TimePoint aNow)
{
  LimiterStep step;
  std::vector<std::uint64_t> timedOut;
  for (const auto& it : mTokenRequests) {
    if (it.second.mDeadline <= aNow) {
      timedOut.push_back(it.first);
    }
  }
  for (auto id : timedOut) {
    if (auto* lender = Find(mTokenRequests[id].mLender)) {
      lender->mAsked = false;
      lender->mAnsweredAt = aNow;
      lender->mRetryAt = aNow + kPauseAfterTimeout;
    }
    mTokenRequests.erase(id);
  }
  ServeWaiters(step, 0, aNow);
  if (!mWaiters.empty()) {
    SendRequests(step, aNow);
  }
  RefuseUnservable(step, aNow);
  return Finish(std::move(step), aNow);
}

Loan Limiter::Lend(NanoTokens aWanted, TimePoint aNow)
{
  Loan loan;
  if (mWaiters.empty()) {
    bool isBusy = aNow - mLastAdmitted < kRecentAdmission;
    auto kept = isBusy ? mBucket.Room(aNow) : 0;
    loan.mTokens = mBucket.Lend(std::min(aWanted, mBucket.Level(aNow) - kept), aNow);
  }
  if (loan.mTokens == 0) {
    auto next = mBucket.NextToken(aNow, mWaiters.size());
    loan.mNext = std::min<Duration>(next - aNow, kMaxPause);
  }
  return loan;
}

// Borrowed tokens go to waiting statements first: tokens spent that way need no room in
// the bucket.
void Limiter::ServeWaiters(LimiterStep& aStep, NanoTokens aBorrowed, TimePoint aNow)
{
  while (!mWaiters.empty()) {
    bool isBorrowed = aBorrowed >= kOneToken;
    bool isAdmitted = isBorrowed || mBucket.Take(aNow);
    if (!isAdmitted) {
      break;
    }
    aBorrowed -= isBorrowed ? kOneToken : 0;
    aStep.mDecisions.push_back({ mWaiters.front().mTicket, true, aNow });
    mLastAdmitted = aNow;
    mWaiters.pop_front();
  }
  mBucket.Deposit(aBorrowed, aNow);
  std::erase_if(mWaiters, [&](const Waiter& aWaiter) {
    bool isOver = aWaiter.mGiveUpAt <= aNow;
    if (isOver) {
      aStep.mDecisions.push_back({ aWaiter.mTicket, false, RetryAt(aNow) });
    }
    return isOver;
  });
}

// Refuses statements that probably no token reaches in time, the latest first, since
// earlier ones get tokens first.
void Limiter::RefuseUnservable(LimiterStep& aStep, TimePoint aNow)
{
  while (!mWaiters.empty()) {
    const auto& last = mWaiters.back();
    auto own = mBucket.NextToken(aNow, mWaiters.size() - 1);
    if (own < last.mGiveUpAt || MayBorrow(last, aNow)) {
      return;
    }
    auto ticket = last.mTicket;
    mWaiters.pop_back();
    aStep.mDecisions.push_back({ ticket, false, RetryAt(aNow) });
  }
}

// Whether a lender may still bring a token: one can be asked in time, and either
// kLoanWait has not passed or one has not answered since the statement came.
bool Limiter::MayBorrow(const Waiter& aWaiter, TimePoint aNow) const
{
  if (NextRequestAt(aNow) >= aWaiter.mGiveUpAt) {
    return false;
  }
  bool hasOpenLender =
    std::any_of(mLenders.begin(), mLenders.end(), [&](const Lender& aLender) {
      return aLender.mAnsweredAt < aWaiter.mSince;
    });
  return hasOpenLender || aNow < aWaiter.mSince + kLoanWait;
}

void Limiter::SendRequests(LimiterStep& aStep, TimePoint aNow)
{
  // Borrow as soon as the bucket is less than half full, so that statements needn't
  // wait.
  bool isShort = !mWaiters.empty() || mBucket.Level(aNow) < mBucket.Room(aNow);
  auto unrequested = UnrequestedTokens(aNow);
  if (!isShort || unrequested <= 0) {
    return;
  }
  auto each =
    std::max(kOneToken, unrequested / static_cast<NanoTokens>(kMaxOpenRequests));
  for (auto& it : mLenders) {
    if (mTokenRequests.size() >= kMaxOpenRequests || unrequested <= 0) {
      return;
    }
    if (it.mAsked || it.mRetryAt > aNow) {
      continue;
    }
    it.mAsked = true;
    TokenRequest request{
      mNextRequestId++, it.mName, std::min(each, unrequested), aNow + kLoanLifetime
    };
    unrequested -= request.mWanted;
    mTokenRequests[request.mId] = { request.mLender,
                                    request.mWanted,
                                    request.mDeadline };
    aStep.mTokenRequests.push_back(std::move(request));
  }
}

// Counts no more than can be used, as borrowed tokens that don't fit are discarded.
NanoTokens Limiter::UnrequestedTokens(TimePoint aNow)
{
  auto wanted =
    static_cast<NanoTokens>(mWaiters.size()) * kOneToken + mBucket.Room(aNow);
  if (wanted < kOneToken) {
    return 0;
  }
  for (const auto& it : mTokenRequests) {
    wanted -= it.second.mWanted;
  }
  return wanted;
}

LimiterStep Limiter::Finish(LimiterStep aStep, TimePoint aNow)
{
  for (const auto& it : mTokenRequests) {
    aStep.mNextTick = std::min(aStep.mNextTick, it.second.mDeadline);
  }
  if (mWaiters.empty()) {
    return aStep;
  }
  aStep.mNextTick = std::min(aStep.mNextTick, mBucket.NextToken(aNow));
  for (const auto& it : mWaiters) {
    auto loanWaitEnd = it.mSince + kLoanWait;
    auto next = aNow < loanWaitEnd ? std::min(loanWaitEnd, it.mGiveUpAt) : it.mGiveUpAt;
    aStep.mNextTick = std::min(aStep.mNextTick, next);
  }
  // A tick to ask another lender is needed only if a request may be sent; otherwise the
  // next reply triggers the next request.
  bool mayAsk = mTokenRequests.size() < kMaxOpenRequests && UnrequestedTokens(aNow) > 0;
  for (const auto& it : mLenders) {
    if (mayAsk && !it.mAsked) {
      aStep.mNextTick = std::min(aStep.mNextTick, it.mRetryAt);
    }
  }
  aStep.mNextTick = std::max(aStep.mNextTick, aNow + milliseconds(1));
  return aStep;
}

TimePoint Limiter::NextRequestAt(TimePoint aNow) const
{
  auto next = TimePoint::max();
  for (const auto& it : mLenders) {
    // A lender that has been asked may reply at any time.
    next = std::min(next, it.mAsked ? aNow : std::max(aNow, it.mRetryAt));
  }
  return next;
}

TimePoint Limiter::RetryAt(TimePoint aNow)
{
  auto next = std::min(mBucket.NextToken(aNow, mWaiters.size()), NextRequestAt(aNow));
  return next == TimePoint::max() ? aNow + kRetryAfter
                                  : std::max(next, aNow + kRetryAfter);
}

Limiter::Lender* Limiter::Find(const std::string& aName)
{
  auto it = std::find_if(mLenders.begin(), mLenders.end(), [&](const Lender& aLender) {
    return aLender.mName == aName;
  });
  return it == mLenders.end() ? nullptr : &*it;
}

} // namespace sesameway
