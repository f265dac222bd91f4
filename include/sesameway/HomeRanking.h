#pragma once

#include "sesameway/Membership.h"
#include "sesameway/NameTable.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace sesameway {

// Homes are the daemons that hold the connections to a database which accepts too few
// for every daemon. The other daemons borrow connections from them.

inline constexpr std::size_t kHomes = 2;
// Connections that homes leave free, for status commands and for short periods in which
// the database still counts a connection that was already closed.
inline constexpr std::size_t kReservedConnections = 6;

// A daemon in the region of a database.
struct HomeCandidate
{
  std::string mName;
  std::string mZone;
  // Share of a core.
  double mSpeed = 0;
};

// Whether a database that accepts this many connections is used through homes: if there
// are fewer than two per daemon. A number of 0 means that the limit is not known.
bool UsesHomes(std::size_t aConnections, std::size_t aDaemons);

// At most kHomes names, in the order in which they are asked. Daemons of the database's
// zone precede others; within both, faster daemons are proportionally more often
// preferred.
std::vector<std::string> RankHomes(std::string_view aDatabase,
                                   std::string_view aZone,
                                   const std::vector<HomeCandidate>& aCandidates);

// Maximum number of connections that the home at this index of RankHomes() may hold.
std::size_t HomeConnections(std::size_t aConnections, std::size_t aRank);

// The running daemons by region, prepared once for all databases when the list of
// members changes.
class HomeFleet
{
public:
  HomeFleet() = default;
  // Leaves out members that are marked as missing. `aRegions` maps zones to regions; a
  // zone that it lacks is a region of its own.
  HomeFleet(const std::vector<MemberRecord>& aMembers,
            std::map<std::string, std::string> aRegions);

  std::size_t Daemons() const { return mDaemons; }
  // The daemons in the region of this zone.
  const std::vector<HomeCandidate>& Near(const std::string& aZone) const;

private:
  const std::string& RegionOf(const std::string& aZone) const;

  std::map<std::string, std::string> mRegions;
  std::size_t mDaemons = 0;
  std::map<std::string, std::vector<HomeCandidate>> mByRegion;
};

enum class HomeRole : std::uint8_t
{
  // Every daemon holds connections of its own.
  Direct,
  FirstHome,
  SecondHome,
  Borrower,
};
inline constexpr NameTable<HomeRole, 4> kHomeRoleNames{
  { "direct", "first_home", "second_home", "borrower" }
};

struct HomeQuestion
{
  // Name of the daemon whose role is asked for.
  std::string mSelf;
  std::string mDatabase;
  // The database's zone.
  std::string mZone;
  // Connections that the database accepts from the whole fleet; 0 if not known.
  std::size_t mConnections = 0;
};

struct HomePlan
{
  HomeRole mRole = HomeRole::Direct;
  // In the order in which they are asked; empty for HomeRole::Direct.
  std::vector<std::string> mHomes;
  bool operator==(const HomePlan&) const = default;
};

HomePlan PlanHomes(const HomeQuestion& aQuestion, const HomeFleet& aFleet);

} // namespace sesameway
