#include "sesameway/Homes.h"

#include "sesameway/Rendezvous.h"

#include <algorithm>
#include <set>

namespace sesameway {

std::vector<std::string> ChooseHomes(std::string_view aGroup,
                                     const std::vector<Candidate>& aCandidates,
                                     std::size_t aSlots)
{
  std::vector<std::pair<std::uint64_t, const Candidate*>> ranked;
  ranked.reserve(aCandidates.size());
  for (const auto& it : aCandidates) {
    ranked.emplace_back(RendezvousHash(aGroup, it.mName), &it);
  }
  std::sort(ranked.begin(), ranked.end(), [](const auto& aLeft, const auto& aRight) {
    return aLeft.first > aRight.first;
  });
  std::vector<std::string> homes;
  while (homes.size() < aSlots && !ranked.empty()) {
    std::set<std::string_view> zones;
    std::erase_if(ranked, [&](const auto& aEntry) {
      bool isTaken = homes.size() < aSlots && zones.insert(aEntry.second->mZone).second;
      if (isTaken) {
        homes.push_back(aEntry.second->mName);
      }
      return isTaken;
    });
  }
  return homes;
}

} // namespace sesameway
