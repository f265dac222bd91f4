#pragma once

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
  // Statements a second and statements at once, over the whole fleet.
  double mRate = 0;
  double mBurst = 0;
  // Share of scarce connections where organisations compete.
  std::uint32_t mWeight = 1;
};

struct DatabaseEntry
{
  std::string mName;
  std::string mZone;
  // IP:port.
  std::string mAddress;
  bool operator==(const DatabaseEntry&) const = default;
};

struct Group
{
  std::string mName;
  std::vector<DatabaseEntry> mDatabases;
  // How many daemons may hold connections to the group at once.
  std::uint32_t mSlots = 3;
  // Connections that one database takes, over the whole fleet.
  std::uint32_t mConnections = 20;
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
  // SHA-256 of the key, lower-case hex.
  std::string mHash;
  bool mWithdrawn = false;
};

struct RouteEntry
{
  std::string mName;
  std::string mService;
  std::string mGroup;
  // Organisations that may use it; ignored on a route open to all.
  std::vector<std::string> mOrganisations;
  bool mOpen = false;
  // Oldest data a read may return, microseconds; 0: none older than the read's start.
  std::uint64_t mMaxAgeUs = 0;
  // Longest time for one statement, microseconds; 0: no limit of the route's own.
  std::uint64_t mStatementTimeoutUs = 0;
  // Statements of a lower number go first where connections are short.
  std::uint32_t mPriority = 0;
};

// The entries in force, as one value that never changes once it is published.
struct Catalogue
{
  // Of the platform's store; grows with each change.
  std::uint64_t mRevision = 0;
  // A transaction whose caller rests longer may be rolled back, microseconds; 0: never.
  std::uint64_t mIdleTransactionUs = 0;
  std::map<std::string, Organisation, std::less<>> mOrganisations;
  std::map<std::string, Service, std::less<>> mServices;
  std::map<std::string, KeyEntry, std::less<>> mKeys;
  // Key entries by hash.
  std::map<std::string, std::string, std::less<>> mKeyNamesByHash;
  std::map<std::string, RouteEntry, std::less<>> mRoutes;

  const Organisation* FindOrganisation(std::string_view aName) const;
  const RouteEntry* FindRoute(std::string_view aName) const;
  const KeyEntry* FindKeyByHash(std::string_view aHash) const;
  const Group* FindGroup(std::string_view aName) const;
};

using CataloguePtr = std::shared_ptr<const Catalogue>;

} // namespace sesameway
