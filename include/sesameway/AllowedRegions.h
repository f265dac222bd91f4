#pragma once

#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace sesameway {

// The regions in which databases may receive a statement. All are allowed unless a set
// of names is given; an empty set allows none.
class AllowedRegions
{
public:
  AllowedRegions() = default;
  explicit AllowedRegions(std::set<std::string> aNames)
    : mNames(std::move(aNames))
  {
  }

  bool AllowsAll() const { return !mNames; }
  // An empty name stands for a region that is not known, which only AllowsAll() covers.
  bool Allows(std::string_view aRegion) const;
  // The regions that both allow.
  AllowedRegions And(const AllowedRegions& aOther) const;
  bool operator==(const AllowedRegions&) const = default;

private:
  std::optional<std::set<std::string>> mNames;
};

} // namespace sesameway
