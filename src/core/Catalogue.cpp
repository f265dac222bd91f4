#include "sesameway/Catalogue.h"

namespace sesameway {

namespace {

template<typename Map>
const typename Map::mapped_type* FindIn(const Map& aMap, std::string_view aName)
{
  auto it = aMap.find(aName);
  return it == aMap.end() ? nullptr : &it->second;
}

} // namespace

const Organisation* Catalogue::FindOrganisation(std::string_view aName) const
{
  return FindIn(mOrganisations, aName);
}

const RouteEntry* Catalogue::FindRoute(std::string_view aName) const
{
  return FindIn(mRoutes, aName);
}

const KeyEntry* Catalogue::FindKeyByHash(std::string_view aHash) const
{
  const auto* name = FindIn(mKeyNamesByHash, aHash);
  return name ? FindIn(mKeys, *name) : nullptr;
}

const Group* Catalogue::FindGroup(std::string_view aName) const
{
  for (const auto& it : mServices) {
    for (const auto& group : it.second.mGroups) {
      if (group.mName == aName) {
        return &group;
      }
    }
  }
  return nullptr;
}

bool MayReplace(const Catalogue* aInForce, const Catalogue& aReceived)
{
  return aInForce == nullptr || aReceived.mVersion >= aInForce->mVersion;
}

} // namespace sesameway
