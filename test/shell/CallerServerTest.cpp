#include "caller/CallerServer.h"
#include "wire/Convert.h"

#include <cppunit/extensions/HelperMacros.h>
#include <grpcpp/grpcpp.h>

#include <functional>
#include <map>
#include <mutex>
#include <thread>
#include <utility>
#include <vector>

using namespace sesameway;

namespace {

constexpr Duration kTimeout = seconds(10);
// More than may wait in a session.
constexpr std::uint64_t kStatements = 100;

// Sessions whose statements end only when the test says so.
class StuckSessions : public caller::SessionFactory
{
public:
  std::shared_ptr<caller::Session> Open(const std::string&) override
  {
    return std::make_shared<StuckSession>(*this);
  }
  std::size_t Running()
  {
    std::lock_guard lock(mMutex);
    return mRunning.size();
  }
  // Ends the statements that are running.
  void EndAll()
  {
    std::unique_lock lock(mMutex);
    auto running = std::exchange(mRunning, {});
    lock.unlock();
    for (const auto& it : running) {
      it(NotRun(Reason::Conflict));
    }
  }

private:
  class StuckSession : public caller::Session
  {
  public:
    explicit StuckSession(StuckSessions& aSessions)
      : mSessions(aSessions)
    {
    }
    void Execute(Statement, std::function<void(Answer)> aDone) override
    {
      std::lock_guard lock(mSessions.mMutex);
      mSessions.mRunning.push_back(std::move(aDone));
    }

  private:
    StuckSessions& mSessions;
  };

  std::mutex mMutex;
  std::vector<std::function<void(Answer)>> mRunning;
};

void WaitFor(const std::function<bool()>& aCondition)
{
  auto deadline = Clock::now() + kTimeout;
  while (!aCondition() && Clock::now() < deadline) {
    std::this_thread::sleep_for(milliseconds(5));
  }
}

Statement MakeStatement(std::uint64_t aId, OperationKind aKind)
{
  Statement statement;
  statement.mId = aId;
  statement.mRoute = "r";
  statement.mOperations.push_back({ aKind, "k", "v" });
  statement.mDeadline = Clock::now() + seconds(60);
  return statement;
}

} // namespace

class CallerServerTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(CallerServerTest);
  CPPUNIT_TEST(StatementsUnderWayAreAnsweredBeforeTheServerEnds);
  CPPUNIT_TEST_SUITE_END();

  // Guards against a stopped daemon that ends while statements are under way, so that
  // their callers get no answer (the cause of review/7).
  void StatementsUnderWayAreAnsweredBeforeTheServerEnds()
  {
    StuckSessions sessions;
    caller::CallerServer callers(sessions);
    int port = 0;
    grpc::ServerBuilder builder;
    builder.AddListeningPort("127.0.0.1:0", grpc::InsecureServerCredentials(), &port);
    builder.RegisterService(&callers);
    auto server = builder.BuildAndStart();
    auto stub = wire::Caller::NewStub(grpc::CreateChannel(
      "127.0.0.1:" + std::to_string(port), grpc::InsecureChannelCredentials()));
    grpc::ClientContext context;
    context.set_deadline(std::chrono::system_clock::now() + kTimeout);
    auto stream = stub->Session(&context);
    auto send = [&](std::uint64_t aId, OperationKind aKind) {
      stream->Write(wire::MakeCallerRequest(MakeStatement(aId, aKind), Clock::now()));
    };
    for (std::uint64_t id = 1; id <= kStatements; ++id) {
      send(id, OperationKind::Put);
    }
    std::map<std::uint64_t, Answer> answers;
    wire::CallerAnswer incoming;
    auto read = [&] {
      bool isRead = stream->Read(&incoming);
      if (isRead) {
        answers[incoming.id()] = wire::ReadCallerAnswer(incoming, Clock::now());
      }
      return isRead;
    };
    // The last one finds the queue full, so those before it have been accepted.
    while (answers.count(kStatements) == 0 && read()) {
    }
    WaitFor([&] { return sessions.Running() > 0; });

    callers.CloseSessions();
    callers.AnswerAll();
    while (read()) {
    }
    WaitFor([&] {
      sessions.EndAll();
      return callers.OpenSessions() == 0;
    });
    server->Shutdown(std::chrono::system_clock::now());
    CPPUNIT_ASSERT(answers[kStatements].mReason == Reason::QueueFull);
    CPPUNIT_ASSERT_EQUAL(std::size_t(kStatements), answers.size());
    CPPUNIT_ASSERT(answers[1].mOutcome == Outcome::Unknown);
    CPPUNIT_ASSERT(answers[1].mReason == Reason::Draining);
    CPPUNIT_ASSERT(answers[2].mOutcome == Outcome::NotRun);
    CPPUNIT_ASSERT(answers[2].mReason == Reason::Draining);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallerServerTest);
