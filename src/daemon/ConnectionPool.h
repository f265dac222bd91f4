#pragma once

#include "daemon/Workers.h"
#include "database/Database.h"
#include "sesameway/FairQueue.h"

#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <vector>

namespace sesameway::daemon {

// Receives a connection, or null and the reason why there is none.
using AcquireCallback = std::function<void(database::ConnectionPtr, Reason)>;

// The number of connections of a pool, and of requests that wait for one.
struct PoolLoad
{
  int mOpen = 0;
  int mWaiting = 0;
};

// The connections of one daemon to one database. A connection is reused after each
// statement or transaction, and organisations take turns in using it. Lock: mMutex, the
// last in the lock order that Engine.h gives. Callbacks run after it is released.
class ConnectionPool : public std::enable_shared_from_this<ConnectionPool>
{
public:
  ConnectionPool(Workers& aWorkers,
                 std::shared_ptr<database::Database> aDatabase,
                 int aLimit);

  // Calls `aDone` once, with a connection or with a reason: QueueFull at once if the
  // queue is full or so long that the deadline would pass in it, DeadlinePassed at the
  // deadline, or NoPrimary when FailWaiters() is called. Failed attempts to connect are
  // repeated until the deadline.
  void Acquire(const std::string& aOrganisation,
               std::uint32_t aWeight,
               TimePoint aDeadline,
               AcquireCallback aDone);
  // Returns a connection to the pool. A connection that is not clean is closed and
  // never reused.
  void Release(database::ConnectionPtr aConnection, bool aIsClean);
  // Sets the maximum number of connections. Surplus connections are closed as soon as
  // they are idle.
  void SetLimit(int aLimit);
  int Open() const;
  PoolLoad Load() const;
  // Answers all waiting requests with NoPrimary, because another database has become
  // the primary.
  void FailWaiters();
  // Time of the first failed connect since the last successful one, or none if the
  // latest connect succeeded.
  std::optional<TimePoint> FailingSince() const;
  // The connections that are currently in use.
  std::vector<std::weak_ptr<database::Connection>> InUse() const;

private:
  struct Waiter
  {
    AcquireCallback mDone;
    std::string mOrganisation;
  };
  struct Checkout
  {
    std::weak_ptr<database::Connection> mConnection;
    std::string mOrganisation;
    TimePoint mSince;
  };
  bool CanServeBy(const std::string& aOrganisation,
                  std::uint32_t aWeight,
                  TimePoint aDeadline,
                  TimePoint aNow) const;
  void EndCheckout(const database::Connection* aConnection);
  void ServeWaiters();
  void OpenConnectionIfNeeded();
  void OnOpened(database::ConnectionPtr aConnection);
  void ExpireWaiters();

  Workers& mWorkers;
  std::shared_ptr<database::Database> mDatabase;
  mutable std::mutex mMutex;
  int mLimit;
  // Number of connections in use, idle and being opened.
  int mOpen = 0;
  int mOpening = 0;
  std::vector<database::ConnectionPtr> mIdle;
  std::unordered_map<const database::Connection*, Checkout> mInUse;
  // Moving average of the time for which a connection is in use.
  Duration mMeanUseTime{};
  FairQueue mQueue;
  std::uint64_t mNextTicket = 0;
  std::unordered_map<std::uint64_t, Waiter> mWaiters;
  bool mExpiryArmed = false;
  std::optional<TimePoint> mFailingSince;
};

} // namespace sesameway::daemon
