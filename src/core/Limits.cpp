#include "sesameway/Limits.h"

#include <algorithm>

namespace sesameway {

namespace {

// A product of a rate and a time does not fit 64 bits.
__extension__ using Wide = __int128;

constexpr std::int64_t kTicksPerSecond =
  std::chrono::duration_cast<Duration>(seconds(1)).count();

// How long a statement waits for tokens of fellows before it is refused: three rounds
// of questions between regions.
constexpr Duration kPatience = milliseconds(150);
// How long it waits for a token of the daemon's own refill, which is certain to come.
constexpr Duration kOwnPatience = milliseconds(400);
// A fellow that had nothing to spare is left alone this long; twice as long each time
// that it has nothing again, since an organisation over its rate finds nothing
// anywhere.
constexpr Duration kAskPause = milliseconds(10);
constexpr int kMaxAskDoublings = 3;
// A fellow that says when it will have one is left alone until then, at most this long.
constexpr Duration kMostAskPause = milliseconds(500);
constexpr Duration kAskPauseAfterSilence = milliseconds(100);
// A daemon that admitted something within this time keeps half of its bucket.
constexpr Duration kBusyTime = milliseconds(200);
constexpr std::size_t kAsksAtOnce = 3;
constexpr std::size_t kMaxWaiters = 64;
constexpr Duration kRetryAfter = milliseconds(50);

} // namespace

Share TokenBucket::InForce(TimePoint aAt) const
{
  if (aAt >= mShare.mLeaseEnd) {
    return mShare.mFloor;
  }
  return { mShare.mFloor.mRate + mShare.mLeased.mRate,
           mShare.mFloor.mBurst + mShare.mLeased.mBurst };
}

void TokenBucket::SetShare(const HeldShare& aShare, TimePoint aNow)
{
  bool isFirst = InForce(mAt) == Share{} && mClosed.empty() && aShare.mSince < aNow;
  if (isFirst) {
    mAt = aShare.mSince;
  } else {
    Advance(aNow);
  }
  auto before = InForce(mAt);
  mShare = aShare;
  auto after = InForce(mAt);
  if (after.mBurst > before.mBurst) {
    Close(after.mBurst - before.mBurst, mAt + kLoanReservation);
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
  Close(lent, mAt + kLoanReservation);
  return lent;
}

void TokenBucket::Deposit(NanoTokens aTokens, TimePoint aNow)
{
  Advance(aNow);
  mLevel += std::max<NanoTokens>(0, aTokens);
  Clamp(InForce(mAt).mBurst);
}

NanoTokens TokenBucket::Room(TimePoint aNow)
{
  Advance(aNow);
  return std::max<NanoTokens>(0, InForce(mAt).mBurst - mClosedTotal - mLevel);
}

NanoTokens TokenBucket::Level(TimePoint aNow)
{
  Advance(aNow);
  return mLevel;
}

TimePoint TokenBucket::NextToken(TimePoint aNow, std::size_t aBefore)
{
  Advance(aNow);
  auto share = InForce(mAt);
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

// Walks through the points at which capacity changes, so that a call after a long pause
// finds what calls in between would have left.
void TokenBucket::Advance(TimePoint aNow)
{
  while (mAt < aNow) {
    auto until = aNow;
    if (mShare.mLeaseEnd > mAt) {
      until = std::min(until, mShare.mLeaseEnd);
    }
    if (!mClosed.empty()) {
      until = std::min(until, std::max(mAt, mClosed.front().mUntil));
    }
    Refill(until);
    while (!mClosed.empty() && mClosed.front().mUntil <= mAt) {
      mClosedTotal -= mClosed.front().mTokens;
      mClosed.pop_front();
    }
    Clamp(InForce(mAt).mBurst);
  }
}

void TokenBucket::Refill(TimePoint aUntil)
{
  auto share = InForce(mAt);
  auto room = share.mBurst - mClosedTotal - mLevel;
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

void TokenBucket::Close(NanoTokens aTokens, TimePoint aUntil)
{
  mClosed.push_back({ aTokens, aUntil });
  mClosedTotal += aTokens;
}

void TokenBucket::Clamp(NanoTokens aCapacity)
{
  mLevel = std::clamp<NanoTokens>(
    mLevel, 0, std::max<NanoTokens>(0, aCapacity - mClosedTotal));
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
    lenders.push_back(known ? *known : Lender{ std::move(it), {}, false });
  }
  mLenders = std::move(lenders);
}

LimiterStep Limiter::Admit(std::uint64_t aTicket, TimePoint aDeadline, TimePoint aNow)
{
  LimiterStep step;
  // Those that came before go first, also when no tick has come in time.
  Settle(step, 0, aNow);
  bool mayTake = mWaiters.empty();
  if (mayTake && mBucket.Take(aNow)) {
    step.mDecisions.push_back({ aTicket, true, aNow });
    mLastAdmitted = aNow;
    SendAsks(step, aNow);
    return Finish(std::move(step), aNow);
  }
  // Those that wait already get the own refill first.
  auto own = mBucket.NextToken(aNow, mWaiters.size());
  bool isOwnNear = own <= aNow + kOwnPatience;
  bool isLoanNear = NextAsk(aNow) <= aNow + kPatience;
  if ((!isOwnNear && !isLoanNear) || mWaiters.size() >= kMaxWaiters) {
    step.mDecisions.push_back({ aTicket, false, RetryAt(aNow) });
    return Finish(std::move(step), aNow);
  }
  auto giveUpAt = aNow + (isOwnNear ? kOwnPatience : kPatience);
  mWaiters.push_back({ aTicket, std::min(aDeadline, giveUpAt) });
  SendAsks(step, aNow);
  return Finish(std::move(step), aNow);
}

LimiterStep Limiter::OnLoan(std::uint64_t aAsk, const Loan& aLoan, TimePoint aNow)
{
  LimiterStep step;
  auto it = mTokenRequests.find(aAsk);
  // Each answer counts once: the ask is forgotten with its first answer.
  if (it == mTokenRequests.end()) {
    return Finish(std::move(step), aNow);
  }
  auto ask = std::move(it->second);
  mTokenRequests.erase(it);
  bool isInTime = aNow < ask.mDeadline;
  if (auto* lender = Find(ask.mLender)) {
    lender->mAsked = false;
    bool hasGiven = aLoan.mTokens > 0;
    bool isPressed = hasGiven && !mWaiters.empty();
    lender->mRefusals =
      hasGiven ? 0 : std::min(lender->mRefusals + 1, kMaxAskDoublings);
    auto told = hasGiven ? Duration::zero() : std::min(aLoan.mNext, kMostAskPause);
    auto pause = std::max(kAskPause * (1 << lender->mRefusals), told);
    lender->mAskAgainAt = isPressed ? aNow : aNow + pause;
    if (!isInTime) {
      lender->mAskAgainAt = aNow + kAskPauseAfterSilence;
    }
  }
  Settle(step, isInTime ? aLoan.mTokens : 0, aNow);
  if (!mWaiters.empty()) {
    SendAsks(step, aNow);
  }
  return Finish(std::move(step), aNow);
}

LimiterStep Limiter::OnTick(TimePoint aNow)
{
  LimiterStep step;
  std::vector<std::uint64_t> silent;
  for (const auto& it : mTokenRequests) {
    if (it.second.mDeadline <= aNow) {
      silent.push_back(it.first);
    }
  }
  for (auto id : silent) {
    if (auto* lender = Find(mTokenRequests[id].mLender)) {
      lender->mAsked = false;
      lender->mAskAgainAt = aNow + kAskPauseAfterSilence;
    }
    mTokenRequests.erase(id);
  }
  Settle(step, 0, aNow);
  if (!mWaiters.empty()) {
    SendAsks(step, aNow);
  }
  return Finish(std::move(step), aNow);
}

Loan Limiter::Lend(NanoTokens aWanted, TimePoint aNow)
{
  Loan loan;
  if (mWaiters.empty()) {
    bool isBusy = aNow - mLastAdmitted < kBusyTime;
    auto kept = isBusy ? mBucket.Room(aNow) : 0;
    loan.mTokens = mBucket.Lend(std::min(aWanted, mBucket.Level(aNow) - kept), aNow);
  }
  if (loan.mTokens == 0) {
    auto next = mBucket.NextToken(aNow, mWaiters.size());
    loan.mNext = std::min<Duration>(next - aNow, kMostAskPause);
  }
  return loan;
}

// Borrowed tokens go to waiting statements first, as they need not fit the bucket then.
void Limiter::Settle(LimiterStep& aStep, NanoTokens aBorrowed, TimePoint aNow)
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

void Limiter::SendAsks(LimiterStep& aStep, TimePoint aNow)
{
  // Asks when the bucket is half empty, so that statements needn't wait for tokens.
  bool isShort = !mWaiters.empty() || mBucket.Level(aNow) < mBucket.Room(aNow);
  auto unasked = Unasked(aNow);
  if (!isShort || unasked <= 0) {
    return;
  }
  auto each = std::max(kOneToken, unasked / static_cast<NanoTokens>(kAsksAtOnce));
  for (auto& it : mLenders) {
    if (mTokenRequests.size() >= kAsksAtOnce || unasked <= 0) {
      return;
    }
    if (it.mAsked || it.mAskAgainAt > aNow) {
      continue;
    }
    it.mAsked = true;
    TokenRequest ask{
      mNextAsk++, it.mName, std::min(each, unasked), aNow + kLoanLifetime
    };
    unasked -= ask.mWanted;
    mTokenRequests[ask.mId] = { ask.mLender, ask.mWanted, ask.mDeadline };
    aStep.mTokenRequests.push_back(std::move(ask));
  }
}

// Not more than can be used: what doesn't fit is lost.
NanoTokens Limiter::Unasked(TimePoint aNow)
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
    aStep.mNextTick = std::min(aStep.mNextTick, it.mGiveUpAt);
  }
  // Otherwise the next answer is waited for.
  bool mayAsk = mTokenRequests.size() < kAsksAtOnce && Unasked(aNow) > 0;
  for (const auto& it : mLenders) {
    if (mayAsk && !it.mAsked) {
      aStep.mNextTick = std::min(aStep.mNextTick, it.mAskAgainAt);
    }
  }
  aStep.mNextTick = std::max(aStep.mNextTick, aNow + milliseconds(1));
  return aStep;
}

TimePoint Limiter::NextAsk(TimePoint aNow) const
{
  auto next = TimePoint::max();
  for (const auto& it : mLenders) {
    // An answer is on its way.
    next = std::min(next, it.mAsked ? aNow : std::max(aNow, it.mAskAgainAt));
  }
  return next;
}

TimePoint Limiter::RetryAt(TimePoint aNow)
{
  auto next = std::min(mBucket.NextToken(aNow, mWaiters.size()), NextAsk(aNow));
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
