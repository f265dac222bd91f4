#include "sesameway/LinkedPeers.h"
#include "sesameway/PeerPullSchedule.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <set>

using namespace sesameway;

// Covers how many peers of a large fleet each daemon talks to: opening connections at
// start, and asking for changes while the store is out.
class LinkedPeersTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(LinkedPeersTest);
  CPPUNIT_TEST(ConnectionsOfADaemonDoNotGrowWithTheFleet);
  CPPUNIT_TEST(ASmallFleetIsConnectedCompletely);
  CPPUNIT_TEST(ARestartedPeerIsConnectedAgain);
  CPPUNIT_TEST(AllDaemonsAtOnceAskDifferentPeers);
  CPPUNIT_TEST(AStartingDaemonLeavesItsPeersAlone);
  CPPUNIT_TEST(PullsThatBringNothingBecomeRarer);
  CPPUNIT_TEST_SUITE_END();

  static constexpr TimePoint kStart{ seconds(1000) };

  static std::vector<MemberRecord> Fleet(int aDaemons)
  {
    std::vector<MemberRecord> fleet;
    for (int n = 0; n < aDaemons; ++n) {
      auto zone = "z" + std::to_string(n % 6);
      fleet.push_back({ "d" + std::to_string(n), zone, "address", 1, false });
    }
    return fleet;
  }

  static std::vector<MemberRecord> Linked(LinkedPeers& aPeers)
  {
    std::vector<MemberRecord> linked;
    while (const auto* next = aPeers.Next()) {
      linked.push_back(*next);
    }
    return linked;
  }

  static int Distance(const std::string& aZone) { return aZone == "z1" ? 0 : 1; }

  void ConnectionsOfADaemonDoNotGrowWithTheFleet()
  {
    auto fleet = Fleet(590);
    std::map<std::string, std::size_t> links;
    constexpr std::size_t kOfOwnZone = 97;
    for (const auto& it : fleet) {
      LinkedPeers peers(it.mName);
      peers.SetPeers(
        fleet, [&](const std::string& aZone) { return aZone == it.mZone ? 0 : 1; });
      auto linked = Linked(peers);
      CPPUNIT_ASSERT_EQUAL(kMaxLinkedPeers, linked.size());
      for (std::size_t n = 0; n < linked.size(); ++n) {
        CPPUNIT_ASSERT(linked[n].mName != it.mName);
        CPPUNIT_ASSERT(n >= kOfOwnZone || linked[n].mZone == it.mZone);
        ++links[linked[n].mName];
      }
    }
    for (const auto& it : links) {
      CPPUNIT_ASSERT(it.second <= 2 * kMaxLinkedPeers);
    }
  }

  void ASmallFleetIsConnectedCompletely()
  {
    LinkedPeers peers("d1");
    peers.SetPeers(Fleet(9), Distance);
    auto linked = Linked(peers);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 8 }, linked.size());
    CPPUNIT_ASSERT_EQUAL(std::string("z1"), linked.front().mZone);
  }

  void ARestartedPeerIsConnectedAgain()
  {
    auto fleet = Fleet(3);
    LinkedPeers peers("d1");
    peers.SetPeers(fleet, Distance);
    Linked(peers);
    CPPUNIT_ASSERT(peers.Next() == nullptr);
    fleet[2].mIncarnation = 2;
    peers.SetPeers(fleet, Distance);
    auto again = Linked(peers);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, again.size());
    CPPUNIT_ASSERT_EQUAL(std::string("d2"), again.front().mName);
  }

  void AllDaemonsAtOnceAskDifferentPeers()
  {
    constexpr std::size_t kDaemons = 590;
    std::map<std::size_t, int> asked;
    for (std::size_t n = 0; n < kDaemons; ++n) {
      PeerPullSchedule schedule("d" + std::to_string(n), kStart);
      for (auto it : schedule.Next(kStart, kDaemons, kStart + seconds(3))) {
        ++asked[it];
      }
    }
    for (const auto& it : asked) {
      CPPUNIT_ASSERT(it.second <= 12);
    }
  }

  void AStartingDaemonLeavesItsPeersAlone()
  {
    PeerPullSchedule schedule("d1", kStart);
    CPPUNIT_ASSERT(schedule.Next(TimePoint{}, 3, kStart + seconds(1)).empty());
    CPPUNIT_ASSERT(!schedule.Next(TimePoint{}, 3, kStart + seconds(3)).empty());
  }

  void PullsThatBringNothingBecomeRarer()
  {
    auto pulls = [](bool aIsAnswered) {
      PeerPullSchedule schedule("d1", kStart);
      auto contact = kStart;
      int count = 0;
      for (auto now = kStart; now < kStart + seconds(30); now += milliseconds(50)) {
        if (!schedule.Next(contact, 3, now).empty()) {
          ++count;
          // The answer is newer, but still too old.
          contact = aIsAnswered ? now - seconds(3) : contact;
        }
      }
      return count;
    };
    CPPUNIT_ASSERT(pulls(true) > 80);
    CPPUNIT_ASSERT(pulls(false) < 30);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LinkedPeersTest);
