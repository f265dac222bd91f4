#pragma once

#include "sesameway/Time.h"

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

namespace sesameway {

// Expected time of a statement, by cost class, learned from measured times.
class StatementCosts
{
public:
  // Expected cost of a class before any of its statements has been measured.
  static constexpr Duration kDefaultCost = milliseconds(20);
  // Number of classes kept; the least recently measured one is evicted.
  static constexpr std::size_t kMaxClasses = 64;

  struct Estimate
  {
    Duration mCost = kDefaultCost;
    TimePoint mMeasuredAt{};

    // The cost as far as a statement may be refused because of it: an estimate that has
    // not been confirmed recently counts as at most the default.
    Duration CostForRefusal(TimePoint aNow) const;
  };

  Estimate Find(std::string_view aCostClass) const;
  void Add(std::string_view aCostClass, Duration aTook, TimePoint aNow);
  std::size_t size() const { return mClasses.size(); }

private:
  void EvictOldest();

  std::map<std::string, Estimate, std::less<>> mClasses;
};

} // namespace sesameway
