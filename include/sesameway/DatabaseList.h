#pragma once

#include "sesameway/NameTable.h"
#include "sesameway/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sesameway {

// How long a database counts as listed after its entry has vanished. Entries that
// expired during a store outage are back within about two seconds of the store's
// return.
inline constexpr Duration kMissingEntryGrace = milliseconds(2500);

enum class DatabaseRole : std::uint8_t
{
  Unknown,
  Primary,
  Replica,
};
inline constexpr NameTable<DatabaseRole, 3> kDatabaseRoleNames{
  { "unknown", "primary", "replica" }
};

// A database's entry in the store, written by the database itself.
struct ListedDatabase
{
  std::string mName;
  std::string mGroup;
  std::string mZone;
  // IP:port.
  std::string mAddress;
  std::uint32_t mSlots = 1;
  bool mIsLeaving = false;
  // The role that the database claims. A former primary may still claim to be the
  // primary.
  DatabaseRole mRole = DatabaseRole::Unknown;
  // Start time in milliseconds since 1970; tells restarts under the same name apart.
  std::uint64_t mStartedAtMs = 0;
  // Number of entries that the database has written since its start.
  std::uint64_t mSequence = 0;
  // How much longer the database stays slow after its start, as of the time at which it
  // wrote the entry.
  std::uint64_t mColdMs = 0;
  bool operator==(const ListedDatabase&) const = default;
};

// The databases listed in the store. An entry may expire during a store outage although
// its database is running, and then reappears soon after the outage. A database whose
// entry vanishes therefore counts as listed for kMissingEntryGrace.
class DatabaseList
{
public:
  // Returns true if the entry is new or has changed. An entry that the database wrote
  // before the known one is ignored: a store that has returned with an older copy shows
  // it until the database writes again.
  bool Put(const ListedDatabase& aDatabase);
  void Remove(const std::string& aName, TimePoint aNow);
  // Removes the databases whose entry has been gone for kMissingEntryGrace. Returns
  // true if there were any.
  bool RemoveExpired(TimePoint aNow);
  // When RemoveExpired will next find a database to remove; TimePoint::max() if none
  // has lost its entry.
  TimePoint NextExpiry() const;

  const ListedDatabase* Find(const std::string& aName) const;
  std::vector<const ListedDatabase*> OfGroup(const std::string& aGroup) const;
  std::vector<std::string> Names() const;

private:
  struct Entry
  {
    ListedDatabase mDatabase;
    std::optional<TimePoint> mExpiresAt;
  };
  std::map<std::string, Entry> mEntries;
};

} // namespace sesameway
