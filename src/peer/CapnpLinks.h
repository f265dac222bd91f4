#pragma once

#include "peer.capnp.h"

#include "peer/LoopTasks.h"
#include "peer/Peer.h"

#include <kj/async-io.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace sesameway::peer {

using OpenLinkContext =
  capnp::CallContext<wire::Peer::OpenLinkParams, wire::Peer::OpenLinkResults>;

// Answers a peer's call for a link. The returned promise fails if the request can't be
// read. Call it on the event loop thread.
kj::Promise<void> ServeOpenLink(TaskQueuePtr aTaskQueue,
                                Handler* aHandler,
                                OpenLinkContext aContext);

// A batch that a borrower has sent. Passes the replies to the borrower exactly once:
// Lost if the object is destroyed without them, for whatever reason.
class LinkBatch
{
public:
  LinkBatch(std::vector<ConnectionCommand> aCommands,
            StatementTerms aTerms,
            LentLink::Replies aDone);
  LinkBatch(const LinkBatch&) = delete;
  LinkBatch& operator=(const LinkBatch&) = delete;
  ~LinkBatch() noexcept;
  void Finish(LinkReplies aReplies);
  void Fail();

  const std::vector<ConnectionCommand> mCommands;
  const StatementTerms mTerms;

private:
  LentLink::Replies mDone;
};
using LinkBatchPtr = std::shared_ptr<LinkBatch>;

// The links that this daemon has borrowed. Holds their capabilities, which must not
// leave the event loop thread; the objects that borrowers have name a link by its
// number. All functions are called on the event loop thread.
class BorrowedLinks final : private kj::TaskSet::ErrorHandler
{
public:
  BorrowedLinks(kj::Timer* aTimer, TaskQueuePtr aTaskQueue);
  // `aOnAnswer` is called for each answer of the peer to a batch over the link. The
  // promise has no value if the peer's answer is an error, as that of a peer of a
  // former version, or can't be read.
  kj::Promise<std::optional<LinkOffer>> Open(wire::Peer::Client aPeer,
                                             const LinkRequest& aRequest,
                                             std::function<void()> aOnAnswer);
  void Send(std::uint64_t aId, const LinkBatchPtr& aBatch);
  void Return(std::uint64_t aId);
  void Drop(std::uint64_t aId);

private:
  // What the answer to a request for a link is read with.
  struct Opening
  {
    std::string mOrganisation;
    // Size of the first batch.
    std::size_t mCommands = 0;
    std::function<void()> mOnAnswer;
  };
  struct Borrowed
  {
    wire::Link::Client mClient;
    std::string mOrganisation;
    std::function<void()> mOnAnswer;
    // The batch in progress, or the latest one. Dropping the promise cancels the call.
    kj::Promise<void> mBatch = kj::READY_NOW;
    bool mIsBusy = false;
  };

  std::optional<LinkOffer> ReadOffer(wire::Peer::OpenLinkResults::Reader aReply,
                                     const Opening& aOpening);
  void OnReplies(std::uint64_t aId,
                 LinkBatch& aBatch,
                 wire::Link::SendResults::Reader aReply);
  void OnLost(std::uint64_t aId, LinkBatch& aBatch);
  void taskFailed(kj::Exception&& aError) override;

  kj::Timer* mTimer;
  TaskQueuePtr mTaskQueue;
  std::uint64_t mNextId = 1;
  std::map<std::uint64_t, Borrowed> mLinks;
  // Calls that return a link.
  kj::TaskSet mReturns;
};

} // namespace sesameway::peer
