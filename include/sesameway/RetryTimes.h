#pragma once

#include "sesameway/Time.h"

#include <cstdint>
#include <map>

namespace sesameway {

// Times at which refused callers are told to retry, spread so that they do not all come
// back at once. Callers of a more urgent priority do not wait for those of a less
// urgent one.
class RetryTimes
{
public:
  // The time that Take would return.
  TimePoint Peek(std::uint32_t aPriority, TimePoint aEarliest) const;
  // Returns a time of at least `aEarliest`, and later ones for later calls, `aSpacing`
  // apart.
  TimePoint Take(std::uint32_t aPriority,
                 TimePoint aEarliest,
                 Duration aSpacing,
                 TimePoint aNow);

private:
  // The first time that is not yet taken, by priority.
  std::map<std::uint32_t, TimePoint> mNextFree;
};

} // namespace sesameway
