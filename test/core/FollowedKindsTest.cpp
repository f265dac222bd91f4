#include "sesameway/FollowedKinds.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace sesameway;

// Covers which calls to the store are due, and how recent a daemon's information is
// while the calls for one kind of object fail or take long.
class FollowedKindsTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(FollowedKindsTest);
  CPPUNIT_TEST(EachKindIsListedAndThenWatchedWhileTheStoreIsFollowed);
  CPPUNIT_TEST(AListingIsRepeatedUntilAPeerHasSentTheKind);
  CPPUNIT_TEST(OtherKindsWaitUntilTheFirstIsAnswered);
  CPPUNIT_TEST(AKindWhoseHistoryIsGoneIsListed);
  CPPUNIT_TEST(AKindWithoutAnswersMakesTheWholeOld);
  CPPUNIT_TEST(APeersAnswerCountsForEachKindByItself);
  CPPUNIT_TEST(PartsOfAnObjectCountForAWhile);
  CPPUNIT_TEST_SUITE_END();

  static constexpr TimePoint kStart{ seconds(1000) };

  static FollowedKinds TwoKinds()
  {
    return FollowedKinds({ { "own", milliseconds(700) }, { "config", seconds(2) } });
  }

  // Both kinds have been listed at kStart, and are followed.
  static FollowedKinds Followed()
  {
    auto kinds = TwoKinds();
    kinds.Due(kStart);
    kinds.OnAnswer("own", 7, kStart);
    kinds.OnAnswer("config", 7, kStart);
    kinds.SetFollowing(true);
    return kinds;
  }

  void EachKindIsListedAndThenWatchedWhileTheStoreIsFollowed()
  {
    auto kinds = TwoKinds();
    auto calls = kinds.Due(kStart);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, calls.size());
    CPPUNIT_ASSERT(calls[1].mType == StoreCallType::List);
    CPPUNIT_ASSERT(kinds.Due(kStart).empty());
    kinds.OnAnswer("own", 7, kStart);
    CPPUNIT_ASSERT(!kinds.IsComplete());
    kinds.OnAnswer("config", 9, kStart);
    CPPUNIT_ASSERT(kinds.IsComplete());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 7 }, kinds.Revision());
    CPPUNIT_ASSERT(kinds.Due(kStart).empty());
    kinds.SetFollowing(true);
    calls = kinds.Due(kStart);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, calls.size());
    CPPUNIT_ASSERT(calls[1].mType == StoreCallType::Watch);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 9 }, calls[1].mRevision);
    CPPUNIT_ASSERT(calls[1].mDeadline == kStart + seconds(2));
  }

  void AListingIsRepeatedUntilAPeerHasSentTheKind()
  {
    auto kinds = TwoKinds();
    kinds.Due(kStart);
    kinds.OnFailure("config", kStart);
    CPPUNIT_ASSERT(kinds.Due(kStart).empty());
    auto next = kinds.NextDue();
    CPPUNIT_ASSERT(next.has_value());
    auto calls = kinds.Due(*next);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, calls.size());
    CPPUNIT_ASSERT(calls[0].mType == StoreCallType::List);
    kinds.OnPeerAnswer({ { "config", 5 } }, { { "config", kStart } });
    kinds.OnFailure("config", kStart + seconds(1));
    CPPUNIT_ASSERT(kinds.Due(kStart + seconds(9)).empty());
  }

  void OtherKindsWaitUntilTheFirstIsAnswered()
  {
    auto kinds = Followed();
    kinds.Due(kStart);
    kinds.OnFailure("config", kStart);
    CPPUNIT_ASSERT(kinds.Due(kStart + seconds(1)).empty());
    kinds.OnAnswer("own", 8, kStart);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, kinds.Due(kStart + seconds(1)).size());
  }

  void AKindWhoseHistoryIsGoneIsListed()
  {
    auto kinds = Followed();
    kinds.Due(kStart);
    kinds.OnHistoryGone("config");
    auto calls = kinds.Due(kStart);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, calls.size());
    CPPUNIT_ASSERT(calls[0].mType == StoreCallType::List);
  }

  // Guards against a daemon that is taken for up to date, by itself and by all daemons
  // that ask it, because its calls for another kind are answered.
  void AKindWithoutAnswersMakesTheWholeOld()
  {
    auto kinds = Followed();
    for (int n = 1; n <= 20; ++n) {
      kinds.OnAnswer("own", 7, kStart + seconds(n));
    }
    CPPUNIT_ASSERT(kinds.Contact() == kStart + seconds(20));
    CPPUNIT_ASSERT(kinds.Contacts().at("config") == kStart);
    CPPUNIT_ASSERT(kinds.OldestContact() < kStart + seconds(3));
    kinds.OnAnswer("config", 7, kStart + seconds(20));
    CPPUNIT_ASSERT(kinds.OldestContact() == kStart + seconds(20));
  }

  void APeersAnswerCountsForEachKindByItself()
  {
    auto kinds = Followed();
    auto later = kStart + seconds(10);
    kinds.OnPeerAnswer({ { "own", 9 } }, { { "own", later }, { "config", later } });
    CPPUNIT_ASSERT(kinds.Contact() == later);
    CPPUNIT_ASSERT(kinds.Contacts().at("config") == kStart);
    kinds.OnPeerAnswer({ { "own", 9 }, { "config", 9 } },
                       { { "own", later }, { "config", kStart + seconds(4) } });
    CPPUNIT_ASSERT(kinds.Contacts().at("config") == kStart + seconds(4));
  }

  // Guards against an object that is begun anew at the store because its transfer from
  // a peer takes long.
  void PartsOfAnObjectCountForAWhile()
  {
    auto kinds = Followed();
    auto now = kStart + seconds(10);
    kinds.OnAnswer("own", 9, now + seconds(10));
    kinds.OnProgress("config", now);
    kinds.OnProgress("config", now + seconds(2));
    CPPUNIT_ASSERT(kinds.OldestContact() == now + seconds(2));
    kinds.OnProgress("config", now + seconds(9));
    CPPUNIT_ASSERT(kinds.OldestContact() < now + seconds(4));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FollowedKindsTest);
