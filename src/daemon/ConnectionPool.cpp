#include "daemon/ConnectionPool.h"

#include <algorithm>
#include <utility>

namespace sesameway::daemon {

namespace {

constexpr std::size_t kQueuePerOrganisation = 256;
constexpr Duration kConnectTimeout = milliseconds(500);
constexpr Duration kExpiryInterval = milliseconds(10);
constexpr Duration kReconnectPause = milliseconds(20);
// Number of uses over which the average time in use is smoothed.
constexpr int kMeanWindow = 16;

} // namespace

ConnectionPool::ConnectionPool(Workers& aWorkers,
                               std::shared_ptr<database::Database> aDatabase,
                               int aLimit)
  : mWorkers(aWorkers)
  , mDatabase(std::move(aDatabase))
  , mLimit(aLimit)
  , mQueue(kQueuePerOrganisation)
{
}

void ConnectionPool::Acquire(const std::string& aOrganisation,
                             std::uint32_t aWeight,
                             TimePoint aDeadline,
                             AcquireCallback aDone)
{
  bool isQueued = false;
  bool armExpiry = false;
  {
    std::lock_guard lock(mMutex);
    std::uint64_t ticket = mNextTicket++;
    isQueued = CanServeBy(aOrganisation, aWeight, aDeadline, Clock::now()) &&
               mQueue.Push(aOrganisation, aWeight, ticket, aDeadline);
    if (isQueued) {
      mWaiters[ticket] = { aDone, aOrganisation };
      armExpiry = !std::exchange(mExpiryArmed, true);
    }
  }
  if (!isQueued) {
    aDone(nullptr, Reason::QueueFull);
    return;
  }
  ServeWaiters();
  if (armExpiry) {
    mWorkers.RunAt(Clock::now() + kExpiryInterval,
                   [self = shared_from_this()] { self->ExpireWaiters(); });
  }
}

// Estimates whether a connection becomes free before the deadline, so that a request
// which would only wait for its deadline is refused at once.
bool ConnectionPool::CanServeBy(const std::string& aOrganisation,
                                std::uint32_t aWeight,
                                TimePoint aDeadline,
                                TimePoint aNow) const
{
  auto ahead = static_cast<std::int64_t>(mQueue.CountAhead(aOrganisation, aWeight));
  return ahead == 0 || aNow + mMeanUseTime * ahead / std::max(1, mLimit) < aDeadline;
}

void ConnectionPool::EndCheckout(const database::Connection* aConnection)
{
  auto it = mInUse.find(aConnection);
  if (it == mInUse.end()) {
    return;
  }
  auto used = Clock::now() - it->second.mSince;
  mQueue.Charge(it->second.mOrganisation, used);
  mMeanUseTime += (used - mMeanUseTime) / kMeanWindow;
  mInUse.erase(it);
}

void ConnectionPool::Release(database::ConnectionPtr aConnection, bool aIsClean)
{
  {
    std::lock_guard lock(mMutex);
    EndCheckout(aConnection.get());
    if (aIsClean && !aConnection->IsBroken() && mOpen <= mLimit) {
      mIdle.push_back(std::move(aConnection));
    } else {
      --mOpen;
    }
  }
  ServeWaiters();
}

void ConnectionPool::SetLimit(int aLimit)
{
  {
    std::lock_guard lock(mMutex);
    mLimit = aLimit;
    while (mOpen > mLimit && !mIdle.empty()) {
      mIdle.pop_back();
      --mOpen;
    }
  }
  ServeWaiters();
}

int ConnectionPool::Open() const
{
  std::lock_guard lock(mMutex);
  return mOpen;
}

void ConnectionPool::FailWaiters()
{
  std::vector<Waiter> failed;
  {
    std::lock_guard lock(mMutex);
    for (auto ticket : mQueue.RemoveExpired(TimePoint::max())) {
      failed.push_back(std::move(mWaiters.extract(ticket).mapped()));
    }
  }
  for (auto& it : failed) {
    it.mDone(nullptr, Reason::NoPrimary);
  }
}

std::optional<TimePoint> ConnectionPool::FailingSince() const
{
  std::lock_guard lock(mMutex);
  return mFailingSince;
}

std::vector<std::weak_ptr<database::Connection>> ConnectionPool::InUse() const
{
  std::lock_guard lock(mMutex);
  std::vector<std::weak_ptr<database::Connection>> inUse;
  for (const auto& it : mInUse) {
    inUse.push_back(it.second.mConnection);
  }
  return inUse;
}

PoolLoad ConnectionPool::Load() const
{
  std::lock_guard lock(mMutex);
  return { mOpen, static_cast<int>(mQueue.size()) };
}

void ConnectionPool::ServeWaiters()
{
  for (;;) {
    Waiter waiter;
    database::ConnectionPtr connection;
    {
      std::lock_guard lock(mMutex);
      while (!mIdle.empty() && mIdle.back()->IsBroken()) {
        mIdle.pop_back();
        --mOpen;
      }
      if (mIdle.empty()) {
        break;
      }
      auto ticket = mQueue.Pop();
      if (!ticket) {
        return;
      }
      connection = std::move(mIdle.back());
      mIdle.pop_back();
      waiter = std::move(mWaiters.extract(*ticket).mapped());
      mInUse[connection.get()] = { connection, waiter.mOrganisation, Clock::now() };
    }
    waiter.mDone(std::move(connection), Reason::None);
  }
  OpenConnectionIfNeeded();
}

void ConnectionPool::OpenConnectionIfNeeded()
{
  {
    std::lock_guard lock(mMutex);
    bool isWanted = mQueue.size() > static_cast<std::size_t>(mOpening);
    if (mOpen >= mLimit || !isWanted) {
      return;
    }
    ++mOpen;
    ++mOpening;
  }
  mDatabase->Connect(Clock::now() + kConnectTimeout,
                     [self = shared_from_this()](database::ConnectionPtr aConnection) {
                       self->OnOpened(std::move(aConnection));
                     });
}

void ConnectionPool::OnOpened(database::ConnectionPtr aConnection)
{
  bool isOpened = aConnection != nullptr;
  {
    std::lock_guard lock(mMutex);
    --mOpening;
    if (isOpened) {
      mIdle.push_back(std::move(aConnection));
      mFailingSince.reset();
    } else {
      --mOpen;
      mFailingSince = mFailingSince.value_or(Clock::now());
    }
  }
  if (isOpened) {
    ServeWaiters();
    return;
  }
  mWorkers.RunAt(Clock::now() + kReconnectPause,
                 [self = shared_from_this()] { self->ServeWaiters(); });
}

void ConnectionPool::ExpireWaiters()
{
  std::vector<Waiter> expired;
  bool isEmpty = false;
  {
    std::lock_guard lock(mMutex);
    for (auto ticket : mQueue.RemoveExpired(Clock::now())) {
      expired.push_back(std::move(mWaiters.extract(ticket).mapped()));
    }
    isEmpty = mQueue.size() == 0;
    mExpiryArmed = !isEmpty;
  }
  for (auto& it : expired) {
    it.mDone(nullptr, Reason::DeadlinePassed);
  }
  if (!isEmpty) {
    mWorkers.RunAt(Clock::now() + kExpiryInterval,
                   [self = shared_from_this()] { self->ExpireWaiters(); });
  }
}

} // namespace sesameway::daemon
