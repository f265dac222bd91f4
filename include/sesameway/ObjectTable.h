#pragma once

#include "sesameway/CatalogueTable.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sesameway {

// A daemon's copy of some of the store's objects, from the store and from fellow
// daemons. The revision of no object goes down, so the order and repetition of messages
// does not matter.
class ObjectTable
{
public:
  // True if it is newer than what is known.
  bool Apply(const StoredObject& aObject);
  // All objects of a kind (the name up to its first slash) as of a revision. What the
  // list lacks has been removed. Returns what has changed.
  std::vector<StoredObject> ApplyListing(std::string_view aKind,
                                         const std::vector<StoredObject>& aObjects,
                                         std::uint64_t aRevision);
  // For a fellow that has all up to `aRevision`; removed ones included.
  std::vector<StoredObject> ChangesSince(std::uint64_t aRevision) const;
  // None if it is not known, or removed.
  const StoredObject* Find(std::string_view aName) const;
  void ForEach(std::string_view aKind,
               const std::function<void(const StoredObject&)>& aVisit) const;

private:
  std::map<std::string, StoredObject, std::less<>> mObjects;
};

// In changes of one kind in order, complete up to `aRevision`: gives removals that
// stand that revision. Their own may be that of the object's last change, which fellows
// that copy what is newer would take for known.
void RaiseRemovalRevisions(std::vector<StoredObject>& aChanges,
                           std::uint64_t aRevision);

// The part of a name before its first slash, and the part after it.
std::string_view KindOf(std::string_view aName);
std::string_view IdOf(std::string_view aName);

} // namespace sesameway
