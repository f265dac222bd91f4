#include "sesameway/DatabaseList.h"

#include <algorithm>

namespace sesameway {

bool DatabaseList::Put(const ListedDatabase& aDatabase)
{
  auto& entry = mEntries[aDatabase.mName];
  entry.mExpiresAt.reset();
  const auto& known = entry.mDatabase;
  bool isSameStart =
    aDatabase.mStartedAtMs != 0 && aDatabase.mStartedAtMs == known.mStartedAtMs;
  bool isOlder = isSameStart && aDatabase.mSequence < known.mSequence;
  if (isOlder || known == aDatabase) {
    return false;
  }
  entry.mDatabase = aDatabase;
  return true;
}

void DatabaseList::Remove(const std::string& aName, TimePoint aNow)
{
  auto it = mEntries.find(aName);
  if (it != mEntries.end() && !it->second.mExpiresAt) {
    it->second.mExpiresAt = aNow + kMissingEntryGrace;
  }
}

bool DatabaseList::RemoveExpired(TimePoint aNow)
{
  auto isOver = [&](const auto& aIt) {
    return aIt.second.mExpiresAt && *aIt.second.mExpiresAt <= aNow;
  };
  return std::erase_if(mEntries, isOver) > 0;
}

TimePoint DatabaseList::NextExpiry() const
{
  auto next = TimePoint::max();
  for (const auto& it : mEntries) {
    next = std::min(next, it.second.mExpiresAt.value_or(TimePoint::max()));
  }
  return next;
}

const ListedDatabase* DatabaseList::Find(const std::string& aName) const
{
  auto it = mEntries.find(aName);
  return it == mEntries.end() ? nullptr : &it->second.mDatabase;
}

std::vector<const ListedDatabase*> DatabaseList::OfGroup(
  const std::string& aGroup) const
{
  std::vector<const ListedDatabase*> found;
  for (const auto& it : mEntries) {
    if (it.second.mDatabase.mGroup == aGroup) {
      found.push_back(&it.second.mDatabase);
    }
  }
  return found;
}

std::vector<std::string> DatabaseList::Names() const
{
  std::vector<std::string> names;
  for (const auto& it : mEntries) {
    names.push_back(it.first);
  }
  return names;
}

} // namespace sesameway
