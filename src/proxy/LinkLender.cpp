#include "proxy/LinkLender.h"

#include "proxy/Replies.h"
#include "sesameway/LentSession.h"

#include <algorithm>
#include <utility>

namespace sesameway::proxy {

namespace {

// Borrowers wait a little longer than this before they ask another home.
constexpr Duration kGrantTimeout = milliseconds(400);
constexpr Duration kRetryPause = milliseconds(250);
// How long after its deadline a batch may still be answered, and how long one without a
// deadline may take.
constexpr Duration kGiveUpAllowance = milliseconds(200);
constexpr Duration kLongestBatch = seconds(60);
// Tickets of statements and of a pool's own commands are below and above these.
constexpr std::uint64_t kFirstTicket = std::uint64_t{ 1 } << 61;
// A database that has left all statements unanswered for this long may be gone, or this
// home may be cut off from it. The other home, or another database, may serve
// meanwhile.
constexpr Duration kSilenceLimit = milliseconds(500);

bool IsSilent(const DatabasePool& aPool, TimePoint aNow)
{
  auto silence = aPool.Silence(aNow);
  return silence && *silence >= kSilenceLimit;
}

} // namespace

// A connection while it is lent. The connection goes back to its pool with the batch
// that leaves no transaction open. Used on the event loop's thread only.
class LinkLender::Loan : public std::enable_shared_from_this<Loan>
{
public:
  Loan(Loop& aLoop, PoolPtr aPool, LeasePtr aLease)
    : mPool(std::move(aPool))
    , mLease(std::move(aLease))
    , mUsedAt(Clock::now())
    , mGiveUp(aLoop)
  {
  }
  Loan(const Loan&) = delete;
  Loan& operator=(const Loan&) = delete;
  ~Loan() { End(); }

  void Send(const std::vector<ConnectionCommand>& aCommands,
            const StatementTerms& aTerms,
            const peer::LentLink::Replies& aDone)
  {
    mUsedAt = Clock::now();
    if (!mLease) {
      aDone({ { UnsentReply(ReplyCode::Aborted, "link_taken_back", mUsedAt) }, {} });
      return;
    }
    if (!LentSession::IsBatch(aCommands)) {
      aDone({ { UnsentReply(ReplyCode::Malformed, "batch", mUsedAt) }, {} });
      return;
    }
    mIsBusy = true;
    SetGiveUp(aTerms);
    mIsClean = false;
    mPool->OnSent(mUsedAt);
    mLease->mLink->SetTerms(aTerms);
    auto commands = mSession.ToConnection(aCommands, *mLease->mConnectionState);
    mLease->mLink->Send(std::move(commands),
                        [self = shared_from_this(), terms = aTerms, done = aDone](
                          std::vector<ConnectionReply> aReplies) {
                          self->OnReplies(std::move(aReplies), terms, done);
                        });
  }

  // Takes the connection back: the borrower has returned it or is gone.
  void End()
  {
    if (mLease) {
      mLease->mLink->OnBroken(nullptr);
      mPool->Release(std::exchange(mLease, nullptr), !mIsClean);
    }
  }

  bool IsOpen() const { return mLease != nullptr; }
  bool IsIdleSince(TimePoint aSince) const
  {
    return mLease && !mIsBusy && mUsedAt < aSince;
  }
  // Ends the loan if the connection breaks while it is not in use.
  void WatchConnection()
  {
    mLease->mLink->OnBroken([weak = weak_from_this()] {
      if (auto self = weak.lock()) {
        self->End();
      }
    });
  }

private:
  // The borrower gives up at the deadline, which the home may not learn: a database
  // that never answers would keep the slot.
  void SetGiveUp(const StatementTerms& aTerms)
  {
    auto until = std::min(aTerms.mDeadline, Clock::now() + kLongestBatch);
    mGiveUp.Set(until + kGiveUpAllowance, [weak = weak_from_this()] {
      if (auto self = weak.lock()) {
        self->End();
      }
    });
  }

  void OnReplies(std::vector<ConnectionReply> aReplies,
                 StatementTerms aTerms,
                 const peer::LentLink::Replies& aDone)
  {
    auto sentAt = std::exchange(mUsedAt, Clock::now());
    mIsBusy = false;
    mGiveUp.Cancel();
    auto pool = mPool;
    if (aReplies.empty()) {
      aReplies.emplace_back();
    }
    const auto& last = aReplies.back();
    if (!IsUnsent(last)) {
      pool->OnReply(last, sentAt);
      pool->OnResult(last.mCode);
    }
    if (!mLease) {
      // The borrower is gone.
      aDone({ std::move(aReplies), {} });
      return;
    }
    auto replies = mSession.ToBorrower(std::move(aReplies), *mLease->mConnectionState);
    mIsClean = IsClean(replies.back());
    if (mIsClean || replies.back().mCode == ReplyCode::Lost) {
      End();
    }
    aTerms.mIsInTransaction = false;
    aDone({ std::move(replies), pool->ExpectedWait(aTerms) });
  }

  // A refusal before the batch was sent leaves a transaction as it was, so it is clean
  // only outside of one.
  bool IsClean(const ConnectionReply& aLast)
  {
    if (!IsUnsent(aLast)) {
      mIsInTransaction = aLast.mTransaction != TransactionState::None;
    }
    return !mIsInTransaction && aLast.mCode != ReplyCode::Lost &&
           aLast.mCode != ReplyCode::WrongDatabase;
  }

  PoolPtr mPool;
  LeasePtr mLease;
  LentSession mSession;
  TimePoint mUsedAt;
  Timer mGiveUp;
  bool mIsBusy = false;
  bool mIsInTransaction = false;
  // Whether the connection may be used again if the loan ends now.
  bool mIsClean = true;
};

// What the RPC layer holds for the borrower.
class LinkLender::LentConnection : public peer::LentLink
{
public:
  LentConnection(Loop& aLoop, std::shared_ptr<Loan> aLoan)
    : mLoop(aLoop)
    , mLoan(std::move(aLoan))
  {
  }
  LentConnection(const LentConnection&) = delete;
  LentConnection& operator=(const LentConnection&) = delete;
  // The loan is handed on, so that its last reference ends on the loop's thread.
  ~LentConnection() override
  {
    mLoop.Post([loan = std::move(mLoan)] { loan->End(); });
  }

  void Send(std::vector<ConnectionCommand> aCommands,
            StatementTerms aTerms,
            Replies aDone) override
  {
    mLoop.Post([loan = mLoan,
                commands = std::move(aCommands),
                terms = std::move(aTerms),
                done = std::move(aDone)] { loan->Send(commands, terms, done); });
  }

  void Return() override
  {
    mLoop.Post([loan = mLoan] { loan->End(); });
  }

private:
  Loop& mLoop;
  std::shared_ptr<Loan> mLoan;
};

LinkLender::LinkLender(Loop& aLoop, PoolFinder aFindPool, Counter aCount)
  : mLoop(aLoop)
  , mFindPool(std::move(aFindPool))
  , mCount(std::move(aCount))
  , mNextTicket(kFirstTicket)
{
}

void LinkLender::Lend(const peer::LinkRequest& aRequest,
                      const std::function<void(peer::LinkOffer)>& aDone)
{
  auto now = Clock::now();
  auto pool = mFindPool(aRequest.mDatabase);
  if (!pool || pool->Listed().mGroup != aRequest.mGroup) {
    Refuse(peer::LinkRefusal::NotAHome, now, {}, aDone);
    return;
  }
  if (mIsStopping) {
    Refuse(peer::LinkRefusal::Leaving, now, {}, aDone);
    return;
  }
  if (pool->IsSuspect(now) || IsSilent(*pool, now)) {
    Refuse(peer::LinkRefusal::Unreachable, now + kRetryPause, {}, aDone);
    return;
  }
  auto terms = aRequest.mTerms;
  if (auto until = pool->RefusedUntil(terms)) {
    Refuse(peer::LinkRefusal::Overloaded, *until, pool->ExpectedWait(terms), aDone);
    return;
  }
  LeaseRequest request;
  request.mGroup = aRequest.mGroup;
  request.mOrganisation = aRequest.mOrganisation;
  request.mPriority = terms.mPriority;
  request.mDeadline = std::min(terms.mDeadline, now + kGrantTimeout);
  request.mTerms = terms;
  pool->Acquire(mNextTicket++,
                request,
                [this, pool, aRequest, aDone](tl::expected<LeasePtr, Refusal> aLease) {
                  if (aLease) {
                    OnGranted(pool, aRequest, *aLease, aDone);
                    return;
                  }
                  bool isReachable = !pool->IsSuspect(Clock::now());
                  Refuse(isReachable ? peer::LinkRefusal::Overloaded
                                     : peer::LinkRefusal::Unreachable,
                         aLease.error().mRetryAt,
                         pool->ExpectedWait(aRequest.mTerms),
                         aDone);
                });
}

void LinkLender::OnGranted(const PoolPtr& aPool,
                           const peer::LinkRequest& aRequest,
                           LeasePtr aLease,
                           const std::function<void(peer::LinkOffer)>& aDone)
{
  mCount("homes.lent");
  auto loan = std::make_shared<Loan>(mLoop, aPool, std::move(aLease));
  loan->WatchConnection();
  std::erase_if(mLoans, [](const auto& aIt) { return aIt.expired(); });
  mLoans.push_back(loan);
  if (aRequest.mCommands.empty()) {
    peer::LinkOffer offer;
    offer.mLink = std::make_shared<LentConnection>(mLoop, loan);
    offer.mExpectedWait = aPool->ExpectedWait(aRequest.mTerms);
    aDone(std::move(offer));
    return;
  }
  auto onReplies = [this, loan, aDone](peer::LinkReplies aReplies) {
    peer::LinkOffer offer;
    offer.mReplies = std::move(aReplies.mReplies);
    offer.mExpectedWait = aReplies.mExpectedWait;
    if (loan->IsOpen()) {
      offer.mLink = std::make_shared<LentConnection>(mLoop, loan);
    }
    aDone(std::move(offer));
  };
  loan->Send(aRequest.mCommands, aRequest.mTerms, onReplies);
}

void LinkLender::Refuse(peer::LinkRefusal aRefusal,
                        TimePoint aRetryAt,
                        Duration aWait,
                        const std::function<void(peer::LinkOffer)>& aDone)
{
  mCount("homes.not_lent_" + std::string(peer::kLinkRefusalNames.Name(aRefusal)));
  peer::LinkOffer offer;
  offer.mRefusal = aRefusal;
  offer.mRetryAt = aRetryAt;
  offer.mExpectedWait = aWait;
  aDone(std::move(offer));
}

void LinkLender::TakeBackIdle(Duration aLimit)
{
  auto since = Clock::now() - aLimit;
  for (const auto& it : OpenLoans()) {
    if (it->IsIdleSince(since)) {
      it->End();
    }
  }
}

void LinkLender::TakeBackAll()
{
  for (const auto& it : OpenLoans()) {
    it->End();
  }
}

std::size_t LinkLender::LentCount() const
{
  return OpenLoans().size();
}

std::vector<std::shared_ptr<LinkLender::Loan>> LinkLender::OpenLoans() const
{
  std::vector<std::shared_ptr<Loan>> loans;
  for (const auto& it : mLoans) {
    auto loan = it.lock();
    if (loan && loan->IsOpen()) {
      loans.push_back(std::move(loan));
    }
  }
  return loans;
}

} // namespace sesameway::proxy
