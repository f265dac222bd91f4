#pragma once

#include "sesameway/Time.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <memory>

namespace sesameway::proxy {

// The event loop. A single thread runs the connections of callers and databases, the
// calls to the store, and their deadlines. Nothing that runs there may block.
class Loop
{
public:
  boost::asio::io_context& Io() { return mIo; }
  // May be called from any thread.
  void Post(std::function<void()> aTask) { boost::asio::post(mIo, std::move(aTask)); }
  void Run() { mIo.run(); }
  void Stop() { mIo.stop(); }

private:
  boost::asio::io_context mIo{ 1 };
};

// Runs a task once at a given time. Setting the timer again replaces the earlier task.
// Used on the event loop's thread only.
class Timer
{
public:
  explicit Timer(Loop& aLoop)
    : mTimer(aLoop.Io())
  {
  }
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;
  ~Timer() { ++*mGeneration; }

  void Set(TimePoint aWhen, std::function<void()> aTask)
  {
    // The event loop's clock stops while the VM is suspended, so a timer may fire late.
    // Tasks therefore compare their deadlines with Clock again.
    mTimer.expires_after(std::max(aWhen - Clock::now(), Duration::zero()));
    // A task that is already due can't be cancelled in the event loop, so it compares
    // its generation with the current one.
    auto call = ++*mGeneration;
    mTimer.async_wait([generation = mGeneration, call, task = std::move(aTask)](
                        boost::system::error_code aError) {
      if (!aError && *generation == call) {
        task();
      }
    });
  }
  void Cancel()
  {
    ++*mGeneration;
    mTimer.cancel();
  }

private:
  boost::asio::steady_timer mTimer;
  // Counts the calls of Set and Cancel.
  std::shared_ptr<std::uint64_t> mGeneration = std::make_shared<std::uint64_t>(0);
};

} // namespace sesameway::proxy
