// The record of a run: what was sent, answered and run, with the time of each.
#pragma once

#include <chrono>
#include <cstdio>
#include <mutex>
#include <sstream>
#include <string>
#include <thread>

namespace review {

using Clock = std::chrono::steady_clock;
using Ms = std::chrono::milliseconds;

inline Clock::time_point StartTime()
{
  static const auto start = Clock::now();
  return start;
}

// Milliseconds since the program's start.
inline long NowMs()
{
  return std::chrono::duration_cast<Ms>(Clock::now() - StartTime()).count();
}

inline void SleepMs(long aMs)
{
  std::this_thread::sleep_for(Ms(aMs));
}

class Record
{
public:
  static Record& Instance()
  {
    static Record record;
    return record;
  }
  bool Open(const std::string& aPath)
  {
    mFile = std::fopen(aPath.c_str(), "w");
    return mFile != nullptr;
  }
  void Add(const std::string& aLine)
  {
    std::lock_guard lock(mMutex);
    std::fprintf(
      mFile, "%9.3f s  %s\n", static_cast<double>(NowMs()) / 1000, aLine.c_str());
    std::fflush(mFile);
  }

private:
  std::mutex mMutex;
  std::FILE* mFile = nullptr;
};

// Adds a line made of all arguments.
template<typename... Parts>
void Note(const Parts&... aParts)
{
  std::ostringstream line;
  (line << ... << aParts);
  Record::Instance().Add(line.str());
}

} // namespace review
