#include "sesameway/Routing.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace sesameway;

class RoutingTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(RoutingTest);
  CPPUNIT_TEST(ReadGoesToReplicaThatHoldsTheToken);
  CPPUNIT_TEST(ReadGoesToPrimaryWhenReplicasAreBehindTheToken);
  CPPUNIT_TEST(InheritedEntryOnAMajorityIsNotSafe);
  CPPUNIT_TEST(EntryThatCameAfterALaterGrantIsNotSafe);
  CPPUNIT_TEST(HeadOfThePrimaryThatAnswersFirstIsTimestampedOnceConfirmed);
  CPPUNIT_TEST(HeadOfAReplacedPrimaryIsNeverTimestamped);
  CPPUNIT_TEST_SUITE_END();

  static GroupView ThreeDatabases()
  {
    GroupView view;
    view.mName = "registry-0";
    view.mTerm = 3;
    view.mPrimary = 0;
    for (const char* name : { "a", "b", "c" }) {
      DatabaseView it;
      it.mName = name;
      it.mZone = "z1";
      it.mGrantedTerm = 3;
      it.mHead = { 3, 10 };
      it.mReachable = true;
      view.mDatabases.push_back(it);
    }
    view.mDatabases[0].mPrimary = true;
    return view;
  }

  void ReadGoesToReplicaThatHoldsTheToken()
  {
    auto view = ThreeDatabases();
    HeadHistory history;
    TimePoint now{ seconds(100) };
    history.Observe({ 3, 10 }, now);
    ReadRequirement requirement{ LogPosition{ 3, 10 }, true, seconds(1) };
    auto choice = ChooseForRead(view, history, requirement, "z1", now, 0);
    CPPUNIT_ASSERT(std::holds_alternative<ToReplica>(choice.mDecision));
  }

  void ReadGoesToPrimaryWhenReplicasAreBehindTheToken()
  {
    auto view = ThreeDatabases();
    HeadHistory history;
    TimePoint now{ seconds(100) };
    history.Observe({ 3, 11 }, now);
    ReadRequirement requirement{ LogPosition{ 3, 11 }, true, seconds(1) };
    auto choice = ChooseForRead(view, history, requirement, "z1", now, 0);
    CPPUNIT_ASSERT(std::holds_alternative<ToPrimary>(choice.mDecision));
    CPPUNIT_ASSERT(choice.mCause == RouteCause::ReplicasBehindToken);
  }

  void HeadOfThePrimaryThatAnswersFirstIsTimestampedOnceConfirmed()
  {
    auto view = ThreeDatabases();
    HeadHistory history;
    TimePoint asked{ seconds(100) };
    view.mDatabases[0].mSeenAt = asked;
    history.Propose({ 3, 10 }, asked);
    history.Confirm(view);
    CPPUNIT_ASSERT(!history.CurrentAt({ 3, 10 }));
    view.mDatabases[2].mSeenAt = asked;
    history.Confirm(view);
    CPPUNIT_ASSERT(history.CurrentAt({ 3, 10 }) == asked);
  }

  void HeadOfAReplacedPrimaryIsNeverTimestamped()
  {
    auto view = ThreeDatabases();
    HeadHistory history;
    TimePoint asked{ seconds(100) };
    history.Propose({ 3, 10 }, asked);
    for (auto& it : view.mDatabases) {
      it.mSeenAt = asked;
      it.mGrantedTerm = 4;
    }
    view.mDatabases[0].mGrantedTerm = 3;
    history.Confirm(view);
    CPPUNIT_ASSERT(!history.CurrentAt({ 3, 10 }));
  }

  void InheritedEntryOnAMajorityIsNotSafe()
  {
    auto view = ThreeDatabases();
    CPPUNIT_ASSERT(IsSafe(view, { 3, 10 }));
    CPPUNIT_ASSERT(!IsSafe(view, { 2, 9 }));
    view.mDatabases[1].mHead = { 2, 10 };
    view.mDatabases[2].mHead = { 2, 10 };
    CPPUNIT_ASSERT(!IsSafe(view, { 3, 10 }));
  }

  // Guards against the loss of an acknowledged write: an entry of term 3 reached a
  // majority only after that majority had granted term 5. A log of term 4, which lacks
  // the entry, could then win the promotion.
  void EntryThatCameAfterALaterGrantIsNotSafe()
  {
    auto view = ThreeDatabases();
    for (auto& it : view.mDatabases) {
      it.mHead = { 3, 10 };
      it.mGrantedTerm = 3;
    }
    CPPUNIT_ASSERT(IsSafe(view, { 3, 10 }));
    view.mDatabases[1].mGrantedTerm = 5;
    CPPUNIT_ASSERT(IsSafe(view, { 3, 10 }));
    view.mDatabases[2].mGrantedTerm = 5;
    CPPUNIT_ASSERT(!IsSafe(view, { 3, 10 }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RoutingTest);
