#pragma once

#include "sesameway/AllowedRegions.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace sesameway {

struct Organisation
{
  std::string mName;
  // Statements per second, and statements in one burst, over the whole fleet.
  double mRate = 0;
  double mBurst = 0;
  // Weight when organisations compete for scarce connections.
  std::uint32_t mWeight = 1;
  // Regions that may receive its statements.
  AllowedRegions mAllowedRegions{};
};

struct DatabaseEntry
{
  std::string mName;
  std::string mZone;
  // Address as IP:port.
  std::string mAddress;
  bool operator==(const DatabaseEntry&) const = default;
};

struct Group
{
  std::string mName;
  std::vector<DatabaseEntry> mDatabases;
  // Maximum number of daemons that hold connections to the group at the same time.
  std::uint32_t mSlots = 3;
  // Maximum number of connections to one database, over the whole fleet.
  std::uint32_t mConnections = 20;
  // Statements per second, over the whole fleet, that a database of the group may get
  // while it is cold; 0 means no bound.
  double mColdPerS = 0;
  // How many replicas have received a commit before it is acknowledged; 0 means that
  // commits wait for none.
  std::uint32_t mSyncReplicas = 0;
};

struct Service
{
  std::string mName;
  std::string mOwner;
  std::vector<Group> mGroups;
};

struct KeyEntry
{
  std::string mName;
  std::string mOrganisation;
  // SHA-256 of the key in lower-case hex.
  std::string mHash;
  bool mWithdrawn = false;
};

struct RouteEntry
{
  std::string mName;
  std::string mService;
  std::string mGroup;
  // Organisations that may use the route; ignored if mOpen is set.
  std::vector<std::string> mOrganisations;
  bool mOpen = false;
  // Maximum age in microseconds of the data that a read may return; 0 means that it
  // must be current as of the start of the read.
  std::uint64_t mMaxAgeUs = 0;
  // Timeout of one statement in microseconds; 0 means that the route sets none.
  std::uint64_t mStatementTimeoutUs = 0;
  // Statements with a lower number are served first when connections are scarce.
  std::uint32_t mPriority = 0;
  // Latency target of an operation in microseconds; 0 means that the route sets none.
  std::uint64_t mGoalUs = 0;
  // Regions that may receive its statements.
  AllowedRegions mAllowedRegions{};
};

// Snapshot of all entries in force; immutable once published.
struct Catalogue
{
  // Revision of the platform's store, which grows with each change.
  std::uint64_t mRevision = 0;
  // The number that the operator gave it. It rises, but not by 1 each time; 0 if there
  // is none.
  std::uint64_t mVersion = 0;
  // Time in microseconds after which an idle transaction may be rolled back; 0 means
  // never.
  std::uint64_t mIdleTransactionUs = 0;
  std::map<std::string, Organisation, std::less<>> mOrganisations;
  std::map<std::string, Service, std::less<>> mServices;
  std::map<std::string, KeyEntry, std::less<>> mKeys;
  // Names of the key entries by hash.
  std::map<std::string, std::string, std::less<>> mKeyNamesByHash;
  std::map<std::string, RouteEntry, std::less<>> mRoutes;

  const Organisation* FindOrganisation(std::string_view aName) const;
  const RouteEntry* FindRoute(std::string_view aName) const;
  const KeyEntry* FindKeyByHash(std::string_view aHash) const;
  const Group* FindGroup(std::string_view aName) const;
};

using CataloguePtr = std::shared_ptr<const Catalogue>;

// Whether a received configuration may replace the one in force, null if there is none.
// A store that has returned with an older copy holds an older configuration until the
// operator has written the newer one again.
bool MayReplace(const Catalogue* aInForce, const Catalogue& aReceived);

} // namespace sesameway
