#include "peer/CapnpLinks.h"

#include "peer/ConvertLink.h"

#include <glog/logging.h>

#include <algorithm>
#include <string>
#include <utility>

namespace sesameway::peer {

namespace {

// Added to the deadline of a batch before it counts as lost. The home answers at the
// deadline at the latest, and an answer may be late by a scheduling delay of a VM with
// an eighth of a core.
constexpr Duration kBatchAllowance = milliseconds(200);
// A batch without a deadline counts as lost after this time, so that its caller does
// not wait for ever for a home that is frozen.
constexpr Duration kLongestBatch = seconds(60);

kj::Exception Error(const std::string& aDetail)
{
  return { kj::Exception::Type::FAILED, __FILE__, __LINE__, kj::heapString(aDetail) };
}

// Serves a link that this daemon lends to the peer that borrowed it.
class LinkServer final : public wire::Link::Server
{
public:
  LinkServer(TaskQueuePtr aTaskQueue,
             std::string aOrganisation,
             std::shared_ptr<LentLink> aLink)
    : mTaskQueue(std::move(aTaskQueue))
    , mOrganisation(std::move(aOrganisation))
    , mLink(std::move(aLink))
  {
  }

  kj::Promise<void> send(SendContext aContext) override
  {
    auto params = aContext.getParams();
    auto commands = Read(params.getCommands());
    if (!commands) {
      return Error(commands.error());
    }
    auto terms = Read(params.getTerms(), mOrganisation, Clock::now());
    if (!terms) {
      return Error(terms.error());
    }
    if (!mLink || mIsBusy) {
      return Error("link returned or busy");
    }
    mIsBusy = true;
    // The call must not keep the link alive when the borrower gives up or disconnects:
    // a batch that waits in the queue of the database would run for nobody.
    aContext.allowCancellation();
    auto paf = kj::newPromiseAndFulfiller<LinkReplies>();
    mLink->Send(std::move(*commands),
                std::move(*terms),
                LoopFulfiller<LinkReplies>(mTaskQueue, kj::mv(paf.fulfiller)));
    return paf.promise.then([this, aContext](LinkReplies aReplies) mutable {
      // A link whose call was cancelled stays busy: its borrower does not know its
      // state and may only drop it.
      mIsBusy = false;
      auto check = Check(aReplies);
      if (!check) {
        kj::throwFatalException(Error(check.error()));
      }
      Fill(aReplies, Clock::now(), aContext.getResults());
    });
  }

  kj::Promise<void> return_(ReturnContext) override
  {
    if (!mLink || mIsBusy) {
      return Error("link returned or busy");
    }
    std::exchange(mLink, nullptr)->Return();
    return kj::READY_NOW;
  }

private:
  TaskQueuePtr mTaskQueue;
  std::string mOrganisation;
  std::shared_ptr<LentLink> mLink;
  bool mIsBusy = false;
};

// A link at the borrower.
class RemoteLink : public LentLink
{
public:
  RemoteLink(BorrowedLinks* aLinks, TaskQueuePtr aTaskQueue, std::uint64_t aId)
    : mLinks(aLinks)
    , mTaskQueue(std::move(aTaskQueue))
    , mId(aId)
  {
  }
  RemoteLink(const RemoteLink&) = delete;
  RemoteLink& operator=(const RemoteLink&) = delete;
  ~RemoteLink() noexcept override
  {
    mTaskQueue->Post([links = mLinks, id = mId] { links->Drop(id); });
  }

  void Send(Commands aCommands, StatementTerms aTerms, Replies aDone) override
  {
    auto batch = std::make_shared<LinkBatch>(
      std::move(aCommands), std::move(aTerms), std::move(aDone));
    mTaskQueue->Post(
      [links = mLinks, id = mId, batch = std::move(batch)] { links->Send(id, batch); });
  }

  void Return() override
  {
    mTaskQueue->Post([links = mLinks, id = mId] { links->Return(id); });
  }

private:
  // Used only by tasks, which no longer run once the event loop has ended.
  BorrowedLinks* mLinks;
  TaskQueuePtr mTaskQueue;
  std::uint64_t mId;
};

} // namespace

kj::Promise<void> ServeOpenLink(TaskQueuePtr aTaskQueue,
                                Handler* aHandler,
                                OpenLinkContext aContext)
{
  auto request = Read(aContext.getParams(), Clock::now());
  if (!request) {
    return Error(request.error());
  }
  aContext.allowCancellation();
  auto paf = kj::newPromiseAndFulfiller<LinkOffer>();
  auto commands = request->mCommands.size();
  // An offer that comes after the borrower has given up is an unused connection, which
  // the home can lend again. After a first batch it may have an open transaction, so
  // the link is dropped.
  auto takeBack = [commands](LinkOffer aOffer) {
    if (aOffer.mLink && commands == 0) {
      aOffer.mLink->Return();
    }
  };
  auto organisation = request->mOrganisation;
  aHandler->OnOpenLink(
    std::move(*request),
    LoopFulfiller<LinkOffer>(aTaskQueue, kj::mv(paf.fulfiller), takeBack));
  return paf.promise.then(
    [aTaskQueue, aContext, commands, organisation](LinkOffer aOffer) mutable {
      bool isLent = aOffer.mRefusal == LinkRefusal::None && aOffer.mLink;
      auto check = Check(aOffer, commands, isLent);
      if (!check) {
        kj::throwFatalException(Error(check.error()));
      }
      auto results = aContext.getResults();
      Fill(aOffer, Clock::now(), results);
      if (isLent) {
        results.setLink(
          kj::heap<LinkServer>(aTaskQueue, organisation, std::move(aOffer.mLink)));
      }
    });
}

LinkBatch::LinkBatch(Commands aCommands, StatementTerms aTerms, LentLink::Replies aDone)
  : mCommands(std::move(aCommands))
  , mTerms(std::move(aTerms))
  , mDone(std::move(aDone))
{
}

LinkBatch::~LinkBatch() noexcept
{
  Fail();
}

void LinkBatch::Finish(LinkReplies aReplies)
{
  auto done = std::exchange(mDone, nullptr);
  if (done) {
    done(std::move(aReplies));
  }
}

void LinkBatch::Fail()
{
  LinkReplies lost;
  lost.mReplies.emplace_back().mCode = ReplyCode::Lost;
  Finish(std::move(lost));
}

BorrowedLinks::BorrowedLinks(kj::Timer* aTimer, TaskQueuePtr aTaskQueue)
  : mTimer(aTimer)
  , mTaskQueue(std::move(aTaskQueue))
  , mReturns(*this)
{
}

kj::Promise<std::optional<LinkOffer>> BorrowedLinks::Open(
  wire::Peer::Client aPeer,
  const LinkRequest& aRequest,
  std::function<void()> aOnAnswer)
{
  if (!Check(aRequest)) {
    return std::optional<LinkOffer>{};
  }
  auto call = aPeer.openLinkRequest();
  Fill(aRequest, Clock::now(), call);
  Opening opening{ aRequest.mOrganisation,
                   aRequest.mCommands.size(),
                   std::move(aOnAnswer) };
  return call.send().then([this, opening = std::move(opening)](
                            auto aReply) { return ReadOffer(aReply, opening); },
                          [](kj::Exception&& aError) -> std::optional<LinkOffer> {
                            // Any other error is an answer: the peer is alive and can't
                            // lend.
                            if (aError.getType() == kj::Exception::Type::DISCONNECTED) {
                              kj::throwFatalException(kj::mv(aError));
                            }
                            return std::nullopt;
                          });
}

std::optional<LinkOffer> BorrowedLinks::ReadOffer(
  wire::Peer::OpenLinkResults::Reader aReply,
  const Opening& aOpening)
{
  auto offer = Read(aReply, aOpening.mCommands, Clock::now());
  if (!offer) {
    LOG(WARNING) << "event=link_offer_unreadable detail=\"" << offer.error() << '"';
    return std::nullopt;
  }
  if (offer->mRefusal != LinkRefusal::None || !aReply.hasLink()) {
    return std::move(*offer);
  }
  auto id = mNextId++;
  mLinks.emplace(
    id, Borrowed{ aReply.getLink(), aOpening.mOrganisation, aOpening.mOnAnswer });
  offer->mLink = std::make_shared<RemoteLink>(this, mTaskQueue, id);
  return std::move(*offer);
}

void BorrowedLinks::Send(std::uint64_t aId, const LinkBatchPtr& aBatch)
{
  auto it = mLinks.find(aId);
  if (it == mLinks.end() || it->second.mIsBusy || !Check(aBatch->mCommands) ||
      !Check(aBatch->mTerms)) {
    aBatch->Fail();
    return;
  }
  auto& link = it->second;
  link.mIsBusy = true;
  auto now = Clock::now();
  auto call = link.mClient.sendRequest();
  Fill(aBatch->mCommands, aBatch->mTerms, link.mOrganisation, now, call);
  auto until =
    std::min(aBatch->mTerms.mDeadline, now + kLongestBatch) + kBatchAllowance;
  auto left = MicrosUntil(until, now) * kj::MICROSECONDS;
  auto answer = call.send().then(
    [this, aId, aBatch](auto aReply) { OnReplies(aId, *aBatch, aReply); });
  link.mBatch = mTimer->timeoutAfter(left, kj::mv(answer))
                  .catch_([this, aId, aBatch](kj::Exception&& aError) {
                    VLOG(1) << "event=link_batch_lost detail=\""
                            << aError.getDescription().cStr() << '"';
                    OnLost(aId, *aBatch);
                  })
                  .eagerlyEvaluate(nullptr);
}

void BorrowedLinks::OnReplies(std::uint64_t aId,
                              LinkBatch& aBatch,
                              wire::Link::SendResults::Reader aReply)
{
  auto& link = mLinks.at(aId);
  link.mOnAnswer();
  auto replies = Read(aReply, Clock::now());
  if (!replies || !IsComplete(replies->mReplies, aBatch.mCommands.size())) {
    auto detail = replies ? std::string("wrong number of replies") : replies.error();
    LOG(WARNING) << "event=link_replies_unreadable detail=\"" << detail << '"';
    OnLost(aId, aBatch);
    return;
  }
  link.mIsBusy = false;
  aBatch.Finish(std::move(*replies));
}

// The state of the connection is unknown, so the home gets the link back at once. The
// link is dropped by a task, because a promise must not be destroyed while it runs.
void BorrowedLinks::OnLost(std::uint64_t aId, LinkBatch& aBatch)
{
  mTaskQueue->Post([this, aId] { Drop(aId); });
  aBatch.Fail();
}

void BorrowedLinks::Return(std::uint64_t aId)
{
  auto it = mLinks.find(aId);
  if (it == mLinks.end()) {
    return;
  }
  // A link with a batch in progress is in no clean state.
  if (!it->second.mIsBusy) {
    mReturns.add(it->second.mClient.returnRequest().send().ignoreResult());
  }
  mLinks.erase(it);
}

void BorrowedLinks::Drop(std::uint64_t aId)
{
  mLinks.erase(aId);
}

// The home closes a connection whose return failed.
void BorrowedLinks::taskFailed(kj::Exception&& aError)
{
  VLOG(1) << "event=link_return_failed detail=\"" << aError.getDescription().cStr()
          << '"';
}

} // namespace sesameway::peer
