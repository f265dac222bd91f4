#include "sesameway/StoreWatchers.h"

#include <algorithm>

namespace sesameway {

namespace {

// A fellow's contact is this old at most while all is well: its own call's wait, and
// the interval of asking it.
constexpr Duration kFreshAge = milliseconds(1700);
// So that the next one in line comes first.
constexpr Duration kRankStep = milliseconds(150);
constexpr std::size_t kMaxSteps = 3;
// Whoever had to step in goes on for this long.
constexpr Duration kWatchTime = seconds(4);

} // namespace

void StoreWatchers::SetDaemons(std::vector<std::string> aNames)
{
  std::sort(aNames.begin(), aNames.end());
  auto end = std::lower_bound(aNames.begin(), aNames.end(), mSelf);
  aNames.erase(end, aNames.end());
  mBefore = std::move(aNames);
}

bool StoreWatchers::MustWatch(TimePoint aContact, TimePoint aNow)
{
  if (mBefore.empty() || aNow < mWatchUntil) {
    return true;
  }
  auto steps = static_cast<int>(std::min(mBefore.size(), kMaxSteps));
  if (aNow - aContact < kFreshAge + kRankStep * steps) {
    return false;
  }
  mWatchUntil = aNow + kWatchTime;
  return true;
}

std::string StoreWatchers::PeerToAsk() const
{
  return mBefore.empty() ? std::string() : mBefore[mFailures % mBefore.size()];
}

} // namespace sesameway
