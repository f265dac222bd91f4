#include "sesameway/PeerPullSchedule.h"

#include <xxhash.h>

#include <algorithm>

namespace sesameway {

namespace {

// Peers are asked if the last contact with the store is older than this.
constexpr Duration kContactAge = milliseconds(2200);
// Pause between two pulls. It doubles with each that brought nothing newer, up to
// kLongestPause.
constexpr Duration kPause = milliseconds(300);
constexpr Duration kLongestPause = milliseconds(1200);
constexpr std::size_t kPeersPerPull = 2;

} // namespace

PeerPullSchedule::PeerPullSchedule(std::string_view aSelf, TimePoint aStart)
  : mStart(aStart)
  , mNextPeer(XXH3_64bits(aSelf.data(), aSelf.size()))
{
}

bool PeerPullSchedule::IsDue(TimePoint aContact, TimePoint aNow) const
{
  return aNow - std::max(aContact, mStart) > kContactAge && aNow >= mAgainAt;
}

std::vector<std::size_t> PeerPullSchedule::Next(TimePoint aContact,
                                                std::size_t aPeers,
                                                TimePoint aNow)
{
  if (!IsDue(aContact, aNow) || aPeers == 0) {
    return {};
  }
  bool isNewer = aContact > mContactAtLastPull;
  mContactAtLastPull = aContact;
  mAgainAt = aNow + ExponentialBackoff(kPause, mFruitless, kLongestPause);
  mFruitless = isNewer ? 0 : mFruitless + 1;
  std::vector<std::size_t> peers;
  for (std::size_t n = 0; n < std::min(kPeersPerPull, aPeers); ++n) {
    peers.push_back(mNextPeer++ % aPeers);
  }
  return peers;
}

} // namespace sesameway
