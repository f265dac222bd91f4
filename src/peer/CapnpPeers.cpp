#include "peer/CapnpPeers.h"

#include "peer/CapnpLinks.h"
#include "peer/Convert.h"
#include "peer/LoopTasks.h"

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>
#include <kj/async.h>

#include <glog/logging.h>

#include <condition_variable>
#include <map>
#include <mutex>
#include <thread>
#include <vector>

namespace sesameway::peer {

namespace {

// Timeout for opening a connection to a peer. A call that needs the connection fails
// when it expires.
constexpr auto kConnectTimeout = 500 * kj::MILLISECONDS;
// A connection can stop delivering answers without breaking, while new connections
// work. If a call fails after this long without any answer, the connection is dropped
// and the next call opens a new one.
constexpr Duration kSilenceLimit = milliseconds(800);
// Added to a statement's deadline, so that an answer sent at the deadline can arrive.
constexpr auto kAnswerAllowance = milliseconds(20);

// A longer age, ten years, is taken as not stated.
constexpr std::uint64_t kLongestAgeUs = 315'360'000'000'000;

KindRevisions ReadKinds(const capnp::List<wire::KindRevision>::Reader& aKinds)
{
  KindRevisions revisions;
  for (auto it : aKinds) {
    revisions[it.getKind()] = it.getRevision();
  }
  return revisions;
}

KindAges ReadAges(const capnp::List<wire::KindRevision>::Reader& aKinds)
{
  KindAges ages;
  for (auto it : aKinds) {
    if (it.getContactAgeUs() <= kLongestAgeUs) {
      ages[it.getKind()] = microseconds(it.getContactAgeUs());
    }
  }
  return ages;
}

void FillKinds(const KindRevisions& aRevisions,
               const KindAges& aAges,
               capnp::List<wire::KindRevision>::Builder aKinds)
{
  unsigned n = 0;
  for (const auto& it : aRevisions) {
    auto kind = aKinds[n++];
    kind.setKind(it.first);
    kind.setRevision(it.second);
    auto age = aAges.find(it.first);
    if (age != aAges.end()) {
      kind.setContactAgeUs(
        std::chrono::duration_cast<microseconds>(age->second).count());
    }
  }
}

// A primary's hint is a message of its own or an entry of a list, with the same
// members.
template<typename Message>
PrimaryHint ReadHint(const Message& aMessage)
{
  return { aMessage.getTerm(),
           aMessage.getDatabase(),
           microseconds(aMessage.getSeenAgeUs()) };
}

template<typename Message>
void FillHint(const PrimaryHint& aHint, Message aTo)
{
  aTo.setTerm(aHint.mTerm);
  aTo.setDatabase(aHint.mDatabase);
  aTo.setSeenAgeUs(std::chrono::duration_cast<microseconds>(aHint.mSeenAge).count());
}

EncodedObjectId ReadId(const wire::EncodedObjectId::Reader& aId)
{
  return { aId.getName(), aId.getRevision(), aId.getDigest() };
}

void FillId(const EncodedObjectId& aId, wire::EncodedObjectId::Builder aTo)
{
  aTo.setName(aId.mName);
  aTo.setRevision(aId.mRevision);
  aTo.setDigest(aId.mDigest);
}

ObjectPiece ReadPiece(const wire::ObjectPiece::Reader& aPiece)
{
  auto bytes = aPiece.getBytes();
  return { ReadId(aPiece.getId()),
           aPiece.getVersion(),
           aPiece.getSize(),
           aPiece.getOffset(),
           std::string(reinterpret_cast<const char*>(bytes.begin()), bytes.size()) };
}

void FillPiece(const ObjectPiece& aPiece, wire::ObjectPiece::Builder aTo)
{
  FillId(aPiece.mId, aTo.initId());
  aTo.setVersion(aPiece.mVersion);
  aTo.setSize(aPiece.mSize);
  aTo.setOffset(aPiece.mOffset);
  aTo.setBytes(
    { reinterpret_cast<const kj::byte*>(aPiece.mBytes.data()), aPiece.mBytes.size() });
}

CatalogueQuery ReadQuery(const wire::Peer::CatalogueParams::Reader& aParams)
{
  CatalogueQuery query{ aParams.getRevision(),
                        microseconds(aParams.getContactAgeUs()),
                        aParams.getMembersHash(),
                        ReadKinds(aParams.getKinds()),
                        aParams.getTakesPieces() };
  if (aParams.hasReceived()) {
    auto received = aParams.getReceived();
    query.mReceived = { ReadId(received.getId()),
                        received.getBytes(),
                        received.getComplete() };
  }
  return query;
}

void FillQuery(const CatalogueQuery& aQuery, wire::Peer::CatalogueParams::Builder aTo)
{
  aTo.setRevision(aQuery.mRevision);
  aTo.setContactAgeUs(
    std::chrono::duration_cast<microseconds>(aQuery.mContactAge).count());
  aTo.setMembersHash(aQuery.mMembersHash);
  FillKinds(aQuery.mKindRevisions, {}, aTo.initKinds(aQuery.mKindRevisions.size()));
  aTo.setTakesPieces(aQuery.mTakesPieces);
  if (aQuery.mReceived) {
    auto received = aTo.initReceived();
    FillId(aQuery.mReceived->mId, received.initId());
    received.setBytes(aQuery.mReceived->mBytes);
    received.setComplete(aQuery.mReceived->mIsComplete);
  }
}

// Serves an open transaction of the handler to the peer that began it.
class TransactionServer final : public wire::Transaction::Server
{
public:
  TransactionServer(TaskQueuePtr aTaskQueue, TransactionPtr aTransaction)
    : mTaskQueue(std::move(aTaskQueue))
    , mTransaction(std::move(aTransaction))
  {
  }

  kj::Promise<void> execute(ExecuteContext aContext) override
  {
    auto paf = kj::newPromiseAndFulfiller<Answer>();
    mTransaction->Execute(Read(aContext.getParams().getStatement(), Clock::now()),
                          LoopFulfiller<Answer>(mTaskQueue, kj::mv(paf.fulfiller)));
    return paf.promise.then([aContext](Answer aAnswer) mutable {
      Fill(aAnswer, Clock::now(), aContext.getResults().initAnswer());
    });
  }

private:
  TaskQueuePtr mTaskQueue;
  TransactionPtr mTransaction;
};

// The answer to a begin, and the transaction if it was begun.
struct BeginResult
{
  Answer mAnswer;
  TransactionPtr mTransaction;
};

// Decodes the calls of peers, passes them to the handler and encodes its answers.
class PeerServer final : public wire::Peer::Server
{
public:
  PeerServer(TaskQueuePtr aTaskQueue, Handler* aHandler)
    : mTaskQueue(std::move(aTaskQueue))
    , mHandler(aHandler)
  {
  }

  kj::Promise<void> hello(HelloContext aContext) override
  {
    bool isReady = false;
    auto self = mHandler->OnHello(Read(aContext.getParams().getFrom()), &isReady);
    Fill(self, aContext.getResults().initTo());
    aContext.getResults().setReady(isReady);
    return kj::READY_NOW;
  }

  kj::Promise<void> execute(ExecuteContext aContext) override
  {
    auto paf = kj::newPromiseAndFulfiller<Answer>();
    mHandler->OnExecute(Read(aContext.getParams().getStatement(), Clock::now()),
                        LoopFulfiller<Answer>(mTaskQueue, kj::mv(paf.fulfiller)));
    return paf.promise.then([aContext](Answer aAnswer) mutable {
      Fill(aAnswer, Clock::now(), aContext.getResults().initAnswer());
    });
  }

  kj::Promise<void> begin(BeginContext aContext) override
  {
    auto paf = kj::newPromiseAndFulfiller<BeginResult>();
    LoopFulfiller<BeginResult> fulfill(mTaskQueue, kj::mv(paf.fulfiller));
    mHandler->OnBegin(Read(aContext.getParams().getStatement(), Clock::now()),
                      [fulfill](Answer aAnswer, TransactionPtr aTransaction) {
                        fulfill({ std::move(aAnswer), std::move(aTransaction) });
                      });
    return paf.promise.then([this, aContext](BeginResult aResult) mutable {
      Fill(aResult.mAnswer, Clock::now(), aContext.getResults().initAnswer());
      if (aResult.mTransaction) {
        aContext.getResults().setTransaction(
          kj::heap<TransactionServer>(mTaskQueue, aResult.mTransaction));
      }
    });
  }

  kj::Promise<void> catalogue(CatalogueContext aContext) override
  {
    auto delta = mHandler->OnCatalogue(ReadQuery(aContext.getParams()));
    auto results = aContext.getResults();
    results.setServing(delta.mIsServing);
    results.setRevision(delta.mRevision);
    results.setContactAgeUs(
      std::chrono::duration_cast<microseconds>(delta.mContactAge).count());
    results.setMembersAgeUs(
      std::chrono::duration_cast<microseconds>(delta.mMembersAge).count());
    auto changes = results.initChanges(delta.mChanges.size());
    for (unsigned n = 0; n < changes.size(); ++n) {
      const auto& it = delta.mChanges[n];
      changes[n].setName(it.mName);
      changes[n].setVersion(it.mVersion);
      changes[n].setRevision(it.mRevision);
      changes[n].setBody(
        { reinterpret_cast<const kj::byte*>(it.mBody.data()), it.mBody.size() });
      changes[n].setDeleted(it.mDeleted);
    }
    auto members = results.initMembers(delta.mMembers.size());
    for (unsigned n = 0; n < members.size(); ++n) {
      Fill(delta.mMembers[n], members[n]);
    }
    FillKinds(delta.mKindRevisions,
              delta.mKindAges,
              results.initKinds(delta.mKindRevisions.size()));
    auto heads = results.initHeads(delta.mHeads.size());
    for (unsigned n = 0; n < heads.size(); ++n) {
      const auto& it = delta.mHeads[n];
      heads[n].setGroup(it.mGroup);
      heads[n].setTerm(it.mHead.mTerm);
      heads[n].setPosition(it.mHead.mPosition);
      heads[n].setAgeUs(std::chrono::duration_cast<microseconds>(it.mAge).count());
    }
    if (delta.mPiece) {
      FillPiece(*delta.mPiece, results.initPiece());
    }
    auto kinds = results.initIncompleteKinds(delta.mIncompleteKinds.size());
    for (unsigned n = 0; n < kinds.size(); ++n) {
      kinds.set(n, delta.mIncompleteKinds[n]);
    }
    return kj::READY_NOW;
  }

  kj::Promise<void> takeTokens(TakeTokensContext aContext) override
  {
    auto params = aContext.getParams();
    auto grant = mHandler->OnTakeTokens(
      params.getOrganisation(), params.getIncarnation(), params.getWanted());
    auto results = aContext.getResults();
    results.setGiven(grant.mTokens);
    results.setNextUs(std::chrono::duration_cast<microseconds>(grant.mNext).count());
    return kj::READY_NOW;
  }

  kj::Promise<void> primary(PrimaryContext aContext) override
  {
    auto hint = mHandler->OnPrimary(aContext.getParams().getGroup());
    FillHint(hint, aContext.getResults());
    return kj::READY_NOW;
  }

  kj::Promise<void> primaries(PrimariesContext aContext) override
  {
    std::vector<std::string> groups;
    for (auto it : aContext.getParams().getGroups()) {
      groups.emplace_back(it);
    }
    auto hints = mHandler->OnPrimaries(groups);
    auto to = aContext.getResults().initPrimaries(hints.size());
    unsigned n = 0;
    for (const auto& it : hints) {
      to[n].setGroup(it.first);
      FillHint(it.second, to[n]);
      ++n;
    }
    return kj::READY_NOW;
  }

  kj::Promise<void> announce(AnnounceContext aContext) override
  {
    auto params = aContext.getParams();
    mHandler->OnAnnounce(params.getGroup(),
                         { params.getTerm(), params.getDatabase(), {} });
    return kj::READY_NOW;
  }

  kj::Promise<void> standDown(StandDownContext aContext) override
  {
    auto params = aContext.getParams();
    auto paf = kj::newPromiseAndFulfiller<bool>();
    LoopFulfiller<bool> fulfill(mTaskQueue, kj::mv(paf.fulfiller));
    mHandler->OnStandDown(
      params.getGroup(), params.getChange(), [fulfill] { fulfill(true); });
    return paf.promise.then([](bool) {});
  }

  kj::Promise<void> openLink(OpenLinkContext aContext) override
  {
    return ServeOpenLink(mTaskQueue, mHandler, aContext);
  }

private:
  TaskQueuePtr mTaskQueue;
  Handler* mHandler;
};

// A connection to one peer daemon.
struct PeerConnection
{
  explicit PeerConnection(kj::Own<kj::AsyncIoStream> aStream)
    : mStream(kj::mv(aStream))
    , mClient(*mStream)
    , mPeer(mClient.bootstrap().castAs<wire::Peer>())
  {
  }
  kj::Own<kj::AsyncIoStream> mStream;
  capnp::TwoPartyClient mClient;
  wire::Peer::Client mPeer;
  // Start of the first call since the latest answer; empty if there was no call since.
  std::optional<TimePoint> mUnansweredSince;
};

class CapnpPeersLoop;

// Client side of a transaction at a peer. Its capability is released on the event loop
// thread, whichever thread drops the object.
class RemoteTransaction : public Transaction
{
public:
  RemoteTransaction(CapnpPeersLoop* aLoop,
                    TaskQueuePtr aTaskQueue,
                    wire::Transaction::Client aClient)
    : mLoop(aLoop)
    , mTaskQueue(std::move(aTaskQueue))
    , mClient(std::make_shared<wire::Transaction::Client>(kj::mv(aClient)))
  {
  }
  RemoteTransaction(const RemoteTransaction&) = delete;
  RemoteTransaction& operator=(const RemoteTransaction&) = delete;
  ~RemoteTransaction() noexcept override
  {
    mTaskQueue->Post([client = std::move(mClient)] {});
  }
  void Execute(GroupRequest aRequest, AnswerCallback aDone) override;

private:
  CapnpPeersLoop* mLoop;
  TaskQueuePtr mTaskQueue;
  // The capability is copied and destroyed only on the event loop thread; other threads
  // pass on the pointer.
  std::shared_ptr<wire::Transaction::Client> mClient;
};

// Implements CapnpPeers with a thread that runs the event loop.
class CapnpPeersLoop : public CapnpPeers
{
public:
  CapnpPeersLoop(std::string aListenAddress, Handler* aHandler)
    : mListenAddress(std::move(aListenAddress))
    , mHandler(aHandler)
    , mTaskQueue(std::make_shared<TaskQueue>())
    , mThread([this] { Run(); })
  {
  }
  CapnpPeersLoop(const CapnpPeersLoop&) = delete;
  CapnpPeersLoop& operator=(const CapnpPeersLoop&) = delete;
  ~CapnpPeersLoop() noexcept override
  {
    mTaskQueue->Post([this] { mStop->fulfill(); });
    mThread.join();
  }

  void WaitUntilListening()
  {
    std::unique_lock lock(mStartMutex);
    mStarted.wait(lock, [this] { return mIsListening; });
  }

  void Hello(const std::string& aAddress,
             const Member& aSelf,
             TimePoint aDeadline,
             std::function<void(std::optional<HelloReply>)> aDone) override
  {
    Call<HelloReply>(
      aAddress,
      aDeadline,
      [aSelf](wire::Peer::Client aPeer) {
        auto request = aPeer.helloRequest();
        Fill(aSelf, request.initFrom());
        return request.send().then([](auto aReply) {
          return HelloReply{ Read(aReply.getTo()), aReply.getReady() };
        });
      },
      std::move(aDone));
  }

  void Execute(const std::string& aAddress,
               GroupRequest aRequest,
               AnswerCallback aDone) override
  {
    auto request = std::make_shared<GroupRequest>(std::move(aRequest));
    auto isSent = std::make_shared<bool>(false);
    Call<Answer>(
      aAddress,
      request->mStatement.mDeadline + kAnswerAllowance,
      [request, isSent](wire::Peer::Client aPeer) {
        *isSent = true;
        auto call = aPeer.executeRequest();
        Fill(*request, Clock::now(), call.initStatement());
        return call.send().then(
          [](auto aReply) { return Read(aReply.getAnswer(), Clock::now()); });
      },
      [request, isSent, done = std::move(aDone)](std::optional<Answer> aAnswer) {
        done(aAnswer ? std::move(*aAnswer)
                     : AnswerForLostConnection(*request, *isSent));
      });
  }

  void Begin(const std::string& aAddress,
             GroupRequest aRequest,
             BeginCallback aDone) override
  {
    auto request = std::make_shared<GroupRequest>(std::move(aRequest));
    Call<BeginResult>(
      aAddress,
      request->mStatement.mDeadline + kAnswerAllowance,
      [this, request](wire::Peer::Client aPeer) {
        auto call = aPeer.beginRequest();
        Fill(*request, Clock::now(), call.initStatement());
        return call.send().then([this](auto aReply) {
          BeginResult result{ Read(aReply.getAnswer(), Clock::now()), nullptr };
          if (aReply.hasTransaction()) {
            result.mTransaction = std::make_shared<RemoteTransaction>(
              this, mTaskQueue, aReply.getTransaction());
          }
          return result;
        });
      },
      [done = std::move(aDone)](std::optional<BeginResult> aResult) {
        if (!aResult) {
          // A begin commits nothing, so it had no lasting effect even if the peer ran
          // it.
          done(NotRun(Reason::ConnectionLost, Clock::now()), nullptr);
          return;
        }
        done(std::move(aResult->mAnswer), std::move(aResult->mTransaction));
      });
  }

  void Catalogue(const std::string& aAddress,
                 const CatalogueQuery& aQuery,
                 TimePoint aDeadline,
                 std::function<void(std::optional<CatalogueDelta>)> aDone) override
  {
    Call<CatalogueDelta>(
      aAddress,
      aDeadline,
      [aQuery](wire::Peer::Client aPeer) {
        auto request = aPeer.catalogueRequest();
        FillQuery(aQuery, request);
        return request.send().then([](auto aReply) { return ReadDelta(aReply); });
      },
      std::move(aDone));
  }

  void TakeTokens(const std::string& aAddress,
                  const std::string& aOrganisation,
                  std::uint64_t aIncarnation,
                  double aWanted,
                  TimePoint aDeadline,
                  std::function<void(TokenGrant)> aDone) override
  {
    Call<TokenGrant>(
      aAddress,
      aDeadline,
      [aOrganisation, aIncarnation, aWanted](wire::Peer::Client aPeer) {
        auto request = aPeer.takeTokensRequest();
        request.setOrganisation(aOrganisation);
        request.setIncarnation(aIncarnation);
        request.setWanted(aWanted);
        return request.send().then([](auto aReply) {
          return TokenGrant{ aReply.getGiven(), microseconds(aReply.getNextUs()) };
        });
      },
      [done = std::move(aDone)](std::optional<TokenGrant> aGrant) {
        done(aGrant.value_or(TokenGrant{}));
      });
  }

  void Primary(const std::string& aAddress,
               const std::string& aGroup,
               TimePoint aDeadline,
               std::function<void(std::optional<PrimaryHint>)> aDone) override
  {
    Call<PrimaryHint>(
      aAddress,
      aDeadline,
      [aGroup](wire::Peer::Client aPeer) {
        auto request = aPeer.primaryRequest();
        request.setGroup(aGroup);
        return request.send().then([](auto aReply) { return ReadHint(aReply); });
      },
      std::move(aDone));
  }

  void Primaries(const std::string& aAddress,
                 std::vector<std::string> aGroups,
                 TimePoint aDeadline,
                 std::function<void(std::optional<PrimaryHints>)> aDone) override
  {
    Call<PrimaryHints>(
      aAddress,
      aDeadline,
      [groups = std::move(aGroups)](wire::Peer::Client aPeer) {
        auto request = aPeer.primariesRequest();
        auto to = request.initGroups(groups.size());
        for (unsigned n = 0; n < groups.size(); ++n) {
          to.set(n, groups[n]);
        }
        return request.send().then([](auto aReply) { return ReadHints(aReply); },
                                   [](kj::Exception&& aError) -> PrimaryHints {
                                     // A peer of a former version answers that it does
                                     // not know the call.
                                     if (aError.getType() !=
                                         kj::Exception::Type::UNIMPLEMENTED) {
                                       kj::throwFatalException(kj::mv(aError));
                                     }
                                     return {};
                                   });
      },
      std::move(aDone));
  }

  void Announce(const std::string& aAddress,
                const std::string& aGroup,
                const PrimaryHint& aPrimary,
                TimePoint aDeadline) override
  {
    Call<bool>(
      aAddress,
      aDeadline,
      [aGroup, aPrimary](wire::Peer::Client aPeer) {
        auto request = aPeer.announceRequest();
        request.setGroup(aGroup);
        request.setTerm(aPrimary.mTerm);
        request.setDatabase(aPrimary.mDatabase);
        return request.send().then([](auto) { return true; });
      },
      [](std::optional<bool>) {});
  }

  void StandDown(const std::string& aAddress,
                 const std::string& aGroup,
                 std::uint64_t aChange,
                 TimePoint aDeadline,
                 std::function<void(bool)> aDone) override
  {
    Call<bool>(
      aAddress,
      aDeadline,
      [aGroup, aChange](wire::Peer::Client aPeer) {
        auto request = aPeer.standDownRequest();
        request.setGroup(aGroup);
        request.setChange(aChange);
        return request.send().then([](auto) { return true; });
      },
      [done = std::move(aDone)](std::optional<bool> aIsDone) {
        done(aIsDone.value_or(false));
      });
  }

  void OpenLink(const std::string& aAddress,
                LinkRequest aRequest,
                TimePoint aDeadline,
                std::function<void(std::optional<LinkOffer>)> aDone) override
  {
    using Offer = std::optional<LinkOffer>;
    auto request = std::make_shared<LinkRequest>(std::move(aRequest));
    Call<Offer>(
      aAddress,
      aDeadline,
      [this, aAddress, request](wire::Peer::Client aPeer) {
        auto onAnswer = [this, aAddress] { OnAnswer(aAddress, true); };
        return mLinks->Open(aPeer, *request, onAnswer);
      },
      [done = std::move(aDone)](std::optional<Offer> aOffer) {
        done(aOffer ? std::move(*aOffer) : std::nullopt);
      });
  }

  // Passes the promise's value to `aDone`, or no value if the promise fails or the
  // deadline passes. If the connection broke, calls `aOnBroken` first. Call it on the
  // event loop thread.
  template<typename Value>
  void AwaitUntil(kj::Promise<Value> aPromise,
                  TimePoint aDeadline,
                  std::function<void(std::optional<Value>)> aDone,
                  std::function<void()> aOnBroken)
  {
    auto left = MicrosUntil(aDeadline, Clock::now()) * kj::MICROSECONDS;
    auto done =
      std::make_shared<std::function<void(std::optional<Value>)>>(std::move(aDone));
    auto promise =
      mTimer->timeoutAfter(left, kj::mv(aPromise))
        .then([done](Value aValue) { (*done)(std::move(aValue)); },
              [done, broken = std::move(aOnBroken)](kj::Exception&& aException) {
                if (aException.getType() == kj::Exception::Type::DISCONNECTED) {
                  broken();
                }
                (*done)(std::nullopt);
              });
    mTasks->add(kj::mv(promise));
  }

private:
  struct LogFailure : kj::TaskSet::ErrorHandler
  {
    void taskFailed(kj::Exception&& aException) override
    {
      LOG(WARNING) << "event=peer_task_failed detail=\""
                   << aException.getDescription().cStr() << '"';
    }
  };

  using Opening = std::map<std::string, kj::ForkedPromise<wire::Peer::Client>>;

  static Answer AnswerForLostConnection(const GroupRequest& aRequest, bool aIsSent)
  {
    const auto& statement = aRequest.mStatement;
    bool mayHaveRun = aIsSent && statement.MayHaveEffect();
    auto answer = mayHaveRun ? Unknown(Reason::ConnectionLost, Clock::now())
                             : NotRun(Reason::ConnectionLost, Clock::now());
    answer.mId = statement.mId;
    return answer;
  }

  template<typename Reply>
  static PrimaryHints ReadHints(Reply& aReply)
  {
    PrimaryHints hints;
    for (auto it : aReply.getPrimaries()) {
      hints[it.getGroup()] = ReadHint(it);
    }
    return hints;
  }

  template<typename Reply>
  static CatalogueDelta ReadDelta(Reply& aReply)
  {
    CatalogueDelta delta;
    delta.mIsServing = aReply.getServing();
    delta.mRevision = aReply.getRevision();
    delta.mMembersAge = microseconds(aReply.getMembersAgeUs());
    delta.mKindRevisions = ReadKinds(aReply.getKinds());
    delta.mKindAges = ReadAges(aReply.getKinds());
    delta.mContactAge = microseconds(aReply.getContactAgeUs());
    for (auto it : aReply.getChanges()) {
      auto body = it.getBody();
      delta.mChanges.push_back(
        { it.getName(),
          it.getVersion(),
          it.getRevision(),
          std::string(reinterpret_cast<const char*>(body.begin()), body.size()),
          it.getDeleted() });
    }
    if (aReply.hasPiece()) {
      delta.mPiece = ReadPiece(aReply.getPiece());
    }
    for (auto it : aReply.getIncompleteKinds()) {
      delta.mIncompleteKinds.emplace_back(it);
    }
    for (auto it : aReply.getMembers()) {
      delta.mMembers.push_back(Read(it));
    }
    for (auto it : aReply.getHeads()) {
      delta.mHeads.push_back({ it.getGroup(),
                               { it.getTerm(), it.getPosition() },
                               microseconds(it.getAgeUs()) });
    }
    return delta;
  }

  void Run()
  {
    auto io = kj::setupAsyncIo();
    Serve(io);
    mTaskQueue->Close();
  }

  // Runs the event loop until the object is destroyed.
  void Serve(kj::AsyncIoContext& aIo)
  {
    auto stop = kj::newPromiseAndFulfiller<void>();
    mStop = kj::mv(stop.fulfiller);
    mNetwork = &aIo.provider->getNetwork();
    mTimer = &aIo.provider->getTimer();
    LogFailure logFailure;
    mTasks = std::make_unique<kj::TaskSet>(logFailure);
    mLinks = std::make_unique<BorrowedLinks>(mTimer, mTaskQueue);
    auto address = mNetwork->parseAddress(mListenAddress).wait(aIo.waitScope);
    auto receiver = address->listen();
    capnp::TwoPartyServer server(kj::heap<PeerServer>(mTaskQueue, mHandler));
    mTasks->add(server.listen(*receiver));
    mTasks->add(mTaskQueue->Run());
    {
      std::lock_guard lock(mStartMutex);
      mIsListening = true;
    }
    mStarted.notify_all();
    stop.promise.wait(aIo.waitScope);
    mTasks.reset();
    mOpening.clear();
    mLinks.reset();
    mPeerConnections.clear();
  }

  // Returns the peer's capability, opening a connection first if there is none. Calls
  // that come while it is being opened share it: a coordinator asks all daemons about
  // all groups at once. Call it on the event loop thread.
  kj::Promise<wire::Peer::Client> ConnectTo(const std::string& aAddress)
  {
    auto it = mPeerConnections.find(aAddress);
    if (it != mPeerConnections.end()) {
      return it->second->mPeer;
    }
    auto opening = mOpening.find(aAddress);
    if (opening == mOpening.end()) {
      opening = mOpening.emplace(aAddress, Open(aAddress).fork()).first;
    }
    return opening->second.addBranch();
  }

  kj::Promise<wire::Peer::Client> Open(const std::string& aAddress)
  {
    auto connecting =
      mNetwork->parseAddress(aAddress).then([](kj::Own<kj::NetworkAddress> aParsed) {
        return aParsed->connect().attach(kj::mv(aParsed));
      });
    return mTimer->timeoutAfter(kConnectTimeout, kj::mv(connecting))
      .then(
        [this, aAddress](kj::Own<kj::AsyncIoStream> aStream) -> wire::Peer::Client {
          ForgetOpening(aAddress);
          auto connection = std::make_shared<PeerConnection>(kj::mv(aStream));
          mPeerConnections[aAddress] = connection;
          mTasks->add(connection->mClient.onDisconnect().then(
            [this, aAddress, weak = std::weak_ptr<PeerConnection>(connection)] {
              DropConnection(aAddress, weak);
            }));
          return connection->mPeer;
        },
        [this, aAddress](kj::Exception&& aError) -> wire::Peer::Client {
          ForgetOpening(aAddress);
          kj::throwFatalException(kj::mv(aError));
        });
  }

  // The promise is destroyed in a separate task, because it must not be destroyed while
  // it runs.
  void ForgetOpening(const std::string& aAddress)
  {
    auto node = std::make_shared<Opening::node_type>(mOpening.extract(aAddress));
    mTaskQueue->Post([node] {});
  }

  void DropConnection(const std::string& aAddress,
                      const std::weak_ptr<PeerConnection>& aConnection)
  {
    auto it = mPeerConnections.find(aAddress);
    if (it != mPeerConnections.end() && it->second == aConnection.lock()) {
      // Destroyed in a separate task, because a connection must not be destroyed while
      // one of its promises runs.
      mTaskQueue->Post([connection = it->second] {});
      mPeerConnections.erase(it);
    }
  }

  // Makes a call on the event loop thread. `aFunction` sends the request and returns
  // the promise of its answer; `aDone` receives no value without an answer by the
  // deadline.
  template<typename Value, typename Function>
  void Call(const std::string& aAddress,
            TimePoint aDeadline,
            Function aFunction,
            std::function<void(std::optional<Value>)> aDone)
  {
    mTaskQueue->Post(
      [this, aAddress, aDeadline, aFunction, done = std::move(aDone)]() mutable {
        auto sentAt = Clock::now();
        kj::Promise<Value> promise = ConnectTo(aAddress).then(
          [this, aAddress, sentAt, aFunction](wire::Peer::Client aPeer) mutable {
            OnSent(aAddress, sentAt);
            return kj::Promise<Value>(aFunction(kj::mv(aPeer)));
          });
        std::weak_ptr<PeerConnection> connection;
        auto it = mPeerConnections.find(aAddress);
        if (it != mPeerConnections.end()) {
          connection = it->second;
        }
        auto onValue =
          [this, aAddress, done = std::move(done)](std::optional<Value> aValue) {
            OnAnswer(aAddress, aValue.has_value());
            done(std::move(aValue));
          };
        AwaitUntil<Value>(
          kj::mv(promise), aDeadline, std::move(onValue), [this, aAddress, connection] {
            DropConnection(aAddress, connection);
          });
      });
  }

  void OnSent(const std::string& aAddress, TimePoint aSentAt)
  {
    auto it = mPeerConnections.find(aAddress);
    if (it != mPeerConnections.end() && !it->second->mUnansweredSince) {
      it->second->mUnansweredSince = aSentAt;
    }
  }

  void OnAnswer(const std::string& aAddress, bool aHasCome)
  {
    auto it = mPeerConnections.find(aAddress);
    if (it == mPeerConnections.end()) {
      return;
    }
    auto& since = it->second->mUnansweredSince;
    if (aHasCome) {
      since.reset();
    } else if (since && Clock::now() - *since > kSilenceLimit) {
      DropConnection(aAddress, it->second);
    }
  }

  std::string mListenAddress;
  Handler* mHandler;
  TaskQueuePtr mTaskQueue;
  std::mutex mStartMutex;
  std::condition_variable mStarted;
  bool mIsListening = false;
  // The members from here to mOpening are used only on the event loop thread.
  kj::Own<kj::PromiseFulfiller<void>> mStop;
  kj::Network* mNetwork = nullptr;
  kj::Timer* mTimer = nullptr;
  std::unique_ptr<kj::TaskSet> mTasks;
  std::unique_ptr<BorrowedLinks> mLinks;
  std::map<std::string, std::shared_ptr<PeerConnection>> mPeerConnections;
  // Connections that are being opened, by address.
  Opening mOpening;
  std::thread mThread;
};

void RemoteTransaction::Execute(GroupRequest aRequest, AnswerCallback aDone)
{
  auto request = std::make_shared<GroupRequest>(std::move(aRequest));
  mTaskQueue->Post(
    [loop = mLoop, client = mClient, request, done = std::move(aDone)]() mutable {
      auto call = client->executeRequest();
      Fill(*request, Clock::now(), call.initStatement());
      kj::Promise<Answer> promise = call.send().then(
        [](auto aReply) { return Read(aReply.getAnswer(), Clock::now()); });
      loop->AwaitUntil<Answer>(
        kj::mv(promise),
        request->mStatement.mDeadline + kAnswerAllowance,
        [request, done = std::move(done)](std::optional<Answer> aAnswer) {
          if (aAnswer) {
            done(std::move(*aAnswer));
            return;
          }
          // Only a commit can have had an effect that outlives the transaction.
          bool mayHaveRun = request->mStatement.mKind == StatementKind::Commit;
          done(mayHaveRun ? Unknown(Reason::ConnectionLost, Clock::now())
                          : NotRun(Reason::ConnectionLost, Clock::now()));
        },
        [] {});
    });
}

} // namespace

std::unique_ptr<CapnpPeers> CapnpPeers::Start(const std::string& aListenAddress,
                                              Handler* aHandler)
{
  auto loop = std::make_unique<CapnpPeersLoop>(aListenAddress, aHandler);
  loop->WaitUntilListening();
  return loop;
}

} // namespace sesameway::peer
