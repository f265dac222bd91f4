#include "proxy/LinkLender.h"

#include <algorithm>
#include <utility>

namespace sesameway::proxy {

namespace {

// Borrowers wait a little longer than this before they ask another home.
constexpr Duration kGrantTimeout = milliseconds(400);
constexpr Duration kRetryPause = milliseconds(250);
// Tickets of statements and of a pool's own commands are below and above these.
constexpr std::uint64_t kFirstTicket = std::uint64_t{ 1 } << 61;

} // namespace

// A connection while it is lent. Used on the event loop's thread only.
class LinkLender::Loan : public std::enable_shared_from_this<Loan>
{
public:
  Loan(PoolPtr aPool, LeasePtr aLease)
    : mPool(std::move(aPool))
    , mLease(std::move(aLease))
    , mUsedAt(Clock::now())
  {
  }
  Loan(const Loan&) = delete;
  Loan& operator=(const Loan&) = delete;
  // The borrower never used the connection unless End was called.
  ~Loan()
  {
    if (mLease) {
      mPool->Release(mLease, mIsUsed);
    }
  }

  void Send(std::vector<ConnectionCommand> aCommands,
            const StatementTerms& aTerms,
            const peer::LentLink::Replies& aDone)
  {
    if (!mLease) {
      ConnectionReply reply;
      reply.mCode = ReplyCode::Aborted;
      reply.mDetail = "link_taken_back";
      reply.mRetryAt = Clock::now();
      aDone({ { reply }, {} });
      return;
    }
    mIsUsed = true;
    mIsBusy = true;
    mUsedAt = Clock::now();
    mPool->OnSent(mUsedAt);
    mLease->mLink->SetTerms(aTerms);
    mLease->mLink->Send(std::move(aCommands),
                        [self = shared_from_this(), terms = aTerms, done = aDone](
                          std::vector<ConnectionReply> aReplies) {
                          self->OnReplies(std::move(aReplies), terms, done);
                        });
  }

  void Return(SharedConnectionState aState)
  {
    if (mLease) {
      *mLease->mConnectionState = std::move(aState);
      mPool->Release(std::exchange(mLease, nullptr), mIsBusy);
    }
  }

  // The borrower is gone, or is no longer trusted to be there.
  void End()
  {
    if (mLease) {
      mPool->Release(std::exchange(mLease, nullptr), mIsUsed);
    }
  }

  bool IsIdleSince(TimePoint aSince) const { return !mIsBusy && mUsedAt < aSince; }

private:
  void OnReplies(std::vector<ConnectionReply> aReplies,
                 StatementTerms aTerms,
                 const peer::LentLink::Replies& aDone)
  {
    mIsBusy = false;
    auto sentAt = std::exchange(mUsedAt, Clock::now());
    bool isSent = !aReplies.empty() && !aReplies.back().mRetryAt;
    if (isSent) {
      mPool->OnReply(aReplies.back(), sentAt);
      mPool->OnResult(aReplies.back().mCode);
    }
    aTerms.mIsInTransaction = false;
    aDone({ std::move(aReplies), mPool->ExpectedWait(aTerms) });
  }

  PoolPtr mPool;
  LeasePtr mLease;
  TimePoint mUsedAt;
  bool mIsUsed = false;
  bool mIsBusy = false;
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

  void Return(SharedConnectionState aState) override
  {
    mLoop.Post([loan = mLoan, state = std::move(aState)] { loan->Return(state); });
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
  if (pool->IsSuspect(now)) {
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
                [this, pool, terms, aDone](tl::expected<LeasePtr, Refusal> aLease) {
                  OnGranted(pool, terms, std::move(aLease), aDone);
                });
}

void LinkLender::OnGranted(const PoolPtr& aPool,
                           const StatementTerms& aTerms,
                           tl::expected<LeasePtr, Refusal> aLease,
                           const std::function<void(peer::LinkOffer)>& aDone)
{
  if (!aLease) {
    bool isReachable = !aPool->IsSuspect(Clock::now());
    Refuse(isReachable ? peer::LinkRefusal::Overloaded : peer::LinkRefusal::Unreachable,
           aLease.error().mRetryAt,
           aPool->ExpectedWait(aTerms),
           aDone);
    return;
  }
  mCount("homes.lent");
  auto loan = std::make_shared<Loan>(aPool, *aLease);
  std::erase_if(mLoans, [](const auto& aIt) { return aIt.expired(); });
  mLoans.push_back(loan);
  peer::LinkOffer offer;
  offer.mContents = *(*aLease)->mConnectionState;
  offer.mExpectedWait = aPool->ExpectedWait(aTerms);
  offer.mLink = std::make_shared<LentConnection>(mLoop, std::move(loan));
  aDone(std::move(offer));
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
  for (const auto& it : mLoans) {
    auto loan = it.lock();
    if (loan && loan->IsIdleSince(since)) {
      loan->End();
    }
  }
}

std::size_t LinkLender::LentCount() const
{
  return std::count_if(
    mLoans.begin(), mLoans.end(), [](const auto& aIt) { return !aIt.expired(); });
}

} // namespace sesameway::proxy
