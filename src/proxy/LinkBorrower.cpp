#include "proxy/LinkBorrower.h"

#include "proxy/Replies.h"
#include "sesameway/LentSession.h"

#include <algorithm>
#include <optional>
#include <set>
#include <utility>

namespace sesameway::proxy {

namespace {

// A home answers a request for a connection alone within 400 ms; the rest is for the
// way there and back.
constexpr Duration kHomeTimeout = milliseconds(600);
// Lets a refusal by the home's queue arrive before this daemon's own deadline.
constexpr Duration kAnswerReserve = milliseconds(50);
// Lets the answer to a batch that ends at its deadline arrive.
constexpr Duration kAnswerAllowance = milliseconds(100);
// A home that has answered nothing for this long when its caller gives up may be gone.
constexpr Duration kSilenceLimit = milliseconds(400);
constexpr Duration kEndTimeout = seconds(1);
constexpr Duration kDirectOpenTimeout = milliseconds(400);
// When a statement is to come back that no home and no connection of this daemon could
// take.
constexpr Duration kRetryPause = milliseconds(250);
constexpr Duration kUnreachableTime = milliseconds(600);

// Whether the last command of the batch takes effect for good when it runs alone.
bool IsSingleWrite(const std::vector<ConnectionCommand>& aCommands)
{
  return !aCommands.empty() && IsWrite(aCommands.back().mKind);
}

bool EndsTransaction(const std::vector<ConnectionCommand>& aCommands)
{
  auto kind = aCommands.empty() ? CommandKind::Rollback : aCommands.back().mKind;
  return kind == CommandKind::Commit || kind == CommandKind::Rollback;
}

// The replies to a batch of which nothing was sent.
std::vector<ConnectionReply> NotSent(const std::string& aReason, TimePoint aRetryAt)
{
  return { UnsentReply(ReplyCode::Busy, aReason, aRetryAt) };
}

} // namespace

// A connection of a home that this daemon uses over the home's RPC. Outside
// transactions the home takes the connection back after each batch, so each batch may
// run on another connection, and the session is set up with it. A batch that may safely
// run twice goes to the home with the request for a connection. A write does not: if
// the home leaves the request unanswered, the write has certainly not run and can go to
// the other home.
class LinkBorrower::BorrowedLink
  : public DatabaseLink
  , public std::enable_shared_from_this<LinkBorrower::BorrowedLink>
{
public:
  BorrowedLink(LinkBorrower& aBorrower, LinkTarget aTarget)
    : mBorrower(aBorrower)
    , mTarget(std::move(aTarget))
  {
  }

  void Send(std::vector<ConnectionCommand> aCommands, Replies aDone) override
  {
    mDone = std::move(aDone);
    mExpected = aCommands.size();
    ++mBatch;
    mSession.Note(aCommands);
    mCommands = std::move(aCommands);
    mSentCount = mCommands.size();
    mRefused.clear();
    mIsUnreachable = false;
    mAskedAt = Clock::now();
    if (mDirect) {
      SendDirect();
    } else if (mLent) {
      SendLent();
    } else if (EndsTransaction(mCommands)) {
      // The transaction ended with its connection.
      Finish(NotSent("connection_lost", mAskedAt));
    } else {
      mCommands = mSession.WithSetUp(mCommands);
      mSentCount = mCommands.size();
      AskNextHome();
    }
  }

  void SetTerms(const StatementTerms& aTerms) override { mTerms = aTerms; }

  // A batch that follows runs on another connection.
  bool IsClosed() const override { return false; }

  void Close() override
  {
    auto self = shared_from_this();
    if (mDone && !mHome.empty() && Clock::now() - mAskedAt >= kSilenceLimit) {
      mBorrower.OnNotHeard(mHome, mAskedAt);
    }
    ++mBatch;
    mLent.reset();
    if (auto direct = std::exchange(mDirect, nullptr)) {
      direct->Close();
    }
    Finish({});
  }

  // Whether the home's connection has broken shows with the next batch.
  void OnBroken(std::function<void()>) override {}

private:
  StatementTerms WireTerms() const
  {
    auto terms = mTerms;
    if (EndsTransaction(mCommands)) {
      // The end of a transaction may be sent after its last statement's deadline.
      terms.mDeadline = std::max(terms.mDeadline, Clock::now() + kEndTimeout);
    } else if (!terms.mIsInTransaction && terms.mDeadline != TimePoint::max()) {
      terms.mDeadline -= kAnswerReserve;
    }
    return terms;
  }

  void AskNextHome()
  {
    auto& borrowing = mBorrower.BorrowingOf(mTarget.mDatabase);
    auto homes = borrowing.mHomes;
    std::erase_if(homes, [&](const auto& aIt) {
      return mRefused.count(aIt) > 0 || mBorrower.mAddresses.count(aIt) == 0;
    });
    auto home = mBorrower.mChoice.Choose(homes, Clock::now());
    if (mBorrower.mPeers == nullptr || !home) {
      OnNoHome();
      return;
    }
    mHome = *home;
    AskHome();
  }

  void AskHome()
  {
    auto now = Clock::now();
    peer::LinkRequest request{
      mTarget.mDatabase, mTarget.mGroup, mTarget.mOrganisation, WireTerms(), {}
    };
    auto deadline = now + kHomeTimeout;
    bool isWithRequest = !IsSingleWrite(mCommands);
    if (isWithRequest) {
      request.mCommands = mCommands;
      deadline = mTerms.mDeadline == TimePoint::max()
                   ? now + kEndTimeout
                   : mTerms.mDeadline + kAnswerAllowance;
    }
    auto& loop = mBorrower.mLoop;
    auto onOffer = [self = shared_from_this(), &loop, batch = mBatch, isWithRequest](
                     std::optional<peer::LinkOffer> aOffer) {
      loop.Post([self, batch, isWithRequest, offer = std::move(aOffer)]() mutable {
        self->OnOffer(batch, isWithRequest, std::move(offer));
      });
    };
    mAskedAt = now;
    mBorrower.mPeers->OpenLink(
      mBorrower.mAddresses[mHome], std::move(request), deadline, std::move(onOffer));
  }

  void OnOffer(std::uint64_t aBatch,
               bool aIsWithRequest,
               std::optional<peer::LinkOffer> aOffer)
  {
    if (aBatch != mBatch || !mDone) {
      return;
    }
    if (!aOffer) {
      mBorrower.mCount("homes.no_answer");
      mBorrower.OnNotHeard(mHome, mAskedAt);
      mRefused.insert(mHome);
      if (Clock::now() < WireTerms().mDeadline) {
        AskNextHome();
      } else {
        Finish(aIsWithRequest
                 ? std::vector<ConnectionReply>{}
                 : NotSent("no_answer_of_home", Clock::now() + kRetryPause));
      }
      return;
    }
    mBorrower.OnHeard(mHome);
    if (aOffer->mRefusal != peer::LinkRefusal::None) {
      OnRefused(*aOffer);
      return;
    }
    mBorrower.mCount("homes.borrowed");
    mLent = std::move(aOffer->mLink);
    if (aIsWithRequest) {
      OnReplies(aBatch, { std::move(aOffer->mReplies), aOffer->mExpectedWait });
    } else if (mLent) {
      SendLent();
    } else {
      Finish(NotSent("no_link", Clock::now() + kRetryPause));
    }
  }

  void OnRefused(const peer::LinkOffer& aOffer)
  {
    auto now = Clock::now();
    std::string reason = "home_";
    reason += peer::kLinkRefusalNames.Name(aOffer.mRefusal);
    mBorrower.mCount(reason);
    switch (aOffer.mRefusal) {
      case peer::LinkRefusal::Overloaded:
        mBorrower.NoteWait(mTarget.mDatabase, aOffer.mExpectedWait);
        Finish(NotSent(reason, std::max(aOffer.mRetryAt, now)));
        return;
      case peer::LinkRefusal::Leaving:
        mBorrower.mChoice.OnLeaving(mHome, now);
        break;
      case peer::LinkRefusal::Unreachable:
        mIsUnreachable = true;
        break;
      case peer::LinkRefusal::None:
      case peer::LinkRefusal::NotAHome:
        break;
    }
    mRefused.insert(mHome);
    AskNextHome();
  }

  // The homes may be cut off from the database while this daemon is not. After an
  // attempt in vain it is left alone for a while.
  void OnNoHome()
  {
    auto now = Clock::now();
    mHome.clear();
    auto& borrowing = mBorrower.BorrowingOf(mTarget.mDatabase);
    if (mIsUnreachable && now < borrowing.mUnreachableUntil) {
      Finish(NotSent("unreachable", borrowing.mUnreachableUntil));
    } else if (!borrowing.mDirect.expired()) {
      Finish(NotSent("no_home", now + kRetryPause));
    } else {
      OpenDirect();
    }
  }

  void OpenDirect()
  {
    mBorrower.mCount("homes.direct");
    mBorrower.BorrowingOf(mTarget.mDatabase).mDirect = weak_from_this();
    mBorrower.mDirect.Open(mTarget,
                           Clock::now() + kDirectOpenTimeout,
                           [self = shared_from_this(), batch = mBatch](auto aLink) {
                             self->OnDirect(batch, std::move(aLink));
                           });
  }

  void OnDirect(std::uint64_t aBatch, tl::expected<DatabaseLinkPtr, ReplyCode> aLink)
  {
    bool isWanted = aBatch == mBatch && mDone;
    if (aLink && isWanted) {
      mDirect = *aLink;
      SendDirect();
      return;
    }
    auto& borrowing = mBorrower.BorrowingOf(mTarget.mDatabase);
    borrowing.mDirect.reset();
    if (aLink) {
      (*aLink)->Close();
      return;
    }
    borrowing.mUnreachableUntil = Clock::now() + kUnreachableTime;
    if (isWanted) {
      Finish(NotSent("unreachable", borrowing.mUnreachableUntil));
    }
  }

  void SendDirect()
  {
    mDirect->Send(std::move(mCommands),
                  [self = shared_from_this(),
                   batch = mBatch](std::vector<ConnectionReply> aReplies) {
                    if (batch == self->mBatch) {
                      self->Finish(std::move(aReplies));
                    }
                  });
  }

  void SendLent()
  {
    auto& loop = mBorrower.mLoop;
    auto terms = WireTerms();
    mLent->Send(
      std::move(mCommands),
      std::move(terms),
      [self = shared_from_this(), batch = mBatch, &loop](peer::LinkReplies aReplies) {
        loop.Post([self, batch, replies = std::move(aReplies)]() mutable {
          self->OnReplies(batch, std::move(replies));
        });
      });
  }

  void OnReplies(std::uint64_t aBatch, peer::LinkReplies aReplies)
  {
    if (aBatch != mBatch || !mDone) {
      return;
    }
    auto replies = std::move(aReplies.mReplies);
    bool isLost = replies.empty() || replies.back().mCode == ReplyCode::Lost;
    if (!isLost) {
      mBorrower.mHeardAt[mHome] = Clock::now();
      mBorrower.NoteWait(mTarget.mDatabase, aReplies.mExpectedWait);
    }
    if (isLost || replies.back().mTransaction == TransactionState::None) {
      mLent.reset();
    }
    Finish(std::move(replies));
  }

  // Passes the replies to the commands that the session sent. With the session's set-up
  // the batch may have had more or fewer commands before the last one.
  void Finish(std::vector<ConnectionReply> aReplies)
  {
    if (!mDone) {
      return;
    }
    bool isUnsent = aReplies.size() == 1 && IsUnsent(aReplies.front());
    if (!isUnsent) {
      aReplies = Expand(std::move(aReplies));
    }
    std::exchange(mDone, nullptr)(std::move(aReplies));
  }

  std::vector<ConnectionReply> Expand(std::vector<ConnectionReply> aReplies) const
  {
    std::vector<ConnectionReply> replies(mExpected);
    bool isSetUp =
      !aReplies.empty() && aReplies.size() == mSentCount &&
      std::all_of(aReplies.begin(), aReplies.end() - 1, [](const auto& aIt) {
        return aIt.mCode == ReplyCode::Done;
      });
    if (isSetUp) {
      for (auto& it : replies) {
        it.mCode = ReplyCode::Done;
      }
      replies.back() = std::move(aReplies.back());
    }
    return replies;
  }

  LinkBorrower& mBorrower;
  LinkTarget mTarget;
  StatementTerms mTerms;
  LentSession mSession;
  std::shared_ptr<peer::LentLink> mLent;
  DatabaseLinkPtr mDirect;
  // The home that was asked last.
  std::string mHome;
  // Homes that can't lend for the current batch.
  std::set<std::string> mRefused;
  // Whether one of them can't reach the database.
  bool mIsUnreachable = false;
  // Tells replies to the current batch from those to one that was given up.
  std::uint64_t mBatch = 0;
  TimePoint mAskedAt{};
  std::vector<ConnectionCommand> mCommands;
  // Commands that the session sent, and those that were sent for them.
  std::size_t mExpected = 0;
  std::size_t mSentCount = 0;
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
  std::erase_if(mHeardAt,
                [this](const auto& aIt) { return mAddresses.count(aIt.first) == 0; });
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

bool LinkBorrower::IsUnreachable(const std::string& aDatabase, TimePoint aNow) const
{
  auto it = mBorrowings.find(aDatabase);
  return it != mBorrowings.end() && aNow < it->second.mUnreachableUntil;
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

void LinkBorrower::OnHeard(const std::string& aHome)
{
  mHeardAt[aHome] = Clock::now();
  mChoice.OnAnswer(aHome);
}

// A home that has answered another call since lives; what it left unanswered waits at
// the database.
void LinkBorrower::OnNotHeard(const std::string& aHome, TimePoint aSentAt)
{
  auto it = mHeardAt.find(aHome);
  bool isSilent = it == mHeardAt.end() || it->second < aSentAt;
  if (isSilent) {
    mChoice.OnNoAnswer(aHome, Clock::now());
  }
}

void LinkBorrower::Open(const LinkTarget& aTarget, TimePoint, OpenCallback aDone)
{
  aDone(DatabaseLinkPtr(std::make_shared<BorrowedLink>(*this, aTarget)));
}

} // namespace sesameway::proxy
