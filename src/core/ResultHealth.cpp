#include "sesameway/ResultHealth.h"

#include <algorithm>

namespace sesameway {

namespace {

// A large fleet's daemon sends a database about a statement a second, so few results
// must do. Well ones fail far less than one in a hundred.
constexpr std::size_t kResults = 4;
constexpr std::ptrdiff_t kEjectAfterFailures = 2;
constexpr Duration kResultAge = seconds(10);
constexpr Duration kFirstEjection = seconds(2);
constexpr Duration kLongestEjection = seconds(8);
// After this long without an ejection the next one is short again.
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
