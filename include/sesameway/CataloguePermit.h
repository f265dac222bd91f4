#pragma once

#include "sesameway/Catalogue.h"
#include "sesameway/Statement.h"

namespace sesameway {

// Whether a statement may run, and for whom. The pointers live as long as the
// catalogue.
struct Permission
{
  Reason mReason = Reason::None;
  const RouteEntry* mRoute = nullptr;
  const Organisation* mOrganisation = nullptr;
};

// `aKey` is the entry that the caller's key belongs to, null if it belongs to none.
// While isolated a key may have been withdrawn unheard of, so that none is honoured but
// on a route open to all.
Permission Authorise(const Catalogue& aCatalogue,
                     std::string_view aRoute,
                     const KeyEntry* aKey,
                     bool aIsIsolated);

} // namespace sesameway
