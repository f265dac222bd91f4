#include "sesameway/CatalogueTable.h"

#include <algorithm>
#include <set>

namespace sesameway {

bool CatalogueTable::Apply(const StoredObject& aObject)
{
  if (!aObject.mName.starts_with(kCataloguePrefix)) {
    return false;
  }
  auto& slot = mSlots[aObject.mName];
  bool isChanged = aObject.mRevision > slot.mSeen.mRevision ? ApplyNewer(slot, aObject)
                                                            : ApplyOlder(slot, aObject);
  mRevision = std::max(mRevision, aObject.mRevision);
  return isChanged;
}

bool CatalogueTable::ApplyNewer(Slot& aSlot, const StoredObject& aObject)
{
  aSlot.mSeen = aObject;
  if (aObject.mDeleted) {
    aSlot.mGood = aObject;
    aSlot.mEntry.reset();
    aSlot.mError.reset();
    return true;
  }
  auto entry = ParseEntry(aObject.mName, aObject.mBody);
  if (!entry) {
    aSlot.mError = entry.error();
    return true;
  }
  aSlot.mGood = aObject;
  aSlot.mEntry = std::move(*entry);
  aSlot.mError.reset();
  return true;
}

bool CatalogueTable::ApplyOlder(Slot& aSlot, const StoredObject& aObject)
{
  std::uint64_t good = aSlot.mGood ? aSlot.mGood->mRevision : 0;
  if (!aSlot.mError || aObject.mRevision <= good) {
    return false;
  }
  if (aObject.mDeleted) {
    aSlot.mGood = aObject;
    aSlot.mEntry.reset();
    return true;
  }
  auto entry = ParseEntry(aObject.mName, aObject.mBody);
  if (!entry) {
    return false;
  }
  aSlot.mGood = aObject;
  aSlot.mEntry = std::move(*entry);
  return true;
}

bool CatalogueTable::ApplyListing(const std::vector<StoredObject>& aObjects,
                                  std::uint64_t aRevision)
{
  bool isChanged = false;
  std::set<std::string> names;
  for (const auto& it : aObjects) {
    names.insert(it.mName);
    isChanged = Apply(it) || isChanged;
  }
  std::vector<StoredObject> removed;
  for (const auto& it : mSlots) {
    const auto& seen = it.second.mSeen;
    if (!names.contains(it.first) && seen.mRevision < aRevision && !seen.mDeleted) {
      removed.push_back({ it.first, seen.mVersion, aRevision, {}, true });
    }
  }
  for (const auto& it : removed) {
    isChanged = Apply(it) || isChanged;
  }
  return isChanged;
}

bool CatalogueTable::ApplyDelta(std::uint64_t aBase,
                                std::uint64_t aRevision,
                                const std::vector<StoredObject>& aChanges)
{
  // A reply to a request that an earlier incarnation of this daemon sent may omit
  // changes that this table lacks.
  if (aBase > mRevision) {
    return false;
  }
  bool isChanged = false;
  for (const auto& it : aChanges) {
    isChanged = Apply(it) || isChanged;
  }
  mRevision = std::max(mRevision, aRevision);
  return isChanged;
}

std::vector<StoredObject> CatalogueTable::ChangesSince(std::uint64_t aRevision) const
{
  std::vector<StoredObject> changes;
  for (const auto& it : mSlots) {
    const auto& slot = it.second;
    if (slot.mError && slot.mGood) {
      changes.push_back(*slot.mGood);
    }
    if (slot.mSeen.mRevision > aRevision) {
      changes.push_back(slot.mSeen);
    }
  }
  return changes;
}

std::uint64_t CatalogueTable::RevisionOf(const std::string& aName) const
{
  auto it = mSlots.find(aName);
  return it == mSlots.end() || !it->second.mGood ? 0 : it->second.mGood->mRevision;
}

std::uint64_t CatalogueTable::SeenRevisionOf(const std::string& aName) const
{
  auto it = mSlots.find(aName);
  return it == mSlots.end() ? 0 : it->second.mSeen.mRevision;
}

std::vector<Rejection> CatalogueTable::Rejections() const
{
  std::vector<Rejection> rejections;
  for (const auto& it : mSlots) {
    const auto& slot = it.second;
    if (slot.mError) {
      rejections.push_back({ it.first,
                             slot.mSeen.mVersion,
                             slot.mEntry ? slot.mGood->mVersion : 0,
                             *slot.mError });
    }
  }
  return rejections;
}

Catalogue CatalogueTable::Build() const
{
  Catalogue catalogue;
  catalogue.mRevision = mRevision;
  for (const auto& it : mSlots) {
    if (it.second.mEntry) {
      Insert(catalogue, *it.second.mEntry);
    }
  }
  return catalogue;
}

} // namespace sesameway
