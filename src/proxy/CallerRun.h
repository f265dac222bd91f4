#pragma once

#include "proxy/Backend.h"
#include "sesameway/CataloguePermit.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace sesameway::proxy {

// The reason that callers are told when the daemon stops.
inline constexpr const char* kStopping = "daemon_stopping";

namespace detail {

// State of the current request, including all its retries.
struct Attempt
{
  // Tells late callbacks of an earlier request apart from those of the current one.
  std::uint64_t mNumber = 0;
  CallerRequest mRequest;
  CommandKind mCommand = CommandKind::Read;
  std::optional<PreparedStatement> mPrepared;
  TimePoint mReceivedAt{};
  TimePoint mDeadline{};
  TimePoint mSentAt{};
  int mSends = 0;
  // How often a database ran the statement and reported a failure.
  int mFailures = 0;
  // The statement may have taken effect although no usable reply came, so that it must
  // not be sent again.
  bool mIsOutcomeUnknown = false;
  bool mHasTimedOut = false;
  // Why the request is ended before its timeout; empty if it is not.
  std::string_view mEndReason;
  bool mNeedsPrimary = false;
  // Databases that failed to serve the request; others are preferred.
  std::set<std::string> mAvoid;
  // Databases whose logs had not reached the required position.
  std::set<std::string> mLaggingDatabases;
  // The members below go into logs and error details: the reason for the last retry,
  // the database used last, whether and by which change it was the primary, whether the
  // reply was confirmed with the group's other databases, and the log position that the
  // database had to have reached.
  std::string mCause;
  std::string mDatabase;
  bool mIsAtPrimary = false;
  std::uint64_t mChange = 0;
  bool mIsConfirmed = false;
  std::optional<LogPosition> mAfter;
};

} // namespace detail

// The session of one caller. Its values and prepared statements are kept here rather
// than on a database connection, because it holds a connection only for the duration of
// a statement or a transaction. CallerSend.cpp acquires connections and sends
// statements; CallerOutcome.cpp handles the replies.
class CallerRun
  : public CallerSession
  , public std::enable_shared_from_this<CallerRun>
{
public:
  CallerRun(std::shared_ptr<CallerStream> aStream,
            SessionEnvironment& aEnvironment,
            Backend& aBackend);

  void OnConnect(const std::string& aRoute, const std::string& aKey) override;
  void OnRequest(CallerRequest aRequest) override;
  void OnDisconnect() override;

  // Closes the session if it is idle, that is, has neither a request nor a transaction
  // open; otherwise does nothing.
  void Drain();
  // Rolls back an open transaction between requests. The next statement is refused as
  // aborted with `aReason`, a constant.
  void EndTransaction(std::string_view aReason);
  // The same if the transaction's database is no longer to be used.
  void EndTransactionIfEvacuated();
  // Answers the current request, if there is one, before its statement has ended. What
  // has been sent and may take effect is answered as unknown. `aReason` is a constant.
  void EndRequest(std::string_view aReason);
  // Ends what was granted to the caller if the catalogue in force takes it back: rolls
  // an open transaction back between requests, and refuses a statement that waits for a
  // connection. A statement that has been sent may finish.
  void EndWithdrawnGrant();
  // Whether a statement is in progress at a database, or waits at its home.
  bool IsSending() const { return mIsSending; }
  bool IsIdle() const { return !mIsBusy && mTransaction == TransactionState::None; }
  // The time of the last answer, or of the session's start if there was none.
  TimePoint AnsweredAt() const { return mAnsweredAt; }

private:
  using Attempt = detail::Attempt;

  // Looks up the route and the key. If the session is not permitted, refuses it and
  // returns false.
  bool CheckPermission();
  void RefuseSession(ReplyCode aCode, std::string_view aReason);
  // Why the catalogue in force no longer grants what CheckPermission has granted.
  Withdrawal FindWithdrawn();
  // If the grant was taken back, refuses the current request and returns true.
  bool RefuseIfWithdrawn();
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
  // Reads of the request must see everything that was acknowledged before this time.
  TimePoint FreshSince(const Attempt& aAttempt) const;
  // The log position that a replica must have reached to serve the request; none at the
  // primary, or if it is not known.
  std::optional<LogPosition> FreshAfter(const Attempt& aAttempt) const;
  void OnOutcome(ConnectionReply aReply);
  void OnDone(ConnectionReply aReply);
  void Deliver(ConnectionReply aReply);
  void NotePossibleEffect();
  // The current statement as seen by a queue before the database.
  StatementTerms Terms() const;
  // The database's queue refused the statement, which was not sent.
  void OnOverload(const ConnectionReply& aReply);
  void OnUnconfirmed();
  void OnPrimaryReplaced();
  void OnNotRun(ConnectionReply aReply);
  bool MayRunAgain() const;
  void OnFailedRead();
  void WatchForNoResponse();
  void OnLost();
  void OnDeadline();
  // Gives the current request up, wherever it is. One that waits is answered as busy
  // with `aDetail`.
  void GiveUp(const std::string& aDetail);
  // Why the current request is ended before its timeout, or `aReason` if it is not.
  std::string EndReasonOr(const std::string& aReason) const;
  void RetryOrFail(ReplyCode aCode, const std::string& aReason);
  void RetryLater();
  bool MayRetry() const;
  // Ends the request with an error answer. An open transaction is rolled back and
  // marked as failed, or ended if the request was its commit.
  void Fail(ReplyCode aCode, const std::string& aDetail);
  void Answer(ConnectionReply aReply);
  void ReleaseLease(bool aIsBroken);
  void RollBack();
  void StartIdleTransactionTimer();
  // Whether the request with this number is still the current one.
  bool IsCurrentAttempt(std::uint64_t aNumber) const;
  void Log(const Attempt& aAttempt,
           const ConnectionReply& aReply,
           Duration aTook) const;

  std::shared_ptr<CallerStream> mStream;
  SessionEnvironment& mEnvironment;
  Backend& mBackend;
  std::unique_ptr<OneShotTimer> mTimeoutTimer;
  std::unique_ptr<OneShotTimer> mRetryTimer;
  TimePoint mAnsweredAt;

  std::string mRouteName;
  std::string mKeyHash;
  CataloguePtr mCatalogue;
  const RouteEntry* mRoute = nullptr;
  std::string mOrganisation;
  // Revision of the catalogue that has granted the current request or transaction, or
  // that has not taken the grant back since.
  std::uint64_t mGrantedRevision = 0;

  SessionValues mValues;
  std::map<std::string, PreparedStatement> mPrepared;
  // The log position that the session's own commits reached, which its later reads must
  // see.
  std::optional<LogPosition> mToken;
  std::string mTokenGroup;

  TransactionState mTransaction = TransactionState::None;
  bool mIsReadOnly = false;
  bool mHasWritten = false;
  // Whether the begin command has been sent to the database.
  bool mHasBegun = false;
  // Whether the caller has received a successful answer to a statement of the
  // transaction.
  bool mHasAnswered = false;
  TimePoint mBegunAt{};
  // Why the transaction was ended between requests; told to the caller with the next
  // statement. Empty if there is nothing to tell.
  std::string_view mAbortReason;

  std::optional<Attempt> mAttempt;
  std::uint64_t mAttempts = 0;
  LeasePtr mLease;
  std::uint64_t mTicket = 0;
  bool mIsBusy = false;
  bool mIsSending = false;
  // Whether a reply is held back until the other databases confirm that its database
  // had not been replaced as the primary.
  bool mIsConfirming = false;
  bool mIsDisconnected = false;
  bool mIsOver = false;
};

} // namespace sesameway::proxy
