#include "sesameway/LentSession.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace sesameway::test {
namespace {

using Batch = std::vector<ConnectionCommand>;

ConnectionCommand Command(CommandKind aKind,
                          const std::string& aName = {},
                          const std::string& aText = {})
{
  ConnectionCommand command;
  command.mKind = aKind;
  command.mName = aName;
  command.mText = aText;
  return command;
}

std::vector<ConnectionReply> Done(std::size_t aCount)
{
  ConnectionReply reply;
  reply.mCode = ReplyCode::Done;
  return std::vector<ConnectionReply>(aCount, reply);
}

std::string KindsOf(const Batch& aBatch)
{
  std::string kinds;
  for (const auto& it : aBatch) {
    kinds += kCommandKindNames.Name(it.mKind);
    kinds += ' ';
  }
  return kinds;
}

// Runs a batch in which all goes well, and returns what was sent for it.
Batch Run(LentSession& aSession, SharedConnectionState& aState, const Batch& aBatch)
{
  auto sent = aSession.ToConnection(aBatch, aState);
  auto replies = aSession.ToBorrower(Done(sent.size()), aState);
  CPPUNIT_ASSERT_EQUAL(aBatch.size(), replies.size());
  return sent;
}

const auto kSet = Command(CommandKind::Set, "tz", "utc");
const auto kOther = Command(CommandKind::Set, "lang", "de");
const auto kPrepare = Command(CommandKind::Prepare, "p1", "q");
const auto kExecute = Command(CommandKind::ExecuteRead, "p1", "7");
const auto kRead = Command(CommandKind::Read, {}, "READ 7");

} // namespace

class LentSessionTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(LentSessionTest);
  CPPUNIT_TEST(SessionAfterItsOwnSendsNoValueTwice);
  CPPUNIT_TEST(SessionAfterAnotherResetsForeignValues);
  CPPUNIT_TEST(StatementsPreparedUnderDifferentNamesAreShared);
  CPPUNIT_TEST(RefusedBatchLeavesNoAssumption);
  CPPUNIT_TEST(FailedSetUpIsNoResult);
  CPPUNIT_TEST(ForgottenStatementIsPreparedAgain);
  CPPUNIT_TEST(LaterBatchOfATransactionKeepsValues);
  CPPUNIT_TEST(SetUpOnAnotherConnectionIsComplete);
  CPPUNIT_TEST(StatementThatTheBorrowerHasNotPreparedIsNotRun);
  CPPUNIT_TEST(StatusCommandsNeedNoSession);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against two more round trips for each statement.
  void SessionAfterItsOwnSendsNoValueTwice()
  {
    SharedConnectionState state;
    LentSession first;
    CPPUNIT_ASSERT_EQUAL(std::string("set prepare execute_read "),
                         KindsOf(Run(first, state, { kSet, kPrepare, kExecute })));
    LentSession second;
    CPPUNIT_ASSERT_EQUAL(std::string("execute_read "),
                         KindsOf(Run(second, state, { kSet, kPrepare, kExecute })));
  }

  // Guards against a statement that runs with a value of another session.
  void SessionAfterAnotherResetsForeignValues()
  {
    SharedConnectionState state;
    LentSession first;
    Run(first, state, { kOther, kRead });
    LentSession second;
    CPPUNIT_ASSERT_EQUAL(std::string("reset set read "),
                         KindsOf(Run(second, state, { kSet, kRead })));
  }

  // Guards against a statement that runs under a name of another borrower.
  void StatementsPreparedUnderDifferentNamesAreShared()
  {
    SharedConnectionState state;
    LentSession first;
    Run(first, state, { kPrepare, kExecute });
    LentSession second;
    auto other = Command(CommandKind::Prepare, "p1", "another");
    auto sent = Run(second, state, { other, kExecute });
    CPPUNIT_ASSERT_EQUAL(std::string("prepare execute_read "), KindsOf(sent));
    CPPUNIT_ASSERT(sent[1].mName == sent[0].mName);
    CPPUNIT_ASSERT(sent[1].mName != "p1");
    LentSession third;
    auto renamed = Command(CommandKind::Prepare, "p9", "q");
    auto execute = Command(CommandKind::ExecuteRead, "p9", "7");
    auto shared = Run(third, state, { renamed, execute });
    CPPUNIT_ASSERT_EQUAL(std::string("execute_read "), KindsOf(shared));
    CPPUNIT_ASSERT_EQUAL(std::string("p1"), shared[0].mName);
  }

  // Guards against values that count as set although the queue refused the batch.
  void RefusedBatchLeavesNoAssumption()
  {
    SharedConnectionState state;
    LentSession first;
    first.ToConnection({ kSet, kRead }, state);
    ConnectionReply refused;
    refused.mCode = ReplyCode::Busy;
    refused.mRetryAt = TimePoint{};
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), first.ToBorrower({ refused }, state).size());
    LentSession second;
    CPPUNIT_ASSERT_EQUAL(std::string("reset set read "),
                         KindsOf(Run(second, state, { kSet, kRead })));
  }

  // Guards against a result of a statement whose session values were not set.
  void FailedSetUpIsNoResult()
  {
    SharedConnectionState state;
    LentSession session;
    auto sent = session.ToConnection({ kSet, kRead }, state);
    auto replies = Done(sent.size());
    replies[0].mCode = ReplyCode::Failed;
    replies = session.ToBorrower(std::move(replies), state);
    CPPUNIT_ASSERT(replies.back().mCode == ReplyCode::Lost);
  }

  // Guards against a statement that is refused for ever once the database has dropped
  // what was prepared.
  void ForgottenStatementIsPreparedAgain()
  {
    SharedConnectionState state;
    LentSession session;
    Run(session, state, { kPrepare, kExecute });
    session.ToConnection({ kExecute }, state);
    ConnectionReply unknown;
    unknown.mCode = ReplyCode::NotPrepared;
    session.ToBorrower({ unknown }, state);
    CPPUNIT_ASSERT_EQUAL(std::string("prepare execute_read "),
                         KindsOf(Run(session, state, { kExecute })));
  }

  // Guards against a reset inside a transaction, whose later batches name only what is
  // new.
  void LaterBatchOfATransactionKeepsValues()
  {
    SharedConnectionState state;
    LentSession session;
    Run(session, state, { kSet, Command(CommandKind::Begin) });
    CPPUNIT_ASSERT_EQUAL(std::string("set read "),
                         KindsOf(Run(session, state, { kOther, kRead })));
    CPPUNIT_ASSERT_EQUAL(
      std::string("commit "),
      KindsOf(Run(session, state, { Command(CommandKind::Commit) })));
  }

  // Guards against a session that goes on at another home without its values.
  void SetUpOnAnotherConnectionIsComplete()
  {
    LentSession session;
    session.Note({ kSet, kPrepare, kExecute });
    CPPUNIT_ASSERT_EQUAL(std::string("set prepare execute_read "),
                         KindsOf(session.WithSetUp({ kExecute })));
    CPPUNIT_ASSERT_EQUAL(std::string("set read "),
                         KindsOf(session.WithSetUp({ kRead })));
  }

  // Guards against a statement of another session that runs in place of one that was
  // not prepared.
  void StatementThatTheBorrowerHasNotPreparedIsNotRun()
  {
    SharedConnectionState state;
    LentSession first;
    Run(first, state, { kPrepare, kExecute });
    LentSession second;
    auto sent = Run(second, state, { kExecute });
    CPPUNIT_ASSERT_EQUAL(std::string("none"), sent.back().mName);
  }

  // Guards against a reset of warm connections by each status command.
  void StatusCommandsNeedNoSession()
  {
    SharedConnectionState state;
    LentSession first;
    Run(first, state, { kSet, kRead });
    LentSession own;
    CPPUNIT_ASSERT_EQUAL(std::string("status "),
                         KindsOf(Run(own, state, { Command(CommandKind::Status) })));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LentSessionTest);

} // namespace sesameway::test
