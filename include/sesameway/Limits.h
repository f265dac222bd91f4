#pragma once

#include "sesameway/Time.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace sesameway {

// Billionths of a token. Whole numbers, so that refills neither drift nor round up.
using NanoTokens = std::int64_t;
inline constexpr NanoTokens kOneToken = 1'000'000'000;

// A part of an organisation's limits.
struct Share
{
  // Refill in nano-tokens a second.
  NanoTokens mRate = 0;
  NanoTokens mBurst = 0;
  bool operator==(const Share&) const = default;
};

// What one daemon holds of an organisation's limits.
struct HeldShare
{
  // Nobody else can be given this part.
  Share mFloor;
  // Holds until mLeaseEnd only; afterwards another daemon may have it.
  Share mLeased;
  TimePoint mLeaseEnd{};
  // The floor has been this daemon's alone since then; TimePoint::max(): from now on.
  TimePoint mSince = TimePoint::max();
};

// How long a giver keeps room for tokens that it has lent. Longer than the borrower may
// use them, by more than two clocks differ in that time.
inline constexpr Duration kLoanReservation = milliseconds(150);
// How long a borrower may use lent tokens, counted from before it asked.
inline constexpr Duration kLoanLifetime = milliseconds(100);

// A token bucket whose capacity may end at a deadline and whose tokens may be lent.
// Level and lent tokens together never exceed the capacity.
class TokenBucket
{
public:
  // Starts empty, with no share.
  explicit TokenBucket(TimePoint aNow)
    : mAt(aNow)
  {
  }

  // A smaller share counts at once, and tokens that no longer fit are lost. What a
  // share has grown by stays closed for kLoanReservation: its last holder may have lent
  // it. The first share counts, and refills, from HeldShare::mSince.
  void SetShare(const HeldShare& aShare, TimePoint aNow);
  // Takes one whole token.
  bool Take(TimePoint aNow);
  // Hands out whole tokens, at most half of those that are here.
  NanoTokens Lend(NanoTokens aWanted, TimePoint aNow);
  // Puts in borrowed tokens; those that don't fit are lost.
  void Deposit(NanoTokens aTokens, TimePoint aNow);
  // Room for tokens to deposit.
  NanoTokens Room(TimePoint aNow);
  NanoTokens Level(TimePoint aNow);
  // When its own refill makes up a whole token after `aBefore` others; TimePoint::max()
  // if it never does.
  TimePoint NextToken(TimePoint aNow, std::size_t aBefore = 0);

private:
  struct Closed
  {
    NanoTokens mTokens = 0;
    TimePoint mUntil;
  };
  Share InForce(TimePoint aAt) const;
  void Advance(TimePoint aNow);
  void Refill(TimePoint aUntil);
  void Close(NanoTokens aTokens, TimePoint aUntil);
  void Clamp(NanoTokens aCapacity);

  HeldShare mShare;
  TimePoint mAt;
  NanoTokens mLevel = 0;
  // Of a nano-token, in parts of one second's clock ticks.
  std::int64_t mRemainder = 0;
  std::deque<Closed> mClosed;
  NanoTokens mClosedTotal = 0;
};

// A request to a fellow daemon for tokens.
struct TokenRequest
{
  std::uint64_t mId = 0;
  std::string mLender;
  NanoTokens mWanted = 0;
  // An answer later than this is dropped.
  TimePoint mDeadline;
};

// An answer to it.
struct Loan
{
  NanoTokens mTokens = 0;
  // If there are none: how long until there may be one.
  Duration mNext{};
};

// The verdict on a statement that asked for admission.
struct AdmissionDecision
{
  std::uint64_t mTicket = 0;
  bool mAdmitted = false;
  // When to come back if it is refused.
  TimePoint mRetryAt;
};

// What a limiter wants done.
struct LimiterStep
{
  std::vector<AdmissionDecision> mDecisions;
  std::vector<TokenRequest> mTokenRequests;
  // Call OnTick then; TimePoint::max() if nothing waits.
  TimePoint mNextTick = TimePoint::max();
};

// One organisation's admission at one daemon: its bucket, the statements that wait for
// a token, and the asking of fellows while the bucket is short.
class Limiter
{
public:
  explicit Limiter(TimePoint aNow)
    : mBucket(aNow)
  {
  }

  void SetShare(const HeldShare& aShare, TimePoint aNow);
  // Whom to ask, best first. The first ones are asked first and together.
  void SetLenders(std::vector<std::string> aLenders);

  LimiterStep Admit(std::uint64_t aTicket, TimePoint aDeadline, TimePoint aNow);
  // A fellow's answer. Unknown and late answers are dropped.
  LimiterStep OnLoan(std::uint64_t aAsk, const Loan& aLoan, TimePoint aNow);
  LimiterStep OnTick(TimePoint aNow);
  // For a fellow. Nothing while statements wait here, less while it admits.
  Loan Lend(NanoTokens aWanted, TimePoint aNow);
  TokenBucket& Bucket() { return mBucket; }

private:
  struct Waiter
  {
    std::uint64_t mTicket = 0;
    TimePoint mGiveUpAt;
  };
  struct Ask
  {
    std::string mLender;
    NanoTokens mWanted = 0;
    TimePoint mDeadline;
  };
  struct Lender
  {
    std::string mName;
    TimePoint mAskAgainAt{};
    bool mAsked = false;
    // In a row.
    int mRefusals = 0;
  };
  void Settle(LimiterStep& aStep, NanoTokens aBorrowed, TimePoint aNow);
  void SendAsks(LimiterStep& aStep, TimePoint aNow);
  // Tokens that are wanted and not asked for yet.
  NanoTokens Unasked(TimePoint aNow);
  LimiterStep Finish(LimiterStep aStep, TimePoint aNow);
  // When a fellow may have tokens that this one has not asked for; TimePoint::max() if
  // there is none.
  TimePoint NextAsk(TimePoint aNow) const;
  TimePoint RetryAt(TimePoint aNow);
  Lender* Find(const std::string& aName);

  TokenBucket mBucket;
  std::vector<Lender> mLenders;
  std::deque<Waiter> mWaiters;
  std::map<std::uint64_t, Ask> mTokenRequests;
  std::uint64_t mNextAsk = 0;
  TimePoint mLastAdmitted{};
};

} // namespace sesameway
