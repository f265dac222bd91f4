#include "sesameway/Limits.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace sesameway;

class LimitsTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(LimitsTest);
  CPPUNIT_TEST(StartsEmptyAndRefillsWithoutDrift);
  CPPUNIT_TEST(LeasedPartEndsAtItsDeadlineAfterAPause);
  CPPUNIT_TEST(LentTokensCountUntilTheyCannotBeUsed);
  CPPUNIT_TEST(AddedCapacityIsReservedAtFirst);
  CPPUNIT_TEST(FirstShareRefillsFromTheEndOfThePreviousProcess);
  CPPUNIT_TEST(LateAndRepeatedLoansAreDiscarded);
  CPPUNIT_TEST(TokensInFlightAddNothingToTheBurst);
  CPPUNIT_TEST(RefusesWhenNoPeerCanLendTokens);
  CPPUNIT_TEST(WaitsForOwnTokensThatAreDueSoon);
  CPPUNIT_TEST(AsksAPeerWithoutTokensAgainWhenItExpectsToHaveSome);
  CPPUNIT_TEST(RefusesAtOnceWhenNoPeerCanLendInTime);
  CPPUNIT_TEST(AsksTheLendersOfOtherRegionsBeforeItRefuses);
  CPPUNIT_TEST(RefusesAsSoonAsAllLendersAreOutOfTokens);
  CPPUNIT_TEST(DoesNotWakeUpWhileAnAnswerIsAwaited);
  CPPUNIT_TEST(LenderReportsWhenItMayHaveATokenToLend);
  CPPUNIT_TEST_SUITE_END();

  static constexpr TimePoint kStart{ seconds(1000) };

  static HeldShare Floor(NanoTokens aRate, NanoTokens aBurst)
  {
    return { { aRate * kOneToken, aBurst * kOneToken }, {}, {} };
  }

  void StartsEmptyAndRefillsWithoutDrift()
  {
    TokenBucket bucket(kStart);
    bucket.SetShare(Floor(3, 100), kStart);
    CPPUNIT_ASSERT(!bucket.Take(kStart));
    // The capacity of a new share stays reserved for kLoanReservation.
    auto opened = kStart + kLoanReservation;
    CPPUNIT_ASSERT_EQUAL(NanoTokens{ 0 }, bucket.Level(opened));
    auto now = opened + seconds(1);
    CPPUNIT_ASSERT_EQUAL(3 * kOneToken, bucket.Level(now));
    // The bucket refills at 3 tokens per second; in each time step, the refill is a
    // fraction of a token.
    for (int n = 0; n < 10'000; ++n) {
      now += Duration(333'333);
      bucket.Level(now);
    }
    auto passed = (now - opened).count();
    CPPUNIT_ASSERT_EQUAL(static_cast<NanoTokens>(passed * 3), bucket.Level(now));
  }

  void LeasedPartEndsAtItsDeadlineAfterAPause()
  {
    TokenBucket bucket(kStart);
    HeldShare share = Floor(0, 2);
    share.mLeased = { 100 * kOneToken, 10 * kOneToken };
    share.mLeaseEnd = kStart + seconds(10);
    bucket.SetShare(share, kStart);
    CPPUNIT_ASSERT_EQUAL(12 * kOneToken, bucket.Level(kStart + seconds(9)));
    CPPUNIT_ASSERT_EQUAL(2 * kOneToken, bucket.Level(kStart + seconds(10)));
  }

  void LentTokensCountUntilTheyCannotBeUsed()
  {
    TokenBucket bucket(kStart);
    bucket.SetShare(Floor(1000, 10), kStart);
    auto now = kStart + seconds(1);
    CPPUNIT_ASSERT_EQUAL(5 * kOneToken, bucket.Lend(100 * kOneToken, now));
    CPPUNIT_ASSERT_EQUAL(5 * kOneToken, bucket.Level(now + kLoanLifetime));
    CPPUNIT_ASSERT_EQUAL(10 * kOneToken,
                         bucket.Level(now + kLoanReservation + seconds(1)));
  }

  void AddedCapacityIsReservedAtFirst()
  {
    TokenBucket bucket(kStart);
    bucket.SetShare(Floor(1000, 10), kStart);
    CPPUNIT_ASSERT_EQUAL(NanoTokens{ 0 }, bucket.Level(kStart + kLoanLifetime));
    CPPUNIT_ASSERT(bucket.Level(kStart + kLoanReservation + milliseconds(5)) > 0);
  }

  // Guards against refused statements when all daemons restart after a power loss and
  // all callers reconnect. The previous process is known to have ended, so the refill
  // counts from its end.
  void FirstShareRefillsFromTheEndOfThePreviousProcess()
  {
    TokenBucket bucket(kStart);
    auto share = Floor(10, 100);
    share.mSince = kStart - seconds(1);
    bucket.SetShare(share, kStart);
    // Only the tokens that the previous process may have lent stay reserved.
    auto level = bucket.Level(kStart);
    CPPUNIT_ASSERT(level > 8 * kOneToken && level <= 10 * kOneToken);
    // The mSince of a later share must not cause another refill.
    share.mFloor.mBurst *= 2;
    share.mSince = kStart - seconds(100);
    bucket.SetShare(share, kStart);
    CPPUNIT_ASSERT_EQUAL(level, bucket.Level(kStart));
  }

  void LateAndRepeatedLoansAreDiscarded()
  {
    Limiter limiter(kStart);
    limiter.SetLenders({ "b" });
    limiter.SetShare(Floor(0, 10), kStart);
    auto now = kStart + seconds(1);
    auto step = limiter.Admit(1, now + seconds(1), now);
    CPPUNIT_ASSERT(step.mDecisions.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, step.mTokenRequests.size());
    auto requestId = step.mTokenRequests.front().mId;
    step = limiter.OnLoan(requestId, { 3 * kOneToken, {} }, now);
    CPPUNIT_ASSERT(step.mDecisions.size() == 1 && step.mDecisions.front().mAdmitted);
    CPPUNIT_ASSERT_EQUAL(2 * kOneToken, limiter.Bucket().Level(now));
    limiter.OnLoan(requestId, { 3 * kOneToken, {} }, now);
    CPPUNIT_ASSERT_EQUAL(2 * kOneToken, limiter.Bucket().Level(now));
    now += seconds(1);
    CPPUNIT_ASSERT(
      limiter.Admit(2, now + seconds(1), now).mDecisions.front().mAdmitted);
    limiter.Admit(3, now + seconds(1), now);
    // The limiter requests tokens before its bucket is empty.
    step = limiter.OnTick(now);
    auto level = limiter.Bucket().Level(now);
    for (std::uint64_t late = requestId + 1; late < requestId + 3; ++late) {
      limiter.OnLoan(late, { 3 * kOneToken, {} }, now + kLoanLifetime);
    }
    CPPUNIT_ASSERT_EQUAL(level, limiter.Bucket().Level(now + kLoanLifetime));
  }

  // Guards against a burst above the limit: both buckets refill while lent tokens are
  // in flight. A window that begins then must admit no more than both capacities
  // together.
  void TokensInFlightAddNothingToTheBurst()
  {
    Limiter lender(kStart);
    Limiter borrower(kStart);
    lender.SetShare(Floor(1000, 10), kStart);
    borrower.SetShare(Floor(1000, 10), kStart);
    borrower.SetLenders({ "giver" });
    auto now = kStart + seconds(1);
    std::vector<TokenRequest> requests;
    for (std::uint64_t n = 0; n < 10; ++n) {
      auto step = borrower.Admit(n, now + seconds(1), now);
      requests.insert(
        requests.end(), step.mTokenRequests.begin(), step.mTokenRequests.end());
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, requests.size());
    auto loaned = lender.Lend(requests[0].mWanted, now);
    CPPUNIT_ASSERT(loaned.mTokens > 0);
    now += milliseconds(50);
    int admitted = 0;
    auto drain = [&](Limiter& aLimiter) {
      while (aLimiter.Bucket().Take(now)) {
        ++admitted;
      }
    };
    drain(borrower);
    borrower.OnLoan(requests[0].mId, loaned, now);
    drain(borrower);
    drain(lender);
    CPPUNIT_ASSERT(admitted <= 20);
  }

  void RefusesWhenNoPeerCanLendTokens()
  {
    Limiter limiter(kStart);
    limiter.SetLenders({ "b" });
    auto step = limiter.Admit(1, kStart + seconds(5), kStart);
    step = limiter.OnLoan(step.mTokenRequests.front().mId, {}, kStart);
    CPPUNIT_ASSERT(step.mDecisions.empty());
    auto now = kStart;
    // The limiter must refuse the statement after a limited number of requests, long
    // before the statement's deadline.
    for (int n = 0; n < 20 && step.mDecisions.empty(); ++n) {
      now = step.mNextTick;
      step = limiter.OnTick(now);
      for (const auto& it : std::vector<TokenRequest>(step.mTokenRequests)) {
        step = limiter.OnLoan(it.mId, {}, now);
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, step.mDecisions.size());
    CPPUNIT_ASSERT(!step.mDecisions.front().mAdmitted);
    CPPUNIT_ASSERT(step.mDecisions.front().mRetryAt > now);
    CPPUNIT_ASSERT(now < kStart + milliseconds(200));
  }

  // Covers the case that all callers reconnect at once while the bucket is empty.
  // Statements that can be served soon wait; the others are refused at once.
  void WaitsForOwnTokensThatAreDueSoon()
  {
    Limiter limiter(kStart);
    limiter.SetShare(Floor(11, 100), kStart);
    auto now = kStart + kLoanReservation;
    std::size_t waiting = 0;
    std::size_t refused = 0;
    for (std::uint64_t n = 0; n < 10; ++n) {
      auto step = limiter.Admit(n, now + seconds(5), now);
      refused += step.mDecisions.size();
      waiting += step.mDecisions.empty() ? 1 : 0;
    }
    // A rate of 11 tokens per second yields 4 tokens in 400 ms.
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 4 }, waiting);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 6 }, refused);
    auto step = limiter.OnTick(now + milliseconds(399));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 4 }, step.mDecisions.size());
    for (const auto& it : step.mDecisions) {
      CPPUNIT_ASSERT(it.mAdmitted);
    }
  }

  // Covers an organisation whose sessions are spread over more daemons than its limit
  // has slots, so that most statements need a token of another daemon.
  void AsksAPeerWithoutTokensAgainWhenItExpectsToHaveSome()
  {
    Limiter limiter(kStart);
    limiter.SetLenders({ "b" });
    auto step = limiter.Admit(1, kStart + seconds(5), kStart);
    step =
      limiter.OnLoan(step.mTokenRequests.front().mId, { 0, milliseconds(90) }, kStart);
    CPPUNIT_ASSERT(step.mNextTick == kStart + milliseconds(90));
    CPPUNIT_ASSERT(limiter.OnTick(kStart + milliseconds(89)).mTokenRequests.empty());
    CPPUNIT_ASSERT_EQUAL(
      std::size_t{ 1 },
      limiter.OnTick(kStart + milliseconds(90)).mTokenRequests.size());
  }

  // Guards against needless wake-ups while token requests wait for an answer. With most
  // tokens borrowed from daemons 40 ms away, one wake-up per millisecond used a third
  // of a small VM's processor.
  // The pattern of a large fleet: the tokens of a small organisation lie with a few
  // daemons, some of them in other regions, and its statements arrive at all others.
  void AsksTheLendersOfOtherRegionsBeforeItRefuses()
  {
    Limiter limiter(kStart);
    limiter.SetLenders({ "a", "b", "c", "d" });
    auto now = kStart;
    auto step = limiter.Admit(1, kStart + seconds(5), now);
    for (int n = 0; n < 3; ++n) {
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, step.mTokenRequests.size());
      auto id = step.mTokenRequests.front().mId;
      now += milliseconds(60);
      step = limiter.OnLoan(id, { 0, milliseconds(500) }, now);
      CPPUNIT_ASSERT(step.mDecisions.empty());
    }
    CPPUNIT_ASSERT_EQUAL(std::string("d"), step.mTokenRequests.front().mLender);
    step = limiter.OnLoan(step.mTokenRequests.front().mId, { kOneToken, {} }, now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, step.mDecisions.size());
    CPPUNIT_ASSERT(step.mDecisions.front().mAdmitted);
  }

  void RefusesAsSoonAsAllLendersAreOutOfTokens()
  {
    Limiter limiter(kStart);
    limiter.SetLenders({ "a", "b" });
    auto now = kStart;
    auto step = limiter.Admit(1, kStart + seconds(5), now);
    for (int n = 0; n < 2; ++n) {
      CPPUNIT_ASSERT(step.mDecisions.empty());
      now += milliseconds(3);
      step =
        limiter.OnLoan(step.mTokenRequests.front().mId, { 0, milliseconds(500) }, now);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, step.mDecisions.size());
    CPPUNIT_ASSERT(!step.mDecisions.front().mAdmitted);
    CPPUNIT_ASSERT(step.mDecisions.front().mRetryAt >= now + milliseconds(400));
  }

  void DoesNotWakeUpWhileAnAnswerIsAwaited()
  {
    Limiter limiter(kStart);
    limiter.SetLenders({ "b", "c", "d", "e" });
    auto step = limiter.Admit(1, kStart + seconds(5), kStart);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, step.mTokenRequests.size());
    CPPUNIT_ASSERT(step.mNextTick >= kStart + kLoanLifetime);
    // The same must hold once as many requests as allowed are in flight.
    limiter.Admit(2, kStart + seconds(5), kStart);
    limiter.Admit(3, kStart + seconds(5), kStart);
    step = limiter.Admit(4, kStart + seconds(5), kStart);
    CPPUNIT_ASSERT(step.mNextTick >= kStart + kLoanLifetime);
  }

  // Covers an organisation that is far over its rate.
  void RefusesAtOnceWhenNoPeerCanLendInTime()
  {
    Limiter limiter(kStart);
    limiter.SetLenders({ "b" });
    auto step = limiter.Admit(1, kStart + seconds(5), kStart);
    limiter.OnLoan(step.mTokenRequests.front().mId, { 0, milliseconds(300) }, kStart);
    auto now = kStart + milliseconds(10);
    step = limiter.Admit(2, now + seconds(5), now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, step.mDecisions.size());
    CPPUNIT_ASSERT(!step.mDecisions.front().mAdmitted);
    CPPUNIT_ASSERT(step.mDecisions.front().mRetryAt == kStart + milliseconds(300));
  }

  void LenderReportsWhenItMayHaveATokenToLend()
  {
    Limiter limiter(kStart);
    limiter.SetShare(Floor(4, 8), kStart);
    auto now = kStart + kLoanReservation + milliseconds(10);
    auto loan = limiter.Lend(kOneToken, now);
    CPPUNIT_ASSERT_EQUAL(NanoTokens{ 0 }, loan.mTokens);
    CPPUNIT_ASSERT(loan.mNext > milliseconds(230) && loan.mNext <= milliseconds(250));
    CPPUNIT_ASSERT_EQUAL(kOneToken, limiter.Lend(kOneToken, now + loan.mNext).mTokens);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LimitsTest);
