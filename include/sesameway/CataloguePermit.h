#pragma once

#include "sesameway/Catalogue.h"
#include "sesameway/NameTable.h"
#include "sesameway/Statement.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace sesameway {

// Result of Authorise: whether a statement may run (Reason::None) or why not, and the
// route and organisation if known. The pointers are valid as long as the catalogue.
struct Permission
{
  Reason mReason = Reason::None;
  const RouteEntry* mRoute = nullptr;
  const Organisation* mOrganisation = nullptr;
};

// Checks whether a caller may use a route. `aKey` is the entry of the caller's key,
// null if there is none. A daemon is isolated if its last contact with the store is too
// long ago. It may then have missed the withdrawal of a key, so it accepts keys only on
// routes open to all.
Permission Authorise(const Catalogue& aCatalogue,
                     std::string_view aRoute,
                     const KeyEntry* aKey,
                     bool aIsIsolated);

// What a caller was granted when its transaction or statement was let in.
struct CallerGrant
{
  std::string mRoute;
  // SHA-256 of the caller's key in lower-case hex; empty if it gave none.
  std::string mKeyHash;
  // The organisation that the key belonged to; empty if the key was not known and the
  // route open to all.
  std::string mOrganisation;
};

// Why a grant ended.
enum class Withdrawal : std::uint8_t
{
  None,
  KeyWithdrawn,
  RouteRemoved,
};
inline constexpr NameTable<Withdrawal, 3> kWithdrawalNames{
  { "none", "key_withdrawn", "route_removed" }
};

// Whether a later catalogue takes the grant back: the key no longer belongs to that
// organisation, or the route is gone. Other changes of the route end no grant, as they
// apply from the next transaction on.
Withdrawal FindWithdrawal(const Catalogue& aCatalogue, const CallerGrant& aGrant);

} // namespace sesameway
