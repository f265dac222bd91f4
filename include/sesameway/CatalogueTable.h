#pragma once

#include "sesameway/CatalogueText.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sesameway {

// One version of an object in the store, or its removal.
struct StoredObject
{
  std::string mName;
  // Number of changes of this object so far, starting at 1.
  std::uint64_t mVersion = 0;
  // Number of changes of the whole store, up to and including this one.
  std::uint64_t mRevision = 0;
  std::string mBody;
  bool mDeleted = false;
  bool operator==(const StoredObject&) const = default;
};

// An entry whose newest version is not in force, and why.
struct Rejection
{
  std::string mObject;
  std::uint64_t mVersion = 0;
  // Version that is in force instead; 0 if there is none.
  std::uint64_t mVersionInForce = 0;
  EntryError mError;
};

// A daemon's copy of the catalogue objects in the store. The revision of an object
// never decreases. If a new version of an entry can't be parsed, the last valid version
// stays in force.
class CatalogueTable
{
public:
  // Merges one version of an object. Returns true if this changed the table. Calls may
  // come in any order.
  bool Apply(const StoredObject& aObject);
  // Merges a complete list of the store's objects as of a revision; objects missing
  // from it are taken as removed.
  bool ApplyListing(const std::vector<StoredObject>& aObjects, std::uint64_t aRevision);
  // Merges the changes that a peer daemon at `aRevision` holds beyond `aBase`, which
  // was this table's revision when the peer was asked.
  bool ApplyDelta(std::uint64_t aBase,
                  std::uint64_t aRevision,
                  const std::vector<StoredObject>& aChanges);
  // Returns the changes for a peer daemon that has all up to `aRevision`. For each
  // entry whose newest version was rejected, the last valid version is included
  // regardless of its age, because the store no longer holds it.
  std::vector<StoredObject> ChangesSince(std::uint64_t aRevision) const;

  // Revision up to which this table contains all changes.
  std::uint64_t Revision() const { return mRevision; }
  // Revision of the object's version in force; 0 if there is none.
  std::uint64_t RevisionOf(const std::string& aName) const;
  // Revision of the newest version received, in force or not; 0 if there is none.
  std::uint64_t SeenRevisionOf(const std::string& aName) const;
  std::vector<Rejection> Rejections() const;
  Catalogue Build() const;

private:
  struct Slot
  {
    StoredObject mSeen;
    std::optional<StoredObject> mGood;
    std::optional<CatalogueEntry> mEntry;
    // Error of the newest version, set while that version is not in force.
    std::optional<EntryError> mError;
  };
  bool ApplyNewer(Slot& aSlot, const StoredObject& aObject);
  // Merges a version that is older than the newest one received. It takes effect only
  // if the newest one was rejected.
  bool ApplyOlder(Slot& aSlot, const StoredObject& aObject);

  std::map<std::string, Slot> mSlots;
  std::uint64_t mRevision = 0;
};

} // namespace sesameway
