#include "sesameway/AllowedRegions.h"

#include <algorithm>
#include <iterator>

namespace sesameway {

bool AllowedRegions::Allows(std::string_view aRegion) const
{
  return !mNames || (!aRegion.empty() && mNames->contains(std::string(aRegion)));
}

AllowedRegions AllowedRegions::And(const AllowedRegions& aOther) const
{
  if (!mNames) {
    return aOther;
  }
  if (!aOther.mNames) {
    return *this;
  }
  std::set<std::string> both;
  std::set_intersection(mNames->begin(),
                        mNames->end(),
                        aOther.mNames->begin(),
                        aOther.mNames->end(),
                        std::inserter(both, both.end()));
  return AllowedRegions(std::move(both));
}

} // namespace sesameway
