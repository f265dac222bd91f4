#include "peer.capnp.h"

#include "peer/CapnpPeers.h"
#include "peer/ConvertLink.h"
#include "proxy/FreeAddress.h"
#include "proxy/NoPeerHandler.h"

#include <capnp/ez-rpc.h>
#include <capnp/message.h>
#include <cppunit/extensions/HelperMacros.h>
#include <kj/async-io.h>

#include <atomic>
#include <future>
#include <mutex>
#include <thread>

using namespace sesameway;
using namespace sesameway::peer;

namespace {

constexpr auto kPatience = seconds(5);

template<typename Condition>
void Await(const char* aWhat, Condition aCondition)
{
  auto until = Clock::now() + kPatience;
  while (!aCondition()) {
    CPPUNIT_ASSERT_MESSAGE(aWhat, Clock::now() < until);
    std::this_thread::sleep_for(milliseconds(1));
  }
}

// A value that another thread sets, with the number of times that it was set.
template<typename Value>
class Slot
{
public:
  void Set(Value aValue)
  {
    std::lock_guard lock(mMutex);
    mValue = std::move(aValue);
    ++mCount;
  }
  int Count() const
  {
    std::lock_guard lock(mMutex);
    return mCount;
  }
  Value Wait(const char* aWhat)
  {
    Await(aWhat, [this] { return Count() > 0; });
    std::lock_guard lock(mMutex);
    mCount = 0;
    return std::move(mValue);
  }

private:
  mutable std::mutex mMutex;
  Value mValue{};
  int mCount = 0;
};

ConnectionReply Reply(ReplyCode aCode)
{
  ConnectionReply reply;
  reply.mCode = aCode;
  return reply;
}

std::vector<ConnectionReply> Refused(TimePoint aRetryAt)
{
  std::vector<ConnectionReply> replies{ Reply(ReplyCode::Busy) };
  replies[0].mRetryAt = aRetryAt;
  return replies;
}

// What has reached the home.
struct HomeLog
{
  Slot<LinkRequest> mRequest;
  Slot<std::vector<ConnectionCommand>> mCommands;
  Slot<StatementTerms> mTerms;
  // The callback of a batch, if mIsHeld.
  Slot<LentLink::Replies> mHeld;
  Slot<bool> mReturned;
  std::atomic<int> mDropped{ 0 };
  std::atomic<bool> mIsHeld{ false };
  // Without replies, each command is answered with Done.
  Slot<LinkReplies> mReplies;
};

class FakeLink : public LentLink
{
public:
  explicit FakeLink(HomeLog* aLog)
    : mLog(aLog)
  {
  }
  ~FakeLink() noexcept override { mLog->mDropped += mIsReturned ? 0 : 1; }
  void Send(std::vector<ConnectionCommand> aCommands,
            StatementTerms aTerms,
            Replies aDone) override
  {
    LinkReplies replies;
    if (mLog->mReplies.Count() > 0) {
      replies = mLog->mReplies.Wait("replies");
    } else {
      replies.mReplies.resize(aCommands.size(), Reply(ReplyCode::Done));
    }
    mLog->mCommands.Set(std::move(aCommands));
    mLog->mTerms.Set(std::move(aTerms));
    if (mLog->mIsHeld) {
      mLog->mHeld.Set(std::move(aDone));
      return;
    }
    aDone(std::move(replies));
  }
  void Return() override
  {
    mIsReturned = true;
    mLog->mReturned.Set(true);
  }

private:
  HomeLog* mLog;
  bool mIsReturned = false;
};

class Home : public test::NoPeerHandler
{
public:
  void OnOpenLink(LinkRequest aRequest, std::function<void(LinkOffer)> aDone) override
  {
    mLog.mRequest.Set(std::move(aRequest));
    auto offer = mOffer;
    if (offer.mRefusal == LinkRefusal::None && mHasLink) {
      offer.mLink = std::make_shared<FakeLink>(&mLog);
    }
    if (mIsHeld) {
      mHeld.Set([aDone, offer] { aDone(offer); });
      return;
    }
    aDone(std::move(offer));
  }

  HomeLog mLog;
  LinkOffer mOffer;
  bool mHasLink = true;
  bool mIsHeld = false;
  Slot<std::function<void()>> mHeld;
};

// The answers of a peer, filled in by functions on the wire's level.
struct RawAnswers
{
  using FillReplies = std::function<void(wire::Link::SendResults::Builder)>;
  using FillOffer = std::function<void(wire::Peer::OpenLinkResults::Builder)>;
  Slot<FillReplies> mReplies;
  // Applied to an offer of a link, if any.
  Slot<FillOffer> mOffer;
  std::atomic<int> mOpened{ 0 };
  std::atomic<int> mDropped{ 0 };
};

class RawLink final : public wire::Link::Server
{
public:
  explicit RawLink(RawAnswers* aAnswers)
    : mAnswers(aAnswers)
  {
  }
  RawLink(const RawLink&) = delete;
  RawLink& operator=(const RawLink&) = delete;
  ~RawLink() { ++mAnswers->mDropped; }
  kj::Promise<void> send(SendContext aContext) override
  {
    mAnswers->mReplies.Wait("answer")(aContext.getResults());
    return kj::READY_NOW;
  }

private:
  RawAnswers* mAnswers;
};

class RawPeer final : public wire::Peer::Server
{
public:
  explicit RawPeer(RawAnswers* aAnswers)
    : mAnswers(aAnswers)
  {
  }
  kj::Promise<void> openLink(OpenLinkContext aContext) override
  {
    ++mAnswers->mOpened;
    auto number = std::stoi(aContext.getParams().getDatabase().cStr());
    aContext.getResults().setRefusal(number);
    aContext.getResults().setLink(kj::heap<RawLink>(mAnswers));
    if (mAnswers->mOffer.Count() > 0) {
      mAnswers->mOffer.Wait("offer")(aContext.getResults());
    }
    return kj::READY_NOW;
  }

private:
  RawAnswers* mAnswers;
};

// A peer of a former version: a call that it does not know is UNIMPLEMENTED.
class FormerPeer final : public wire::Peer::Server
{
public:
  kj::Promise<void> primary(PrimaryContext) override { return kj::READY_NOW; }
};

// Listens on a port of the system's choice: another process may take a free port that
// is chosen in advance.
class RawServer
{
public:
  explicit RawServer(std::function<capnp::Capability::Client()> aMain)
    : mThread([this, aMain] {
      capnp::EzRpcServer server(aMain(), "127.0.0.1:0");
      mPort.set_value(server.getPort().wait(server.getWaitScope()));
      while (!mIsStopped) {
        server.getIoProvider()
          .getTimer()
          .afterDelay(5 * kj::MILLISECONDS)
          .wait(server.getWaitScope());
      }
    })
    , mAddress("127.0.0.1:" + std::to_string(mPort.get_future().get()))
  {
  }
  RawServer(const RawServer&) = delete;
  RawServer& operator=(const RawServer&) = delete;
  ~RawServer()
  {
    mIsStopped = true;
    mThread.join();
  }

private:
  std::atomic<bool> mIsStopped{ false };
  std::promise<unsigned> mPort;
  std::thread mThread;

public:
  const std::string mAddress;
};

StatementTerms TermsFor(Duration aTime)
{
  StatementTerms terms;
  terms.mDeadline = Clock::now() + aTime;
  return terms;
}

// Whether the times agree up to the time that a call takes on a busy machine.
bool IsNear(TimePoint aExpected, TimePoint aTime)
{
  return aTime >= aExpected - milliseconds(1) && aTime <= aExpected + seconds(2);
}

} // namespace

class BorrowedLinkTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(BorrowedLinkTest);
  CPPUNIT_TEST(CommandsAndRepliesArriveWhole);
  CPPUNIT_TEST(TermsArriveAsTimesOfTheReceiver);
  CPPUNIT_TEST(EmptyFieldsAreLeftOut);
  CPPUNIT_TEST(ARequestAndAReturnArrive);
  CPPUNIT_TEST(AFirstBatchMayEndWithoutALink);
  CPPUNIT_TEST(AFirstBatchMayLeaveALink);
  CPPUNIT_TEST(ARefusedFirstBatchArrivesWithItsRetryTime);
  CPPUNIT_TEST(AnOfferWithWrongRepliesIsDropped);
  CPPUNIT_TEST(AFirstBatchBeyondTheLimitsIsNotSent);
  CPPUNIT_TEST(AFirstBatchOfAHomeThatIsGoneEndsOnce);
  CPPUNIT_TEST(ARefusalArrivesWithItsRetryTime);
  CPPUNIT_TEST(ADropReachesTheHomeDuringABatch);
  CPPUNIT_TEST(ABatchOfAHomeThatIsGoneIsLostOnce);
  CPPUNIT_TEST(ABatchOfABorrowerThatStopsIsLostOnce);
  CPPUNIT_TEST(ABatchWithoutAnAnswerIsLostOnce);
  CPPUNIT_TEST(OnlyARefusalMayAnswerABatchWithOneReply);
  CPPUNIT_TEST(ALateOfferIsReturned);
  CPPUNIT_TEST(ALateOfferAfterAFirstBatchIsDropped);
  CPPUNIT_TEST(APeerOfAFormerVersionOffersNothing);
  CPPUNIT_TEST(TheHomeRefusesMalformedBatches);
  CPPUNIT_TEST(TheBorrowerRefusesMalformedAnswers);
  CPPUNIT_TEST_SUITE_END();

public:
  // All fixtures exist from the start of the program. The port is chosen just before
  // its use, because another socket may take it in between.
  void setUp() override
  {
    mAddress = test::FreeAddress();
    mHomePeers = CapnpPeers::Start(mAddress, &mHome);
    mPeers = CapnpPeers::Start("127.0.0.1:0", &mNoHandler);
  }
  void tearDown() override
  {
    mPeers.reset();
    mHomePeers.reset();
  }

private:
  std::optional<LinkOffer> Open(const std::string& aAddress,
                                const std::string& aDatabase = "db",
                                Duration aTimeout = kPatience,
                                std::vector<ConnectionCommand> aCommands = {})
  {
    Slot<std::optional<LinkOffer>> offer;
    mPeers->OpenLink(aAddress,
                     { aDatabase, "group", "org", TermsFor(kPatience), aCommands },
                     Clock::now() + aTimeout,
                     [&](auto aOffer) { offer.Set(std::move(aOffer)); });
    return offer.Wait("offer");
  }

  // With a first batch of `aCommands` reads.
  std::optional<LinkOffer> OpenWith(std::size_t aCommands)
  {
    return Open(mAddress, "db", kPatience, std::vector<ConnectionCommand>(aCommands));
  }

  std::shared_ptr<LentLink> OpenLink()
  {
    auto offer = Open(mAddress);
    CPPUNIT_ASSERT(offer && offer->mLink);
    return offer->mLink;
  }

  void Send(LentLink& aLink,
            std::vector<ConnectionCommand> aCommands = { {} },
            Duration aTimeout = kPatience)
  {
    aLink.Send(std::move(aCommands), TermsFor(aTimeout), [this](LinkReplies aReplies) {
      mReplies.Set(std::move(aReplies));
    });
  }

  void AssertLostOnce()
  {
    Await("lost", [&] { return mReplies.Count() > 0; });
    std::this_thread::sleep_for(milliseconds(50));
    CPPUNIT_ASSERT_EQUAL(1, mReplies.Count());
    auto replies = mReplies.Wait("lost").mReplies;
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, replies.size());
    CPPUNIT_ASSERT(replies[0].mCode == ReplyCode::Lost && !replies[0].mRetryAt);
  }

  void AssertWorks(LentLink& aLink)
  {
    Send(aLink);
    CPPUNIT_ASSERT(mReplies.Wait("replies").mReplies.at(0).mCode == ReplyCode::Done);
  }

  static void AssertEqual(const std::vector<ConnectionCommand>& aExpected,
                          const std::vector<ConnectionCommand>& aCommands)
  {
    CPPUNIT_ASSERT_EQUAL(aExpected.size(), aCommands.size());
    for (std::size_t n = 0; n < aExpected.size(); ++n) {
      const auto& a = aExpected[n];
      const auto& b = aCommands[n];
      CPPUNIT_ASSERT(a.mKind == b.mKind && a.mId == b.mId && a.mText == b.mText);
      CPPUNIT_ASSERT(a.mName == b.mName && a.mPreparesWrite == b.mPreparesWrite);
      CPPUNIT_ASSERT(a.mAfter == b.mAfter && a.mTerm == b.mTerm);
    }
  }

  static void AssertEqual(const std::vector<ConnectionReply>& aExpected,
                          const std::vector<ConnectionReply>& aReplies)
  {
    CPPUNIT_ASSERT_EQUAL(aExpected.size(), aReplies.size());
    for (std::size_t n = 0; n < aExpected.size(); ++n) {
      const auto& c = aExpected[n];
      const auto& d = aReplies[n];
      CPPUNIT_ASSERT(c.mCode == d.mCode && c.mDetail == d.mDetail &&
                     c.mRows == d.mRows);
      CPPUNIT_ASSERT(c.mDigest == d.mDigest && c.mTransaction == d.mTransaction);
      CPPUNIT_ASSERT(c.mPosition == d.mPosition);
      CPPUNIT_ASSERT_EQUAL(c.mRetryAt.has_value(), d.mRetryAt.has_value());
      CPPUNIT_ASSERT(!c.mRetryAt || n == 0 || IsNear(*c.mRetryAt, *d.mRetryAt));
    }
  }

  // Guards against a field or number of a command or reply that is not converted, over
  // a link or in a first batch.
  void CommandsAndRepliesArriveWhole()
  {
    std::vector<ConnectionCommand> commands;
    LinkReplies replies{ {}, milliseconds(7) };
    auto retryAt = Clock::now() + seconds(10);
    for (std::size_t n = 0; n < kReplyCodeNames.mNames.size(); ++n) {
      auto text = std::string("t\0\xff", 3) + std::to_string(n);
      auto kind = static_cast<CommandKind>(n % kCommandKindNames.mNames.size());
      commands.push_back({ kind, "i" + text, text, "n" + text, n % 2 == 0, {}, n });
      replies.mReplies.push_back(Reply(static_cast<ReplyCode>(n)));
      replies.mReplies[n].mDetail = "d" + text;
      replies.mReplies[n].mRows = { text, "" };
      replies.mReplies[n].mDigest = "x" + text;
      replies.mReplies[n].mTransaction = static_cast<TransactionState>(n % 3);
      if (n % 2 == 0) {
        commands[n].mAfter = LogPosition{ n / 2, n };
        replies.mReplies[n].mPosition = LogPosition{ n / 2, n };
        replies.mReplies[n].mRetryAt = n == 0 ? Clock::now() - seconds(1) : retryAt;
      }
    }
    mHome.mLog.mReplies.Set(replies);
    auto link = OpenLink();
    Send(*link, commands);
    auto got = mReplies.Wait("replies");
    CPPUNIT_ASSERT(got.mExpectedWait == milliseconds(7));
    AssertEqual(commands, mHome.mLog.mCommands.Wait("commands"));
    AssertEqual(replies.mReplies, got.mReplies);
    mHome.mLog.mRequest.Wait("request");
    mHome.mOffer.mReplies = replies.mReplies;
    auto offer = Open(mAddress, "db", kPatience, commands);
    CPPUNIT_ASSERT(offer);
    AssertEqual(commands, mHome.mLog.mRequest.Wait("request").mCommands);
    AssertEqual(replies.mReplies, offer->mReplies);
  }

  // Guards against an expired goal that is taken for none, against a time without limit
  // that overflows, and against an organisation that is replaced by that of the link.
  void TermsArriveAsTimesOfTheReceiver()
  {
    auto link = OpenLink();
    auto now = Clock::now();
    StatementTerms terms{
      7, now + seconds(10), now + seconds(20), true, "org", "class"
    };
    auto pass = [&] {
      link->Send({ {} }, terms, [this](auto aReplies) { mReplies.Set(aReplies); });
      mReplies.Wait("replies");
      return mHome.mLog.mTerms.Wait("terms");
    };
    auto got = pass();
    CPPUNIT_ASSERT(got.mPriority == 7 && got.mIsInTransaction);
    CPPUNIT_ASSERT(got.mOrganisation == "org" && got.mCostClass == "class");
    CPPUNIT_ASSERT(IsNear(terms.mGoalAt, got.mGoalAt));
    CPPUNIT_ASSERT(IsNear(terms.mDeadline, got.mDeadline));
    terms.mGoalAt = now - seconds(1);
    CPPUNIT_ASSERT(IsNear(now, pass().mGoalAt));
    terms.mGoalAt = terms.mDeadline = TimePoint::max();
    got = pass();
    CPPUNIT_ASSERT(got.mGoalAt == TimePoint::max());
    CPPUNIT_ASSERT(got.mDeadline == TimePoint::max());
    for (const auto* it : { "other", "" }) {
      terms.mOrganisation = it;
      CPPUNIT_ASSERT_EQUAL(std::string(it), pass().mOrganisation);
    }
  }

  // Guards against statements that take more of a slow link than needed, because fields
  // are sent that are empty or that the home knows.
  void EmptyFieldsAreLeftOut()
  {
    auto now = Clock::now();
    capnp::MallocMessageBuilder request;
    auto to = request.initRoot<wire::Peer::OpenLinkParams>();
    Fill(LinkRequest{ "db", "group", "org", { 0, now, now, false, "org", "" }, { {} } },
         now,
         to);
    auto command = to.getCommands()[0];
    CPPUNIT_ASSERT(!to.getTerms().hasOrganisation() && !to.getTerms().hasCostClass());
    CPPUNIT_ASSERT(!command.hasId() && !command.hasText() && !command.hasName());
    capnp::MallocMessageBuilder answer;
    auto offer = answer.initRoot<wire::Peer::OpenLinkResults>();
    Fill(LinkOffer{}, now, offer);
    CPPUNIT_ASSERT(!offer.hasReplies());
    Fill(LinkOffer{ {}, {}, {}, {}, { {} } }, now, offer);
    auto reply = offer.getReplies()[0];
    CPPUNIT_ASSERT(!reply.hasDetail() && !reply.hasRows() && !reply.hasDigest());
  }

  // Guards against a request for another database or organisation than the borrower's,
  // and against a link that is closed although the borrower has returned it.
  void ARequestAndAReturnArrive()
  {
    auto offer = Open(mAddress);
    auto request = mHome.mLog.mRequest.Wait("request");
    CPPUNIT_ASSERT(request.mDatabase == "db" && request.mGroup == "group");
    CPPUNIT_ASSERT(request.mOrganisation == "org" && request.mCommands.empty());
    CPPUNIT_ASSERT(request.mTerms.mOrganisation.empty());
    CPPUNIT_ASSERT(offer->mReplies.empty());
    offer->mLink->Return();
    mHome.mLog.mReturned.Wait("return");
    offer.reset();
    AssertWorks(*OpenLink());
    Await("drop of the second link", [&] { return mHome.mLog.mDropped == 1; });
    CPPUNIT_ASSERT_EQUAL(0, mHome.mLog.mReturned.Count());
  }

  // Guards against the answer of a whole statement that is lost because no link comes
  // with it.
  void AFirstBatchMayEndWithoutALink()
  {
    mHome.mHasLink = false;
    mHome.mOffer.mReplies = { Reply(ReplyCode::Done), Reply(ReplyCode::Failed) };
    mHome.mOffer.mExpectedWait = milliseconds(3);
    auto offer = OpenWith(2);
    CPPUNIT_ASSERT(offer && !offer->mLink && offer->mRefusal == LinkRefusal::None);
    AssertEqual(mHome.mOffer.mReplies, offer->mReplies);
    CPPUNIT_ASSERT(offer->mExpectedWait == milliseconds(3));
    CPPUNIT_ASSERT_EQUAL(0, mHome.mLog.mCommands.Count());
  }

  // Guards against a transaction that ends with its first batch.
  void AFirstBatchMayLeaveALink()
  {
    mHome.mOffer.mReplies = { Reply(ReplyCode::Done) };
    mHome.mOffer.mReplies[0].mTransaction = TransactionState::Open;
    auto offer = OpenWith(1);
    CPPUNIT_ASSERT(offer && offer->mLink);
    AssertEqual(mHome.mOffer.mReplies, offer->mReplies);
    AssertWorks(*offer->mLink);
    CPPUNIT_ASSERT_EQUAL(0, mHome.mLog.mDropped.load());
    offer->mLink->Return();
    mHome.mLog.mReturned.Wait("return");
  }

  // Guards against a refused batch that is taken for one that has run, or that is tried
  // again at once.
  void ARefusedFirstBatchArrivesWithItsRetryTime()
  {
    auto retryAt = Clock::now() + seconds(10);
    mHome.mOffer.mReplies = Refused(retryAt);
    for (bool hasLink : { false, true }) {
      mHome.mHasLink = hasLink;
      auto offer = OpenWith(3);
      CPPUNIT_ASSERT(offer && (offer->mLink != nullptr) == hasLink);
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, offer->mReplies.size());
      CPPUNIT_ASSERT(IsNear(retryAt, offer->mReplies[0].mRetryAt.value()));
    }
    // A refusal of the request needs no replies.
    mHome.mOffer.mRefusal = LinkRefusal::Overloaded;
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, OpenWith(3)->mReplies.size());
    mHome.mOffer.mReplies.clear();
    CPPUNIT_ASSERT(OpenWith(3)->mReplies.empty());
  }

  // Guards against replies that are assigned to the wrong commands, against a refusal
  // of what has run, and against the connection of such an offer that stays lent.
  void AnOfferWithWrongRepliesIsDropped()
  {
    RawAnswers answers;
    RawServer server([&] { return kj::heap<RawPeer>(&answers); });
    struct Case
    {
      std::size_t mCommands;
      unsigned mReplies;
      const char* mRefusal;
    };
    int dropped = 0;
    for (const auto& it : { Case{ 2, 0, "0" },
                            Case{ 2, 1, "0" },
                            Case{ 2, 3, "0" },
                            Case{ 0, 1, "0" },
                            Case{ 2, 2, "3" } }) {
      std::vector<ConnectionCommand> commands(it.mCommands);
      answers.mOffer.Set([&](auto aTo) { aTo.initReplies(it.mReplies); });
      CPPUNIT_ASSERT(!Open(server.mAddress, it.mRefusal, kPatience, commands));
      ++dropped;
      Await("drop", [&] { return answers.mDropped == dropped; });
    }
    for (unsigned replies : { 0, 1 }) {
      answers.mOffer.Set([&](auto aTo) {
        aTo.disownLink();
        aTo.initReplies(replies);
      });
      CPPUNIT_ASSERT(!Open(server.mAddress, "0"));
    }
    // The home sends no such offer.
    mHome.mOffer.mReplies = { Reply(ReplyCode::Done) };
    CPPUNIT_ASSERT(!OpenWith(2));
    Await("drop at the home", [&] { return mHome.mLog.mDropped == 1; });
    CPPUNIT_ASSERT_EQUAL(0, mHome.mLog.mReturned.Count());
  }

  // Guards against a batch that crosses a slow link only to be refused there.
  void AFirstBatchBeyondTheLimitsIsNotSent()
  {
    ConnectionCommand unknown;
    unknown.mKind = static_cast<CommandKind>(13);
    ConnectionCommand large;
    large.mText = std::string((1 << 20) + 1, 'x');
    ConnectionCommand fitting;
    fitting.mText = std::string(1 << 20, 'x');
    using Batch = std::vector<ConnectionCommand>;
    RawAnswers answers;
    RawServer server([&] { return kj::heap<RawPeer>(&answers); });
    CPPUNIT_ASSERT(Open(server.mAddress, "0"));
    for (const auto& it :
         { Batch(65), Batch{ unknown }, Batch{ large }, Batch(33, fitting) }) {
      answers.mOpened = 0;
      CPPUNIT_ASSERT(!Open(server.mAddress, "0", kPatience, it));
      CPPUNIT_ASSERT_EQUAL(0, answers.mOpened.load());
    }
    mHome.mOffer.mReplies.resize(64, Reply(ReplyCode::Done));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 64 }, OpenWith(64)->mReplies.size());
    mHome.mOffer.mReplies.resize(30);
    CPPUNIT_ASSERT(Open(mAddress, "db", kPatience, Batch(30, fitting)));
  }

  // Guards against a borrower that waits until its deadline for a home that is gone,
  // and against a second answer.
  void AFirstBatchOfAHomeThatIsGoneEndsOnce()
  {
    mHome.mIsHeld = true;
    mHome.mOffer.mReplies = { Reply(ReplyCode::Done) };
    Slot<std::optional<LinkOffer>> offer;
    mPeers->OpenLink(mAddress,
                     { "db", "group", "org", TermsFor(std::chrono::hours(1)), { {} } },
                     Clock::now() + std::chrono::hours(1),
                     [&](auto aOffer) { offer.Set(std::move(aOffer)); });
    auto late = mHome.mHeld.Wait("batch");
    mHomePeers.reset();
    late();
    Await("end", [&] { return offer.Count() > 0; });
    std::this_thread::sleep_for(milliseconds(50));
    CPPUNIT_ASSERT_EQUAL(1, offer.Count());
    CPPUNIT_ASSERT(!offer.Wait("end"));
    late = nullptr;
    Await("drop", [&] { return mHome.mLog.mDropped == 1; });
  }

  // Guards against a refusal that arrives as another one, or without the time after
  // which the home expects the request again.
  void ARefusalArrivesWithItsRetryTime()
  {
    for (std::size_t n = 1; n < kLinkRefusalNames.mNames.size(); ++n) {
      mHome.mOffer.mRefusal = static_cast<LinkRefusal>(n);
      mHome.mOffer.mRetryAt = Clock::now() + seconds(10 * n);
      mHome.mOffer.mExpectedWait = milliseconds(n);
      auto offer = Open(mAddress);
      CPPUNIT_ASSERT(offer && !offer->mLink);
      CPPUNIT_ASSERT(offer->mRefusal == mHome.mOffer.mRefusal);
      CPPUNIT_ASSERT(IsNear(mHome.mOffer.mRetryAt, offer->mRetryAt));
      CPPUNIT_ASSERT(offer->mExpectedWait == milliseconds(n));
    }
    mHome.mOffer.mRetryAt = {};
    CPPUNIT_ASSERT(Open(mAddress)->mRetryAt == TimePoint{});
    // A handler that lends nothing refuses by default.
    auto other = test::FreeAddress();
    auto peers = CapnpPeers::Start(other, &mNoHandler);
    CPPUNIT_ASSERT(Open(other)->mRefusal == LinkRefusal::NotAHome);
  }

  // Guards against a batch that keeps its link and its place in the queue of the home
  // after the borrower has dropped the link.
  void ADropReachesTheHomeDuringABatch()
  {
    mHome.mLog.mIsHeld = true;
    auto link = OpenLink();
    Send(*link);
    Await("batch", [&] { return mHome.mLog.mHeld.Count() == 1; });
    link.reset();
    Await("drop", [&] { return mHome.mLog.mDropped == 1; });
    mHome.mLog.mHeld.Wait("batch")({});
    AssertLostOnce();
    CPPUNIT_ASSERT_EQUAL(0, mHome.mLog.mReturned.Count());
  }

  // Guards against a borrower that waits until the deadline for a home that is gone.
  void ABatchOfAHomeThatIsGoneIsLostOnce()
  {
    mHome.mLog.mIsHeld = true;
    auto link = OpenLink();
    Send(*link, { {} }, std::chrono::hours(1));
    Await("batch", [&] { return mHome.mLog.mHeld.Count() == 1; });
    mHomePeers.reset();
    AssertLostOnce();
    Send(*link, { {} }, std::chrono::hours(1));
    AssertLostOnce();
  }

  // Guards against a batch without a reply, or a use of the capability on another
  // thread, when the link is dropped after the peers; and against a home that keeps the
  // link of a borrower that is gone.
  void ABatchOfABorrowerThatStopsIsLostOnce()
  {
    mHome.mLog.mIsHeld = true;
    auto link = OpenLink();
    Send(*link);
    Await("batch", [&] { return mHome.mLog.mHeld.Count() == 1; });
    mPeers.reset();
    AssertLostOnce();
    Await("drop", [&] { return mHome.mLog.mDropped == 1; });
    Send(*link);
    AssertLostOnce();
  }

  // Guards against a caller that waits for ever for a frozen home, and against a second
  // reply when the answer comes late.
  void ABatchWithoutAnAnswerIsLostOnce()
  {
    mHome.mLog.mIsHeld = true;
    auto link = OpenLink();
    auto start = Clock::now();
    Send(*link, { {} }, milliseconds(50));
    Await("lost", [&] { return mReplies.Count() > 0; });
    CPPUNIT_ASSERT(Clock::now() - start >= milliseconds(50));
    LinkReplies late;
    late.mReplies.push_back(Reply(ReplyCode::Done));
    mHome.mLog.mHeld.Wait("batch")(late);
    AssertLostOnce();
    // The state of the connection is unknown, so that the link runs nothing more.
    Await("drop", [&] { return mHome.mLog.mDropped == 1; });
    mHome.mLog.mIsHeld = false;
    Send(*link);
    AssertLostOnce();
  }

  // Guards against replies that are assigned to the wrong commands.
  void OnlyARefusalMayAnswerABatchWithOneReply()
  {
    LinkReplies one;
    one.mReplies.push_back(Reply(ReplyCode::Busy));
    mHome.mLog.mReplies.Set(one);
    auto link = OpenLink();
    Send(*link, { {}, {} });
    AssertLostOnce();
    one.mReplies.resize(3);
    mHome.mLog.mReplies.Set(one);
    link = OpenLink();
    Send(*link, { {}, {} });
    AssertLostOnce();
    link = OpenLink();
    one.mReplies = Refused(Clock::now() + seconds(1));
    mHome.mLog.mReplies.Set(one);
    Send(*link, { {}, {} });
    auto replies = mReplies.Wait("replies").mReplies;
    CPPUNIT_ASSERT(replies.size() == 1 && replies[0].mCode == ReplyCode::Busy);
    AssertWorks(*link);
  }

  // Guards against connections that are closed unused, because a busy home opened them
  // after the borrower had asked the next home.
  void ALateOfferIsReturned()
  {
    mHome.mIsHeld = true;
    CPPUNIT_ASSERT(!Open(mAddress, "db", milliseconds(100)));
    // The cancellation follows the borrower's deadline.
    std::this_thread::sleep_for(milliseconds(100));
    mHome.mHeld.Wait("offer")();
    mHome.mLog.mReturned.Wait("return");
    CPPUNIT_ASSERT_EQUAL(0, mHome.mLog.mDropped.load());
  }

  // Guards against a transaction that nobody ends, on a connection that the home lends
  // again.
  void ALateOfferAfterAFirstBatchIsDropped()
  {
    mHome.mIsHeld = true;
    mHome.mOffer.mReplies = { Reply(ReplyCode::Done) };
    CPPUNIT_ASSERT(!Open(mAddress, "db", milliseconds(100), { {} }));
    // The cancellation follows the borrower's deadline.
    std::this_thread::sleep_for(milliseconds(100));
    mHome.mHeld.Wait("offer")();
    Await("drop", [&] { return mHome.mLog.mDropped == 1; });
    CPPUNIT_ASSERT_EQUAL(0, mHome.mLog.mReturned.Count());
  }

  // Guards against an error of a peer of a former version that is taken for an offer or
  // never reported during a rolling upgrade.
  void APeerOfAFormerVersionOffersNothing()
  {
    RawServer server([] { return kj::heap<FormerPeer>(); });
    auto isAnswering = [&] {
      Slot<bool> isAnswered;
      mPeers->Primary(server.mAddress,
                      "group",
                      Clock::now() + kPatience,
                      [&](auto aHint) { isAnswered.Set(aHint.has_value()); });
      return isAnswered.Wait("primary");
    };
    Await("server", isAnswering);
    auto start = Clock::now();
    CPPUNIT_ASSERT(!Open(server.mAddress));
    CPPUNIT_ASSERT(Clock::now() - start < kPatience);
    CPPUNIT_ASSERT(isAnswering());
  }

  // Guards against a message that terminates the home or ends its connections.
  void TheHomeRefusesMalformedBatches()
  {
    capnp::EzRpcClient client(mAddress);
    auto& scope = client.getWaitScope();
    auto open = client.getMain<wire::Peer>().openLinkRequest().send().wait(scope);
    auto link = open.getLink();
    auto isCallRefused =
      [&](auto aCall, unsigned aCommands, int aKind, std::size_t aBytes) {
        auto commands = aCall.initCommands(aCommands);
        commands[0].setKind(aKind);
        commands[0].setName(std::string(aBytes, 'x'));
        aCall.initTerms().setDeadlineUs(~std::uint64_t{ 0 });
        auto answer = aCall.send().then([](auto) { return false; },
                                        [](kj::Exception&&) { return true; });
        auto& timer = client.getIoProvider().getTimer();
        return timer.timeoutAfter(5 * kj::SECONDS, kj::mv(answer)).wait(scope);
      };
    auto isRefused = [&](unsigned aCommands, int aKind, std::size_t aBytes) {
      mHome.mOffer.mReplies.assign(aCommands, Reply(ReplyCode::Done));
      bool isLinkRefused = isCallRefused(link.sendRequest(), aCommands, aKind, aBytes);
      auto peer = client.getMain<wire::Peer>();
      bool isOpenRefused =
        isCallRefused(peer.openLinkRequest(), aCommands, aKind, aBytes);
      CPPUNIT_ASSERT_EQUAL(isLinkRefused, isOpenRefused);
      return isLinkRefused;
    };
    CPPUNIT_ASSERT(isRefused(1, 13, 0));
    CPPUNIT_ASSERT(isRefused(1, 255, 0));
    CPPUNIT_ASSERT(isRefused(65, 0, 0));
    CPPUNIT_ASSERT(isRefused(1, 0, (1 << 20) + 1));
    CPPUNIT_ASSERT_EQUAL(0, mHome.mLog.mCommands.Count());
    CPPUNIT_ASSERT_EQUAL(1, mHome.mLog.mRequest.Count());
    CPPUNIT_ASSERT(!isRefused(64, 12, 1 << 20));
    // Nor does the home send an offer that does not match.
    mHome.mOffer.mReplies.resize(2);
    auto peer = client.getMain<wire::Peer>();
    CPPUNIT_ASSERT(isCallRefused(peer.openLinkRequest(), 1, 0, 0));
    // One batch at a time.
    mHome.mLog.mIsHeld = true;
    auto first = link.sendRequest().send();
    CPPUNIT_ASSERT(isCallRefused(link.sendRequest(), 1, 0, 0));
  }

  // Guards against an answer that terminates the borrower, passes on an invalid number
  // or ends the connection.
  void TheBorrowerRefusesMalformedAnswers()
  {
    RawAnswers answers;
    RawServer server([&] { return kj::heap<RawPeer>(&answers); });
    Await("server", [&] { return Open(server.mAddress, "0").has_value(); });
    CPPUNIT_ASSERT(!Open(server.mAddress, "5"));
    CPPUNIT_ASSERT(!Open(server.mAddress, "255"));
    auto malform = [](auto aTo, int aCase) {
      switch (aCase) {
        case 0:
          aTo.initReplies(1)[0].setCode(16);
          return;
        case 1:
          aTo.initReplies(1)[0].setTransaction(3);
          return;
        case 2:
          aTo.initReplies(65);
          return;
        default:
          aTo.initReplies(1)[0].initRows(1).init(0, (1 << 20) + 1);
          return;
      }
    };
    for (int n = 0; n < 4; ++n) {
      answers.mReplies.Set([&](auto aTo) { malform(aTo, n); });
      auto link = Open(server.mAddress, "0")->mLink;
      Send(*link);
      AssertLostOnce();
      answers.mOffer.Set([&](auto aTo) { malform(aTo, n); });
      CPPUNIT_ASSERT(!Open(server.mAddress, "0", kPatience, { {} }));
    }
    auto link = Open(server.mAddress, "0")->mLink;
    // What the peer would refuse is not sent.
    Send(*link, std::vector<ConnectionCommand>(65));
    AssertLostOnce();
    answers.mReplies.Set([](auto aTo) { aTo.initReplies(1); });
    AssertWorks(*link);
  }

  Home mHome;
  test::NoPeerHandler mNoHandler;
  std::string mAddress;
  std::unique_ptr<CapnpPeers> mHomePeers;
  std::unique_ptr<CapnpPeers> mPeers;
  Slot<LinkReplies> mReplies;
};

CPPUNIT_TEST_SUITE_REGISTRATION(BorrowedLinkTest);
