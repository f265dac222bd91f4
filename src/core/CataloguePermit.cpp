#include "sesameway/CataloguePermit.h"

#include <algorithm>

namespace sesameway {

Permission Authorise(const Catalogue& aCatalogue,
                     std::string_view aRoute,
                     const KeyEntry* aKey,
                     bool aIsIsolated)
{
  const auto* route = aCatalogue.FindRoute(aRoute);
  if (!route) {
    return { Reason::UnknownRoute, nullptr, nullptr };
  }
  if (!aKey || aKey->mWithdrawn) {
    return { Reason::KeyRefused, route, nullptr };
  }
  if (aIsIsolated && !route->mOpen) {
    return { Reason::Isolated, route, nullptr };
  }
  const auto* organisation = aCatalogue.FindOrganisation(aKey->mOrganisation);
  const auto& names = route->mOrganisations;
  bool isListed =
    std::find(names.begin(), names.end(), aKey->mOrganisation) != names.end();
  if (!organisation || !(route->mOpen || isListed)) {
    return { Reason::NotPermitted, route, organisation };
  }
  return { Reason::None, route, organisation };
}

Withdrawal FindWithdrawal(const Catalogue& aCatalogue, const CallerGrant& aGrant)
{
  if (aCatalogue.FindRoute(aGrant.mRoute) == nullptr) {
    return Withdrawal::RouteRemoved;
  }
  if (aGrant.mOrganisation.empty()) {
    return Withdrawal::None;
  }
  const auto* key = aCatalogue.FindKeyByHash(aGrant.mKeyHash);
  bool isHeld =
    key != nullptr && !key->mWithdrawn && key->mOrganisation == aGrant.mOrganisation;
  return isHeld ? Withdrawal::None : Withdrawal::KeyWithdrawn;
}

} // namespace sesameway
