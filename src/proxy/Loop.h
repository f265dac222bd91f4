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

// The one thread that callers' and databases' connections, the store's calls and their
// deadlines run on. Nothing that runs there may block.
class Loop
{
public:
  boost::asio::io_context& Io() { return mIo; }
  // From any thread.
  void Post(std::function<void()> aTask) { boost::asio::post(mIo, std::move(aTask)); }
  void Run() { mIo.run(); }
  void Stop() { mIo.stop(); }

private:
  boost::asio::io_context mIo{ 1 };
};

// Calls a function once at a time; setting it anew replaces what was set. On the loop's
// thread only.
class Timer
{
public:
  explicit Timer(Loop& aLoop)
    : mTimer(aLoop.Io())
  {
  }
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;
  ~Timer() { ++*mCalls; }

  void Set(TimePoint aWhen, std::function<void()> aTask)
  {
    // The loop's own clock stands still while the VM is suspended, so that a timer may
    // come late; what it starts looks at Clock again.
    mTimer.expires_after(std::max(aWhen - Clock::now(), Duration::zero()));
    // A task that is due already can't be taken back from the loop, so it is told apart
    // by its number.
    auto call = ++*mCalls;
    mTimer.async_wait([calls = mCalls, call, task = std::move(aTask)](
                        boost::system::error_code aError) {
      if (!aError && *calls == call) {
        task();
      }
    });
  }
  void Cancel()
  {
    ++*mCalls;
    mTimer.cancel();
  }

private:
  boost::asio::steady_timer mTimer;
  // Counts what was set and cancelled.
  std::shared_ptr<std::uint64_t> mCalls = std::make_shared<std::uint64_t>(0);
};

} // namespace sesameway::proxy
