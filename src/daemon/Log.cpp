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
// Beyond this lines are dropped and counted: the log is slower than the statements.
constexpr std::size_t kMaxWaiting = 20'000;

// glog takes one mutex of the process for each line. Statements on different workers
// would meet there, so only this thread does.
class StatementLines
{
public:
  StatementLines()
    : mThread([this] { Run(); })
  {
  }
  StatementLines(const StatementLines&) = delete;
  StatementLines& operator=(const StatementLines&) = delete;
  ~StatementLines()
  {
    mStopping = true;
    mThread.join();
    Write();
  }

  void Push(std::string aText)
  {
    if (mQueue.unsafe_size() >= kMaxWaiting) {
      ++mDropped;
      return;
    }
    mQueue.push(std::move(aText));
  }

  void Write()
  {
    std::lock_guard lock(mWriting);
    std::string text;
    while (mQueue.try_pop(text)) {
      LOG(INFO) << text;
    }
    if (auto dropped = mDropped.exchange(0); dropped > 0) {
      LOG(WARNING) << LogLine("log_lines_dropped").With("lines", dropped);
    }
    // Other threads' lines as well: a process that is killed leaves its last ones.
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
  // Taken by those who write, never by a statement.
  std::mutex mWriting;
  std::atomic<bool> mStopping = false;
  std::atomic<std::size_t> mDropped = 0;
  std::thread mThread;
};

StatementLines& Lines()
{
  static StatementLines lines;
  return lines;
}

} // namespace

void LogStatement(const LogLine& aLine)
{
  Lines().Push(aLine.Text());
}

void FlushStatementLines()
{
  Lines().Write();
}

} // namespace sesameway::daemon
