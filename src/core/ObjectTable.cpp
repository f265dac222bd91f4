#include "sesameway/ObjectTable.h"

#include <algorithm>
#include <set>
#include <string>

namespace sesameway {

bool ObjectTable::Apply(const StoredObject& aObject)
{
  auto& known = mObjects[aObject.mName];
  // A removal may carry the same revision as the object's previous change.
  bool isRemoval =
    aObject.mDeleted && !known.mDeleted && aObject.mRevision == known.mRevision;
  if (known.mRevision >= aObject.mRevision && !isRemoval) {
    return false;
  }
  known = aObject;
  return true;
}

std::vector<StoredObject> ObjectTable::ApplyListing(
  std::string_view aKind,
  const std::vector<StoredObject>& aObjects,
  std::uint64_t aRevision)
{
  std::vector<StoredObject> changed;
  std::set<std::string_view> listed;
  for (const auto& it : aObjects) {
    listed.insert(it.mName);
    if (Apply(it)) {
      changed.push_back(it);
    }
  }
  for (auto& it : mObjects) {
    auto& object = it.second;
    bool isRemoved = KindOf(it.first) == aKind && !object.mDeleted &&
                     object.mRevision <= aRevision && listed.count(it.first) == 0;
    if (isRemoved) {
      object.mDeleted = true;
      object.mBody.clear();
      object.mRevision = aRevision;
      changed.push_back(object);
    }
  }
  return changed;
}

std::vector<StoredObject> ObjectTable::ChangesSince(std::uint64_t aRevision) const
{
  std::vector<StoredObject> changes;
  for (const auto& it : mObjects) {
    if (it.second.mRevision > aRevision) {
      changes.push_back(it.second);
    }
  }
  return changes;
}

std::vector<StoredObject> ObjectTable::ChangesSince(
  const KindRevisions& aRevisions) const
{
  std::vector<StoredObject> changes;
  ForEachChange(aRevisions,
                [&](const StoredObject& aObject) { changes.push_back(aObject); });
  return changes;
}

void ObjectTable::ForEachChange(
  const KindRevisions& aRevisions,
  const std::function<void(const StoredObject&)>& aVisit) const
{
  for (const auto& it : mObjects) {
    auto known = aRevisions.find(KindOf(it.first));
    auto revision = known == aRevisions.end() ? 0 : known->second;
    if (it.second.mRevision > revision) {
      aVisit(it.second);
    }
  }
}

const StoredObject* ObjectTable::Find(std::string_view aName) const
{
  auto it = mObjects.find(aName);
  return it == mObjects.end() || it->second.mDeleted ? nullptr : &it->second;
}

void ObjectTable::ForEach(std::string_view aKind,
                          const std::function<void(const StoredObject&)>& aVisit) const
{
  for (const auto& it : mObjects) {
    if (KindOf(it.first) == aKind && !it.second.mDeleted) {
      aVisit(it.second);
    }
  }
}

void RaiseRemovalRevisions(std::vector<StoredObject>& aChanges, std::uint64_t aRevision)
{
  std::set<std::string> later;
  for (auto it = aChanges.rbegin(); it != aChanges.rend(); ++it) {
    bool isLast = later.insert(it->mName).second;
    if (isLast && it->mDeleted) {
      it->mRevision = std::max(it->mRevision, aRevision);
    }
  }
}

std::string_view KindOf(std::string_view aName)
{
  return aName.substr(0, aName.find('/'));
}

std::string_view IdOf(std::string_view aName)
{
  auto slash = aName.find('/');
  return slash == std::string_view::npos ? std::string_view() : aName.substr(slash + 1);
}

} // namespace sesameway
