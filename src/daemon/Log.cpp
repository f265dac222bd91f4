#include "daemon/Log.h"

#include "sesameway/Time.h"

#include <oneapi/tbb/concurrent_queue.h>

#include <atomic>
#include <cstdio>
#include <mutex>
#include <thread>

namespace sesameway::daemon {

namespace {

constexpr Duration kWriteInterval = milliseconds(100);
// Maximum number of queued lines. Further lines are dropped and counted, because
// statements can produce lines faster than the log is written.
constexpr std::size_t kMaxQueuedLines = 20'000;

// Writes the log lines of statements on a thread of its own. glog locks a process-wide
// mutex for each line, on which statements on different workers would contend.
class StatementLog
{
public:
  StatementLog()
    : mThread([this] { Run(); })
  {
  }
  StatementLog(const StatementLog&) = delete;
  StatementLog& operator=(const StatementLog&) = delete;
  ~StatementLog()
  {
    mStopping = true;
    mThread.join();
    Write();
  }

  void Push(std::string aText)
  {
    if (mQueue.unsafe_size() >= kMaxQueuedLines) {
      ++mDropped;
      return;
    }
    mQueue.push(std::move(aText));
  }

  void Write()
  {
    std::lock_guard lock(mWriteMutex);
    std::string text;
    while (mQueue.try_pop(text)) {
      LOG(INFO) << text;
    }
    if (auto dropped = mDropped.exchange(0); dropped > 0) {
      LOG(WARNING) << LogLine("log_lines_dropped").With("lines", dropped);
    }
    // Flushes what any thread has written to stdout, so that a process that is killed
    // has written its last lines.
    std::fflush(stdout);
  }

private:
  void Run()
  {
    while (!mStopping) {
      std::this_thread::sleep_for(kWriteInterval);
      Write();
    }
  }

  oneapi::tbb::concurrent_queue<std::string> mQueue;
  // Locked while lines are written, never by a statement.
  std::mutex mWriteMutex;
  std::atomic<bool> mStopping = false;
  std::atomic<std::size_t> mDropped = 0;
  std::thread mThread;
};

StatementLog& GlobalStatementLog()
{
  static StatementLog log;
  return log;
}

} // namespace

void LogStatement(const LogLine& aLine)
{
  GlobalStatementLog().Push(aLine.Text());
}

void FlushStatementLines()
{
  GlobalStatementLog().Write();
}

} // namespace sesameway::daemon
