#include "sesameway/Promotion.h"

#include <algorithm>

namespace sesameway {

namespace {

// Once the primary has not answered anything for this long, all databases are asked for
// their status.
constexpr Duration kQuiet = milliseconds(400);
// Silence after which a primary counts as failed, if it is silent for the other daemons
// too.
constexpr Duration kSilence = milliseconds(1000);
constexpr Duration kProbeInterval = milliseconds(300);
constexpr Duration kChangeProbeInterval = milliseconds(120);
// A contact report is valid for this long.
constexpr Duration kContactReportMaxAge = milliseconds(700);
constexpr Duration kQueryInterval = milliseconds(300);
// Interval between queries while the primary answers this daemon: others may be cut off
// from the primary although this one is not.
constexpr Duration kIdleQueryInterval = milliseconds(1500);
// After a daemon has reported that it lost the primary, all are queried for this long
// as if the primary did not answer this daemon either.
constexpr Duration kLossQueryTime = milliseconds(1500);
// How long to search for an existing primary before a database is promoted to be the
// first one.
constexpr Duration kLearnLimit = milliseconds(4000);
// How long the remaining databases have to report once a primary has been found.
constexpr Duration kLearnReportWait = milliseconds(1000);
// How long replicas have to receive the rest of the log from an old primary that still
// answers.
constexpr Duration kCatchUpLimit = milliseconds(1500);
// How long a group waits for a database that holds acknowledged commits and whose entry
// is gone to be listed again: the time within which a group is to serve again after a
// loss (`recoveryS`).
constexpr Duration kHolderReturnLimit = seconds(12);
// How long databases have to report before the target is chosen among those that did.
constexpr Duration kReportWait = milliseconds(400);
// While it is not known how many replicas commits wait for, they may wait for one.
constexpr std::uint32_t kFewestSyncReplicas = 1;
// A report older than this says nothing about a database's health.
constexpr Duration kReportAge = milliseconds(1500);
// A promotion order that had no effect is repeated after this long.
constexpr Duration kOrderLimit = milliseconds(2500);
constexpr Duration kRefusedOrderPause = milliseconds(300);
// Pause before an unanswered order is repeated.
constexpr Duration kUnansweredOrderPause = milliseconds(700);
// An order that may have been sent takes effect within this time or never: 2 s for the
// call, 1 s for the promotion, and a margin.
constexpr Duration kOrderEffectLimit = milliseconds(3500);
// A target whose promotion was refused, and which then answers nothing for this long,
// is replaced by another one.
constexpr Duration kRefusedWait = milliseconds(1000);
// Interval between checks whether a database follows the primary; doubled after each
// check, up to kFollowCheckLimit.
constexpr Duration kFollowCheckFloor = milliseconds(300);
constexpr Duration kFollowCheckLimit = milliseconds(4800);
// An unanswered write of the record is repeated after this long.
constexpr Duration kWriteLimit = milliseconds(1200);

const ListedDatabase* Find(const PromotionPlan::ClusterState& aClusterState,
                           const std::string& aName)
{
  for (const auto* it : aClusterState.mDatabases) {
    if (it->mName == aName) {
      return it;
    }
  }
  return nullptr;
}

} // namespace

PromotionPlan::Actions PromotionPlan::Step(const GroupRecord& aRecord,
                                           std::uint64_t aRevision,
                                           const ClusterState& aClusterState,
                                           TimePoint aNow)
{
  Actions actions;
  mWait = PromotionWait::None;
  if (mStartedAt == TimePoint{}) {
    mStartedAt = aNow;
  }
  // A predecessor may have sent an order up to the time at which this plan started. The
  // store may have lost the record of it.
  bool isOwn = mHasRecordedTarget && aRecord.mFence == aClusterState.mFence;
  bool isOutdated = IsOutdated(aRecord.mGeneration, aRevision);
  if ((aRecord.mIsOrderOpen || isOutdated) && !isOwn) {
    mEarlierOrderDeadline =
      std::max(mEarlierOrderDeadline, mStartedAt + kOrderEffectLimit);
  }
  if (aRevision == 0) {
    StepLearning(aClusterState, aNow, actions);
  } else if (aRecord.mPhase == GroupPhase::Serving) {
    StepServing(aRecord, aRevision, aClusterState, aNow, actions);
  } else {
    StepChanging(aRecord, aRevision, aClusterState, aNow, actions);
  }
  return actions;
}

void PromotionPlan::OnReport(const std::string& aDatabase,
                             const DatabaseReport& aReport,
                             TimePoint aAskedAt)
{
  auto& known = mDatabases[aDatabase];
  if (aAskedAt < known.mAskedAt) {
    return;
  }
  known.mReport = aReport;
  known.mAskedAt = aAskedAt;
  known.mHeardAt = std::max(known.mHeardAt, aAskedAt);
}

void PromotionPlan::OnHeard(const std::string& aDatabase, TimePoint aAt)
{
  auto& known = mDatabases[aDatabase];
  known.mHeardAt = std::max(known.mHeardAt, aAt);
}

void PromotionPlan::OnContactReport(const std::string& aDaemon,
                                    std::optional<Duration> aSilence,
                                    TimePoint aNow)
{
  mContactReports[aDaemon] = { aSilence, aNow };
  if (aSilence && *aSilence >= kSilence) {
    mLossReportedAt = aNow;
  }
}

void PromotionPlan::OnStoodDown(const std::string& aDaemon, std::uint64_t aChange)
{
  if (aChange == mChange) {
    mStoodDown.insert(aDaemon);
  }
}

void PromotionPlan::OnWritten(std::optional<bool> aIsTaken, TimePoint aNow)
{
  // An unanswered write may still take effect; the next write is conditional on the
  // record's revision too.
  mWriteAgainAt = aNow + (aIsTaken ? milliseconds(0) : milliseconds(300));
}

void PromotionPlan::OnOrdered(std::optional<bool> aIsTaken, TimePoint aNow)
{
  mIsOrderTaken = aIsTaken;
  if (!aIsTaken) {
    mOrderAgainAt = aNow + kUnansweredOrderPause;
  } else if (!*aIsTaken) {
    mOrderAgainAt = aNow + kRefusedOrderPause;
    mDatabases[mOrdered].mRefusedAt = aNow;
  }
}

void PromotionPlan::StepLearning(const ClusterState& aClusterState,
                                 TimePoint aNow,
                                 Actions& aActions)
{
  ProbeAll(aClusterState, kProbeInterval, aNow, aActions);
  GroupRecord record{ mGroup, GroupPhase::Serving, 1, 0, {}, {} };
  record.mGeneration = GenerationOf(aClusterState.mRevision);
  bool haveAllAnswered = !aClusterState.mDatabases.empty();
  for (const auto* it : aClusterState.mDatabases) {
    const auto& known = mDatabases[it->mName];
    haveAllAnswered &= known.mAskedAt != TimePoint{};
    bool leads = known.mReport.mRole == DatabaseRole::Primary;
    if (leads && known.mReport.mTerm > record.mTerm) {
      record.mTerm = known.mReport.mTerm;
      record.mPrimary = it->mName;
    }
  }
  auto passed = aNow - mStartedAt;
  if (record.mPrimary.empty()) {
    if (passed < kLearnLimit || aClusterState.mDatabases.empty()) {
      return;
    }
    record.mPhase = GroupPhase::Changing;
    mCause = Cause::NoRecord;
  } else if (!haveAllAnswered && passed < kLearnReportWait) {
    return;
  }
  Write(std::move(record), 0, aNow, aActions);
}

void PromotionPlan::StepServing(const GroupRecord& aRecord,
                                std::uint64_t aRevision,
                                const ClusterState& aClusterState,
                                TimePoint aNow,
                                Actions& aActions)
{
  const auto& primary = mDatabases[aRecord.mPrimary];
  bool isQuiet = aNow - std::max(primary.mHeardAt, mStartedAt) > kQuiet;
  bool isOutdated = IsOutdated(aRecord.mGeneration, aRevision);
  const auto* listed = Find(aClusterState, aRecord.mPrimary);
  if (isQuiet || isOutdated || listed == nullptr || listed->mIsLeaving ||
      aClusterState.IsEvacuated(*listed)) {
    ProbeAll(aClusterState, kProbeInterval, aNow, aActions);
  }
  bool isUrgent = isQuiet || aNow - mLossReportedAt < kLossQueryTime;
  if (aNow - mDaemonsQueriedAt >= (isUrgent ? kQueryInterval : kIdleQueryInterval)) {
    mDaemonsQueriedAt = aNow;
    aActions.emplace_back(QueryDaemons{ isUrgent });
  }
  DemoteFormer(aRecord, aClusterState, aNow, aActions);
  auto cause = FindCause(aRecord, aClusterState, aNow);
  if (cause == Cause::None || !CanReplace(cause, aRecord, aClusterState, aNow)) {
    // Written again in this generation, the record counts for daemons once more.
    if (isOutdated && aNow >= OrderEffectDeadline()) {
      Write(aRecord, aRevision, aNow, aActions);
    }
    return;
  }
  mCause = cause;
  auto record = aRecord;
  record.mPhase = GroupPhase::Changing;
  record.mTarget.clear();
  record.mIsOrderOpen = aNow < OrderEffectDeadlineAfterChange();
  ++record.mChange;
  Write(std::move(record), aRevision, aNow, aActions);
}

// A change that has begun ends with another primary only, so it begins once one is in
// sight.
bool PromotionPlan::CanReplace(Cause aCause,
                               const GroupRecord& aRecord,
                               const ClusterState& aClusterState,
                               TimePoint aNow) const
{
  auto survey = Survey(aRecord, aClusterState, aNow);
  survey.mIsPlanned = aCause == Cause::Leaving || aCause == Cause::Evacuated;
  return MayBeginChange(survey, aCause == Cause::ReplacedUnasked);
}

// Checks whether each database follows the primary, and orders the demotion of former
// primaries. The check is repeated because a demotion order may be lost, or a former
// primary may return later, under another coordinator. A database that follows the
// primary is not asked again.
void PromotionPlan::DemoteFormer(const GroupRecord& aRecord,
                                 const ClusterState& aClusterState,
                                 TimePoint aNow,
                                 Actions& aActions)
{
  if (mServedChange != aRecord.mChange) {
    mServedChange = aRecord.mChange;
    mServingSince = aNow;
    for (auto& it : mDatabases) {
      it.second.mFollowChecks = 0;
      it.second.mNextFollowCheck = aNow + kFollowCheckFloor;
    }
  }
  for (const auto* it : aClusterState.mDatabases) {
    auto& known = mDatabases[it->mName];
    const auto& report = known.mReport;
    bool isAnswered = known.mAskedAt >= mServingSince;
    bool isNewer = report.mTerm >= aRecord.mTerm;
    bool follows = isAnswered && (report.mRole == DatabaseRole::Replica || isNewer);
    if (it->mName == aRecord.mPrimary || follows || aNow < known.mNextFollowCheck) {
      continue;
    }
    known.mNextFollowCheck =
      aNow +
      ExponentialBackoff(kFollowCheckFloor, known.mFollowChecks++, kFollowCheckLimit);
    if (isAnswered && report.mRole == DatabaseRole::Primary) {
      aActions.emplace_back(OrderDemotion{ it->mName, aRecord.mTerm });
    }
    aActions.emplace_back(Probe{ it->mName });
  }
}

PromotionPlan::Cause PromotionPlan::FindCause(const GroupRecord& aRecord,
                                              const ClusterState& aClusterState,
                                              TimePoint aNow) const
{
  for (const auto& it : mDatabases) {
    bool isRecent = aNow - it.second.mAskedAt < kReportAge;
    bool leads = it.second.mReport.mRole == DatabaseRole::Primary;
    bool isOther = it.first != aRecord.mPrimary;
    if (isRecent && leads && isOther && it.second.mReport.mTerm > aRecord.mTerm) {
      return Cause::ReplacedUnasked;
    }
  }
  // A database list that has just been read may lack entries that are about to
  // reappear.
  const auto* listed = Find(aClusterState, aRecord.mPrimary);
  bool isGone = listed == nullptr && aNow - mStartedAt > kMissingEntryGrace;
  if (isGone || (listed != nullptr && listed->mIsLeaving)) {
    return Cause::Leaving;
  }
  if (listed != nullptr && aClusterState.IsEvacuated(*listed)) {
    return Cause::Evacuated;
  }
  auto known = mDatabases.find(aRecord.mPrimary);
  auto heardAt = known == mDatabases.end() ? TimePoint{} : known->second.mHeardAt;
  bool isSilent = aNow - std::max(heardAt, mStartedAt) > kSilence;
  if (!IsOutOfReach(aClusterState, aNow)) {
    return Cause::None;
  }
  return isSilent ? Cause::Silent : Cause::OutOfReachOfMost;
}

// Whether a majority of the daemons has reported, and the primary is silent for more of
// them than it is reachable for. A coordinator that is cut off itself gets too few
// reports. Daemons marked as missing are not counted, or a fleet that has lost most of
// its daemons could never change a primary.
bool PromotionPlan::IsOutOfReach(const ClusterState& aClusterState,
                                 TimePoint aNow) const
{
  std::size_t present = 0;
  std::size_t answered = 0;
  std::size_t reached = 0;
  std::size_t lost = 0;
  for (const auto& it : aClusterState.mDaemons) {
    if (aClusterState.mMissing.count(it) > 0) {
      continue;
    }
    ++present;
    auto contactReport = mContactReports.find(it);
    if (contactReport == mContactReports.end()) {
      continue;
    }
    if (aNow - contactReport->second.mAnsweredAt > kContactReportMaxAge) {
      continue;
    }
    ++answered;
    if (contactReport->second.mSilence) {
      ++(*contactReport->second.mSilence < kSilence ? reached : lost);
    }
  }
  return answered * 2 > present && lost > reached;
}

void PromotionPlan::StepChanging(const GroupRecord& aRecord,
                                 std::uint64_t aRevision,
                                 const ClusterState& aClusterState,
                                 TimePoint aNow,
                                 Actions& aActions)
{
  if (mChange != aRecord.mChange) {
    mChange = aRecord.mChange;
    mChangingSince = aNow;
    mQuiescedAt = TimePoint{};
    mStoodDown.clear();
    mWriteBaseRevision = aRevision;
    mEarlierOrderDeadline = OrderEffectDeadlineAfterChange();
    mOrdered.clear();
    mOrderedAt = TimePoint{};
    mIsOrderTaken.reset();
    mOrderAgainAt = TimePoint{};
  }
  ProbeAll(aClusterState, kChangeProbeInterval, aNow, aActions);
  if (!IsQuiesced(aRecord, aRevision, aClusterState, aNow, aActions)) {
    return;
  }
  if (IsOutdated(aRecord.mGeneration, aRevision) && aNow < OrderEffectDeadline()) {
    return;
  }
  if (mQuiescedAt == TimePoint{}) {
    mQuiescedAt = aNow;
  }
  if (FinishIfTaken(aRecord, aRevision, aClusterState, aNow, aActions)) {
    return;
  }
  if (aNow < mOrderAgainAt) {
    return;
  }
  auto target = FindTarget(aRecord, aClusterState, aNow);
  if (!target) {
    mWait = target.error();
    return;
  }
  if (!IsTargetRecorded(*target, aRecord, aRevision, aClusterState)) {
    auto record = aRecord;
    record.mTarget = *target;
    record.mFence = aClusterState.mFence;
    ++record.mTargetSequence;
    record.mIsOrderOpen = true;
    mHasRecordedTarget = true;
    Write(std::move(record), aRevision, aNow, aActions);
    return;
  }
  mEarlierOrderDeadline = OrderEffectDeadline();
  mOrdered = *target;
  mOrderedAt = aNow;
  mOrderAgainAt = aNow + kOrderLimit;
  mIsOrderTaken.reset();
  aActions.emplace_back(OrderPromotion{ *target,
                                        DescribeReports(aClusterState),
                                        mStoodDown.size(),
                                        NotStoodDown(aClusterState) });
}

// This coordinator or an earlier one may have ordered the promotion of the recorded
// target, which may still become primary. Until no such order can take effect, no other
// database may be ordered. A target in an evacuated zone is given up like one that is
// gone.
tl::expected<std::string, PromotionWait> PromotionPlan::FindTarget(
  const GroupRecord& aRecord,
  const ClusterState& aClusterState,
  TimePoint aNow) const
{
  bool areOrdersOver = aNow >= OrderEffectDeadline();
  auto choose = [&]() -> tl::expected<std::string, PromotionWait> {
    if (!areOrdersOver) {
      return tl::unexpected(PromotionWait::EarlierOrder);
    }
    return ChoosePromotionTarget(Survey(aRecord, aClusterState, aNow));
  };
  const auto* target = Find(aClusterState, aRecord.mTarget);
  if (target == nullptr || aClusterState.IsEvacuated(*target)) {
    return choose();
  }
  auto known = mDatabases.find(aRecord.mTarget);
  auto refusedAt = known == mDatabases.end() ? TimePoint{} : known->second.mRefusedAt;
  bool isRefused = mOrdered == aRecord.mTarget && mIsOrderTaken == false;
  if (!isRefused) {
    return aRecord.mTarget;
  }
  bool isAlive = known->second.mAskedAt > refusedAt;
  if (!areOrdersOver && isAlive) {
    return aRecord.mTarget;
  }
  bool isTooEarly = !isAlive && aNow < refusedAt + kRefusedWait;
  return areOrdersOver && isTooEarly ? tl::unexpected(PromotionWait::Reports)
                                     : choose();
}

TimePoint PromotionPlan::OrderEffectDeadline() const
{
  bool isRefused = mIsOrderTaken == false;
  return isRefused ? mEarlierOrderDeadline
                   : std::max(mEarlierOrderDeadline, mOrderedAt + kOrderEffectLimit);
}

// Writes in flight, of a former coordinator or of this plan, may end the change or
// record another target. Each is conditional on a revision that its writer knew, so all
// of them fail once a later revision records the target.
bool PromotionPlan::IsTargetRecorded(const std::string& aTarget,
                                     const GroupRecord& aRecord,
                                     std::uint64_t aRevision,
                                     const ClusterState& aClusterState) const
{
  bool isOwn = aRecord.mFence == aClusterState.mFence && aRecord.mTarget == aTarget;
  return isOwn && aRevision > mWriteBaseRevision;
}

// An order that the platform accepted has taken effect by the end of the change.
TimePoint PromotionPlan::OrderEffectDeadlineAfterChange() const
{
  return mIsOrderTaken == true ? mEarlierOrderDeadline : OrderEffectDeadline();
}

std::vector<std::string> PromotionPlan::NotStoodDown(
  const ClusterState& aClusterState) const
{
  std::vector<std::string> left;
  for (const auto& it : aClusterState.mDaemons) {
    if (mStoodDown.count(it) == 0) {
      left.push_back(it);
    }
  }
  return left;
}

std::vector<std::string> PromotionPlan::DescribeReports(
  const ClusterState& aClusterState) const
{
  std::vector<std::string> texts;
  for (const auto* it : aClusterState.mDatabases) {
    auto known = mDatabases.find(it->mName);
    bool isReported =
      known != mDatabases.end() && known->second.mAskedAt >= mQuiescedAt;
    auto text = it->mName + '@';
    if (isReported) {
      const auto& received = known->second.mReport.mReceived;
      text += std::to_string(received.mTerm) + '.' + std::to_string(received.mPosition);
    } else {
      text += '-';
    }
    texts.push_back(it->mIsLeaving ? text + ":leaving" : text);
  }
  return texts;
}

bool PromotionPlan::IsQuiesced(const GroupRecord& aRecord,
                               std::uint64_t aRevision,
                               const ClusterState& aClusterState,
                               TimePoint aNow,
                               Actions& aActions) const
{
  // A daemon that had lost contact before the change was recorded may not use the
  // primary after this time.
  if (aNow - mChangingSince > kContactLimit + kContactMargin) {
    return true;
  }
  AskStandDown ask{ aRecord.mChange, NotStoodDown(aClusterState) };
  // A daemon that registered just before the change was recorded may not be known yet.
  bool areAllKnown = aClusterState.mRevision >= aRevision;
  if (ask.mDaemons.empty()) {
    return areAllKnown;
  }
  aActions.emplace_back(std::move(ask));
  return false;
}

// What is known of the group's databases. Reports count from the time at which no
// daemon used the old primary any more, or while it is in use, if they are recent.
PromotionSurvey PromotionPlan::Survey(const GroupRecord& aRecord,
                                      const ClusterState& aClusterState,
                                      TimePoint aNow) const
{
  PromotionSurvey survey;
  survey.mSyncReplicas = aClusterState.mSyncReplicas.value_or(kFewestSyncReplicas);
  bool isChanging = aRecord.mPhase == GroupPhase::Changing;
  auto since = isChanging ? mQuiescedAt : aNow - kReportAge;
  for (const auto* it : aClusterState.mDatabases) {
    if (it->mName == aRecord.mPrimary) {
      continue;
    }
    PromotionCandidate candidate;
    candidate.mDatabase = it->mName;
    candidate.mMayStay = !it->mIsLeaving && !aClusterState.IsEvacuated(*it);
    auto known = mDatabases.find(it->mName);
    if (known != mDatabases.end() && known->second.mAskedAt >= since) {
      candidate.mReceived = known->second.mReport.mReceived;
      candidate.mIsRunning = known->second.mAskedAt > known->second.mRefusedAt;
    }
    survey.mCandidates.push_back(std::move(candidate));
  }
  auto old = mDatabases.find(aRecord.mPrimary);
  if (old != mDatabases.end()) {
    if (old->second.mAskedAt >= since) {
      survey.mOldPrimary = old->second.mReport.mReceived;
    }
    survey.mDoesOldPrimaryAnswer = aNow - old->second.mHeardAt < kReportAge;
  }
  survey.mTakenOverAt = aRecord.mTakenOverAt;
  survey.mIsPlanned = mCause == Cause::Leaving || mCause == Cause::Evacuated;
  auto passed = aNow - mQuiescedAt;
  survey.mIsReportTimeOver = passed >= kReportWait;
  survey.mIsCatchUpTimeOver = passed >= kCatchUpLimit;
  survey.mIsHolderTimeOver = passed >= kHolderReturnLimit;
  survey.mIsListComplete = aNow - mStartedAt > kMissingEntryGrace;
  return survey;
}

// Records a database that is primary of a newer term than the old one as the new
// primary. Returns false if there is none, or if another order may still take effect.
bool PromotionPlan::FinishIfTaken(const GroupRecord& aRecord,
                                  std::uint64_t aRevision,
                                  const ClusterState& aClusterState,
                                  TimePoint aNow,
                                  Actions& aActions)
{
  const ListedDatabase* found = nullptr;
  std::uint64_t term = aRecord.mTerm;
  for (const auto* it : aClusterState.mDatabases) {
    const auto& known = mDatabases[it->mName];
    bool isRecent = known.mAskedAt >= mQuiescedAt;
    bool leads = known.mReport.mRole == DatabaseRole::Primary;
    if (isRecent && leads && known.mReport.mTerm > term) {
      found = it;
      term = known.mReport.mTerm;
    }
  }
  if (found == nullptr) {
    return false;
  }
  // A promotion order to another database may still take effect and replace this one.
  if (found->mName != aRecord.mTarget && aNow < OrderEffectDeadline()) {
    return false;
  }
  auto record = aRecord;
  record.mPhase = GroupPhase::Serving;
  record.mTarget.clear();
  record.mIsOrderOpen = aNow < OrderEffectDeadlineAfterChange();
  record.mPrimary = found->mName;
  record.mTerm = term;
  record.mTakenOverAt = mDatabases[found->mName].mReport.mReceived;
  if (Find(aClusterState, aRecord.mPrimary) != nullptr && aNow >= mWriteAgainAt) {
    aActions.emplace_back(OrderDemotion{ aRecord.mPrimary, term });
  }
  Write(std::move(record), aRevision, aNow, aActions);
  return true;
}

void PromotionPlan::ProbeAll(const ClusterState& aClusterState,
                             Duration aInterval,
                             TimePoint aNow,
                             Actions& aActions)
{
  for (const auto* it : aClusterState.mDatabases) {
    auto& known = mDatabases[it->mName];
    if (aNow - known.mProbedAt >= aInterval) {
      known.mProbedAt = aNow;
      aActions.emplace_back(Probe{ it->mName });
    }
  }
}

void PromotionPlan::Write(GroupRecord aRecord,
                          std::uint64_t aRevision,
                          TimePoint aNow,
                          Actions& aActions)
{
  if (aNow < mWriteAgainAt) {
    return;
  }
  mWriteAgainAt = aNow + kWriteLimit;
  mWriteBaseRevision = aRevision;
  if (aRevision != 0) {
    aRecord.mGeneration = GenerationOf(aRevision);
  }
  aActions.emplace_back(WriteRecord{ std::move(aRecord), aRevision });
}

} // namespace sesameway
