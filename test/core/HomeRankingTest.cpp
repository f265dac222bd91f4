#include "sesameway/HomeRanking.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <random>

using namespace sesameway;

namespace {

constexpr std::size_t kZones = 6;
constexpr std::size_t kFleetSizes[] = { 8, 78, 295 };

std::string Zone(std::size_t aNumber)
{
  return "z" + std::to_string(aNumber % kZones);
}

std::string DatabaseName(std::size_t aNumber)
{
  return "db-" + std::to_string(aNumber);
}

std::map<std::string, std::string> Regions()
{
  std::map<std::string, std::string> regions;
  for (std::size_t n = 0; n < kZones; ++n) {
    regions[Zone(n)] = "r" + std::to_string(n / 2);
  }
  return regions;
}

// A fleet over six zones in three regions, with speeds from 0.12 to 0.96.
std::vector<MemberRecord> Fleet(std::size_t aDaemons)
{
  std::vector<MemberRecord> fleet;
  for (std::size_t n = 0; n < aDaemons; ++n) {
    auto speed = 0.12 * static_cast<double>(1U << (n / kZones % 4));
    fleet.push_back({ "d" + std::to_string(n), Zone(n), "address", 1, false, speed });
  }
  return fleet;
}

// Few enough connections that even the smallest fleet uses homes.
constexpr std::size_t kFewConnections = 12;

HomePlan Plan(const HomeFleet& aFleet, const std::string& aSelf, std::size_t aDatabase)
{
  return PlanHomes({ aSelf, DatabaseName(aDatabase), Zone(aDatabase), kFewConnections },
                   aFleet);
}

} // namespace

class HomeRankingTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(HomeRankingTest);
  CPPUNIT_TEST(HomesAreUsedBelowTwoConnectionsPerDaemon);
  CPPUNIT_TEST(HomesTogetherLeaveTheReserve);
  CPPUNIT_TEST(DaemonsOfTheZoneComeFirst);
  CPPUNIT_TEST(RankingIsTheSameInAllVersions);
  CPPUNIT_TEST(FasterDaemonsAreProportionallyMoreOftenHomes);
  CPPUNIT_TEST(ALostDaemonMovesOnlyItsOwnHomes);
  CPPUNIT_TEST(ListsThatDifferByOneMemberMostlyAgree);
  CPPUNIT_TEST(EachDatabaseHasOneDaemonInEachRole);
  CPPUNIT_TEST(DatabaseWithoutCandidateIsUsedDirectly);
  CPPUNIT_TEST(MissingMembersAreNoHomes);
  CPPUNIT_TEST_SUITE_END();

  // Guards against homes in a fleet that has connections enough, which would then pay
  // for an additional hop, and against none where each daemon gets only one.
  void HomesAreUsedBelowTwoConnectionsPerDaemon()
  {
    using Case = std::pair<std::size_t, std::size_t>;
    for (auto [daemons, connections] :
         { Case{ 9, 22 }, { 8, 16 }, { 7, 36 }, { 67, 267 } }) {
      CPPUNIT_ASSERT(!UsesHomes(connections, daemons));
    }
    for (auto [daemons, connections] : { Case{ 62, 70 },
                                         { 78, 66 },
                                         { 74, 70 },
                                         { 84, 40 },
                                         { 83, 79 },
                                         { 295, 216 } }) {
      CPPUNIT_ASSERT(UsesHomes(connections, daemons));
    }
    CPPUNIT_ASSERT(!UsesHomes(0, 8));
  }

  // Guards against homes that together exceed the limit, and against a first home
  // without a connection.
  void HomesTogetherLeaveTheReserve()
  {
    for (std::size_t n = 2; n < 600; ++n) {
      auto first = HomeConnections(n, 0);
      auto second = HomeConnections(n, 1);
      CPPUNIT_ASSERT(first > 0 && second <= first);
      CPPUNIT_ASSERT(first + second + std::min(kReservedConnections, n / 2) <= n);
      CPPUNIT_ASSERT_EQUAL(std::size_t(0), HomeConnections(n, kHomes));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(48), HomeConnections(70, 0));
    CPPUNIT_ASSERT_EQUAL(std::size_t(16), HomeConnections(70, 1));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), HomeConnections(1, 0));
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), HomeConnections(0, 0));
  }

  // Guards against homes far from the database while a near daemon is there, however
  // slow.
  void DaemonsOfTheZoneComeFirst()
  {
    std::vector<HomeCandidate> candidates{ { "far1", "y", 9 }, { "far2", "y", 9 } };
    for (std::size_t n = 0; n < 200; ++n) {
      CPPUNIT_ASSERT_EQUAL(kHomes, RankHomes(DatabaseName(n), "z", candidates).size());
    }
    candidates.push_back({ "near1", "z", 0.1 });
    for (std::size_t n = 0; n < 200; ++n) {
      auto homes = RankHomes(DatabaseName(n), "z", candidates);
      CPPUNIT_ASSERT(homes.size() == kHomes && homes.front() == "near1");
    }
    candidates.push_back({ "near2", "z", 0.1 });
    for (std::size_t n = 0; n < 200; ++n) {
      auto homes = RankHomes(DatabaseName(n), "z", candidates);
      std::sort(homes.begin(), homes.end());
      CPPUNIT_ASSERT((homes == std::vector<std::string>{ "near1", "near2" }));
    }
    CPPUNIT_ASSERT(RankHomes("db", "z", {}).empty());
  }

  // Guards against a change of the hash or the score: daemons of two versions would
  // name different homes during a rolling upgrade.
  void RankingIsTheSameInAllVersions()
  {
    std::vector<HomeCandidate> candidates;
    for (const auto& it : Fleet(24)) {
      candidates.push_back({ it.mName, "z", it.mSpeed });
    }
    std::string names;
    for (std::size_t n = 0; n < 6; ++n) {
      for (const auto& it : RankHomes(DatabaseName(n), "z", candidates)) {
        names += it + ' ';
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::string("d18 d17 d18 d21 d23 d18 d22 d20 d10 d6 d20 d23 "),
                         names);
  }

  // Guards against slow daemons that are homes as often as fast ones. Load: VMs with
  // 0.12 of a core beside VMs with eight times as much.
  void FasterDaemonsAreProportionallyMoreOftenHomes()
  {
    constexpr std::size_t kDatabases = 20000;
    for (auto size : kFleetSizes) {
      std::vector<HomeCandidate> candidates;
      std::map<std::string, double> speeds;
      std::map<double, double> expected;
      double total = 0;
      for (const auto& it : Fleet(size)) {
        candidates.push_back({ it.mName, "z", it.mSpeed });
        speeds[it.mName] = it.mSpeed;
        expected[it.mSpeed] += it.mSpeed;
        total += it.mSpeed;
      }
      std::map<double, double> found;
      for (std::size_t n = 0; n < kDatabases; ++n) {
        found[speeds.at(RankHomes(DatabaseName(n), "z", candidates).front())] += 1;
      }
      for (auto [speed, sum] : expected) {
        // Four standard deviations are at most 0.015.
        CPPUNIT_ASSERT_DOUBLES_EQUAL(sum / total, found[speed] / kDatabases, 0.015);
      }
    }
  }

  // Guards against a loss or a restart that moves the queues of other databases.
  void ALostDaemonMovesOnlyItsOwnHomes()
  {
    std::mt19937 random(1);
    for (auto size : kFleetSizes) {
      auto members = Fleet(size);
      HomeFleet before(members, Regions());
      for (int round = 0; round < 20; ++round) {
        auto fewer = members;
        auto lost = fewer.begin() + static_cast<std::ptrdiff_t>(random() % size);
        auto name = lost->mName;
        fewer.erase(lost);
        HomeFleet after(fewer, Regions());
        for (std::size_t n = 0; n < 60; ++n) {
          auto homes = Plan(before, name, n).mHomes;
          std::erase(homes, name);
          auto left = Plan(after, name, n).mHomes;
          CPPUNIT_ASSERT(homes.size() <= left.size());
          CPPUNIT_ASSERT(std::equal(homes.begin(), homes.end(), left.begin()));
        }
      }
    }
  }

  // Guards against borrowers that ask daemons which are not homes while a change of the
  // members spreads.
  void ListsThatDifferByOneMemberMostlyAgree()
  {
    constexpr std::size_t kDatabases = 60;
    for (auto size : kFleetSizes) {
      auto members = Fleet(size);
      HomeFleet whole(members, Regions());
      std::size_t differing = 0;
      for (std::size_t lost = 0; lost < size; ++lost) {
        auto fewer = members;
        fewer.erase(fewer.begin() + static_cast<std::ptrdiff_t>(lost));
        HomeFleet other(fewer, Regions());
        for (std::size_t n = 0; n < kDatabases; ++n) {
          bool isSame = Plan(whole, "", n) == Plan(other, "", n);
          differing += isSame ? 0 : 1;
        }
      }
      // Over all daemons that may be lost, the homes of each database change twice.
      CPPUNIT_ASSERT_EQUAL(kDatabases * kHomes, differing);
    }
  }

  // Guards against two first homes, which together exceed the limit, and a database
  // without any.
  void EachDatabaseHasOneDaemonInEachRole()
  {
    for (auto size : kFleetSizes) {
      auto members = Fleet(size);
      HomeFleet fleet(members, Regions());
      for (std::size_t n = 0; n < 60; ++n) {
        std::map<HomeRole, std::size_t> roles;
        for (const auto& it : members) {
          auto plan = Plan(fleet, it.mName, n);
          ++roles[plan.mRole];
          CPPUNIT_ASSERT(plan.mRole != HomeRole::FirstHome ||
                         plan.mHomes.front() == it.mName);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), roles[HomeRole::FirstHome]);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), roles[HomeRole::SecondHome]);
        CPPUNIT_ASSERT_EQUAL(size - kHomes, roles[HomeRole::Borrower]);
      }
      HomeQuestion many{ "d0", "db", "z0", 2 * size };
      CPPUNIT_ASSERT(PlanHomes(many, fleet) == HomePlan());
    }
  }

  // Guards against a database that no daemon may use.
  void DatabaseWithoutCandidateIsUsedDirectly()
  {
    HomeFleet fleet(Fleet(78), Regions());
    HomeQuestion question{ "d0", "db", "elsewhere", kFewConnections };
    CPPUNIT_ASSERT(PlanHomes(question, fleet) == HomePlan());
    CPPUNIT_ASSERT(PlanHomes(question, HomeFleet()) == HomePlan());
    // A zone without a region is one by itself.
    auto members = Fleet(78);
    members.front().mZone = "elsewhere";
    HomePlan alone{ HomeRole::FirstHome, { "d0" } };
    CPPUNIT_ASSERT(PlanHomes(question, HomeFleet(members, Regions())) == alone);
  }

  // Guards against borrowers that ask a daemon that is gone.
  void MissingMembersAreNoHomes()
  {
    auto members = Fleet(8);
    for (auto& it : members) {
      it.mIsMissing = it.mName != "d3";
    }
    HomeFleet fleet(members, Regions());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), fleet.Daemons());
    HomeQuestion question{ "d3", "db", "z3", 1 };
    HomePlan alone{ HomeRole::FirstHome, { "d3" } };
    CPPUNIT_ASSERT(PlanHomes(question, fleet) == alone);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HomeRankingTest);
