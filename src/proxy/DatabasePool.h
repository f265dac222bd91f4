#pragma once

#include "proxy/Backend.h"
#include "proxy/DatabaseQueue.h"
#include "proxy/Loop.h"
#include "sesameway/ConnectionPlan.h"
#include "sesameway/DatabaseList.h"
#include "sesameway/ReplicaLag.h"
#include "sesameway/ResultHealth.h"

#include <map>
#include <memory>
#include <optional>

namespace sesameway::proxy {

// How a pool comes by its connections.
enum class PoolKind : std::uint8_t
{
  // All daemons connect to the database.
  Direct,
  // This daemon is a home of the database: statements wait in its queue for a slot.
  Home,
  // The connections belong to the database's homes and are returned after each use.
  Borrowing,
};
inline constexpr NameTable<PoolKind, 3> kPoolKindNames{
  { "direct", "home", "borrowing" }
};

// This daemon's connection pool for one database. It carries out the decisions of
// ConnectionPlan and tracks when the database last responded.
class DatabasePool : public std::enable_shared_from_this<DatabasePool>
{
public:
  // Called with a lease, or with an error that says when to try again; nothing has been
  // sent then.
  using GrantCallback = std::function<void(tl::expected<LeasePtr, Refusal>)>;

  DatabasePool(Loop& aLoop,
               DatabaseConnector& aDatabases,
               ListedDatabase aListed,
               PoolKind aKind = PoolKind::Direct,
               DatabaseQueue::Counter aCount = {});

  const ListedDatabase& Listed() const { return mListed; }
  PoolKind Kind() const { return mKind; }
  void SetListed(const ListedDatabase& aListed);
  void SetLimit(std::size_t aLimit);
  // At a home: how many statements the database may get at once, and how many may start
  // per second.
  void SetSlots(std::size_t aSlots);
  void SetStartRate(std::optional<double> aPerSecond);
  // The home's queue starts no more statements.
  void StopStarting();
  void Acquire(std::uint64_t aTicket,
               const LeaseRequest& aRequest,
               GrantCallback aDone);
  void CancelAcquire(std::uint64_t aTicket);
  void Release(const LeasePtr& aLease, bool aIsBroken);
  // Refuses the requests that wait for a connection.
  void RefuseWaiting();
  // Stops using the database: idle connections are closed, waiting requests are
  // refused, and connections in use are closed when they are released.
  void Retire();
  // Returns the leases that are in use.
  std::vector<LeasePtr> Leases() const;
  // Sends a command of the daemon itself on any idle connection, or else on a new one
  // within the limit. Calls back with none if no connection was available or no reply
  // came by the deadline.
  void Ask(const ConnectionCommand& aCommand,
           TimePoint aDeadline,
           std::function<void(std::optional<ConnectionReply>)> aDone);

  void OnReply(const ConnectionReply& aReply, TimePoint aSentAt);
  // When the latest statement that the database has answered was sent.
  TimePoint HeardAt() const { return mHeardAt; }
  // How long the database has left statements unanswered: zero if it answers, none if
  // nothing has been sent for a while.
  std::optional<Duration> Silence(TimePoint aNow) const;
  // Records that a statement was sent.
  void OnSent(TimePoint aNow);
  // Whether an attempt to connect failed a short time ago for another reason than the
  // connection limit, and the database has answered nothing since.
  bool IsSuspect(TimePoint aNow) const { return aNow < mSuspectUntil; }
  // Counts the outcome of a caller's statement for the ejection of failing databases.
  void OnResult(ReplyCode aCode);
  bool IsEjected(TimePoint aNow) const { return mHealth.IsEjected(aNow); }
  // Records how a statement that required this log position ended.
  void NoteLag(const std::optional<LogPosition>& aAfter, ReplyCode aCode);
  ReplicaLag& Lag() { return mLag; }
  // The end of the database's log according to its last reply; none if that reply is
  // too old.
  std::optional<LogPosition> Position(TimePoint aNow) const;
  // Expected wait of a statement with these terms for a connection and, at a home, for
  // a slot.
  Duration ExpectedWait(const StatementTerms& aTerms) const;
  // At a home: when a statement with these terms would have to come back, if it can't
  // be served in time.
  std::optional<TimePoint> RefusedUntil(const StatementTerms& aTerms) const;
  std::size_t Waiting() const { return mPlan.Waiting(); }
  const DatabaseQueue* Queue() const { return mQueue.get(); }

private:
  static constexpr std::uint64_t kFirstOwnTicket = std::uint64_t{ 1 } << 62;
  struct OpenConnection
  {
    DatabaseLinkPtr mLink;
    std::shared_ptr<SharedConnectionState> mConnectionState;
  };
  void Execute(const ConnectionPlan::Actions& aActions);
  void Execute(const ConnectionPlan::Grant& aGrant);
  void Execute(const ConnectionPlan::Open& aOpen);
  void Execute(const ConnectionPlan::Close& aClose);
  void Execute(const ConnectionPlan::Refuse& aRefuse);
  void OnOpened(const ConnectionPlan::Open& aOpen,
                TimePoint aSentAt,
                tl::expected<DatabaseLinkPtr, ReplyCode> aLink);
  void OnOpenFailed(const ConnectionPlan::Open& aOpen,
                    TimePoint aSentAt,
                    ReplyCode aCode);
  LeasePtr MakeLease(std::uint64_t aConnection);
  void OnAnswered(TimePoint aSentAt);
  void WatchIdle(std::uint64_t aConnection);
  void SetTick();
  void AskOn(const LeasePtr& aLease,
             const ConnectionCommand& aCommand,
             TimePoint aDeadline,
             std::function<void(std::optional<ConnectionReply>)> aDone);

  Loop& mLoop;
  DatabaseConnector& mDatabases;
  ListedDatabase mListed;
  PoolKind mKind;
  ConnectionPlan mPlan;
  // Set at a home only.
  std::shared_ptr<DatabaseQueue> mQueue;
  std::optional<double> mStartRate;
  Timer mTick;
  bool mIsRetired = false;
  std::map<std::uint64_t, OpenConnection> mConnections;
  std::map<std::uint64_t, GrantCallback> mWaiting;
  // Leases in use, by connection number.
  std::map<std::uint64_t, std::weak_ptr<ConnectionLease>> mLeases;
  TimePoint mHeardAt{};
  // When the first statement after the last reply was sent; none if none has been sent
  // since that reply.
  std::optional<TimePoint> mUnansweredSince;
  TimePoint mSuspectUntil{};
  ResultHealth mHealth;
  ReplicaLag mLag;
  std::optional<LogPosition> mPosition;
  TimePoint mPositionAt{};
  // Tickets for the daemon's own commands. Tickets for callers' statements are passed
  // in and are smaller.
  std::uint64_t mNextTicket = kFirstOwnTicket;
  int mConsecutiveRefusals = 0;
};

} // namespace sesameway::proxy
