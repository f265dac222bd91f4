#include "sesameway/HomeRanking.h"

#include "sesameway/Rendezvous.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace sesameway {

namespace {

constexpr std::size_t kConnectionsPerDaemon = 2;
// Bits of a hash that a double holds exactly.
constexpr int kFractionBits = 53;

// A hash as a number between 0 and 1, both excluded: the logarithm of neither end can
// be used as a divisor.
double Fraction(std::uint64_t aHash)
{
  auto bits = static_cast<double>(aHash >> (64 - kFractionBits));
  return std::ldexp(bits + 0.5, -kFractionBits);
}

// Of several candidates with these scores, each has the highest one with a probability
// proportional to its speed. A score depends on no other candidate, so a daemon that
// joins or is lost moves no other daemon's homes.
double Score(std::string_view aDatabase, const HomeCandidate& aCandidate)
{
  auto hash = RendezvousHash(aDatabase, aCandidate.mName);
  return -ValidSpeed(aCandidate.mSpeed) / std::log(Fraction(hash));
}

// Appends the candidates that are in this zone, or those that are not, until there are
// kHomes.
void AppendRanked(std::string_view aDatabase,
                  std::string_view aZone,
                  bool aIsInZone,
                  const std::vector<HomeCandidate>& aCandidates,
                  std::vector<std::string>& aHomes)
{
  std::vector<std::pair<double, const HomeCandidate*>> ranked;
  for (const auto& it : aCandidates) {
    if ((it.mZone == aZone) == aIsInZone) {
      ranked.emplace_back(Score(aDatabase, it), &it);
    }
  }
  auto count = std::min(kHomes - aHomes.size(), ranked.size());
  std::partial_sort(ranked.begin(),
                    ranked.begin() + static_cast<std::ptrdiff_t>(count),
                    ranked.end(),
                    [](const auto& aLeft, const auto& aRight) {
                      return std::tie(aRight.first, aLeft.second->mName) <
                             std::tie(aLeft.first, aRight.second->mName);
                    });
  for (std::size_t n = 0; n < count; ++n) {
    aHomes.push_back(ranked[n].second->mName);
  }
}

HomeRole RoleOf(const std::string& aSelf, const std::vector<std::string>& aHomes)
{
  auto it = std::find(aHomes.begin(), aHomes.end(), aSelf);
  if (it == aHomes.end()) {
    return HomeRole::Borrower;
  }
  return it == aHomes.begin() ? HomeRole::FirstHome : HomeRole::SecondHome;
}

} // namespace

bool UsesHomes(std::size_t aConnections, std::size_t aDaemons)
{
  return aConnections != 0 && aConnections < kConnectionsPerDaemon * aDaemons;
}

std::vector<std::string> RankHomes(std::string_view aDatabase,
                                   std::string_view aZone,
                                   const std::vector<HomeCandidate>& aCandidates)
{
  std::vector<std::string> homes;
  AppendRanked(aDatabase, aZone, true, aCandidates, homes);
  if (homes.size() < kHomes) {
    AppendRanked(aDatabase, aZone, false, aCandidates, homes);
  }
  return homes;
}

// A database that accepts fewer than twice the reserve keeps half of its connections
// free, so that its first home always has one.
std::size_t HomeConnections(std::size_t aConnections, std::size_t aRank)
{
  auto left = aConnections - std::min(kReservedConnections, aConnections / 2);
  auto first = std::min(left, std::max<std::size_t>(1, left * 3 / 4));
  if (aRank == 0) {
    return first;
  }
  return aRank == 1 ? left - first : 0;
}

HomeFleet::HomeFleet(const std::vector<MemberRecord>& aMembers,
                     std::map<std::string, std::string> aRegions)
  : mRegions(std::move(aRegions))
{
  for (const auto& it : aMembers) {
    if (!it.mIsMissing) {
      ++mDaemons;
      mByRegion[RegionOf(it.mZone)].push_back({ it.mName, it.mZone, it.mSpeed });
    }
  }
}

const std::vector<HomeCandidate>& HomeFleet::Near(const std::string& aZone) const
{
  static const std::vector<HomeCandidate> kNone;
  auto it = mByRegion.find(RegionOf(aZone));
  return it == mByRegion.end() ? kNone : it->second;
}

const std::string& HomeFleet::RegionOf(const std::string& aZone) const
{
  auto it = mRegions.find(aZone);
  return it == mRegions.end() ? aZone : it->second;
}

HomePlan PlanHomes(const HomeQuestion& aQuestion, const HomeFleet& aFleet)
{
  if (!UsesHomes(aQuestion.mConnections, aFleet.Daemons())) {
    return {};
  }
  auto homes =
    RankHomes(aQuestion.mDatabase, aQuestion.mZone, aFleet.Near(aQuestion.mZone));
  if (homes.empty()) {
    return {};
  }
  auto role = RoleOf(aQuestion.mSelf, homes);
  return { role, std::move(homes) };
}

} // namespace sesameway
