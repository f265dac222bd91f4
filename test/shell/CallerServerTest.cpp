#include "caller/CallerServer.h"
#include "shell/Processes.h"
#include "wire/Convert.h"

#include <cppunit/extensions/HelperMacros.h>
#include <grpcpp/grpcpp.h>

#include <functional>
#include <map>
#include <mutex>
#include <utility>
#include <vector>

using namespace sesameway;
using namespace sesameway::test;

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
    for (std::uint64_t id = 1; id <= kStatements; ++id) {
      auto statement = MakeStatement("r", OperationKind::Put, "k", "v", seconds(60));
      statement.mId = id;
      stream->Write(wire::MakeCallerRequest(statement, Clock::now()));
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
    WaitUntil([&] { return sessions.Running() > 0; }, kTimeout);

    callers.CloseSessions();
    callers.AnswerAll();
    while (read()) {
    }
    auto isClosed = [&] {
      sessions.EndAll();
      return callers.OpenSessions() == 0;
    };
    WaitUntil(isClosed, kTimeout);
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
