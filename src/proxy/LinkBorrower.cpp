#include "proxy/LinkBorrower.h"

#include "daemon/Log.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace sesameway::proxy {

namespace {

// A home answers within 400 ms; the rest is for the way there and back.
constexpr Duration kHomeTimeout = milliseconds(600);
// Lets a refusal by the home's queue arrive before this daemon's own deadline.
constexpr Duration kAnswerReserve = milliseconds(50);
// When a statement is to come back that found the one direct connection in use.
constexpr Duration kDirectRetryPause = milliseconds(200);

} // namespace

// The attempt to open a connection for one statement.
struct LinkBorrower::Request
{
  LinkTarget mTarget;
  TimePoint mDeadline;
  OpenCallback mDone;
  // Homes that can't lend for this request.
  std::set<std::string> mRefused;
  bool mHasAnswer = false;
};

// A connection of a home that this daemon uses over the home's RPC.
class LinkBorrower::BorrowedLink
  : public DatabaseLink
  , public std::enable_shared_from_this<LinkBorrower::BorrowedLink>
{
public:
  BorrowedLink(LinkBorrower& aBorrower, std::string aDatabase, peer::LinkOffer aOffer)
    : mBorrower(aBorrower)
    , mDatabase(std::move(aDatabase))
    , mLent(std::move(aOffer.mLink))
    , mInitialState(std::move(aOffer.mContents))
  {
  }

  void Send(std::vector<ConnectionCommand> aCommands, Replies aDone) override
  {
    mExpected = aCommands.size();
    mDone = std::move(aDone);
    if (!mLent) {
      Finish({});
      return;
    }
    auto terms = mTerms;
    if (!terms.mIsInTransaction && terms.mDeadline != TimePoint::max()) {
      terms.mDeadline -= kAnswerReserve;
    }
    auto batch = ++mBatch;
    auto& loop = mBorrower.mLoop;
    mLent->Send(std::move(aCommands),
                std::move(terms),
                [self = shared_from_this(), batch, &loop](peer::LinkReplies aReplies) {
                  loop.Post([self, batch, replies = std::move(aReplies)]() mutable {
                    self->OnReplies(batch, std::move(replies));
                  });
                });
  }

  void SetTerms(const StatementTerms& aTerms) override { mTerms = aTerms; }

  // Without the connection's state the home closes it.
  void Close() override
  {
    auto self = shared_from_this();
    mLent.reset();
    Finish({});
  }

  // Whether the home's connection has broken shows with the next batch.
  void OnBroken(std::function<void()>) override {}

  SharedConnectionState InitialState() const override { return mInitialState; }

  void Return(const SharedConnectionState& aState) override
  {
    if (mLent && !mDone) {
      mLent->Return(aState);
    }
    mLent.reset();
  }

private:
  void OnReplies(std::uint64_t aBatch, peer::LinkReplies aReplies)
  {
    if (aBatch != mBatch || !mDone) {
      return;
    }
    mBorrower.NoteWait(mDatabase, aReplies.mExpectedWait);
    Finish(std::move(aReplies.mReplies));
  }

  void Finish(std::vector<ConnectionReply> aReplies)
  {
    if (!mDone) {
      return;
    }
    bool isUnsent = aReplies.size() == 1 && aReplies.front().mRetryAt;
    if (!isUnsent && aReplies.size() != mExpected) {
      aReplies.assign(mExpected, ConnectionReply{});
    }
    std::exchange(mDone, nullptr)(std::move(aReplies));
  }

  LinkBorrower& mBorrower;
  std::string mDatabase;
  std::shared_ptr<peer::LentLink> mLent;
  SharedConnectionState mInitialState;
  StatementTerms mTerms;
  // Tells replies to the current batch from those to one that was given up.
  std::uint64_t mBatch = 0;
  std::size_t mExpected = 0;
  Replies mDone;
};

LinkBorrower::LinkBorrower(Loop& aLoop, DatabaseConnector& aDirect, Counter aCount)
  : mLoop(aLoop)
  , mDirect(aDirect)
  , mCount(std::move(aCount))
{
}

void LinkBorrower::SetAddresses(std::map<std::string, std::string> aAddresses)
{
  mAddresses = std::move(aAddresses);
}

void LinkBorrower::SetHomes(const std::string& aDatabase,
                            std::vector<std::string> aHomes)
{
  mBorrowings[aDatabase].mHomes = std::move(aHomes);
}

void LinkBorrower::Forget(const std::string& aDatabase)
{
  mBorrowings.erase(aDatabase);
}

Duration LinkBorrower::ExpectedWait(const std::string& aDatabase, TimePoint aNow) const
{
  auto it = mBorrowings.find(aDatabase);
  bool isKnown = it != mBorrowings.end() && it->second.mWaitUntil > aNow;
  return isKnown ? it->second.mWaitUntil - aNow : Duration::zero();
}

// A queue drains about as fast as time passes, so the reported wait shrinks until the
// next report.
void LinkBorrower::NoteWait(const std::string& aDatabase, Duration aWait)
{
  auto it = mBorrowings.find(aDatabase);
  if (it != mBorrowings.end()) {
    it->second.mWaitUntil = Clock::now() + aWait;
  }
}

void LinkBorrower::Open(const LinkTarget& aTarget,
                        TimePoint aDeadline,
                        OpenCallback aDone)
{
  auto request = std::make_shared<Request>();
  request->mTarget = aTarget;
  request->mDeadline = aDeadline;
  request->mDone = std::move(aDone);
  AskNextHome(request);
}

void LinkBorrower::AskNextHome(const std::shared_ptr<Request>& aRequest)
{
  auto now = Clock::now();
  auto borrowing = mBorrowings.find(aRequest->mTarget.mDatabase);
  if (borrowing == mBorrowings.end() || mPeers == nullptr) {
    aRequest->mDone(tl::unexpected(ReplyCode::Lost));
    return;
  }
  auto homes = borrowing->second.mHomes;
  std::erase_if(homes, [&](const auto& aIt) {
    return aRequest->mRefused.count(aIt) > 0 || mAddresses.count(aIt) == 0;
  });
  auto home = mChoice.Choose(homes, now);
  if (!home) {
    OpenDirect(aRequest);
    return;
  }
  const auto& target = aRequest->mTarget;
  peer::LinkRequest request{
    target.mDatabase, target.mGroup, target.mOrganisation, target.mTerms
  };
  mPeers->OpenLink(
    mAddresses[*home],
    std::move(request),
    now + kHomeTimeout,
    [this, aRequest, home = *home](std::optional<peer::LinkOffer> aOffer) {
      mLoop.Post([this, aRequest, home, offer = std::move(aOffer)] {
        OnOffer(aRequest, home, offer);
      });
    });
}

void LinkBorrower::OnOffer(const std::shared_ptr<Request>& aRequest,
                           const std::string& aHome,
                           std::optional<peer::LinkOffer> aOffer)
{
  const auto& database = aRequest->mTarget.mDatabase;
  if (!aOffer) {
    mCount("homes.no_answer");
    mChoice.OnNoAnswer(aHome, Clock::now());
    aRequest->mRefused.insert(aHome);
    AskNextHome(aRequest);
    return;
  }
  mChoice.OnAnswer(aHome);
  if (aOffer->mLink) {
    mCount("homes.borrowed");
    NoteWait(database, aOffer->mExpectedWait);
    aRequest->mDone(DatabaseLinkPtr(
      std::make_shared<BorrowedLink>(*this, database, std::move(*aOffer))));
    return;
  }
  mCount("homes.refused_" +
         std::string(peer::kLinkRefusalNames.Name(aOffer->mRefusal)));
  switch (aOffer->mRefusal) {
    case peer::LinkRefusal::Overloaded:
      NoteWait(database, aOffer->mExpectedWait);
      aRequest->mDone(tl::unexpected(
        OpenError(ReplyCode::Busy, std::max(aOffer->mRetryAt, Clock::now()))));
      return;
    case peer::LinkRefusal::Leaving:
      mChoice.OnLeaving(aHome, Clock::now());
      break;
    case peer::LinkRefusal::None:
    case peer::LinkRefusal::NotAHome:
    case peer::LinkRefusal::Unreachable:
      break;
  }
  aRequest->mRefused.insert(aHome);
  AskNextHome(aRequest);
}

// The databases' connections are too few for all daemons, so each daemon that reaches
// no home opens one at a time.
void LinkBorrower::OpenDirect(const std::shared_ptr<Request>& aRequest)
{
  auto now = Clock::now();
  auto& borrowing = mBorrowings[aRequest->mTarget.mDatabase];
  if (borrowing.mIsOpeningDirect || !borrowing.mDirect.expired()) {
    aRequest->mDone(
      tl::unexpected(OpenError(ReplyCode::Busy, now + kDirectRetryPause)));
    return;
  }
  mCount("homes.direct");
  borrowing.mIsOpeningDirect = true;
  mDirect.Open(aRequest->mTarget, aRequest->mDeadline, [this, aRequest](auto aLink) {
    auto it = mBorrowings.find(aRequest->mTarget.mDatabase);
    if (it != mBorrowings.end()) {
      it->second.mIsOpeningDirect = false;
      if (aLink) {
        it->second.mDirect = *aLink;
      }
    }
    aRequest->mDone(std::move(aLink));
  });
}

} // namespace sesameway::proxy
