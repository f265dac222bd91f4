#include "sesameway/StoreWatchers.h"

#include <algorithm>
#include <map>
#include <set>
#include <tuple>
#include <utility>

namespace sesameway {

namespace {

// Maximum age of the information from a parent at the first level in normal operation:
// the wait of the parent's own store call plus the interval at which it is asked.
constexpr Duration kFreshAge = milliseconds(1700);
// Extra age for each level below the first, where information is older. It also lets
// one daemon of the first level take over before all others try.
constexpr Duration kLevelStep = milliseconds(300);
// Daemons take over in their order, each by one step later than the one before it.
// The first few follow each other slowly enough to hear of each other's success. The
// next ones must all try before contact with the store expires. The rest try only if
// none of these reaches the store.
constexpr std::size_t kFirstDaemons = 3;
constexpr Duration kFirstStep = milliseconds(150);
constexpr std::size_t kNextDaemons = 21;
constexpr Duration kNextStep = milliseconds(20);
constexpr Duration kLateStep = milliseconds(200);
// How long a daemon that took over keeps watching the store.
constexpr Duration kWatchTime = seconds(4);
// The same while this brings no newer contact.
constexpr Duration kTryTime = milliseconds(800);
// Pause after watching in vain, for all but the first few. It doubles each time.
constexpr Duration kTryPause = seconds(8);
constexpr Duration kLongestTryPause = seconds(32);
// How long another daemon is asked in place of the parent once it has helped.
constexpr Duration kOtherPeerTime = seconds(5);

// A daemon's place in the order in which the zones take turns.
struct Place
{
  std::size_t mTurn = 0;
  std::string mZone;
  std::string mName;

  bool operator<(const Place& aOther) const
  {
    return std::tie(mTurn, mZone, mName) <
           std::tie(aOther.mTurn, aOther.mZone, aOther.mName);
  }
};

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

// The zones take turns, each with its next daemon by name: a zone can be cut off from
// the store as a whole, and daemons of another one must then take over soon.
void StoreWatchers::SetDaemons(std::vector<NearDaemon> aDaemons)
{
  std::map<std::string, std::set<std::string>> zones;
  zones[mSelf.mZone].insert(mSelf.mName);
  for (auto& it : aDaemons) {
    zones[it.mZone].insert(std::move(it.mName));
  }
  std::vector<Place> places;
  for (const auto& zone : zones) {
    std::size_t turn = 0;
    for (const auto& it : zone.second) {
      places.push_back({ turn++, zone.first, it });
    }
  }
  std::sort(places.begin(), places.end());
  mPreceding.clear();
  for (auto& it : places) {
    if (it.mName == mSelf.mName) {
      break;
    }
    mPreceding.push_back(std::move(it.mName));
  }
  mLevel = LevelOf(mPreceding.size());
}

Duration StoreWatchers::FreshAge() const
{
  return kFreshAge + kLevelStep * std::max(mLevel - 1, 0);
}

Duration StoreWatchers::TakeoverDelay() const
{
  auto rank = mPreceding.size();
  auto first = std::min(rank, kFirstDaemons);
  auto next = std::min(rank - first, kNextDaemons);
  auto late = rank - first - next;
  return kFirstStep * first + kNextStep * next + kLateStep * late;
}

bool StoreWatchers::MustWatch(TimePoint aContact, TimePoint aNow)
{
  if (mPreceding.empty()) {
    return true;
  }
  if (mWatchingSince != TimePoint{}) {
    bool isFruitless = aContact <= mContactBefore;
    if (aNow < mWatchingSince + (isFruitless ? kTryTime : kWatchTime)) {
      return true;
    }
    mWatchingSince = TimePoint{};
    mFruitless = isFruitless ? mFruitless + 1 : 0;
    bool mayPause = isFruitless && mPreceding.size() > kFirstDaemons;
    if (mayPause) {
      mWatchAgainAt =
        aNow + ExponentialBackoff(kTryPause, mFruitless - 1, kLongestTryPause);
    }
  }
  bool isDue = aNow - aContact >= FreshAge() + TakeoverDelay();
  if (!isDue || aNow < mWatchAgainAt) {
    return false;
  }
  mWatchingSince = aNow;
  mContactBefore = aContact;
  return true;
}

void StoreWatchers::OnAnswer(TimePoint aContact, TimePoint aNow)
{
  if (aNow - aContact >= FreshAge()) {
    OnNoAnswer();
    mParentAgainAt = TimePoint::max();
    return;
  }
  if (mFailures == 0) {
    return;
  }
  if (mParentAgainAt == TimePoint::max()) {
    mParentAgainAt = aNow + kOtherPeerTime;
  } else if (aNow >= mParentAgainAt) {
    mFailures = 0;
    mParentAgainAt = TimePoint::max();
  }
}

// After a failure the children of one parent ask different daemons, so that they do not
// all become the children of the next one. While no one helps, the parent is asked
// every second time: what the daemons tell each other beside the store's changes
// spreads best along the tree.
std::string StoreWatchers::PeerToAsk() const
{
  auto self = mPreceding.size();
  if (self == 0) {
    return {};
  }
  auto parent = ParentOf(self);
  if (mFailures % 2 == 0 || self == 1) {
    return mPreceding[parent];
  }
  auto sibling = (self - 1) % kMaxAskingDaemons;
  auto other = (sibling + mFailures / 2) % (self - 1);
  return mPreceding[other < parent ? other : other + 1];
}

} // namespace sesameway
