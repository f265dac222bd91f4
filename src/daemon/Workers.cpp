#include "daemon/Workers.h"

namespace sesameway::daemon {

Workers::Workers(int aThreads)
  // No slot is reserved for a calling thread, because the threads of the transports
  // post the tasks.
  : mArena(aThreads, 0)
  , mTimerThread([this] { RunTimers(); })
{
}

Workers::~Workers() noexcept
{
  {
    std::lock_guard lock(mMutex);
    mStopping = true;
    mTimers.clear();
  }
  mChanged.notify_all();
  mTimerThread.join();
  mArena.execute([this] { mGroup.wait(); });
}

void Workers::Post(std::function<void()> aTask)
{
  mArena.enqueue(mGroup.defer(std::move(aTask)));
}

void Workers::RunAt(TimePoint aWhen, std::function<void()> aTask)
{
  Add(aWhen, { std::move(aTask), false });
}

void Workers::RunAtNextMultiple(Duration aInterval, std::function<void()> aCheck)
{
  auto now = Clock::now().time_since_epoch();
  auto next = (now / aInterval + 1) * aInterval;
  Add(TimePoint(next), { std::move(aCheck), true });
}

void Workers::Add(TimePoint aWhen, Timer aTimer)
{
  std::lock_guard lock(mMutex);
  if (mStopping) {
    return;
  }
  auto it = mTimers.emplace(aWhen, std::move(aTimer));
  if (it == mTimers.begin()) {
    mChanged.notify_all();
  }
}

void Workers::RunTimers()
{
  std::unique_lock lock(mMutex);
  while (!mStopping) {
    if (mTimers.empty()) {
      mChanged.wait(lock);
      continue;
    }
    auto it = mTimers.begin();
    if (it->first > Clock::now()) {
      mChanged.wait_until(lock, it->first);
      continue;
    }
    auto timer = std::move(it->second);
    mTimers.erase(it);
    lock.unlock();
    if (timer.mIsCheck) {
      // The check runs on this thread, because waking a worker costs more than the
      // check.
      timer.mTask();
    } else {
      Post(std::move(timer.mTask));
    }
    lock.lock();
  }
}

} // namespace sesameway::daemon
