#include "FakeBackend.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace sesameway;
using namespace sesameway::proxy;
using namespace sesameway::test;

class CallerRunTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(CallerRunTest);
  CPPUNIT_TEST(RefusesUnknownKeysAndRoutes);
  CPPUNIT_TEST(SendsAReadUnchangedAndDeliversItsDigest);
  CPPUNIT_TEST(PreparedStatementsGetTheConnectionsName);
  CPPUNIT_TEST(ATransactionBeginsBeforeItsFirstStatementIsSent);
  CPPUNIT_TEST(ARefusedBeginRunsNoStatement);
  CPPUNIT_TEST(ARollbackIsAnsweredAtOnceAndFreesTheConnection);
  CPPUNIT_TEST(AReadThatWasLostIsSentAgainElsewhere);
  CPPUNIT_TEST(AWriteThatWasLostIsUnknown);
  CPPUNIT_TEST(AWriteThatWasRefusedIsSentAgain);
  CPPUNIT_TEST(ALostConnectionAbortsTheTransaction);
  CPPUNIT_TEST(ALostCommitOfAWriteIsUnknown);
  CPPUNIT_TEST(AReadThatIsBehindAsksAnotherDatabase);
  CPPUNIT_TEST(AStatementEndsAtTheRoutesTimeout);
  CPPUNIT_TEST(ARefusedLeaseRequestIsAnsweredAtOnceWithARetryTime);
  CPPUNIT_TEST(AnUntrustedReplyIsConfirmedBeforeItIsAnswered);
  CPPUNIT_TEST(AnUnconfirmedWriteIsUnknown);
  CPPUNIT_TEST(ALateConfirmationIsNotAppliedToALaterStatement);
  CPPUNIT_TEST(ALateAdmissionIsNotAppliedToALaterStatement);
  CPPUNIT_TEST(AWriteWhoseConnectionBreaksBeforeConfirmationIsUnknown);
  CPPUNIT_TEST(ATransactionWhoseConnectionBreaksBeforeConfirmationIsAborted);
  CPPUNIT_TEST(AConfirmationForABrokenConnectionIsNotAppliedToAnother);
  CPPUNIT_TEST(AnIdleTransactionIsRolledBack);
  CPPUNIT_TEST(ACallerThatDisconnectsReleasesItsConnection);
  CPPUNIT_TEST(ReadsAfterAnOwnCommitMustSeeIt);
  CPPUNIT_TEST(DrainClosesTheSessionOnceItIsIdle);
  CPPUNIT_TEST(AWaitingStatementIsAnsweredWhenTheDaemonStops);
  CPPUNIT_TEST(AReadUnderWayIsAnsweredAndNotSentAgainWhenTheDaemonStops);
  CPPUNIT_TEST(AWriteUnderWayIsUnknownWhenTheDaemonStops);
  CPPUNIT_TEST(AStatementOfATransactionIsAbortedWhenTheDaemonStops);
  CPPUNIT_TEST(AnUnconfirmedReplyIsAnsweredWhenTheDaemonStops);
  CPPUNIT_TEST(SessionsAndTransactionsAreRefusedWhileTheDaemonStops);
  CPPUNIT_TEST(ReadThatFailedRunsAtAnotherDatabase);
  CPPUNIT_TEST(ReadThatFailsAtAllDatabasesIsAnsweredAsFailed);
  CPPUNIT_TEST(WriteThatFailedIsNotRunAgain);
  CPPUNIT_TEST(ReadIsRetriedElsewhereIfADatabaseAnswersNothing);
  CPPUNIT_TEST(ReadStaysAtADatabaseThatAnswersOthers);
  CPPUNIT_TEST(AnOpenTransactionEndsWithItsKey);
  CPPUNIT_TEST(ACommitIsRefusedOnceTheKeyIsWithdrawn);
  CPPUNIT_TEST(AnIdleTransactionIsRolledBackWhenItsKeyIsWithdrawn);
  CPPUNIT_TEST(AStatementIsNotSentAfterABeginDuringWhichTheKeyWasWithdrawn);
  CPPUNIT_TEST(AStatementThatWaitsForAConnectionIsRefusedWhenItsKeyIsWithdrawn);
  CPPUNIT_TEST(AStatementThatWaitsForAdmissionIsRefusedWhenItsKeyIsWithdrawn);
  CPPUNIT_TEST(AStatementIsNotSentAgainOnceItsKeyIsWithdrawn);
  CPPUNIT_TEST(ACommitThatWasSentBeforeItsKeyWasWithdrawnIsAnswered);
  CPPUNIT_TEST(ATransactionEndsWithItsRoute);
  CPPUNIT_TEST(AChangedRouteAppliesFromTheNextTransactionOn);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    mEnvironment = std::make_unique<FakeSessionEnvironment>();
    mBackend = std::make_unique<FakeBackend>();
    Connect("strict");
  }
  void tearDown() override { mSession.reset(); }

private:
  void Connect(const std::string& aRoute, const std::string& aKey = "key")
  {
    mStream = std::make_shared<FakeStream>();
    mSession = std::make_shared<CallerRun>(mStream, *mEnvironment, *mBackend);
    mSession->OnConnect(aRoute, aKey);
  }

  void Ask(RequestKind aKind, const std::string& aText = {})
  {
    CallerRequest request;
    request.mKind = aKind;
    request.mId = "r" + std::to_string(++mRequests);
    request.mText = aText;
    request.mName = "s1";
    request.mArgument = aText;
    mSession->OnRequest(std::move(request));
  }

  static ConnectionReply Done(const std::string& aDigest,
                              TransactionState aState = TransactionState::None)
  {
    ConnectionReply reply;
    reply.mCode = ReplyCode::Done;
    reply.mDigest = aDigest;
    reply.mTransaction = aState;
    reply.mPosition = LogPosition{ 3, 17 };
    return reply;
  }

  static ConnectionReply Refused(ReplyCode aCode)
  {
    ConnectionReply reply;
    reply.mCode = aCode;
    return reply;
  }

  const ConnectionReply& Last() const { return mStream->mAnswers.back(); }

  void AssertCode(ReplyCode aCode) const
  {
    CPPUNIT_ASSERT(!mStream->mAnswers.empty());
    CPPUNIT_ASSERT_EQUAL(std::string(kReplyCodeNames.Name(aCode)),
                         std::string(kReplyCodeNames.Name(Last().mCode)));
  }

  // Begins a transaction at the primary and runs a first read in it.
  std::shared_ptr<FakeLink> BeginAndRead()
  {
    Ask(RequestKind::Begin);
    Ask(RequestKind::Read, "READ a");
    auto link = mBackend->Grant("i-1", true);
    link->Answer(Done("", TransactionState::Open));
    link->Answer(Done("d1", TransactionState::Open));
    return link;
  }

  void RefusesUnknownKeysAndRoutes()
  {
    Connect("strict", "other");
    CPPUNIT_ASSERT(mStream->mRefusal == ReplyCode::Denied);
    Connect("nowhere");
    CPPUNIT_ASSERT(mStream->mRefusal == ReplyCode::NoRoute);
  }

  void SendsAReadUnchangedAndDeliversItsDigest()
  {
    Ask(RequestKind::Read, "READ 1a4");
    auto link = mBackend->Grant("i-1", true);
    CPPUNIT_ASSERT_EQUAL(std::string("READ 1a4"), link->mSent.back().mText);
    CPPUNIT_ASSERT_EQUAL(std::string("r1"), link->mSent.back().mId);
    link->Answer(Done("d1"));
    AssertCode(ReplyCode::Done);
    CPPUNIT_ASSERT_EQUAL(std::string("d1"), Last().mDigest);
    CPPUNIT_ASSERT_EQUAL(1, mBackend->mReleased);
  }

  void PreparedStatementsGetTheConnectionsName()
  {
    Ask(RequestKind::Prepare, "q2c");
    Ask(RequestKind::Execute, "1a4");
    auto link = mBackend->Grant("i-1", true);
    CPPUNIT_ASSERT(link->mSent.at(0).mKind == CommandKind::Prepare);
    CPPUNIT_ASSERT_EQUAL(link->mSent[0].mName, link->mSent.at(1).mName);
    CPPUNIT_ASSERT_EQUAL(std::string("1a4"), link->mSent[1].mText);
  }

  void ATransactionBeginsBeforeItsFirstStatementIsSent()
  {
    Ask(RequestKind::Begin);
    CPPUNIT_ASSERT(mBackend->mPendingAcquires.empty());
    CPPUNIT_ASSERT(Last().mTransaction == TransactionState::Open);
    Ask(RequestKind::Read, "READ a");
    auto link = mBackend->Grant("i-1", true);
    CPPUNIT_ASSERT(link->mSent.back().mKind == CommandKind::Begin);
    link->Answer(Done("", TransactionState::Open));
    CPPUNIT_ASSERT(link->mSent.back().mKind == CommandKind::Read);
  }

  void ARefusedBeginRunsNoStatement()
  {
    Ask(RequestKind::Begin);
    Ask(RequestKind::Read, "READ a");
    auto link = mBackend->Grant("i-1", true);
    link->Answer(Refused(ReplyCode::ReadOnly));
    CPPUNIT_ASSERT_EQUAL(1, link->mBatches);
    mEnvironment->AdvanceTime(milliseconds(20));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, mBackend->mPendingAcquires.size());
  }

  void ARollbackIsAnsweredAtOnceAndFreesTheConnection()
  {
    auto link = BeginAndRead();
    Ask(RequestKind::Rollback);
    AssertCode(ReplyCode::Done);
    CPPUNIT_ASSERT(Last().mTransaction == TransactionState::None);
    CPPUNIT_ASSERT(link->mSent.back().mKind == CommandKind::Rollback);
    CPPUNIT_ASSERT_EQUAL(0, mBackend->mReleased);
    link->Answer(Done(""));
    CPPUNIT_ASSERT_EQUAL(1, mBackend->mReleased);
  }

  void AReadThatWasLostIsSentAgainElsewhere()
  {
    Ask(RequestKind::Read, "READ a");
    mBackend->Grant("i-1", true)->BreakWhileBusy();
    mEnvironment->AdvanceTime(milliseconds(20));
    CPPUNIT_ASSERT(mStream->mAnswers.empty());
    CPPUNIT_ASSERT_EQUAL(
      std::size_t{ 1 },
      mBackend->mPendingAcquires.begin()->second.mRequest.mAvoid.count("i-1"));
    mBackend->Grant("i-2", true)->Answer(Done("d2"));
    AssertCode(ReplyCode::Done);
  }

  void AWriteThatWasLostIsUnknown()
  {
    Ask(RequestKind::Write, "WRITE a b");
    mBackend->Grant("i-1", true)->BreakWhileBusy();
    AssertCode(ReplyCode::Unknown);
    CPPUNIT_ASSERT(mBackend->mPendingAcquires.empty());
  }

  void AWriteThatWasRefusedIsSentAgain()
  {
    Ask(RequestKind::Write, "WRITE a b");
    mBackend->Grant("i-1", true)->Answer(Refused(ReplyCode::Busy));
    mEnvironment->AdvanceTime(milliseconds(20));
    mBackend->Grant("i-1", true)->Answer(Done("d1"));
    AssertCode(ReplyCode::Done);
  }

  void ALostConnectionAbortsTheTransaction()
  {
    auto link = BeginAndRead();
    link->BreakWhileIdle();
    Ask(RequestKind::Write, "WRITE a b");
    AssertCode(ReplyCode::Aborted);
    CPPUNIT_ASSERT(Last().mTransaction == TransactionState::Failed);
    Ask(RequestKind::Read, "READ a");
    AssertCode(ReplyCode::Malformed);
    Ask(RequestKind::Rollback);
    CPPUNIT_ASSERT(Last().mTransaction == TransactionState::None);
  }

  void ALostCommitOfAWriteIsUnknown()
  {
    auto link = BeginAndRead();
    Ask(RequestKind::Write, "WRITE a b");
    link->Answer(Done("d2", TransactionState::Open));
    Ask(RequestKind::Commit, "COMMIT");
    link->BreakWhileBusy();
    AssertCode(ReplyCode::Unknown);
    CPPUNIT_ASSERT(Last().mTransaction == TransactionState::None);
  }

  void AReadThatIsBehindAsksAnotherDatabase()
  {
    Connect("aged");
    mBackend->mHead = LogPosition{ 3, 15 };
    Ask(RequestKind::Read, "READ a");
    auto link = mBackend->Grant("i-2", false);
    CPPUNIT_ASSERT(link->mSent.back().mAfter == LogPosition({ 3, 15 }));
    link->Answer(Refused(ReplyCode::Behind));
    const auto& request = mBackend->mPendingAcquires.begin()->second.mRequest;
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, request.mAvoid.count("i-2"));
    CPPUNIT_ASSERT(!request.mNeedsPrimary);
  }

  void AStatementEndsAtTheRoutesTimeout()
  {
    Ask(RequestKind::Read, "READ a");
    auto link = mBackend->Grant("i-1", true);
    mEnvironment->AdvanceTime(milliseconds(999));
    CPPUNIT_ASSERT(mStream->mAnswers.empty());
    mEnvironment->AdvanceTime(milliseconds(1));
    AssertCode(ReplyCode::TimedOut);
    CPPUNIT_ASSERT(link->mIsClosed);
  }

  void ARefusedLeaseRequestIsAnsweredAtOnceWithARetryTime()
  {
    Ask(RequestKind::Read, "READ a");
    mBackend->Refuse("overloaded", mEnvironment->mNow + milliseconds(250));
    AssertCode(ReplyCode::Busy);
    CPPUNIT_ASSERT(Last().mDetail.find("retry_after_ms=250") != std::string::npos);
  }

  void AnUntrustedReplyIsConfirmedBeforeItIsAnswered()
  {
    mBackend->mAreRepliesTrusted = false;
    Ask(RequestKind::Write, "WRITE a b");
    mBackend->Grant("i-1", true)->Answer(Done("d1"));
    CPPUNIT_ASSERT(mStream->mAnswers.empty());
    mBackend->mConfirmations.front()(true);
    AssertCode(ReplyCode::Done);
  }

  void AnUnconfirmedWriteIsUnknown()
  {
    mBackend->mAreRepliesTrusted = false;
    Ask(RequestKind::Write, "WRITE a b");
    mBackend->Grant("i-1", true)->Answer(Done("d1"));
    mBackend->mConfirmations.front()(false);
    AssertCode(ReplyCode::Unknown);
  }

  // Guards against a crash of the daemon. It happened when a reply was confirmed after
  // its connection had broken.
  void AWriteWhoseConnectionBreaksBeforeConfirmationIsUnknown()
  {
    mBackend->mAreRepliesTrusted = false;
    Ask(RequestKind::Write, "WRITE a b");
    auto link = mBackend->Grant("i-1", true);
    link->Answer(Done("d1"));
    link->BreakWhileIdle();
    AssertCode(ReplyCode::Unknown);
    mBackend->mConfirmations.front()(true);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, mStream->mAnswers.size());
  }

  // Guards against a statement that runs outside its transaction on another connection.
  // The transaction's own connection broke while a reply waited for its confirmation.
  void ATransactionWhoseConnectionBreaksBeforeConfirmationIsAborted()
  {
    Ask(RequestKind::Begin);
    Ask(RequestKind::Write, "WRITE a b");
    auto link = mBackend->Grant("i-1", true);
    link->Answer(Done("-", TransactionState::Open));
    link->Answer(Done("d1", TransactionState::Open));
    mBackend->mAreRepliesTrusted = false;
    Ask(RequestKind::Write, "WRITE c d");
    link->Answer(Done("d2", TransactionState::Open));
    link->BreakWhileIdle();
    mBackend->mConfirmations.front()(true);
    AssertCode(ReplyCode::Aborted);
    Ask(RequestKind::Write, "WRITE e f");
    CPPUNIT_ASSERT(mBackend->mPendingAcquires.empty());
  }

  // Guards against a confirmation requested for a reply on a broken connection that is
  // applied to the reply on the connection of the retry.
  void AConfirmationForABrokenConnectionIsNotAppliedToAnother()
  {
    mBackend->mAreRepliesTrusted = false;
    Ask(RequestKind::Read, "READ a");
    auto link = mBackend->Grant("i-1", true);
    link->Answer(Done("d1"));
    link->BreakWhileIdle();
    mEnvironment->AdvanceTime(milliseconds(50));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, mBackend->mPendingAcquires.size());
    mBackend->Grant("i-1", true)->Answer(Done("d2"));
    mBackend->mConfirmations.front()(true);
    CPPUNIT_ASSERT(mStream->mAnswers.empty());
    mBackend->mConfirmations.back()(true);
    CPPUNIT_ASSERT_EQUAL(std::string("d2"), mStream->mAnswers.back().mDigest);
  }

  // Guards against an answer that was never confirmed. The first statement's
  // confirmation arrives after that statement's deadline, while the second statement
  // waits for its own confirmation.
  void ALateConfirmationIsNotAppliedToALaterStatement()
  {
    mBackend->mAreRepliesTrusted = false;
    Ask(RequestKind::Read, "READ a");
    mBackend->Grant("i-1", true)->Answer(Done("d1"));
    mEnvironment->AdvanceTime(seconds(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, mStream->mAnswers.size());
    Ask(RequestKind::Read, "READ b");
    mBackend->Grant("i-1", true)->Answer(Done("d2"));
    mBackend->mConfirmations.front()(true);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, mStream->mAnswers.size());
    mBackend->mConfirmations.back()(true);
    CPPUNIT_ASSERT_EQUAL(std::string("d2"), Last().mDigest);
  }

  void ALateAdmissionIsNotAppliedToALaterStatement()
  {
    mEnvironment->mAdmitsAtOnce = false;
    Ask(RequestKind::Read, "READ a");
    mEnvironment->AdvanceTime(seconds(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, mStream->mAnswers.size());
    Ask(RequestKind::Read, "READ b");
    mEnvironment->mVerdicts.front()(true, mEnvironment->mNow);
    CPPUNIT_ASSERT(mBackend->mPendingAcquires.empty());
    mEnvironment->mVerdicts.back()(true, mEnvironment->mNow);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, mBackend->mPendingAcquires.size());
  }

  void AnIdleTransactionIsRolledBack()
  {
    auto link = BeginAndRead();
    mEnvironment->AdvanceTime(seconds(3));
    CPPUNIT_ASSERT(link->mSent.back().mKind == CommandKind::Rollback);
    Ask(RequestKind::Read, "READ a");
    AssertCode(ReplyCode::Aborted);
  }

  void ACallerThatDisconnectsReleasesItsConnection()
  {
    auto link = BeginAndRead();
    mSession->OnDisconnect();
    CPPUNIT_ASSERT(link->mSent.back().mKind == CommandKind::Rollback);
    link->Answer(Done(""));
    CPPUNIT_ASSERT_EQUAL(1, mBackend->mReleased);
    Connect("strict");
    Ask(RequestKind::Read, "READ a");
    mSession->OnDisconnect();
    CPPUNIT_ASSERT(mBackend->mPendingAcquires.empty());
  }

  void ReadsAfterAnOwnCommitMustSeeIt()
  {
    Connect("aged");
    mBackend->mHead = LogPosition{ 3, 15 };
    Ask(RequestKind::Write, "WRITE a b");
    mBackend->Grant("i-1", true)->Answer(Done("d1"));
    Ask(RequestKind::Read, "READ a");
    auto link = mBackend->Grant("i-2", false);
    CPPUNIT_ASSERT(link->mSent.back().mAfter == LogPosition({ 3, 17 }));
  }

  void DrainClosesTheSessionOnceItIsIdle()
  {
    auto link = BeginAndRead();
    mEnvironment->mIsDraining = true;
    mSession->Drain();
    CPPUNIT_ASSERT(!mStream->mIsClosed);
    Ask(RequestKind::Commit, "COMMIT");
    link->Answer(Done("d2"));
    AssertCode(ReplyCode::Done);
    CPPUNIT_ASSERT(mStream->mIsClosed);
  }

  // Ends the request as a daemon does that is about to end, and checks the answer.
  void AssertEndsWith(ReplyCode aCode)
  {
    auto answers = mStream->mAnswers.size();
    mEnvironment->mIsDraining = true;
    mSession->EndRequest(kStopping);
    CPPUNIT_ASSERT_EQUAL(answers + 1, mStream->mAnswers.size());
    AssertCode(aCode);
    CPPUNIT_ASSERT(Last().mDetail.starts_with(kStopping));
    mEnvironment->AdvanceTime(seconds(2));
    CPPUNIT_ASSERT_EQUAL(answers + 1, mStream->mAnswers.size());
    CPPUNIT_ASSERT(mBackend->mPendingAcquires.empty());
  }

  // The tests of AssertEndsWith guard against a stopped daemon that ends its process
  // with requests that have no answer (review/7). First: one that waits for a
  // connection, for its organisation's rate, and for the pause before a retry.
  void AWaitingStatementIsAnsweredWhenTheDaemonStops()
  {
    Ask(RequestKind::Write, "WRITE a v");
    AssertEndsWith(ReplyCode::Busy);
    CPPUNIT_ASSERT(mStream->mIsClosed);

    mEnvironment->mIsDraining = false;
    Connect("strict");
    mEnvironment->mAdmitsAtOnce = false;
    Ask(RequestKind::Write, "WRITE a v");
    AssertEndsWith(ReplyCode::Busy);
    mEnvironment->mVerdicts.front()(true, mEnvironment->mNow);
    CPPUNIT_ASSERT(mBackend->mPendingAcquires.empty());

    mEnvironment->mAdmitsAtOnce = true;
    mEnvironment->mIsDraining = false;
    Connect("strict");
    Ask(RequestKind::Write, "WRITE a v");
    mBackend->Grant("i-1", true)->Answer(Refused(ReplyCode::Busy));
    AssertEndsWith(ReplyCode::Busy);
  }

  void AReadUnderWayIsAnsweredAndNotSentAgainWhenTheDaemonStops()
  {
    Connect("aged");
    Ask(RequestKind::Read, "READ a");
    auto link = mBackend->Grant("i-2", false);
    AssertEndsWith(ReplyCode::Aborted);
    CPPUNIT_ASSERT(link->mIsClosed);
    CPPUNIT_ASSERT(mStream->mIsClosed);
  }

  void AWriteUnderWayIsUnknownWhenTheDaemonStops()
  {
    Ask(RequestKind::Write, "WRITE a v");
    mBackend->Grant("i-1", true);
    AssertEndsWith(ReplyCode::Unknown);

    mEnvironment->mIsDraining = false;
    Connect("strict");
    Ask(RequestKind::Begin);
    Ask(RequestKind::Write, "WRITE a v");
    auto link = mBackend->Grant("i-1", true);
    link->Answer(Done("", TransactionState::Open));
    link->Answer(Done("d1", TransactionState::Open));
    Ask(RequestKind::Commit, "COMMIT");
    AssertEndsWith(ReplyCode::Unknown);
    CPPUNIT_ASSERT(mStream->mIsClosed);
  }

  void AStatementOfATransactionIsAbortedWhenTheDaemonStops()
  {
    auto link = BeginAndRead();
    Ask(RequestKind::Write, "WRITE a v");
    AssertEndsWith(ReplyCode::Aborted);
    CPPUNIT_ASSERT(link->mIsClosed);
    Ask(RequestKind::Rollback, "ROLLBACK");
    AssertCode(ReplyCode::Done);
    CPPUNIT_ASSERT(mStream->mIsClosed);
  }

  void AnUnconfirmedReplyIsAnsweredWhenTheDaemonStops()
  {
    mBackend->mAreRepliesTrusted = false;
    Ask(RequestKind::Write, "WRITE a v");
    mBackend->Grant("i-1", true)->Answer(Done("d1"));
    AssertEndsWith(ReplyCode::Unknown);
  }

  // Guards against a transaction that is begun only to be rolled back, and a session
  // that is opened only to be closed.
  void SessionsAndTransactionsAreRefusedWhileTheDaemonStops()
  {
    mEnvironment->mIsDraining = true;
    Ask(RequestKind::Begin);
    AssertCode(ReplyCode::Busy);
    CPPUNIT_ASSERT(Last().mTransaction == TransactionState::None);
    CPPUNIT_ASSERT(mStream->mIsClosed);

    Connect("strict");
    CPPUNIT_ASSERT(mStream->mRefusal == ReplyCode::Busy);
  }

  // Covers a database that fails part of its requests while its health probe succeeds:
  // a read that fails there must run at another database.
  void ReadThatFailedRunsAtAnotherDatabase()
  {
    Connect("aged");
    Ask(RequestKind::Read, "READ a");
    mBackend->Grant("i-2", false)->Answer(Refused(ReplyCode::Failed));
    CPPUNIT_ASSERT(
      mBackend->mPendingAcquires.begin()->second.mRequest.mAvoid.count("i-2") > 0);
    mBackend->Grant("i-3", false)->Answer(Done("d1"));
    AssertCode(ReplyCode::Done);
  }

  void ReadThatFailsAtAllDatabasesIsAnsweredAsFailed()
  {
    Connect("aged");
    Ask(RequestKind::Read, "READ a");
    for (const char* it : { "i-2", "i-3", "i-1" }) {
      mBackend->Grant(it, false)->Answer(Refused(ReplyCode::Failed));
    }
    AssertCode(ReplyCode::Failed);
    CPPUNIT_ASSERT(mBackend->mPendingAcquires.empty());
  }

  void WriteThatFailedIsNotRunAgain()
  {
    Connect("aged");
    Ask(RequestKind::Write, "WRITE a b");
    mBackend->Grant("i-1", true)->Answer(Refused(ReplyCode::Failed));
    AssertCode(ReplyCode::Failed);
  }

  // Covers a database that has stopped answering while its connections stay open: after
  // 500 ms, a read must be sent to another database.
  void ReadIsRetriedElsewhereIfADatabaseAnswersNothing()
  {
    Connect("aged");
    Ask(RequestKind::Read, "READ a");
    auto link = mBackend->Grant("i-2", false);
    mBackend->mIsUnresponsive = true;
    mEnvironment->AdvanceTime(milliseconds(499));
    CPPUNIT_ASSERT(!link->mIsClosed);
    mEnvironment->AdvanceTime(milliseconds(1));
    CPPUNIT_ASSERT(link->mIsClosed);
    mBackend->Grant("i-3", false)->Answer(Done("d1"));
    AssertCode(ReplyCode::Done);
  }

  void ReadStaysAtADatabaseThatAnswersOthers()
  {
    Connect("aged");
    Ask(RequestKind::Read, "READ a");
    auto link = mBackend->Grant("i-2", false);
    mEnvironment->AdvanceTime(milliseconds(700));
    CPPUNIT_ASSERT(!link->mIsClosed);
    link->Answer(Done("d1"));
    AssertCode(ReplyCode::Done);
  }

  std::unique_ptr<FakeSessionEnvironment> mEnvironment;
  std::unique_ptr<FakeBackend> mBackend;
  std::shared_ptr<FakeStream> mStream;
  std::shared_ptr<CallerRun> mSession;
  int mRequests = 0;

  // Replaces the catalogue by a later version that the test has changed.
  template<typename Change>
  void Configure(Change aChange)
  {
    auto catalogue = std::make_shared<Catalogue>(*mEnvironment->mCatalogue);
    ++catalogue->mRevision;
    aChange(*catalogue);
    mEnvironment->mCatalogue = catalogue;
  }
  void WithdrawKey()
  {
    Configure([](Catalogue& aCatalogue) {
      aCatalogue.mKeys.clear();
      aCatalogue.mKeyNamesByHash.clear();
      aCatalogue.mOrganisations.clear();
    });
  }

  // Guards against statements of an open transaction that run with a key that was
  // withdrawn (review/5), as only the first one was checked.
  void AnOpenTransactionEndsWithItsKey()
  {
    auto link = BeginAndRead();
    WithdrawKey();
    Ask(RequestKind::Write, "WRITE a v");
    AssertCode(ReplyCode::Aborted);
    CPPUNIT_ASSERT_EQUAL(std::string("key_withdrawn"), Last().mDetail);
    CPPUNIT_ASSERT(Last().mTransaction == TransactionState::Failed);
    CPPUNIT_ASSERT(link->mSent.back().mKind == CommandKind::Rollback);
    Ask(RequestKind::Rollback);
    Ask(RequestKind::Begin);
    CPPUNIT_ASSERT(mStream->mRefusal == ReplyCode::Denied);
  }

  // Guards against a commit with a key that was withdrawn (review/5).
  void ACommitIsRefusedOnceTheKeyIsWithdrawn()
  {
    auto link = BeginAndRead();
    WithdrawKey();
    Ask(RequestKind::Commit);
    AssertCode(ReplyCode::Aborted);
    CPPUNIT_ASSERT(Last().mTransaction == TransactionState::None);
    CPPUNIT_ASSERT(link->mSent.back().mKind == CommandKind::Rollback);
  }

  // Guards against a connection and locks that a withdrawn key holds until the caller
  // sends again.
  void AnIdleTransactionIsRolledBackWhenItsKeyIsWithdrawn()
  {
    auto link = BeginAndRead();
    mSession->EndWithdrawnGrant();
    CPPUNIT_ASSERT(!link->IsBusy());
    WithdrawKey();
    mSession->EndWithdrawnGrant();
    CPPUNIT_ASSERT(link->mSent.back().mKind == CommandKind::Rollback);
    Ask(RequestKind::Read, "READ a");
    AssertCode(ReplyCode::Aborted);
    CPPUNIT_ASSERT_EQUAL(std::string("key_withdrawn"), Last().mDetail);
  }

  // Guards against a statement that is sent behind its transaction's begin command
  // although the key was withdrawn in between.
  void AStatementIsNotSentAfterABeginDuringWhichTheKeyWasWithdrawn()
  {
    Ask(RequestKind::Begin);
    Ask(RequestKind::Write, "WRITE a v");
    auto link = mBackend->Grant("i-1", true);
    WithdrawKey();
    link->Answer(Done("", TransactionState::Open));
    AssertCode(ReplyCode::Aborted);
    CPPUNIT_ASSERT(link->mSent.back().mKind == CommandKind::Rollback);
  }

  // Guards against a statement that waits for a connection, up to its route's timeout,
  // and runs then with a key that was withdrawn.
  void AStatementThatWaitsForAConnectionIsRefusedWhenItsKeyIsWithdrawn()
  {
    Ask(RequestKind::Write, "WRITE a v");
    WithdrawKey();
    mSession->EndWithdrawnGrant();
    AssertCode(ReplyCode::Aborted);
    CPPUNIT_ASSERT(mBackend->mPendingAcquires.empty());

    Connect("strict");
    CPPUNIT_ASSERT(mStream->mRefusal == ReplyCode::Denied);
  }

  // Guards against a statement that waits for its organisation's rate and runs then
  // with a key that was withdrawn.
  void AStatementThatWaitsForAdmissionIsRefusedWhenItsKeyIsWithdrawn()
  {
    mEnvironment->mAdmitsAtOnce = false;
    Ask(RequestKind::Write, "WRITE a v");
    WithdrawKey();
    mEnvironment->mVerdicts.front()(true, mEnvironment->mNow);
    AssertCode(ReplyCode::Aborted);
    CPPUNIT_ASSERT(mBackend->mPendingAcquires.empty());
  }

  // Guards against a retry with a key that was withdrawn since the first attempt, also
  // where the connection is there already.
  void AStatementIsNotSentAgainOnceItsKeyIsWithdrawn()
  {
    Ask(RequestKind::Write, "WRITE a v");
    auto link = mBackend->Grant("i-1", true);
    link->Answer(Refused(ReplyCode::Busy));
    WithdrawKey();
    mEnvironment->AdvanceTime(milliseconds(200));
    AssertCode(ReplyCode::Aborted);
    CPPUNIT_ASSERT(mBackend->mPendingAcquires.empty());
    CPPUNIT_ASSERT_EQUAL(1, link->mBatches);
  }

  // A commit that was sent in time has run; its answer is told.
  void ACommitThatWasSentBeforeItsKeyWasWithdrawnIsAnswered()
  {
    auto link = BeginAndRead();
    Ask(RequestKind::Commit);
    WithdrawKey();
    mSession->EndWithdrawnGrant();
    link->Answer(Done("d2"));
    AssertCode(ReplyCode::Done);
  }

  // Guards against statements of an open transaction that run with a route that was
  // removed.
  void ATransactionEndsWithItsRoute()
  {
    auto link = BeginAndRead();
    Configure([](Catalogue& aCatalogue) { aCatalogue.mRoutes.erase("strict"); });
    Ask(RequestKind::Read, "READ a");
    AssertCode(ReplyCode::Aborted);
    CPPUNIT_ASSERT_EQUAL(std::string("route_removed"), Last().mDetail);
    CPPUNIT_ASSERT(link->mSent.back().mKind == CommandKind::Rollback);
  }

  // Guards against a transaction that is ended by a change that takes nothing from it.
  void AChangedRouteAppliesFromTheNextTransactionOn()
  {
    auto link = BeginAndRead();
    Configure([](Catalogue& aCatalogue) {
      aCatalogue.mRoutes["strict"].mGroup = "other";
      aCatalogue.mRoutes.erase("aged");
      aCatalogue.mOrganisations["acme"].mRate = 1;
    });
    mSession->EndWithdrawnGrant();
    Ask(RequestKind::Commit);
    link->Answer(Done("d2"));
    AssertCode(ReplyCode::Done);
    Ask(RequestKind::Read, "READ a");
    CPPUNIT_ASSERT_EQUAL(std::string("other"),
                         mBackend->mPendingAcquires.begin()->second.mRequest.mGroup);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallerRunTest);
