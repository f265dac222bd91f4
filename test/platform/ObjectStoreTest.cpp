#include "ObjectStore.h"
#include "Decode.h"
#include "HttpServer.h"
#include "SettingsFile.h"
#include "sesameway/DrainPlan.h"
#include "sesameway/StoreRevision.h"

#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <deque>
#include <thread>

using namespace sesameway;
using namespace sesameway::platform;

namespace {

using boost::asio::ip::tcp;

// A fake store on the loopback interface. It answers each request with the next of the
// prepared answers and records the request line.
class FakeStoreServer
{
public:
  explicit FakeStoreServer(proxy::Loop& aLoop)
    : mAcceptor(aLoop.Io(), tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0))
  {
    Accept();
  }

  std::string Address() const
  {
    return "127.0.0.1:" + std::to_string(mAcceptor.local_endpoint().port());
  }
  void Stop() { mAcceptor.close(); }

  // An empty string means that the request is never answered.
  std::deque<std::string> mAnswers;
  std::vector<std::string> mRequests;
  int mConnections = 0;

private:
  struct Connection
  {
    explicit Connection(tcp::socket aSocket)
      : mSocket(std::move(aSocket))
    {
    }
    tcp::socket mSocket;
    std::string mIn;
    std::string mOut;
  };

  void Accept()
  {
    mAcceptor.async_accept([this](auto aError, tcp::socket aSocket) {
      if (aError) {
        return;
      }
      ++mConnections;
      Read(std::make_shared<Connection>(std::move(aSocket)));
      Accept();
    });
  }

  void Read(const std::shared_ptr<Connection>& aConnection)
  {
    boost::asio::async_read_until(
      aConnection->mSocket,
      boost::asio::dynamic_buffer(aConnection->mIn),
      "\r\n\r\n",
      [this, aConnection](auto aError, std::size_t aBytes) {
        if (aError || mAnswers.empty()) {
          return;
        }
        auto line = aConnection->mIn.substr(0, aConnection->mIn.find(" HTTP"));
        mRequests.push_back(line);
        aConnection->mIn.erase(0, aBytes);
        aConnection->mIn.clear();
        auto body = mAnswers.front();
        mAnswers.pop_front();
        if (body.empty()) {
          return;
        }
        aConnection->mOut = body;
        boost::asio::async_write(aConnection->mSocket,
                                 boost::asio::buffer(aConnection->mOut),
                                 [this, aConnection](auto aFailure, std::size_t) {
                                   if (!aFailure) {
                                     Read(aConnection);
                                   }
                                 });
      });
  }

  tcp::acceptor mAcceptor;
};

// Responds with the store's generation, unless it is 0.
std::string MakeHttpResponse(int aStatus, const std::string& aBody, int aGeneration = 0)
{
  auto header = aGeneration == 0 ? "" : "\r\nStore-Era: " + std::to_string(aGeneration);
  return "HTTP/1.1 " + std::to_string(aStatus) + " X" + header +
         "\r\nContent-Type: application/json\r\nContent-Length: " +
         std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

std::string MakeObjectText(const std::string& aName, int aRevision)
{
  return R"({"meta":{"name":")" + aName + R"(","rev":)" + std::to_string(aRevision) +
         R"(},"spec":"body","status":null})";
}

} // namespace

class ObjectStoreTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ObjectStoreTest);
  CPPUNIT_TEST(ReadsAllPagesOfAList);
  CPPUNIT_TEST(AListingThatCanNotGoOnFails);
  CPPUNIT_TEST(MembersOfAnotherTypeEndNoProcess);
  CPPUNIT_TEST(ADeeplyNestedEntryEndsNoProcess);
  CPPUNIT_TEST(NumbersThatDoNotFitAreBounded);
  CPPUNIT_TEST(TheNumberOfSynchronousReplicasIsRead);
  CPPUNIT_TEST(AnOddEntryHidesNoOtherInAListing);
  CPPUNIT_TEST(AnOddEntryHidesNoOtherInAWatch);
  CPPUNIT_TEST(AnOddEntryIsReadAloneWithoutABody);
  CPPUNIT_TEST(APageOfOddEntriesOnlyIsPassed);
  CPPUNIT_TEST(AnOddEntryNamesNoDatabase);
  CPPUNIT_TEST(CreatesAndReplacesOnCondition);
  CPPUNIT_TEST(AConflictReturnsTheCurrentObject);
  CPPUNIT_TEST(AnErrorStatusIsNoAnswer);
  CPPUNIT_TEST(ALateAnswerClosesTheConnection);
  CPPUNIT_TEST(FollowsChanges);
  CPPUNIT_TEST(NoticesThatTheHistoryIsGone);
  CPPUNIT_TEST(InvalidBodyIsNoAnswer);
  CPPUNIT_TEST(RevisionsOfALaterGenerationAreNewer);
  CPPUNIT_TEST(AWatchFromAnEarlierGenerationEnds);
  CPPUNIT_TEST(AWriteThatHitARevisionGivenOutAgainIsNoAnswer);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    mLoop = std::make_unique<proxy::Loop>();
    mServer = std::make_unique<FakeStoreServer>(*mLoop);
    mStore = std::make_shared<ObjectStore>(*mLoop, mServer->Address());
  }
  void tearDown() override
  {
    mStore.reset();
    mServer.reset();
    mLoop.reset();
  }

private:
  // Runs the event loop until the call has completed.
  template<typename Result>
  std::optional<Result> Wait(
    const std::function<void(std::function<void(std::optional<Result>)>)>& aCall)
  {
    std::optional<Result> result;
    aCall([&](std::optional<Result> aResult) {
      result = std::move(aResult);
      mLoop->Stop();
    });
    mLoop->Io().restart();
    mLoop->Run();
    return result;
  }

  static TimePoint Soon() { return Clock::now() + seconds(5); }

  std::optional<PutResult> Put(std::uint64_t aExpected)
  {
    return Wait<PutResult>([&](auto aDone) {
      mStore->Put("sesameway/a", "body", aExpected, false, Soon(), aDone);
    });
  }

  void RevisionsOfALaterGenerationAreNewer()
  {
    auto body =
      R"({"items":[)" + MakeObjectText("a", 3) + R"(],"hasMore":false,"currentRev":9})";
    mServer->mAnswers = { MakeHttpResponse(200, body),
                          MakeHttpResponse(200, body, 2),
                          MakeHttpResponse(200, MakeObjectText("a", 4), 2) };
    auto list = [&](auto aDone) { mStore->ListKind("servers", Soon(), aDone); };
    auto former = Wait<Listing>(list);
    auto later = Wait<Listing>(list);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 9 }, former->mRevision);
    CPPUNIT_ASSERT_EQUAL(MakeRevision(2, 9), later->mRevision);
    CPPUNIT_ASSERT_EQUAL(MakeRevision(2, 3), later->mObjects.front().mVersion);
    // The store is told the revision as it numbers it.
    auto result = Put(MakeRevision(2, 3));
    CPPUNIT_ASSERT_EQUAL(MakeRevision(2, 4), result->mObject.mRevision);
  }

  // Guards against changes that are missed: the number of a lost revision has been
  // given out again, so the store answers a watch from it.
  void AWatchFromAnEarlierGenerationEnds()
  {
    auto body = R"({"events":[],"currentRev":12})";
    mServer->mAnswers = { MakeHttpResponse(200, body, 1),
                          MakeHttpResponse(200, body, 1) };
    auto watch = [&](std::uint64_t aRevision) {
      return Wait<Changes>(
        [&](auto aDone) { mStore->ChangesAfter("servers", aRevision, Soon(), aDone); });
    };
    CPPUNIT_ASSERT(watch(9)->mIsHistoryGone);
    auto changes = watch(MakeRevision(1, 9));
    CPPUNIT_ASSERT(!changes->mIsHistoryGone);
    CPPUNIT_ASSERT_EQUAL(MakeRevision(1, 12), changes->mRevision);
    CPPUNIT_ASSERT_EQUAL(std::string("GET /objects/servers?watch=9"),
                         mServer->mRequests.back().substr(0, 28));
  }

  void AWriteThatHitARevisionGivenOutAgainIsNoAnswer()
  {
    mServer->mAnswers = { MakeHttpResponse(200, MakeObjectText("a", 6), 1),
                          MakeHttpResponse(409, MakeObjectText("a", 6), 1) };
    CPPUNIT_ASSERT(!Put(5));
    auto conflict = Put(5);
    CPPUNIT_ASSERT(conflict && !conflict->mApplied);
    CPPUNIT_ASSERT_EQUAL(MakeRevision(1, 6), conflict->mObject.mRevision);
  }

  void ReadsAllPagesOfAList()
  {
    mServer->mAnswers = { MakeHttpResponse(200,
                                           R"({"items":[)" + MakeObjectText("a", 3) +
                                             R"(],"hasMore":true,"currentRev":9})"),
                          MakeHttpResponse(200,
                                           R"({"items":[)" + MakeObjectText("b", 4) +
                                             R"(],"hasMore":false,"currentRev":11})") };
    auto listing =
      Wait<Listing>([&](auto aDone) { mStore->ListKind("servers", Soon(), aDone); });
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, listing->mObjects.size());
    CPPUNIT_ASSERT_EQUAL(std::string("servers/b"), listing->mObjects[1].mName);
    // The listing has the revision of the first page, so that changes made while the
    // later pages were read are received again from the change feed.
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 9 }, listing->mRevision);
    CPPUNIT_ASSERT_EQUAL(std::string("GET /objects/servers?after=a"),
                         mServer->mRequests.back());
    CPPUNIT_ASSERT_EQUAL(1, mServer->mConnections);
  }

  // An object that a listing lacks counts as removed, so that databases in use would be
  // taken for gone.
  void AListingThatCanNotGoOnFails()
  {
    mServer->mAnswers = { MakeHttpResponse(
      200, R"({"items":[{"meta":7},3],"hasMore":true,"currentRev":9})") };
    auto listing =
      Wait<Listing>([&](auto aDone) { mStore->ListKind("servers", Soon(), aDone); });
    CPPUNIT_ASSERT(!listing);
  }

  void MembersOfAnotherTypeEndNoProcess()
  {
    mServer->mAnswers = { MakeHttpResponse(200,
                                           R"({"items":[)" + MakeObjectText("a", 3) +
                                             R"(],"hasMore":"no","currentRev":9})") };
    auto listing =
      Wait<Listing>([&](auto aDone) { mStore->ListKind("servers", Soon(), aDone); });
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, listing->mObjects.size());
    mServer->mAnswers = { MakeHttpResponse(200,
                                           R"({"events":[3,{"object":)" +
                                             MakeObjectText("a", 4) +
                                             R"(,"deleted":"no"}],"currentRev":9})") };
    auto changes = Wait<Changes>(
      [&](auto aDone) { mStore->ChangesAfter("servers", 3, Soon(), aDone); });
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, changes->mObjects.size());
    CPPUNIT_ASSERT(!changes->mObjects.front().mDeleted);
  }

  // Guards against one entry of a database that ends every daemon by its stack.
  void ADeeplyNestedEntryEndsNoProcess()
  {
    constexpr std::size_t kDepth = 400'000;
    auto spec = std::string(kDepth, '[') + std::string(kDepth, ']');
    auto body = R"({"items":[{"meta":{"name":"a","rev":3},"spec":)" + spec + "}," +
                MakeObjectText("b", 4) + R"(],"hasMore":false,"currentRev":9})";
    mServer->mAnswers = { MakeHttpResponse(200, body) };
    auto listing =
      Wait<Listing>([&](auto aDone) { mStore->ListKind("servers", Soon(), aDone); });
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, listing->mObjects.size());
    const auto& nested = listing->mObjects.front();
    CPPUNIT_ASSERT(!DecodeDatabase(nested.mName, nested.mBody));
  }

  // Guards against a long time that becomes a short one, or none.
  void NumbersThatDoNotFitAreBounded()
  {
    auto database = DecodeDatabase(
      "a", R"({"service":"g","addr":"10.0.0.1:1","state":"ready","slots":1e300})");
    CPPUNIT_ASSERT_EQUAL(std::numeric_limits<std::uint32_t>::max(), database->mSlots);
    auto catalogue = DecodeConfiguration(
      R"({"version":1e300,"routes":[{"host":"r","timeoutMs":1e300}]})", 1);
    auto timeout = microseconds(catalogue->mRoutes.at("r").mStatementTimeoutUs);
    CPPUNIT_ASSERT(Clock::now() + timeout > Clock::now() + std::chrono::days(100));
  }

  // Guards against a coordinator that doesn't know that commits wait for replicas
  // (review/3).
  void TheNumberOfSynchronousReplicasIsRead()
  {
    auto catalogue = DecodeConfiguration(
      R"({"version":1,"services":[{"name":"s","syncReplicas":1},{"name":"t"}]})", 1);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{ 1 }, catalogue->FindGroup("s")->mSyncReplicas);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{ 0 }, catalogue->FindGroup("t")->mSyncReplicas);
  }

  static constexpr const char* kGoodEntry =
    R"({"service":"g","addr":"10.0.0.1:8080","zone":"z","slots":3,"state":"ready"})";

  // Entries that another writer may have left: what the store returns for `spec`.
  static std::vector<std::string> OddEntries()
  {
    auto nested = std::string(400'000, '[') + std::string(400'000, ']');
    return {
      R"({"service":"g","addr":"10.0.0.1:8080","state":"ready","slots":1e999})",
      R"({"service":"g","addr":"10.0.0.1:8080","state":"ready","sequence":-1e999})",
      R"({"service":"\udcff","addr":"10.0.0.1:8080","state":"ready"})",
      "{\"service\":\"\xff\",\"addr\":\"10.0.0.1:8080\",\"state\":\"ready\"}",
      R"({"service":"g","addr":"10.0.0.1:8080","state":"ready","zone":)" + nested + "}",
      nested,
      R"({"service":"g","addr":"10.0.0.1:65536","state":"ready"})",
      R"({"service":"g","addr":"10.0.0.1:-1","state":"ready"})",
      R"({"service":"g","addr":"10.0.0.1:8080x","state":"ready"})",
      R"({"service":"g","addr":"10.0.0.1:99999999999999999999","state":"ready"})",
      R"({"service":"g","addr":"10.0.0.1:8080","state":"ready","sequence":1e300})",
      "tru",
    };
  }

  static std::string MakeEntryText(const std::string& aName, const std::string& aSpec)
  {
    return R"({"meta":{"name":")" + aName + R"(","rev":3},"spec":)" + aSpec +
           R"(,"status":null})";
  }

  static bool IsDatabase(const Object& aObject)
  {
    return DecodeDatabase(aObject.mName, aObject.mBody).has_value();
  }

  // Guards against one odd entry that keeps every daemon from starting (review/4): the
  // listing was refused as a whole.
  void AnOddEntryHidesNoOtherInAListing()
  {
    for (const auto& it : OddEntries()) {
      auto body = R"({"items":[)" + MakeEntryText("a", kGoodEntry) + ',' +
                  MakeEntryText("odd", it) + ',' + MakeEntryText("z", kGoodEntry) +
                  R"(],"hasMore":false,"currentRev":9})";
      mServer->mAnswers = { MakeHttpResponse(200, body) };
      auto listing =
        Wait<Listing>([&](auto aDone) { mStore->ListKind("servers", Soon(), aDone); });
      auto text = it.substr(0, 80);
      CPPUNIT_ASSERT_MESSAGE(text, listing.has_value());
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 9 }, listing->mRevision);
      AssertNeighbours(listing->mObjects, text);
    }
  }

  // Both good entries are there, and the one between them, if it is, is no database.
  static void AssertNeighbours(const std::vector<Object>& aObjects,
                               const std::string& aOdd)
  {
    CPPUNIT_ASSERT_MESSAGE(aOdd, aObjects.size() >= 2);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(
      aOdd, std::string("servers/a"), aObjects.front().mName);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(aOdd, std::string("servers/z"), aObjects.back().mName);
    auto databases = std::count_if(aObjects.begin(), aObjects.end(), IsDatabase);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(aOdd, std::ptrdiff_t{ 2 }, databases);
  }

  // Guards against daemons that stop following the store at an odd entry: the watch was
  // refused as a whole and sent again from the same revision.
  void AnOddEntryHidesNoOtherInAWatch()
  {
    auto event = [](const std::string& aObject) {
      return R"({"deleted":false,"object":)" + aObject + '}';
    };
    for (const auto& it : OddEntries()) {
      auto body = R"({"events":[)" + event(MakeEntryText("a", kGoodEntry)) + ',' +
                  event(MakeEntryText("odd", it)) + ',' +
                  event(MakeEntryText("z", kGoodEntry)) + R"(],"currentRev":9})";
      mServer->mAnswers = { MakeHttpResponse(200, body) };
      auto changes = Wait<Changes>(
        [&](auto aDone) { mStore->ChangesAfter("servers", 3, Soon(), aDone); });
      auto text = it.substr(0, 80);
      CPPUNIT_ASSERT_MESSAGE(text, changes.has_value());
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 9 }, changes->mRevision);
      AssertNeighbours(changes->mObjects, text);
    }
  }

  void AnOddEntryIsReadAloneWithoutABody()
  {
    for (const auto& it : OddEntries()) {
      mServer->mAnswers = { MakeHttpResponse(200, MakeEntryText("odd", it)) };
      auto object =
        Wait<Object>([&](auto aDone) { mStore->Get("servers/odd", Soon(), aDone); });
      CPPUNIT_ASSERT_MESSAGE(it.substr(0, 80), !object || !IsDatabase(*object));
    }
  }

  // Guards against a listing that can't go on behind a page without a good entry.
  void APageOfOddEntriesOnlyIsPassed()
  {
    mServer->mAnswers = {
      MakeHttpResponse(200,
                       R"({"items":[)" + MakeEntryText("odd&1", "1e999") + ',' +
                         MakeEntryText("odd 2", "1e999") +
                         R"(],"hasMore":true,"currentRev":9})"),
      MakeHttpResponse(200,
                       R"({"items":[)" + MakeEntryText("z", kGoodEntry) +
                         R"(],"hasMore":false,"currentRev":9})")
    };
    auto listing =
      Wait<Listing>([&](auto aDone) { mStore->ListKind("servers", Soon(), aDone); });
    CPPUNIT_ASSERT_EQUAL(std::string("GET /objects/servers?after=odd%202"),
                         mServer->mRequests.back());
    CPPUNIT_ASSERT_EQUAL(std::string("servers/z"), listing->mObjects.back().mName);
  }

  // Guards against a database that is never reached but counted, and against counts
  // that make all later entries of the database older ones.
  void AnOddEntryNamesNoDatabase()
  {
    CPPUNIT_ASSERT(DecodeDatabase("a", kGoodEntry));
    for (const auto& it : OddEntries()) {
      CPPUNIT_ASSERT_MESSAGE(it.substr(0, 80), !DecodeDatabase("a", it));
    }
    auto born = R"({"service":"g","addr":"10.0.0.1:1","state":"ready","born":1e300})";
    CPPUNIT_ASSERT(!DecodeDatabase("a", born));
  }

  void CreatesAndReplacesOnCondition()
  {
    mServer->mAnswers = { MakeHttpResponse(201, MakeObjectText("a", 5)) };
    CPPUNIT_ASSERT(Put(0)->mApplied);
    CPPUNIT_ASSERT_EQUAL(std::string("POST /objects/sesameway"),
                         mServer->mRequests.back());
    mServer->mAnswers = { MakeHttpResponse(200, MakeObjectText("a", 6)) };
    auto result = Put(5);
    CPPUNIT_ASSERT_EQUAL(std::string("PUT /objects/sesameway/a"),
                         mServer->mRequests.back());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 6 }, result->mObject.mVersion);
  }

  void AConflictReturnsTheCurrentObject()
  {
    mServer->mAnswers = { MakeHttpResponse(409, MakeObjectText("a", 8)) };
    auto result = Put(5);
    CPPUNIT_ASSERT(result && !result->mApplied);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 8 }, result->mObject.mRevision);
  }

  void AnErrorStatusIsNoAnswer()
  {
    mServer->mAnswers = { MakeHttpResponse(503, ""), MakeHttpResponse(429, "") };
    CPPUNIT_ASSERT(!Put(5));
    CPPUNIT_ASSERT(!Put(5));
  }

  void ALateAnswerClosesTheConnection()
  {
    mServer->mAnswers = { "" };
    auto late = Wait<PutResult>([&](auto aDone) {
      mStore->Put(
        "sesameway/a", "body", 5, false, Clock::now() + milliseconds(50), aDone);
    });
    CPPUNIT_ASSERT(!late);
    mServer->mAnswers = { MakeHttpResponse(200, MakeObjectText("a", 6)) };
    CPPUNIT_ASSERT(Put(5)->mApplied);
    CPPUNIT_ASSERT_EQUAL(2, mServer->mConnections);
  }

  std::optional<Changes> Follow()
  {
    return Wait<Changes>([&](auto aDone) {
      mStore->ChangesAfter("servers", 4, Clock::now() + milliseconds(100), aDone);
    });
  }

  void FollowsChanges()
  {
    mServer->mAnswers = { MakeHttpResponse(
      200,
      R"({"events":[{"deleted":false,"object":)" + MakeObjectText("a", 5) +
        R"(},{"deleted":true,"object":)" + MakeObjectText("b", 2) +
        R"(}],"currentRev":7})") };
    auto changes = Follow();
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, changes->mObjects.size());
    CPPUNIT_ASSERT(changes->mObjects[1].mDeleted);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 7 }, changes->mRevision);
  }

  void NoticesThatTheHistoryIsGone()
  {
    mServer->mAnswers = { MakeHttpResponse(410, "") };
    CPPUNIT_ASSERT(Follow()->mIsHistoryGone);
  }

  void InvalidBodyIsNoAnswer()
  {
    mServer->mAnswers = { MakeHttpResponse(200, "{"),
                          MakeHttpResponse(200, "[]"),
                          MakeHttpResponse(200, R"({"events":3})") };
    CPPUNIT_ASSERT(!Follow());
    CPPUNIT_ASSERT(!Follow());
    CPPUNIT_ASSERT(!Follow());
  }

  std::unique_ptr<proxy::Loop> mLoop;
  std::unique_ptr<FakeStoreServer> mServer;
  std::shared_ptr<ObjectStore> mStore;
};

class DecodeTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(DecodeTest);
  CPPUNIT_TEST(ReadsAConfiguration);
  CPPUNIT_TEST(ARouteToPrimariesHasNoMaxAge);
  CPPUNIT_TEST(ReadsADatabase);
  CPPUNIT_TEST(RejectsEntriesThatNameNoDatabase);
  CPPUNIT_TEST(ReadsSettings);
  CPPUNIT_TEST(TransactionsHaveHalfOfGraceS);
  CPPUNIT_TEST(ReadsSpeedFromSettings);
  CPPUNIT_TEST(ReportsAllErrorsInSettings);
  CPPUNIT_TEST(EvacuationsAreHandledOnlyIfTheSettingsSaySo);
  CPPUNIT_TEST(RejectsMalformedEvacuations);
  CPPUNIT_TEST(ReadsAllowedRegions);
  CPPUNIT_TEST(ReadsColdTimesAndRates);
  CPPUNIT_TEST_SUITE_END();

  void ReadsAConfiguration()
  {
    auto read = DecodeConfiguration(
      R"({"version":7,"routes":[{"name":"r","host":"lepu","type":"bounded","timeoutMs":2000,
          "prio":2,"service":"s","maxStaleMs":1500,"public":false}],
          "services":[{"name":"s","maxConns":22}],"limits":{"txIdleMs":3000},
          "tenants":[{"name":"acme","apiKeys":["k1"],"perS":12.5,"burst":20}]})",
      19);
    const auto& catalogue = *read;
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 7 }, read->mVersion);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 19 }, catalogue.mRevision);
    const auto* route = catalogue.FindRoute("lepu");
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 1'500'000 }, route->mMaxAgeUs);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{ 22 }, catalogue.FindGroup("s")->mConnections);
    CPPUNIT_ASSERT_EQUAL(12.5, catalogue.FindOrganisation("acme")->mRate);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 3'000'000 }, catalogue.mIdleTransactionUs);
    CPPUNIT_ASSERT(!DecodeConfiguration("[]", 1));
  }

  void ARouteToPrimariesHasNoMaxAge()
  {
    auto read = DecodeConfiguration(
      R"({"version":1,"routes":[{"host":"a","type":"primary","maxStaleMs":900}]})", 1);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 0 }, read->FindRoute("a")->mMaxAgeUs);
  }

  void ReadsADatabase()
  {
    auto read =
      DecodeDatabase("i-1",
                     R"({"service":"s","addr":"10.0.0.1:80","zone":"z","slots":3,
                                   "state":"drain","dbRole":"replica","sequence":4,"born":9})");
    CPPUNIT_ASSERT(read && read->mIsLeaving && read->mRole == DatabaseRole::Replica);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 9 }, read->mStartedAtMs);
  }

  void RejectsEntriesThatNameNoDatabase()
  {
    for (const char* it : { "",
                            "[1]",
                            "{}",
                            R"({"service":"s","addr":"10.0.0.1:80","state":"resting"})",
                            R"({"service":4,"addr":"10.0.0.1:80","state":"ready"})",
                            R"({"service":"s","state":"ready"})" }) {
      CPPUNIT_ASSERT_MESSAGE(it, !DecodeDatabase("i-1", it));
    }
  }

  void ReadsSettings()
  {
    auto settings = ReadSettings(
      R"({"nodeName":"f1","zone":"z","ip":"10.0.0.1","zones":{"z":"r"},
          "listen":{"front":"10.0.0.1:1","ready":"10.0.0.1:2"},"portRange":[7560,7575],
          "seedNodes":["10.0.0.2:3"],"parameters":{"graceS":6},
          "platform":{"addr":"10.0.0.9:4"},"cloud":{"addr":"10.0.0.9:5"}})");
    CPPUNIT_ASSERT(settings.has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.1:7560"), settings->mPeerAddress);
    CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.1:7561"), settings->mMetricsAddress);
    CPPUNIT_ASSERT(settings->mGrace == seconds(6));
  }

  // Guards against transactions that a stopping daemon rolls back before half of graceS
  // (review/10).
  void TransactionsHaveHalfOfGraceS()
  {
    constexpr TimePoint kStart{ seconds(1000) };
    for (int graceMs : { 500, 1000, 3000, 6000, 7500, 30'000 }) {
      auto grace = milliseconds(graceMs);
      auto settings = ReadSettings(
        R"({"nodeName":"f1","zone":"z","ip":"10.0.0.1","zones":{"z":"r"},
            "listen":{"front":"10.0.0.1:1","ready":"10.0.0.1:2"},"portRange":[7560,7575],
            "platform":{"addr":"10.0.0.9:4"},"cloud":{"addr":"10.0.0.9:5"},
            "parameters":{"graceS":)" +
        std::to_string(graceMs / 1000.0) + "}}");
      CPPUNIT_ASSERT(settings.has_value());
      DrainPlan plan(kStart, kStart + settings->mGrace);
      CPPUNIT_ASSERT(!plan.EndsSessions(kStart + grace / 2 - milliseconds(1)));
      CPPUNIT_ASSERT(plan.EndsSessions(kStart + grace / 2));
      CPPUNIT_ASSERT(plan.IsOver(true, kStart + grace - milliseconds(25)));
    }
  }

  // Guards against a mistaken limit that stops the daemon, or makes it home of all
  // databases or of none.
  void ReadsSpeedFromSettings()
  {
    auto speedWith = [](const std::string& aLimits) {
      return ReadSettings(
               R"({"nodeName":"f1","zone":"z","ip":"10.0.0.1","zones":{"z":"r"},
                   "listen":{"front":"10.0.0.1:1","ready":"10.0.0.1:2"},
                   "portRange":[7560,7575],"parameters":{"graceS":6},
                   "platform":{"addr":"10.0.0.9:4"},"cloud":{"addr":"10.0.0.9:5"},
                   "limits":)" +
               aLimits + "}")
        ->mSpeed;
    };
    CPPUNIT_ASSERT_EQUAL(0.75, speedWith(R"({"cpuShare":0.5,"vcpus":1.5})"));
    CPPUNIT_ASSERT_EQUAL(64.0, speedWith(R"({"cpuShare":64,"vcpus":1})"));
    CPPUNIT_ASSERT_EQUAL(0.01, speedWith(R"({"cpuShare":0.01,"vcpus":1})"));
    for (const auto* it : { "{}",
                            "null",
                            "7",
                            R"({"cpuShare":0.5})",
                            R"({"vcpus":2})",
                            R"({"cpuShare":"0.5","vcpus":2})",
                            R"({"cpuShare":65,"vcpus":1})",
                            R"({"cpuShare":0.009,"vcpus":1})",
                            R"({"cpuShare":-1,"vcpus":-1})" }) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(it, 0.25, speedWith(it));
    }
  }

  static std::string SettingsWith(const std::string& aParameters)
  {
    return R"({"nodeName":"f1","zone":"z","ip":"10.0.0.1","portRange":[7560,7575],
               "listen":{"front":"10.0.0.1:1","ready":"10.0.0.1:2"},
               "platform":{"addr":"10.0.0.9:4"},"cloud":{"addr":"10.0.0.9:5"},
               "parameters":{"graceS":6)" +
           aParameters + "}}";
  }

  // Guards against calls to the store for a kind that nobody uses, and against a daemon
  // that does not start because of an odd number.
  void EvacuationsAreHandledOnlyIfTheSettingsSaySo()
  {
    CPPUNIT_ASSERT(!ReadSettings(SettingsWith(""))->mEvacuateWithin);
    CPPUNIT_ASSERT(!ReadSettings(SettingsWith(R"(,"evacuateMs":-1)"))->mEvacuateWithin);
    CPPUNIT_ASSERT(
      !ReadSettings(SettingsWith(R"(,"evacuateMs":"5")"))->mEvacuateWithin);
    auto settings = ReadSettings(SettingsWith(R"(,"evacuateMs":5000)"));
    CPPUNIT_ASSERT(settings->mEvacuateWithin == Duration(seconds(5)));
    auto odd = ReadSettings(SettingsWith(R"(,"coldOver":-1,"coldSlack":7)"));
    CPPUNIT_ASSERT_EQUAL(1.5, odd->mColdOver);
    CPPUNIT_ASSERT_EQUAL(7.0, odd->mColdSlack);
    CPPUNIT_ASSERT_EQUAL(std::string("parameters.coldOver"), odd->mIgnoredKeys.at(0));
  }

  // Guards against an object of another kind of content that takes a zone out of use.
  void RejectsMalformedEvacuations()
  {
    CPPUNIT_ASSERT_EQUAL(std::string("andina-bog"),
                         *DecodeEvacuation("andina-bog", "{}"));
    for (const char* it : { "", "a b", "a/b", "a\n" }) {
      CPPUNIT_ASSERT_MESSAGE(it, !DecodeEvacuation(it, "{}"));
    }
    for (const char* it : { "", "[]", "{", "7", "null" }) {
      CPPUNIT_ASSERT_MESSAGE(it, !DecodeEvacuation("z", it));
    }
  }

  // Guards against a restriction that is lost in reading, and against one odd value
  // that takes the rest of the configuration out of force.
  void ReadsAllowedRegions()
  {
    const char* body =
      R"({"version":1,"routes":[{"host":"a","allowedRegions":["r1","r2"]},
          {"host":"b","allowedRegions":[]},{"host":"c","allowedRegions":7},
          {"host":"d","allowedRegions":[7,"r2"]}],
          "tenants":[{"name":"acme","allowedRegions":["r2"]}]})";
    InputIssues issues;
    auto read = DecodeConfiguration(body, 1, ZoneRules::On, &issues);
    auto of = [&](const char* aRoute) {
      return read->FindRoute(aRoute)->mAllowedRegions;
    };
    CPPUNIT_ASSERT(of("a") == AllowedRegions({ "r1", "r2" }));
    CPPUNIT_ASSERT(of("b").AllowsAll());
    CPPUNIT_ASSERT(!of("c").AllowsAll() && !of("c").Allows("r1"));
    CPPUNIT_ASSERT(of("d") == AllowedRegions({ "r2" }));
    CPPUNIT_ASSERT(read->FindOrganisation("acme")->mAllowedRegions ==
                   AllowedRegions({ "r2" }));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, issues.size());
    CPPUNIT_ASSERT_EQUAL(std::string("routes.c.allowedRegions"), issues.front().mKey);
    auto off = DecodeConfiguration(body, 1);
    CPPUNIT_ASSERT(off->FindRoute("a")->mAllowedRegions.AllowsAll());
  }

  // Guards against a negative time or rate that becomes a huge one, and against an odd
  // number that takes a database out of use.
  void ReadsColdTimesAndRates()
  {
    auto read = [](const std::string& aCold, InputIssues& aIssues) {
      return DecodeDatabase("i-1",
                            R"({"service":"s","addr":"10.0.0.1:1","state":"ready")" +
                              aCold + "}",
                            ZoneRules::On,
                            &aIssues)
        ->mColdMs;
    };
    InputIssues issues;
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 4000 }, read(R"(,"coldMs":4000)", issues));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 0 }, read("", issues));
    CPPUNIT_ASSERT(issues.empty());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 0 }, read(R"(,"coldMs":-4)", issues));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 0 }, read(R"(,"coldMs":"4")", issues));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, issues.size());
    CPPUNIT_ASSERT(read(R"(,"coldMs":1e300)", issues) > 0);
    auto catalogue = DecodeConfiguration(
      R"({"version":1,"services":[{"name":"a","coldPerS":20},{"name":"b","coldPerS":-1}]})",
      1,
      ZoneRules::On,
      &issues);
    CPPUNIT_ASSERT_EQUAL(20.0, catalogue->FindGroup("a")->mColdPerS);
    CPPUNIT_ASSERT_EQUAL(0.0, catalogue->FindGroup("b")->mColdPerS);
    CPPUNIT_ASSERT_EQUAL(std::string("services.b.coldPerS"), issues.back().mKey);
  }

  void ReportsAllErrorsInSettings()
  {
    auto settings = ReadSettings(R"({"nodeName":"f1","listen":{"front":"nowhere"}})");
    CPPUNIT_ASSERT(!settings);
    auto isNamed = [&](const std::string& aKey) {
      return std::any_of(settings.error().begin(),
                         settings.error().end(),
                         [&](const auto& aIt) { return aIt.mKey == aKey; });
    };
    CPPUNIT_ASSERT(isNamed("zone") && isNamed("listen.front") &&
                   isNamed("platform.addr"));
    CPPUNIT_ASSERT(!ReadSettings("{"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ObjectStoreTest);
CPPUNIT_TEST_SUITE_REGISTRATION(DecodeTest);
