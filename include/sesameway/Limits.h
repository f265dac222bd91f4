#pragma once

#include "sesameway/Time.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace sesameway {

// Billionths of a token. The type is integral so that refills accumulate no rounding
// error and never round up.
using NanoTokens = std::int64_t;
inline constexpr NanoTokens kOneToken = 1'000'000'000;

// Part of an organisation's rate limit.
struct Share
{
  // Refill rate in nano-tokens per second.
  NanoTokens mRate = 0;
  NanoTokens mBurst = 0;
  bool operator==(const Share&) const = default;
};

// The part of an organisation's rate limit that one daemon holds.
struct HeldShare
{
  // Assigned to this daemon without a lease; no other daemon is given this part.
  Share mFloor;
  // Valid only until mLeaseEnd; another daemon may hold this part afterwards.
  Share mLeased;
  TimePoint mLeaseEnd{};
  // Time from which only this daemon has held the floor share; TimePoint::max() means
  // from the moment the share is set.
  TimePoint mSince = TimePoint::max();
};

// How long a lender keeps room in its bucket for tokens that it has lent. Exceeds
// kLoanLifetime by more than two clocks can drift apart in that time.
inline constexpr Duration kLoanReservation = milliseconds(150);
// How long a borrower may take lent tokens into its bucket, counted from before it sent
// its request.
inline constexpr Duration kLoanLifetime = milliseconds(100);

// A token bucket part of whose capacity may expire with a lease and whose tokens can be
// lent to other daemons. Its own and its lent tokens together never exceed the
// capacity.
class TokenBucket
{
public:
  // Creates an empty bucket without a share.
  explicit TokenBucket(TimePoint aNow)
    : mAt(aNow)
  {
  }

  // Replaces the share. A smaller share takes effect at once, and tokens that no longer
  // fit are discarded. Added capacity stays reserved for kLoanReservation, because its
  // previous holder may have lent tokens from it. The first share takes effect, and
  // refills, from HeldShare::mSince.
  void SetShare(const HeldShare& aShare, TimePoint aNow);
  // Takes one whole token; returns false if there is none.
  bool Take(TimePoint aNow);
  // Lends whole tokens, at most half of those in the bucket (rounded up). Returns the
  // number of nano-tokens lent.
  NanoTokens Lend(NanoTokens aWanted, TimePoint aNow);
  // Adds borrowed tokens; those that don't fit are discarded.
  void Deposit(NanoTokens aTokens, TimePoint aNow);
  // Number of nano-tokens that Deposit can add without discarding any.
  NanoTokens Room(TimePoint aNow);
  NanoTokens Level(TimePoint aNow);
  // Time at which the bucket's own refill will have produced one whole token in
  // addition to `aBefore` others; TimePoint::max() if it never will.
  TimePoint NextToken(TimePoint aNow, std::size_t aBefore = 0);

private:
  struct ReservedRoom
  {
    NanoTokens mTokens = 0;
    TimePoint mUntil;
  };
  Share ShareAt(TimePoint aAt) const;
  void Advance(TimePoint aNow);
  void Refill(TimePoint aUntil);
  void Reserve(NanoTokens aTokens, TimePoint aUntil);
  void Clamp(NanoTokens aCapacity);

  HeldShare mShare;
  TimePoint mAt;
  NanoTokens mLevel = 0;
  // Fraction of a nano-token left over by the last refill; the denominator is the
  // number of clock ticks per second.
  std::int64_t mRemainder = 0;
  std::deque<ReservedRoom> mReserved;
  NanoTokens mReservedTotal = 0;
};

// A request for tokens to another daemon.
struct TokenRequest
{
  std::uint64_t mId = 0;
  std::string mLender;
  NanoTokens mWanted = 0;
  // A reply that arrives after this time is discarded.
  TimePoint mDeadline;
};

// Reply to a TokenRequest.
struct Loan
{
  NanoTokens mTokens = 0;
  // If no tokens were lent: time after which one may be available.
  Duration mNext{};
};

// Decision on a statement that requested admission.
struct AdmissionDecision
{
  std::uint64_t mTicket = 0;
  bool mAdmitted = false;
  // Earliest useful time for a retry if the statement was refused.
  TimePoint mRetryAt;
};

// Decisions and requests that the caller of a Limiter must carry out.
struct LimiterStep
{
  std::vector<AdmissionDecision> mDecisions;
  std::vector<TokenRequest> mTokenRequests;
  // Time of the next OnTick call; TimePoint::max() if none is needed.
  TimePoint mNextTick = TimePoint::max();
};

// Admission control for one organisation at one daemon: holds the token bucket, queues
// statements that wait for a token, and borrows tokens from other daemons while the
// bucket runs low.
class Limiter
{
public:
  explicit Limiter(TimePoint aNow)
    : mBucket(aNow)
  {
  }

  void SetShare(const HeldShare& aShare, TimePoint aNow);
  // Sets the daemons to borrow from, in order of preference. Requests go to the first
  // few in parallel.
  void SetLenders(std::vector<std::string> aLenders);

  LimiterStep Admit(std::uint64_t aTicket, TimePoint aDeadline, TimePoint aNow);
  // Handles a lender's reply. Tokens of a late reply are discarded, and a reply to an
  // unknown request is ignored.
  LimiterStep OnLoan(std::uint64_t aRequest, const Loan& aLoan, TimePoint aNow);
  LimiterStep OnTick(TimePoint aNow);
  // Lends tokens to another daemon: none while statements wait here, and fewer if a
  // statement was admitted recently.
  Loan Lend(NanoTokens aWanted, TimePoint aNow);
  TokenBucket& Bucket() { return mBucket; }

private:
  struct Waiter
  {
    std::uint64_t mTicket = 0;
    TimePoint mSince;
    TimePoint mGiveUpAt;
  };
  struct OpenRequest
  {
    std::string mLender;
    NanoTokens mWanted = 0;
    TimePoint mDeadline;
  };
  struct Lender
  {
    std::string mName;
    TimePoint mRetryAt{};
    bool mAsked = false;
    // When the lender last replied or its reply was given up.
    TimePoint mAnsweredAt{};
    // Number of consecutive replies without tokens.
    int mRefusals = 0;
  };
  void ServeWaiters(LimiterStep& aStep, NanoTokens aBorrowed, TimePoint aNow);
  void SendRequests(LimiterStep& aStep, TimePoint aNow);
  void RefuseUnservable(LimiterStep& aStep, TimePoint aNow);
  bool MayBorrow(const Waiter& aWaiter, TimePoint aNow) const;
  // Number of nano-tokens that are needed and not requested yet.
  NanoTokens UnrequestedTokens(TimePoint aNow);
  LimiterStep Finish(LimiterStep aStep, TimePoint aNow);
  // Earliest time at which a lender can be asked or may reply; TimePoint::max() without
  // lenders.
  TimePoint NextRequestAt(TimePoint aNow) const;
  TimePoint RetryAt(TimePoint aNow);
  Lender* Find(const std::string& aName);

  TokenBucket mBucket;
  std::vector<Lender> mLenders;
  std::deque<Waiter> mWaiters;
  std::map<std::uint64_t, OpenRequest> mTokenRequests;
  std::uint64_t mNextRequestId = 0;
  TimePoint mLastAdmitted{};
};

} // namespace sesameway
