#include "sesameway/ResultHealth.h"

#include <algorithm>

namespace sesameway {

namespace {

// In a large fleet each daemon sends a database about one statement per second, so a
// few results must be enough. A healthy database fails far fewer than one statement in
// a hundred.
constexpr std::size_t kResults = 4;
constexpr std::ptrdiff_t kEjectAfterFailures = 2;
constexpr Duration kResultAge = seconds(10);
constexpr Duration kFirstEjection = seconds(2);
constexpr Duration kLongestEjection = seconds(8);
// After this long without an ejection, the next one lasts kFirstEjection again.
constexpr Duration kEjectionResetAfter = seconds(20);

} // namespace

void ResultHealth::OnResult(bool aIsGood, TimePoint aNow)
{
  if (mEjections > 0 && aNow - mEjectedUntil > kEjectionResetAfter) {
    mEjections = 0;
  }
  mLast.push_back({ aIsGood, aNow });
  while (mLast.size() > kResults || aNow - mLast.front().mAt > kResultAge) {
    mLast.pop_front();
  }
  auto failed = std::count_if(
    mLast.begin(), mLast.end(), [](const Result& aIt) { return !aIt.mIsGood; });
  if (failed < kEjectAfterFailures || IsEjected(aNow)) {
    return;
  }
  mEjectedUntil =
    aNow + ExponentialBackoff(kFirstEjection, mEjections++, kLongestEjection);
  mLast.clear();
}

} // namespace sesameway
