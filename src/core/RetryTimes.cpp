#include "sesameway/RetryTimes.h"

#include <algorithm>

namespace sesameway {

namespace {

// Times are spread over at most this period; then the spread begins again at its start.
// Under a lasting overload the times would otherwise move away without limit.
constexpr Duration kHorizon = seconds(5);

} // namespace

TimePoint RetryTimes::Peek(std::uint32_t aPriority, TimePoint aEarliest) const
{
  auto time = aEarliest;
  for (const auto& it : mNextFree) {
    bool counts = it.first <= aPriority && it.second <= aEarliest + kHorizon;
    if (counts) {
      time = std::max(time, it.second);
    }
  }
  return time;
}

TimePoint RetryTimes::Take(std::uint32_t aPriority,
                           TimePoint aEarliest,
                           Duration aSpacing,
                           TimePoint aNow)
{
  auto time = Peek(aPriority, aEarliest);
  std::erase_if(mNextFree, [&](const auto& aIt) { return aIt.second <= aNow; });
  mNextFree[aPriority] = time + aSpacing;
  return time;
}

} // namespace sesameway
