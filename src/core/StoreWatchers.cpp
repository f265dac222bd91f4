#include "sesameway/StoreWatchers.h"

#include <algorithm>

namespace sesameway {

namespace {

// Maximum age of the information from a peer daemon in normal operation: the wait of
// the peer's own store call plus the interval at which the peer is asked.
constexpr Duration kFreshAge = milliseconds(1700);
// Extra delay for each preceding daemon, so that daemons take over in order of name.
constexpr Duration kRankStep = milliseconds(150);
constexpr std::size_t kMaxSteps = 3;
// How long a daemon that took over keeps watching the store.
constexpr Duration kWatchTime = seconds(4);

} // namespace

void StoreWatchers::SetDaemons(std::vector<std::string> aNames)
{
  std::sort(aNames.begin(), aNames.end());
  auto end = std::lower_bound(aNames.begin(), aNames.end(), mSelf);
  aNames.erase(end, aNames.end());
  mPreceding = std::move(aNames);
}

bool StoreWatchers::MustWatch(TimePoint aContact, TimePoint aNow)
{
  if (mPreceding.empty() || aNow < mWatchUntil) {
    return true;
  }
  auto steps = static_cast<int>(std::min(mPreceding.size(), kMaxSteps));
  if (aNow - aContact < kFreshAge + kRankStep * steps) {
    return false;
  }
  mWatchUntil = aNow + kWatchTime;
  return true;
}

std::string StoreWatchers::PeerToAsk() const
{
  return mPreceding.empty() ? std::string() : mPreceding[mFailures % mPreceding.size()];
}

} // namespace sesameway
