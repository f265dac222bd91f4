#pragma once

#include "proxy/Backend.h"

#include <map>
#include <memory>
#include <optional>
#include <string>

namespace sesameway::proxy {

namespace detail {

// What is being tried for the request at hand.
struct Attempt
{
  // Answers to an earlier one come late now and then.
  std::uint64_t mNumber = 0;
  CallerRequest mRequest;
  CommandKind mCommand = CommandKind::Read;
  std::optional<PreparedStatement> mPrepared;
  TimePoint mReceivedAt{};
  TimePoint mDeadline{};
  TimePoint mSentAt{};
  int mSends = 0;
  // Runs that failed.
  int mFailures = 0;
  // Set when a send may have taken effect and no answer came.
  bool mIsUnsure = false;
  bool mHasTimedOut = false;
  bool mNeedsPrimary = false;
  // Databases that did not serve it.
  std::set<std::string> mAvoid;
  // Those whose logs were too short.
  std::set<std::string> mTooOld;
  // For the log: why the last try failed, where it was sent last, by which change of
  // primary, whether others were asked about the answer, how fresh the database had to
  // be.
  std::string mCause;
  std::string mDatabase;
  bool mIsAtPrimary = false;
  std::uint64_t mChange = 0;
  bool mIsConfirmed = false;
  std::optional<LogPosition> mAfter;
};

} // namespace detail

// One caller's session: its values and prepared statements live here, not on a database
// connection, which it holds for a statement or a transaction only. CallerSend.cpp
// holds the way to a database, CallerOutcome.cpp what its answers lead to.
class CallerRun
  : public CallerSession
  , public std::enable_shared_from_this<CallerRun>
{
public:
  CallerRun(std::shared_ptr<CallerStream> aStream,
            SessionEnvironment& aHost,
            Backend& aBackend);

  void OnConnect(const std::string& aRoute, const std::string& aKey) override;
  void OnRequest(CallerRequest aRequest) override;
  void OnDisconnect() override;

  // Ends the session as soon as nothing is under way.
  void Drain();
  // Rolls back an open transaction, whose next statement is refused as aborted.
  void EndTransaction(const char* aReason);
  bool IsIdle() const { return !mIsBusy && mTransaction == TransactionState::None; }
  // The time of the last answer, or of the session's begin.
  TimePoint AnsweredAt() const { return mAnsweredAt; }
  bool IsInTransaction() const { return mTransaction != TransactionState::None; }

private:
  using Attempt = detail::Attempt;

  bool CheckPermission();
  void OnData();
  void OnBegin();
  void OnCommit();
  void OnRollback();
  void OnPrepare();
  void StartAttempt(CommandKind aCommand);
  void Admit(std::function<void()> aThen);
  void Acquire();
  void OnLease(tl::expected<LeasePtr, Refusal> aLease);
  void Send();
  void SendBegin();
  void SendStatement();
  void SendBatch(std::vector<ConnectionCommand> aCommands,
                 std::function<void(ConnectionReply)> aThen);
  void OnReplies(std::vector<ConnectionReply> aReplies,
                 const std::function<void(ConnectionReply)>& aThen);
  // Reads of the request see all that was acknowledged before this time.
  TimePoint FreshSince(const Attempt& aAttempt) const;
  // What a replica's log must hold for the request.
  std::optional<LogPosition> FreshAfter(const Attempt& aAttempt) const;
  void OnOutcome(ConnectionReply aReply);
  void OnDone(ConnectionReply aReply);
  void Deliver(ConnectionReply aReply);
  void NoteEffect();
  void OnUnconfirmed();
  void OnReplaced();
  void OnNotRun(ConnectionReply aReply);
  bool MayRunAgain() const;
  void OnFailedRead();
  void WatchSilence();
  void OnLost();
  void OnDeadline();
  void RetryOrFail(ReplyCode aCode, const std::string& aReason);
  void RetryLater();
  bool MayRetry() const;
  // Ends the request with an answer, and the transaction if it can't go on.
  void Fail(ReplyCode aCode, const std::string& aDetail);
  void Answer(ConnectionReply aReply);
  void GiveBack(bool aIsBroken);
  void RollBack();
  void RestInTransaction();
  // Whether this attempt is still the one at hand.
  bool IsAt(std::uint64_t aNumber) const;
  void Log(const Attempt& aAttempt,
           const ConnectionReply& aReply,
           Duration aTook) const;

  std::shared_ptr<CallerStream> mStream;
  SessionEnvironment& mHost;
  Backend& mBackend;
  std::unique_ptr<OneShotTimer> mAlarm;
  std::unique_ptr<OneShotTimer> mPause;
  TimePoint mAnsweredAt;

  std::string mRouteName;
  std::string mKeyHash;
  CataloguePtr mCatalogue;
  const RouteEntry* mRoute = nullptr;
  std::string mOrganisation;

  SessionValues mValues;
  std::map<std::string, PreparedStatement> mPrepared;
  // What the session's own commits reached.
  std::optional<LogPosition> mToken;
  std::string mTokenGroup;

  TransactionState mTransaction = TransactionState::None;
  bool mIsReadOnly = false;
  bool mHasWritten = false;
  // The database has been told of the transaction.
  bool mHasBegun = false;
  // A statement of the transaction has been answered.
  bool mHasAnswered = false;
  TimePoint mBegunAt{};
  // The next statement of the failed transaction is told why.
  const char* mEndedBy = nullptr;

  std::optional<Attempt> mAttempt;
  std::uint64_t mAttempts = 0;
  LeasePtr mLease;
  std::uint64_t mTicket = 0;
  bool mIsBusy = false;
  bool mIsSending = false;
  // An answer is here, and its database may have been replaced before.
  bool mIsConfirming = false;
  bool mIsGone = false;
  bool mIsOver = false;
};

} // namespace sesameway::proxy
