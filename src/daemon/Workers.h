#pragma once

#include "sesameway/Time.h"

#include <oneapi/tbb/task_arena.h>
#include <oneapi/tbb/task_group.h>

#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <thread>

namespace sesameway::daemon {

// A worker pool with timers. Tasks must not block.
class Workers
{
public:
  explicit Workers(int aThreads);
  Workers(const Workers&) = delete;
  Workers& operator=(const Workers&) = delete;
  // Drops the timers that have not been run and waits for the tasks that are running or
  // posted.
  ~Workers() noexcept;

  void Post(std::function<void()> aTask);
  void RunAt(TimePoint aWhen, std::function<void()> aTask);
  // Runs the check once, on the timer thread, at the clock's next multiple of the
  // interval. For periodic checks that take a few microseconds: checks with the same
  // interval share their wake-ups.
  void RunAtNextMultiple(Duration aInterval, std::function<void()> aCheck);

private:
  struct Timer
  {
    std::function<void()> mTask;
    bool mIsCheck = false;
  };
  void Add(TimePoint aWhen, Timer aTimer);
  void RunTimers();

  oneapi::tbb::task_arena mArena;
  oneapi::tbb::task_group mGroup;
  std::mutex mMutex;
  std::condition_variable mChanged;
  std::multimap<TimePoint, Timer> mTimers;
  bool mStopping = false;
  std::thread mTimerThread;
};

} // namespace sesameway::daemon
