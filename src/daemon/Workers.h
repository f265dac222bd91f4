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

// The pool of workers, and the clock that wakes them. Tasks may not block.
class Workers
{
public:
  explicit Workers(int aThreads);
  Workers(const Workers&) = delete;
  Workers& operator=(const Workers&) = delete;
  // Drops the timers that are not due and waits for what runs.
  ~Workers() noexcept;

  void Post(std::function<void()> aTask);
  void RunAt(TimePoint aWhen, std::function<void()> aTask);
  // Once, at the clock's next multiple of the interval, on the timers' own thread: for
  // periodic checks of some microseconds, which share their wake-ups.
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
