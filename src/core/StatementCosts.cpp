#include "sesameway/StatementCosts.h"

#include <algorithm>

namespace sesameway {

namespace {

// The newest time has a weight of 1/8 (1 / 2^kWeightShift) in the moving average.
constexpr int kWeightShift = 3;
// A cost of zero would give a statement no weight in the backlog.
constexpr Duration kMinCost = microseconds(100);
// How long an estimate may cause refusals without being confirmed. While a class is
// refused for its cost, no statement of it is measured; without this limit, one slow
// phase of the database would have the class refused for good.
constexpr Duration kTrustTime = milliseconds(500);

} // namespace

Duration StatementCosts::Estimate::CostForRefusal(TimePoint aNow) const
{
  bool isStale = aNow - mMeasuredAt > kTrustTime;
  return isStale ? std::min(mCost, kDefaultCost) : mCost;
}

StatementCosts::Estimate StatementCosts::Find(std::string_view aCostClass) const
{
  auto it = mClasses.find(aCostClass);
  return it == mClasses.end() ? Estimate{} : it->second;
}

void StatementCosts::Add(std::string_view aCostClass, Duration aTook, TimePoint aNow)
{
  auto took = std::max(aTook, kMinCost);
  auto it = mClasses.find(aCostClass);
  if (it != mClasses.end()) {
    auto& estimate = it->second;
    estimate.mCost += (took - estimate.mCost) / (1 << kWeightShift);
    estimate.mMeasuredAt = aNow;
    return;
  }
  if (mClasses.size() >= kMaxClasses) {
    EvictOldest();
  }
  mClasses.emplace(std::string(aCostClass), Estimate{ took, aNow });
}

void StatementCosts::EvictOldest()
{
  auto isOlder = [](const auto& aLeft, const auto& aRight) {
    return aLeft.second.mMeasuredAt < aRight.second.mMeasuredAt;
  };
  mClasses.erase(std::min_element(mClasses.begin(), mClasses.end(), isOlder));
}

} // namespace sesameway
