#pragma once

#include "proxy/Backend.h"
#include "proxy/Loop.h"
#include "sesameway/ConnectionPlan.h"
#include "sesameway/DatabaseList.h"
#include "sesameway/ResultHealth.h"

#include <map>
#include <memory>
#include <optional>

namespace sesameway::proxy {

// This daemon's connections to one database: carries out what ConnectionPlan decides,
// and knows when the database was heard from last.
class DatabasePool : public std::enable_shared_from_this<DatabasePool>
{
public:
  // The error: nothing was sent; when to try again.
  using Granted = std::function<void(tl::expected<LeasePtr, Refusal>)>;

  DatabasePool(Loop& aLoop, DatabaseConnector& aDatabases, ListedDatabase aListed);

  const ListedDatabase& Listed() const { return mListed; }
  void SetListed(const ListedDatabase& aListed);
  void SetLimit(std::size_t aLimit);
  void Acquire(std::uint64_t aTicket, const LeaseRequest& aNeed, Granted aDone);
  void CancelAcquire(std::uint64_t aTicket);
  void Release(const LeasePtr& aLease, bool aIsBroken);
  // The database is not to be used any more: idle connections are closed, those that
  // wait are refused, those in use go on.
  void Retire();
  // Those in use.
  std::vector<LeasePtr> Leases() const;
  // A command of this daemon's own, on any idle connection, else on one of its own
  // within the limit. None: no answer by the deadline, or no connection.
  void Ask(const ConnectionCommand& aCommand,
           TimePoint aDeadline,
           std::function<void(std::optional<ConnectionReply>)> aDone);

  void OnReply(const ConnectionReply& aReply, TimePoint aSentAt);
  // When a statement was sent that the database answered, the latest such.
  TimePoint HeardAt() const { return mHeardAt; }
  // How long it has left statements unanswered; zero if it answers, none if none has
  // been sent for a while.
  std::optional<Duration> Silence(TimePoint aNow) const;
  // A statement is on its way.
  void OnSent(TimePoint aNow);
  // Connecting failed a moment ago.
  bool IsSuspect(TimePoint aNow) const { return aNow < mSuspectUntil; }
  // How a caller's statement ended here.
  void OnResult(ReplyCode aCode);
  bool IsEjected(TimePoint aNow) const { return mHealth.IsEjected(aNow); }
  // The end of its log when it answered last; none if that was long ago.
  std::optional<LogPosition> Position(TimePoint aNow) const;
  Duration ExpectedWait(const std::string& aOrganisation) const
  {
    return mPlan.ExpectedWait(aOrganisation);
  }
  std::size_t Waiting() const { return mPlan.Waiting(); }

private:
  static constexpr std::uint64_t kFirstOwnTicket = std::uint64_t{ 1 } << 62;
  struct Held
  {
    DatabaseLinkPtr mLink;
    std::shared_ptr<SharedConnectionState> mContents;
  };
  void Do(const ConnectionPlan::Actions& aActions);
  void Do(const ConnectionPlan::Grant& aGrant);
  void Do(const ConnectionPlan::Open& aOpen);
  void Do(const ConnectionPlan::Close& aClose);
  void Do(const ConnectionPlan::Refuse& aRefuse);
  void OnOpened(std::uint64_t aConnection,
                const std::string& aOrganisation,
                TimePoint aSentAt,
                tl::expected<DatabaseLinkPtr, ReplyCode> aLink);
  LeasePtr LeaseOf(std::uint64_t aConnection);
  void OnHeard(TimePoint aSentAt);
  void WatchIdle(std::uint64_t aConnection);
  void SetTick();
  void AskOn(const LeasePtr& aLease,
             const ConnectionCommand& aCommand,
             TimePoint aDeadline,
             std::function<void(std::optional<ConnectionReply>)> aDone);

  Loop& mLoop;
  DatabaseConnector& mDatabases;
  ListedDatabase mListed;
  ConnectionPlan mPlan;
  Timer mTick;
  bool mIsRetired = false;
  std::map<std::uint64_t, Held> mHeld;
  std::map<std::uint64_t, Granted> mWaiting;
  // Connections in use, by number.
  std::map<std::uint64_t, std::weak_ptr<ConnectionLease>> mBusy;
  TimePoint mHeardAt{};
  // The first statement sent since an answer came.
  std::optional<TimePoint> mUnansweredSince;
  TimePoint mSuspectUntil{};
  ResultHealth mHealth;
  std::optional<LogPosition> mPosition;
  TimePoint mPositionAt{};
  // Of this daemon's own commands; those of statements come from outside.
  std::uint64_t mNextTicket = kFirstOwnTicket;
  int mRefusals = 0;
};

} // namespace sesameway::proxy
