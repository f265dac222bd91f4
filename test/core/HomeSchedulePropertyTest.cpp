#include "sesameway/HomeRanking.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <random>

using namespace sesameway;

namespace {

constexpr std::size_t kDatabases = 8;

std::string Zone(std::size_t aNumber)
{
  return "z" + std::to_string(aNumber % 3);
}

// Daemons join and are lost. Each change gets the next revision of the store, and every
// daemon reads the revisions in order, with a delay of its own.
class ChangingFleet
{
public:
  ChangingFleet(std::size_t aDaemons, std::uint64_t aSeed)
    : mRandom(aSeed)
  {
    for (std::size_t n = 0; n < aDaemons; ++n) {
      mKnown[AddMember()] = 0;
    }
    AddRevision();
  }

  std::size_t Random(std::size_t aBelow) { return mRandom() % aBelow; }
  std::size_t Listed() const { return mKnown.size(); }
  std::size_t CutOff() const { return mCutOff.size(); }

  // A daemon starts with the newest list, as it reads the whole store first.
  void Join()
  {
    auto name = AddMember();
    AddRevision();
    mJoins.push_back(mRevisions.size() - 1);
    mKnown[name] = mRevisions.size() - 1;
  }
  // A daemon that is cut off continues to run with the list that it has read.
  void Lose(bool aIsCutOff)
  {
    auto lost = mMembers.begin() + static_cast<std::ptrdiff_t>(Random(mMembers.size()));
    auto node = mKnown.extract(lost->mName);
    if (aIsCutOff) {
      mCutOff.insert(std::move(node));
    }
    mMembers.erase(lost);
    AddRevision();
  }
  void Read()
  {
    auto it = mKnown.begin();
    std::advance(it, Random(mKnown.size()));
    it->second += Random(mRevisions.size() - it->second);
  }
  void EndCutOff() { mCutOff.clear(); }
  void ReadAll()
  {
    for (auto& it : mKnown) {
      it.second = mRevisions.size() - 1;
    }
  }

  // Number of daemons whose joining some running daemon does not know of.
  std::size_t UnknownJoins() const
  {
    auto oldest = mRevisions.size();
    for (const auto* known : { &mKnown, &mCutOff }) {
      for (const auto& it : *known) {
        oldest = std::min(oldest, it.second);
      }
    }
    return std::count_if(
      mJoins.begin(), mJoins.end(), [&](std::size_t aIt) { return aIt > oldest; });
  }
  // Sum of the connections that the daemons which count themselves as homes may hold.
  std::size_t Connections(std::size_t aDatabase, std::size_t aLimit) const
  {
    std::size_t sum = 0;
    for (const auto* known : { &mKnown, &mCutOff }) {
      for (const auto& it : *known) {
        sum += ConnectionsOf(it.first, it.second, aDatabase, aLimit);
      }
    }
    return sum;
  }

private:
  std::string AddMember()
  {
    auto name = "d" + std::to_string(mNames);
    auto speed = 0.12 * static_cast<double>(1 + Random(8));
    mMembers.push_back({ name, Zone(mNames++), "address", 1, false, speed });
    return name;
  }
  void AddRevision()
  {
    mRevisions.emplace_back(mMembers, std::map<std::string, std::string>());
  }
  std::size_t ConnectionsOf(const std::string& aDaemon,
                            std::size_t aRevision,
                            std::size_t aDatabase,
                            std::size_t aLimit) const
  {
    HomeQuestion question{
      aDaemon, "db-" + std::to_string(aDatabase), Zone(aDatabase), aLimit
    };
    auto role = PlanHomes(question, mRevisions[aRevision]).mRole;
    RC_ASSERT(role != HomeRole::Direct);
    if (role == HomeRole::Borrower) {
      return 0;
    }
    return HomeConnections(aLimit, role == HomeRole::FirstHome ? 0 : 1);
  }

  std::mt19937_64 mRandom;
  std::size_t mNames = 0;
  std::vector<MemberRecord> mMembers;
  // The members at each revision.
  std::vector<HomeFleet> mRevisions;
  // Revisions at which a daemon joined.
  std::vector<std::size_t> mJoins;
  // Revision that each listed daemon has read, and each that is cut off.
  std::map<std::string, std::size_t> mKnown;
  std::map<std::string, std::size_t> mCutOff;
};

} // namespace

class HomeSchedulePropertyTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(HomeSchedulePropertyTest);
  CPPUNIT_TEST(ConnectionsOfAllHomesAreBounded);
  CPPUNIT_TEST_SUITE_END();

  // Guards against homes that together hold more connections than the database accepts.
  // Losses of daemons that have ended never lead to more homes: only a daemon that does
  // not know of one ranked before it can count itself as a home too early. So there is
  // at most one more first home for each joining that is not known everywhere, and for
  // each daemon that is no longer listed but running.
  void ConnectionsOfAllHomesAreBounded()
  {
    CPPUNIT_ASSERT(rc::check("connections of all homes", [] {
      auto daemons = *rc::gen::element<std::size_t>(16, 78);
      ChangingFleet fleet(daemons, *rc::gen::arbitrary<std::uint64_t>());
      auto limit = daemons * 3 / 4;
      auto first = HomeConnections(limit, 0);
      auto second = HomeConnections(limit, 1);
      for (int n = 0; n < 60; ++n) {
        switch (fleet.Random(8)) {
          case 0:
            fleet.Join();
            break;
          case 1:
            if (fleet.Listed() > daemons * 3 / 4) {
              fleet.Lose(fleet.Random(4) == 0);
            }
            break;
          case 2:
            fleet.ReadAll();
            break;
          default:
            fleet.Read();
        }
        auto database = fleet.Random(kDatabases);
        auto bound = first * (1 + fleet.UnknownJoins() + fleet.CutOff()) + second;
        RC_ASSERT(fleet.Connections(database, limit) <= bound);
      }
      fleet.EndCutOff();
      fleet.ReadAll();
      for (std::size_t n = 0; n < kDatabases; ++n) {
        RC_ASSERT(fleet.Connections(n, limit) <= limit - kReservedConnections);
      }
    }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HomeSchedulePropertyTest);
