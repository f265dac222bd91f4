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

// A connection to a database, for one statement or transaction.
struct ConnectionLease
{
  // That it belongs to: a database that is listed anew has another one.
  std::weak_ptr<DatabasePool> mPool;
  std::uint64_t mConnection = 0;
  std::string mDatabase;
  std::string mGroup;
  bool mIsPrimary = false;
  // The change by which the database was the primary when it was chosen.
  std::uint64_t mChange = 0;
  DatabaseLinkPtr mLink;
  std::shared_ptr<SharedConnectionState> mContents;
};
using LeasePtr = std::shared_ptr<ConnectionLease>;

// What a statement or transaction needs of a group of databases.
struct LeaseRequest
{
  std::string mGroup;
  std::string mOrganisation;
  std::uint32_t mPriority = 0;
  // Of waiting for the connection.
  TimePoint mDeadline;
  bool mNeedsPrimary = false;
  // Reads see all that was acknowledged before this time, and this position.
  TimePoint mFreshSince{};
  std::optional<LogPosition> mToken;
  // Those that have just failed to serve it.
  std::set<std::string> mAvoid;
  // Those whose logs were too short.
  std::set<std::string> mTooOld;
};

// Nothing has been sent.
struct Refusal
{
  ReplyCode mCode = ReplyCode::Busy;
  std::string mReason;
  TimePoint mRetryAt;
};
using LeaseCallback = std::function<void(tl::expected<LeasePtr, Refusal>)>;

// The databases as sessions see them. All calls on the loop's thread; callbacks may
// come before the call returns.
class Backend
{
public:
  virtual ~Backend() = default;
  // A number to drop the need by, until the callback.
  virtual std::uint64_t Acquire(const LeaseRequest& aNeed, LeaseCallback aDone) = 0;
  virtual void CancelAcquire(std::uint64_t aTicket) = 0;
  // A broken one is closed.
  virtual void Release(const LeasePtr& aLease, bool aIsBroken) = 0;
  // Whether statements may be sent on the lease: a primary's ends with its change.
  virtual bool IsInForce(const ConnectionLease& aLease) const = 0;
  // Whether answers on the lease may be believed now, without Confirm.
  virtual bool AreRepliesTrusted(const ConnectionLease& aLease) const = 0;
  // Asks the other databases of a primary's group, after `aSince`, whether one has
  // taken over. True: none had, so that answers on the lease that came before hold.
  virtual void Confirm(const ConnectionLease& aLease,
                       TimePoint aSince,
                       std::function<void(bool)> aDone) = 0;
  // What a replica's log must hold for data that is fresh since then; none if that is
  // not known.
  virtual std::optional<LogPosition> HeadSince(const std::string& aGroup,
                                               TimePoint aSince) const = 0;
  // Whether the lease's database has answered nothing for a while, to anybody here.
  virtual bool IsUnresponsive(const ConnectionLease& aLease) const = 0;
  virtual void OnSent(const ConnectionLease& aLease) = 0;
  // An answer came; `aSentAt`: when its statement was sent.
  virtual void OnReply(const ConnectionLease& aLease,
                       const ConnectionReply& aReply,
                       TimePoint aSentAt) = 0;
};

// Wakes its owner once. Setting it again replaces what was set.
class OneShotTimer
{
public:
  virtual ~OneShotTimer() = default;
  virtual void Set(TimePoint aWhen, std::function<void()> aTask) = 0;
  virtual void Cancel() = 0;
};

// The rest of what a session needs.
class SessionEnvironment
{
public:
  virtual ~SessionEnvironment() = default;
  virtual TimePoint Now() const = 0;
  virtual std::unique_ptr<OneShotTimer> NewOneShotTimer() = 0;
  // Null until one is known.
  virtual CataloguePtr Current() const = 0;
  // Within the organisation's rate; false: refused, with when to come back.
  virtual void Admit(const Organisation& aOrganisation,
                     TimePoint aDeadline,
                     std::function<void(bool, TimePoint)> aVerdict) = 0;
  // Whether sessions end with the answer that leaves them idle.
  virtual bool ClosesWithAnswer() const = 0;
  virtual void OnStatement(const std::string& aRoute,
                           ReplyCode aCode,
                           Duration aLatency) = 0;
};

} // namespace sesameway::proxy
