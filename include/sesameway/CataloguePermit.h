#pragma once

#include "sesameway/Catalogue.h"
#include "sesameway/Statement.h"

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

} // namespace sesameway
