#include "sesameway/LinkedPeers.h"

#include "sesameway/Rendezvous.h"

#include <algorithm>
#include <tuple>

namespace sesameway {

std::uint64_t PeerRank(std::string_view aSelf, std::string_view aPeer)
{
  return RendezvousHash(aSelf, aPeer);
}

void LinkedPeers::SetPeers(const std::vector<MemberRecord>& aPeers,
                           const std::function<int(const std::string&)>& aDistance)
{
  struct Candidate
  {
    int mDistance = 0;
    std::uint64_t mRank = 0;
    const MemberRecord* mRecord = nullptr;
  };
  std::vector<Candidate> candidates;
  for (const auto& it : aPeers) {
    if (it.mName != mSelf) {
      candidates.push_back({ aDistance(it.mZone), PeerRank(mSelf, it.mName), &it });
    }
  }
  auto count = std::min(kMaxLinkedPeers, candidates.size());
  std::partial_sort(candidates.begin(),
                    candidates.begin() + static_cast<std::ptrdiff_t>(count),
                    candidates.end(),
                    [](const Candidate& aLeft, const Candidate& aRight) {
                      return std::tie(aLeft.mDistance, aLeft.mRank) <
                             std::tie(aRight.mDistance, aRight.mRank);
                    });
  mChosen.clear();
  for (std::size_t n = 0; n < count; ++n) {
    mChosen.push_back(*candidates[n].mRecord);
  }
}

const MemberRecord* LinkedPeers::Next()
{
  for (const auto& it : mChosen) {
    auto& connected = mConnected[it.mName];
    if (connected != it.mIncarnation) {
      connected = it.mIncarnation;
      return &it;
    }
  }
  return nullptr;
}

} // namespace sesameway
