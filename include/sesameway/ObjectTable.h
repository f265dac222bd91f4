#pragma once

#include "sesameway/CatalogueTable.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sesameway {

// The revision up to which a daemon has all changes of each kind of the store's
// objects.
using KindRevisions = std::map<std::string, std::uint64_t, std::less<>>;

// A daemon's copy of some of the store's objects, received from the store and from peer
// daemons. The revision of an object never decreases, so messages may be reordered or
// repeated.
class ObjectTable
{
public:
  // Merges one version of an object. Returns true if it is newer than the known one.
  bool Apply(const StoredObject& aObject);
  // Merges a complete list of the objects of a kind (the name up to its first slash) as
  // of a revision; objects missing from it are taken as removed. Returns the changes.
  std::vector<StoredObject> ApplyListing(std::string_view aKind,
                                         const std::vector<StoredObject>& aObjects,
                                         std::uint64_t aRevision);
  // Returns the changes, including removals, for a peer daemon that has all changes up
  // to `aRevision`.
  std::vector<StoredObject> ChangesSince(std::uint64_t aRevision) const;
  // The same for a peer daemon that has all changes of each kind up to its own
  // revision. A kind that is not named is taken as unknown to the peer.
  std::vector<StoredObject> ChangesSince(const KindRevisions& aRevisions) const;
  // Visits the changes that such a peer daemon lacks.
  void ForEachChange(const KindRevisions& aRevisions,
                     const std::function<void(const StoredObject&)>& aVisit) const;
  // Returns the object, null if it is unknown or removed.
  const StoredObject* Find(std::string_view aName) const;
  void ForEach(std::string_view aKind,
               const std::function<void(const StoredObject&)>& aVisit) const;

private:
  std::map<std::string, StoredObject, std::less<>> mObjects;
};

// Raises the revision of each removal that is the last change of its object to at least
// `aRevision`. `aChanges` holds the changes of one kind in order, complete up to that
// revision. A removal may carry the revision of the object's previous change, and peer
// daemons, which copy only changes with a newer revision, would then skip it.
void RaiseRemovalRevisions(std::vector<StoredObject>& aChanges,
                           std::uint64_t aRevision);

// Returns the part of a name before its first slash (KindOf) or after it (IdOf).
std::string_view KindOf(std::string_view aName);
std::string_view IdOf(std::string_view aName);

} // namespace sesameway
