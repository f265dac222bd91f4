#pragma once

#include "proxy/Transport.h"
#include "sesameway/Catalogue.h"

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace sesameway::proxy {

class DatabasePool;

// A connection to a database that is leased for one statement or transaction.
struct ConnectionLease
{
  // The pool that owns the connection. A database that is listed again gets a new pool.
  std::weak_ptr<DatabasePool> mPool;
  std::uint64_t mConnection = 0;
  std::string mDatabase;
  std::string mGroup;
  bool mIsPrimary = false;
  // Number of the group's latest change of primary when the database was chosen. If the
  // database is the primary, it became the primary by this change.
  std::uint64_t mChange = 0;
  DatabaseLinkPtr mLink;
  std::shared_ptr<SharedConnectionState> mConnectionState;
  // The log position that the command sent last required; none if it required none.
  std::optional<LogPosition> mAfter;
};
using LeasePtr = std::shared_ptr<ConnectionLease>;

// The connection that a statement or transaction needs to a group of databases.
struct LeaseRequest
{
  std::string mGroup;
  std::string mOrganisation;
  std::uint32_t mPriority = 0;
  // When waiting for the connection ends.
  TimePoint mDeadline;
  // What the first statement on the connection needs.
  StatementTerms mTerms{};
  bool mNeedsPrimary = false;
  // Reads must see everything that was acknowledged before mFreshSince, and the log up
  // to mToken.
  TimePoint mFreshSince{};
  std::optional<LogPosition> mToken;
  // Databases that have just failed to serve the request; others are preferred.
  std::set<std::string> mAvoid;
  // Databases whose logs had not reached the required position.
  std::set<std::string> mLaggingDatabases;
  // Regions in which databases, and daemons other than this one, may receive the
  // statement.
  AllowedRegions mAllowedRegions;
};

// Why no connection was granted, and when to retry. Nothing has been sent to a
// database.
struct Refusal
{
  ReplyCode mCode = ReplyCode::Busy;
  std::string mReason;
  TimePoint mRetryAt;
};
using LeaseCallback = std::function<void(tl::expected<LeasePtr, Refusal>)>;

// The databases as seen by sessions. All calls are made on the event loop's thread.
// Callbacks may run before the call returns.
class Backend
{
public:
  virtual ~Backend() = default;
  // Requests a connection. Returns a ticket with which the request can be cancelled
  // until the callback has run.
  virtual std::uint64_t Acquire(const LeaseRequest& aRequest, LeaseCallback aDone) = 0;
  virtual void CancelAcquire(std::uint64_t aTicket) = 0;
  // Returns the connection to its pool, or closes it if it is broken.
  virtual void Release(const LeasePtr& aLease, bool aIsBroken) = 0;
  // Whether statements may be sent on the lease. A lease on a primary ends when a later
  // change of primary begins, even if the same database becomes the primary again.
  virtual bool IsInForce(const ConnectionLease& aLease) const = 0;
  // Whether a transaction on the lease must end because its database is no longer to be
  // used. A statement in progress may finish.
  virtual bool MustEndTransaction(const ConnectionLease&) const { return false; }
  // Whether replies on the lease may be trusted at present without Confirm.
  virtual bool AreRepliesTrusted(const ConnectionLease& aLease) const = 0;
  // Asks the other databases of a primary's group, no earlier than `aSince`, whether
  // one of them has become the primary. Calls back with true if none has, so that
  // replies received on the lease before `aSince` are valid.
  virtual void Confirm(const ConnectionLease& aLease,
                       TimePoint aSince,
                       std::function<void(bool)> aDone) = 0;
  // The log position that a replica must have reached to hold everything acknowledged
  // before `aSince`; none if it is not known.
  virtual std::optional<LogPosition> HeadSince(const std::string& aGroup,
                                               TimePoint aSince) const = 0;
  // Whether the lease's database has left statements of all sessions of this daemon
  // unanswered for a while.
  virtual bool IsUnresponsive(const ConnectionLease& aLease) const = 0;
  virtual void OnSent(const ConnectionLease& aLease) = 0;
  // Reports a reply to a statement that was sent at `aSentAt`.
  virtual void OnReply(const ConnectionLease& aLease,
                       const ConnectionReply& aReply,
                       TimePoint aSentAt) = 0;
};

// Runs a task once at a given time. Setting the timer again replaces the earlier task.
class OneShotTimer
{
public:
  virtual ~OneShotTimer() = default;
  virtual void Set(TimePoint aWhen, std::function<void()> aTask) = 0;
  virtual void Cancel() = 0;
};

// Time, timers, catalogue, admission and metrics for sessions.
class SessionEnvironment
{
public:
  virtual ~SessionEnvironment() = default;
  virtual TimePoint Now() const = 0;
  virtual std::unique_ptr<OneShotTimer> NewOneShotTimer() = 0;
  // The current catalogue; null until one has been received.
  virtual CataloguePtr Current() const = 0;
  // Calls back with true once the statement is admitted under the organisation's rate,
  // or with false and the time at which to retry.
  virtual void Admit(const Organisation& aOrganisation,
                     TimePoint aDeadline,
                     std::function<void(bool, TimePoint)> aVerdict) = 0;
  // Whether sessions end because the daemon stops: they are closed after the answer
  // that leaves them idle, and new sessions and transactions are refused.
  virtual bool EndsSessions() const = 0;
  virtual void OnStatement(const std::string& aRoute,
                           ReplyCode aCode,
                           Duration aLatency) = 0;
};

} // namespace sesameway::proxy
