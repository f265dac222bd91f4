#include "daemon/GroupHome.h"

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <cstdio>
#include <future>
#include <random>
#include <thread>

using namespace sesameway;
using namespace sesameway::daemon;

namespace {

// State that all fake databases of a test share: counts of what they observed, and the
// end of their logs.
struct FakeDatabaseState
{
  std::atomic<int> mTransactions = 0;
  // Commands that violated the isolation of transactions on a connection: they came
  // from another session, or outside of the transaction to which they belong.
  std::atomic<int> mMixed = 0;
  // Commands on a connection that had lost a reply.
  std::atomic<int> mUsedAfterLoss = 0;
  std::atomic<int> mOpen = 0;
  // Position of the last entry in the log of every database.
  std::atomic<std::uint64_t> mHead = 10;
};

// A fake connection that detects commands from a session other than the one whose
// transaction is open on it. It loses one reply in eight at random.
class FakeConnection : public database::Connection
{
public:
  FakeConnection(Workers& aWorkers, FakeDatabaseState& aState, std::uint64_t aSeed)
    : mWorkers(aWorkers)
    , mState(aState)
    , mRandom(aSeed)
  {
    ++mState.mOpen;
  }
  FakeConnection(const FakeConnection&) = delete;
  FakeConnection& operator=(const FakeConnection&) = delete;
  ~FakeConnection() override { --mState.mOpen; }

  void Send(DatabaseCommand aCommand, TimePoint, database::ReplyCallback aDone) override
  {
    mState.mUsedAfterLoss += mIsBroken ? 1 : 0;
    Check(aCommand);
    DatabaseReply reply;
    bool isLost = mRandom() % 8 == 0;
    mIsBroken = mIsBroken || isLost;
    if (!isLost) {
      reply.mStatus = ReplyStatus::Ok;
      reply.mPosition = { 1, 10 };
      for (const auto& it : aCommand.mOperations) {
        reply.mRows.push_back({ it.mKey, it.mValue });
      }
    }
    mWorkers.RunAt(Clock::now() + microseconds(mRandom() % 500),
                   [reply, done = std::move(aDone)] { done(reply); });
  }
  bool IsBroken() const override { return mIsBroken; }

private:
  void Check(const DatabaseCommand& aCommand)
  {
    switch (aCommand.mKind) {
      case StatementKind::Begin:
        mState.mMixed += mIsInTransaction ? 1 : 0;
        mIsInTransaction = true;
        mOwner.clear();
        return;
      case StatementKind::Commit:
      case StatementKind::Rollback:
        mState.mMixed += mIsInTransaction ? 0 : 1;
        mState.mTransactions += 1;
        mIsInTransaction = false;
        return;
      default:
        break;
    }
    const auto& owner = aCommand.mOperations.front().mKey;
    bool isOwn = owner.starts_with("t") && (mOwner.empty() || mOwner == owner);
    mState.mMixed += mIsInTransaction != owner.starts_with("t") ? 1 : 0;
    mState.mMixed += mIsInTransaction && !isOwn ? 1 : 0;
    mOwner = mIsInTransaction ? owner : std::string();
  }

  Workers& mWorkers;
  FakeDatabaseState& mState;
  std::mt19937_64 mRandom;
  std::atomic<bool> mIsBroken = false;
  bool mIsInTransaction = false;
  std::string mOwner;
};

class FakeDatabase : public database::Database
{
public:
  FakeDatabase(Workers& aWorkers, FakeDatabaseState& aState, bool aIsPrimary)
    : mWorkers(aWorkers)
    , mState(aState)
  {
    mStatus.mPrimary = aIsPrimary;
    mStatus.mGrantedTerm = 1;
  }
  void Connect(TimePoint, std::function<void(database::ConnectionPtr)> aDone) override
  {
    mWorkers.Post([this, done = std::move(aDone)] {
      done(std::make_shared<FakeConnection>(mWorkers, mState, ++mSeed));
    });
  }
  void Status(TimePoint, database::StatusCallback aDone) override
  {
    mWorkers.Post([this, done = std::move(aDone)] {
      auto status = mStatus;
      status.mHead = { 1, mState.mHead };
      done(status);
    });
  }
  std::shared_ptr<void> Watch(database::StatusCallback) override { return nullptr; }
  void Fence(std::uint64_t,
             const std::string&,
             TimePoint,
             database::FenceCallback aDone) override
  {
    aDone(std::nullopt);
  }
  void Promote(std::uint64_t, TimePoint, database::StatusCallback aDone) override
  {
    aDone(std::nullopt);
  }
  void Follow(std::uint64_t,
              const std::string&,
              TimePoint,
              database::StatusCallback aDone) override
  {
    aDone(std::nullopt);
  }

private:
  Workers& mWorkers;
  FakeDatabaseState& mState;
  DatabaseStatus mStatus;
  std::atomic<std::uint64_t> mSeed = 0;
};

GroupRequest Request(StatementKind aKind, const std::string& aKey)
{
  GroupRequest request;
  request.mGroup = "g";
  request.mOrganisation = "studio";
  request.mStatement.mRoute = "r";
  request.mStatement.mKind = aKind;
  request.mStatement.mDeadline = Clock::now() + seconds(5);
  if (aKind == StatementKind::Execute) {
    request.mStatement.mOperations.push_back({ OperationKind::Put, aKey, aKey });
  }
  return request;
}

// Makes an asynchronous call and waits for its answer.
template<typename Call>
Answer Wait(Call aCall)
{
  std::promise<Answer> promise;
  aCall([&promise](Answer aAnswer) { promise.set_value(std::move(aAnswer)); });
  return promise.get_future().get();
}

// Counts the rows of an answer that belong to other sessions.
int CountForeignRows(const Answer& aAnswer, const std::string& aKey)
{
  int foreign = 0;
  for (const auto& it : aAnswer.mRows) {
    foreign += it.mKey == aKey ? 0 : 1;
  }
  return foreign;
}

int RunTransaction(GroupHome& aHome, const std::string& aKey, std::uint64_t aChoice)
{
  peer::TransactionPtr transaction;
  Wait([&](auto aDone) {
    aHome.Begin(Request(StatementKind::Begin, aKey),
                [&transaction, aDone](Answer aAnswer, peer::TransactionPtr aBegun) {
                  transaction = std::move(aBegun);
                  aDone(std::move(aAnswer));
                });
  });
  int foreign = 0;
  if (!transaction) {
    return foreign;
  }
  for (std::uint64_t n = 0; n < aChoice % 4; ++n) {
    foreign += CountForeignRows(Wait([&](auto aDone) {
                                  transaction->Execute(
                                    Request(StatementKind::Execute, aKey), aDone);
                                }),
                                aKey);
  }
  // A third of the transactions are dropped without commit or rollback, as when their
  // session ends.
  if (aChoice % 3 != 0) {
    auto end = aChoice % 2 == 0 ? StatementKind::Commit : StatementKind::Rollback;
    Wait([&](auto aDone) { transaction->Execute(Request(end, aKey), aDone); });
  }
  return foreign;
}

} // namespace

// Runs sessions that share a few connections to a group, through a real GroupHome with
// fake databases.
class SessionIsolationTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(SessionIsolationTest);
  CPPUNIT_TEST(TransactionsOfSessionsNeverMix);
  CPPUNIT_TEST(RetiredHomeEndsItsStatements);
  CPPUNIT_TEST_SUITE_END();

  static GroupHomePtr MakeHome(Workers& aWorkers,
                               Metrics& aMetrics,
                               FakeDatabaseState& aState)
  {
    HomeContext context;
    context.mWorkers = &aWorkers;
    context.mMetrics = &aMetrics;
    context.mWeightOf = [](const std::string&) { return 1U; };
    context.mFactory = [&](const std::string& aName, const std::string&) {
      return std::make_shared<FakeDatabase>(aWorkers, aState, aName == "0");
    };
    Group group;
    group.mName = "g";
    for (const char* name : { "0", "1", "2" }) {
      group.mDatabases.push_back({ name, "z", "127.0.0.1:1" });
    }
    return std::make_shared<GroupHome>(context, group, 2);
  }

  // Guards against a write that never gets its answer: the home is retired, because the
  // homes of the group change, while the write has not yet reached a majority of the
  // databases.
  void RetiredHomeEndsItsStatements()
  {
    FakeDatabaseState state;
    state.mHead = 9;
    Workers workers(2);
    Metrics metrics;
    auto home = MakeHome(workers, metrics, state);
    home->Start();
    std::promise<Answer> promise;
    auto request = Request(StatementKind::Execute, "s");
    request.mStatement.mRequestId = "id";
    home->Execute(request, [&](Answer aAnswer) { promise.set_value(aAnswer); });
    auto answer = promise.get_future();
    CPPUNIT_ASSERT(answer.wait_for(milliseconds(300)) == std::future_status::timeout);
    home->Retire();
    CPPUNIT_ASSERT(answer.wait_for(milliseconds(100)) == std::future_status::timeout);
    state.mHead = 10;
    CPPUNIT_ASSERT(answer.wait_for(seconds(3)) == std::future_status::ready);
    CPPUNIT_ASSERT(answer.get().mOutcome == Outcome::Done);
  }

  void TransactionsOfSessionsNeverMix()
  {
    FakeDatabaseState state;
    std::atomic<int> foreign = 0;
    {
      Workers workers(4);
      Metrics metrics;
      auto home = MakeHome(workers, metrics, state);
      home->Start();
      std::vector<std::thread> sessions;
      for (int n = 0; n < 6; ++n) {
        sessions.emplace_back([&, n] {
          std::mt19937_64 random(n);
          for (int i = 0; i < 200; ++i) {
            auto name = std::to_string(n) + "/" + std::to_string(i);
            if (random() % 2 == 0) {
              foreign += RunTransaction(*home, "t" + name, random());
              continue;
            }
            auto answer = Wait([&](auto aDone) {
              home->Execute(Request(StatementKind::Execute, "s" + name), aDone);
            });
            foreign += CountForeignRows(answer, "s" + name);
          }
        });
      }
      for (auto& it : sessions) {
        it.join();
      }
      home->Stop();
      // The connection of a closed transaction is either closed or idle in a pool. The
      // pools of the three databases hold two connections each.
      CPPUNIT_ASSERT(state.mOpen <= 6);
    }
    std::printf(
      " transactions=%d mixed=%d ", state.mTransactions.load(), state.mMixed.load());
    CPPUNIT_ASSERT(state.mTransactions > 100);
    CPPUNIT_ASSERT_EQUAL(0, state.mMixed.load());
    CPPUNIT_ASSERT_EQUAL(0, state.mUsedAfterLoss.load());
    CPPUNIT_ASSERT_EQUAL(0, foreign.load());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SessionIsolationTest);
