#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <ctime>

namespace sesameway {

// Monotonic clock that also advances while the VM is suspended: leases, shares and
// guarantees given to other daemons must expire in that time too.
struct Clock
{
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<Clock>;
  static constexpr bool is_steady = true;

  static time_point now() noexcept
  {
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return time_point(std::chrono::seconds(time.tv_sec) + duration(time.tv_nsec));
  }
};
// A point in time of this process's clock; never sent to another process.
using TimePoint = Clock::time_point;
using Duration = Clock::duration;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Microseconds left until the deadline, 0 when it has passed.
inline std::uint64_t MicrosUntil(TimePoint aDeadline, TimePoint aNow)
{
  if (aDeadline <= aNow) {
    return 0;
  }
  return std::chrono::duration_cast<microseconds>(aDeadline - aNow).count();
}

inline std::int64_t Millis(Duration aTime)
{
  return std::chrono::duration_cast<milliseconds>(aTime).count();
}

// Returns `aTime` doubled `aTimes` times, but at most `aLimit`.
constexpr Duration ExponentialBackoff(Duration aTime, int aTimes, Duration aLimit)
{
  for (int n = 0; n < aTimes && aTime < aLimit; ++n) {
    aTime *= 2;
  }
  return std::min(aTime, aLimit);
}

} // namespace sesameway
