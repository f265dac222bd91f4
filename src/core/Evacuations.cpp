#include "sesameway/Evacuations.h"

#include "sesameway/StoreRevision.h"

#include <algorithm>

namespace sesameway {

Evacuations::Effect Evacuations::OnStored(const std::string& aZone,
                                          const std::string& aBody,
                                          std::uint64_t aRevision,
                                          TimePoint aNow)
{
  auto it = mZones.find(aZone);
  if (it == mZones.end()) {
    auto removed = mRemoved.find(aZone);
    if (removed != mRemoved.end() && aRevision <= removed->second) {
      return Effect::None;
    }
    mRemoved.erase(aZone);
    mZones[aZone] = { aBody, aRevision, 0, aNow, TimePoint::max() };
    return Effect::Begun;
  }
  auto& entry = it->second;
  if (aRevision > std::max(entry.mRevision, entry.mLostRevision)) {
    entry = { aBody, aRevision, 0, entry.mBegunAt, TimePoint::max() };
  }
  return Effect::None;
}

// A removal may carry the revision of the object's previous change.
Evacuations::Effect Evacuations::OnRemoved(const std::string& aZone,
                                           std::uint64_t aRevision,
                                           TimePoint aNow)
{
  auto it = mZones.find(aZone);
  if (it == mZones.end()) {
    auto& removed = mRemoved[aZone];
    removed = std::max(removed, aRevision);
    return Effect::None;
  }
  auto& entry = it->second;
  if (aRevision < std::max(entry.mRevision, entry.mLostRevision)) {
    return Effect::None;
  }
  if (IsOutdated(GenerationOf(entry.mRevision), aRevision)) {
    bool isFirst = entry.mLostRevision == 0;
    entry.mLostRevision = aRevision;
    entry.mLostAt = std::min(entry.mLostAt, aNow);
    return isFirst ? Effect::LostInStore : Effect::None;
  }
  mZones.erase(it);
  mRemoved[aZone] = aRevision;
  return Effect::Ended;
}

bool Evacuations::Contains(std::string_view aZone) const
{
  return Find(aZone) != nullptr;
}

bool Evacuations::EndsTransactions(std::string_view aZone, TimePoint aNow) const
{
  const auto* entry = Find(aZone);
  return entry != nullptr && aNow - entry->mBegunAt >= kEvacuatedTransactionTime;
}

std::set<std::string> Evacuations::Zones() const
{
  std::set<std::string> zones;
  for (const auto& it : mZones) {
    zones.insert(it.first);
  }
  return zones;
}

std::vector<Evacuations::Lost> Evacuations::LostUntil(TimePoint aUntil) const
{
  std::vector<Lost> lost;
  for (const auto& it : mZones) {
    if (it.second.mLostAt <= aUntil) {
      lost.push_back({ it.first, it.second.mBody });
    }
  }
  return lost;
}

const Evacuations::Entry* Evacuations::Find(std::string_view aZone) const
{
  auto it = mZones.find(aZone);
  return it == mZones.end() ? nullptr : &it->second;
}

} // namespace sesameway
