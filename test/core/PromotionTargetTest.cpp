#include "sesameway/PromotionTarget.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>

using namespace sesameway;

namespace {

PromotionCandidate Reported(const std::string& aName, std::uint64_t aPosition)
{
  return { aName, LogPosition{ 1, aPosition }, true, true };
}

PromotionCandidate Silent(const std::string& aName)
{
  return { aName, std::nullopt, true, true };
}

} // namespace

class PromotionTargetTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(PromotionTargetTest);
  CPPUNIT_TEST(ABoundNeedsAllButTheReplicasThatCommitsWaitFor);
  CPPUNIT_TEST(WhereCommitsWaitForNoneTheGroupHasAPrimarySoon);
  CPPUNIT_TEST(AStayingReplicaIsPreferredIfItHoldsAllAcknowledgedCommits);
  CPPUNIT_TEST(WhatWasGivenUpLeavesTheRestOfTheBound);
  CPPUNIT_TEST(NoChangeBeginsWithoutATargetInSight);
  CPPUNIT_TEST(NoChoiceLacksAnAcknowledgedCommit);
  CPPUNIT_TEST_SUITE_END();

  void ABoundNeedsAllButTheReplicasThatCommitsWaitFor()
  {
    auto a = Reported("a", 7);
    auto b = Reported("b", 9);
    auto c = Silent("c");
    CPPUNIT_ASSERT(AcknowledgedBound({ a, b }, 1) == (LogPosition{ 1, 9 }));
    CPPUNIT_ASSERT(AcknowledgedBound({ a, b }, 2) == (LogPosition{ 1, 7 }));
    CPPUNIT_ASSERT(!AcknowledgedBound({ a, b, c }, 1));
    CPPUNIT_ASSERT(AcknowledgedBound({ a, b, c }, 2) == (LogPosition{ 1, 9 }));
    CPPUNIT_ASSERT(AcknowledgedBound({ a }, 3) == (LogPosition{ 1, 7 }));
    CPPUNIT_ASSERT(!AcknowledgedBound({}, 1));
  }

  void WhereCommitsWaitForNoneTheGroupHasAPrimarySoon()
  {
    PromotionSurvey survey;
    survey.mCandidates = { Reported("a", 7), Silent("b") };
    CPPUNIT_ASSERT(ChoosePromotionTarget(survey).error() == PromotionWait::Reports);
    survey.mIsReportTimeOver = true;
    CPPUNIT_ASSERT_EQUAL(std::string("a"), *ChoosePromotionTarget(survey));
    survey.mSyncReplicas = 1;
    CPPUNIT_ASSERT(ChoosePromotionTarget(survey).error() == PromotionWait::Reports);
  }

  void AStayingReplicaIsPreferredIfItHoldsAllAcknowledgedCommits()
  {
    PromotionSurvey survey;
    survey.mSyncReplicas = 1;
    survey.mCandidates = { Reported("a", 9), Reported("b", 9) };
    survey.mCandidates[0].mMayStay = false;
    CPPUNIT_ASSERT_EQUAL(std::string("b"), *ChoosePromotionTarget(survey));
    survey.mCandidates[1].mReceived = LogPosition{ 1, 8 };
    CPPUNIT_ASSERT_EQUAL(std::string("a"), *ChoosePromotionTarget(survey));
    survey.mCandidates[0].mIsRunning = false;
    CPPUNIT_ASSERT(ChoosePromotionTarget(survey).error() == PromotionWait::Holder);
  }

  // Guards against a coordinator that ends, or passes over a holder, when the platform
  // refuses databases after the commits before the takeover were given up.
  void WhatWasGivenUpLeavesTheRestOfTheBound()
  {
    PromotionSurvey survey;
    survey.mSyncReplicas = 1;
    survey.mTakenOverAt = { 1, 20 };
    survey.mCandidates = { Reported("a", 9), Reported("b", 8) };
    CPPUNIT_ASSERT(ChoosePromotionTarget(survey).error() == PromotionWait::Holder);
    survey.mIsHolderTimeOver = true;
    CPPUNIT_ASSERT_EQUAL(std::string("a"), *ChoosePromotionTarget(survey));
    survey.mCandidates[0].mIsRunning = false;
    CPPUNIT_ASSERT(ChoosePromotionTarget(survey).error() == PromotionWait::Holder);
    survey.mCandidates[1].mIsRunning = false;
    CPPUNIT_ASSERT(ChoosePromotionTarget(survey).error() == PromotionWait::Holder);
  }

  void NoChangeBeginsWithoutATargetInSight()
  {
    PromotionSurvey survey;
    survey.mSyncReplicas = 1;
    survey.mCandidates = { Reported("a", 9), Silent("b") };
    CPPUNIT_ASSERT(!MayBeginChange(survey, false));
    CPPUNIT_ASSERT(MayBeginChange(survey, true));
    survey.mIsPlanned = true;
    CPPUNIT_ASSERT(!MayBeginChange(survey, false));
    survey.mDoesOldPrimaryAnswer = true;
    CPPUNIT_ASSERT(MayBeginChange(survey, false));
    survey.mCandidates[0].mMayStay = false;
    CPPUNIT_ASSERT(!MayBeginChange(survey, false));
  }

  // Draws logs of 1 to 5 replicas, of which each acknowledged commit is in as many as
  // commits wait for, and what the coordinator knows of them.
  void NoChoiceLacksAnAcknowledgedCommit()
  {
    bool isHeld =
      rc::check("the log of the chosen database holds the acknowledged commits", [] {
        auto n = *rc::gen::inRange<std::size_t>(1, 6);
        auto syncReplicas = *rc::gen::inRange<std::size_t>(1, n + 1);
        std::vector<std::uint64_t> logs;
        for (std::size_t it = 0; it < n; ++it) {
          logs.push_back(*rc::gen::inRange<std::uint64_t>(1, 12));
        }
        auto sorted = logs;
        std::sort(sorted.rbegin(), sorted.rend());
        auto acknowledged = sorted[syncReplicas - 1];
        PromotionSurvey survey;
        survey.mSyncReplicas = static_cast<std::uint32_t>(syncReplicas);
        for (std::size_t it = 0; it < n; ++it) {
          auto candidate = Reported(std::to_string(it), logs[it]);
          if (*rc::gen::inRange(0, 4) == 0) {
            candidate.mReceived.reset();
          }
          candidate.mMayStay = *rc::gen::arbitrary<bool>();
          candidate.mIsRunning = *rc::gen::inRange(0, 4) != 0;
          survey.mCandidates.push_back(candidate);
        }
        if (*rc::gen::arbitrary<bool>()) {
          auto end = acknowledged + *rc::gen::inRange<std::uint64_t>(0, 3);
          survey.mOldPrimary = LogPosition{ 1, end };
        }
        auto takenOverAt = *rc::gen::inRange<std::uint64_t>(0, 14);
        survey.mTakenOverAt = LogPosition{ 1, takenOverAt };
        survey.mIsHolderTimeOver = *rc::gen::arbitrary<bool>();
        survey.mDoesOldPrimaryAnswer = *rc::gen::arbitrary<bool>();
        survey.mIsPlanned = *rc::gen::arbitrary<bool>();
        survey.mIsReportTimeOver = *rc::gen::arbitrary<bool>();
        survey.mIsCatchUpTimeOver = *rc::gen::arbitrary<bool>();
        auto choice = ChoosePromotionTarget(survey);
        RC_CLASSIFY(choice.has_value());
        if (choice) {
          auto log = logs.at(std::stoul(*choice));
          bool holdsOld = survey.mOldPrimary && log >= survey.mOldPrimary->mPosition;
          RC_ASSERT(log >= acknowledged);
          RC_ASSERT(log >= takenOverAt || survey.mIsHolderTimeOver || holdsOld);
        }
      });
    CPPUNIT_ASSERT(isHeld);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PromotionTargetTest);
