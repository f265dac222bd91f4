#include "sesameway/StoreWatchers.h"

#include <algorithm>

namespace sesameway {

namespace {

// Maximum age of the information from a parent at the first level in normal operation:
// the wait of the parent's own store call plus the interval at which it is asked.
constexpr Duration kFreshAge = milliseconds(1700);
// Extra delay for each preceding daemon, so that daemons take over in order of name.
constexpr Duration kRankStep = milliseconds(150);
constexpr std::size_t kMaxSteps = 3;
// Extra delay for each level below the first, where information is older. It also lets
// one daemon of the first level take over before all others try.
constexpr Duration kLevelStep = milliseconds(300);
// How long a daemon that took over keeps watching the store.
constexpr Duration kWatchTime = seconds(4);

// Index of the parent of the daemon at index `aIndex`, which is not 0.
std::size_t ParentOf(std::size_t aIndex)
{
  return (aIndex - 1) / kMaxAskingDaemons;
}

int LevelOf(std::size_t aIndex)
{
  int level = 0;
  for (; aIndex != 0; aIndex = ParentOf(aIndex)) {
    ++level;
  }
  return level;
}

} // namespace

void StoreWatchers::SetDaemons(std::vector<std::string> aNames)
{
  std::sort(aNames.begin(), aNames.end());
  auto end = std::lower_bound(aNames.begin(), aNames.end(), mSelf);
  aNames.erase(end, aNames.end());
  mPreceding = std::move(aNames);
  mLevel = LevelOf(mPreceding.size());
}

bool StoreWatchers::MustWatch(TimePoint aContact, TimePoint aNow)
{
  if (mPreceding.empty() || aNow < mWatchUntil) {
    return true;
  }
  auto steps = static_cast<int>(std::min(mPreceding.size(), kMaxSteps));
  if (aNow - aContact < kFreshAge + kRankStep * steps + kLevelStep * (mLevel - 1)) {
    return false;
  }
  mWatchUntil = aNow + kWatchTime;
  return true;
}

// After a failure the children of one parent ask different daemons, so that they do not
// all become the children of the next one.
std::string StoreWatchers::PeerToAsk() const
{
  auto self = mPreceding.size();
  if (self == 0) {
    return {};
  }
  auto parent = ParentOf(self);
  if (mFailures == 0 || self == 1) {
    return mPreceding[parent];
  }
  auto sibling = (self - 1) % kMaxAskingDaemons;
  auto other = (sibling + mFailures - 1) % (self - 1);
  return mPreceding[other < parent ? other : other + 1];
}

} // namespace sesameway
