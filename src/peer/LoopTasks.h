#pragma once

#include <kj/async.h>

#include <functional>
#include <memory>
#include <mutex>
#include <utility>
#include <vector>

namespace sesameway::peer {

// Passes tasks from any thread to the event loop thread.
class TaskQueue
{
public:
  void Post(std::function<void()> aTask)
  {
    std::lock_guard lock(mMutex);
    if (mIsClosed) {
      return;
    }
    mTasks.push_back(std::move(aTask));
    if (mWake.get() != nullptr) {
      mWake->fulfill();
      mWake = nullptr;
    }
  }

  // Runs tasks as they are posted, without end. Call it on the event loop thread.
  kj::Promise<void> Run()
  {
    std::vector<std::function<void()>> tasks;
    kj::Promise<void> next = kj::READY_NOW;
    {
      std::lock_guard lock(mMutex);
      tasks.swap(mTasks);
      if (tasks.empty()) {
        auto paf = kj::newPromiseAndCrossThreadFulfiller<void>();
        mWake = kj::mv(paf.fulfiller);
        next = kj::mv(paf.promise);
      }
    }
    for (auto& it : tasks) {
      it();
    }
    return next.then([this] { return Run(); });
  }

  // Drops the waiting tasks, and from now on every new one, without running them: a
  // task that holds a callback then makes it known that it will not run. Call it when
  // the event loop has ended.
  void Close()
  {
    std::vector<std::function<void()>> tasks;
    std::lock_guard lock(mMutex);
    mIsClosed = true;
    mWake = nullptr;
    // Destroyed after the lock is released, because a task's destructor may post
    // another.
    tasks.swap(mTasks);
  }

private:
  std::mutex mMutex;
  bool mIsClosed = false;
  std::vector<std::function<void()>> mTasks;
  kj::Own<kj::CrossThreadPromiseFulfiller<void>> mWake;
};

using TaskQueuePtr = std::shared_ptr<TaskQueue>;

// Fulfils a promise of the event loop thread from any thread. Must be called only once.
template<typename Value>
class LoopFulfiller
{
public:
  // `aUnwanted`, if any, receives the value on the event loop thread if the promise has
  // been dropped by then.
  LoopFulfiller(TaskQueuePtr aTaskQueue,
                kj::Own<kj::PromiseFulfiller<Value>> aFulfiller,
                std::function<void(Value)> aUnwanted = {})
    : mTaskQueue(aTaskQueue)
    , mFulfiller(new Fulfiller(kj::mv(aFulfiller)), ReleaseOnLoop{ aTaskQueue })
    , mUnwanted(std::move(aUnwanted))
  {
  }

  void operator()(Value aValue) const
  {
    mTaskQueue->Post([fulfiller = mFulfiller,
                      unwanted = mUnwanted,
                      value = std::make_shared<Value>(std::move(aValue))] {
      if (unwanted && !(*fulfiller)->isWaiting()) {
        unwanted(std::move(*value));
        return;
      }
      (*fulfiller)->fulfill(kj::mv(*value));
    });
  }

private:
  using Fulfiller = kj::Own<kj::PromiseFulfiller<Value>>;

  // A fulfiller and its promise refer to each other without a lock. The last copy of
  // the callback may be dropped on another thread while the promise is dropped on the
  // event loop thread, so the fulfiller is released there too.
  struct ReleaseOnLoop
  {
    TaskQueuePtr mTaskQueue;
    void operator()(Fulfiller* aFulfiller) const
    {
      mTaskQueue->Post([fulfiller = std::shared_ptr<Fulfiller>(aFulfiller)] {});
    }
  };

  TaskQueuePtr mTaskQueue;
  std::shared_ptr<Fulfiller> mFulfiller;
  std::function<void(Value)> mUnwanted;
};

} // namespace sesameway::peer
