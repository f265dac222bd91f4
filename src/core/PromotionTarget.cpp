#include "sesameway/PromotionTarget.h"

#include <algorithm>

namespace sesameway {

namespace {

using Choice = tl::expected<std::string, PromotionWait>;

bool IsKnown(const PromotionCandidate& aCandidate)
{
  return aCandidate.mReceived && aCandidate.mIsRunning;
}

// Returns the candidate with the longest log among those that can be promoted, or null.
const PromotionCandidate* FindLongest(const PromotionSurvey& aSurvey, bool aMustStay)
{
  const PromotionCandidate* best = nullptr;
  for (const auto& it : aSurvey.mCandidates) {
    bool isEligible = IsKnown(it) && (it.mMayStay || !aMustStay);
    if (isEligible && (best == nullptr || *best->mReceived < *it.mReceived)) {
      best = &it;
    }
  }
  return best;
}

bool Holds(const PromotionCandidate* aCandidate, const LogPosition& aPosition)
{
  return aCandidate != nullptr && !(*aCandidate->mReceived < aPosition);
}

// The old primary's last answer may still be in flight.
bool IsOldPrimaryExpected(const PromotionSurvey& aSurvey)
{
  return aSurvey.mIsPlanned && !aSurvey.mOldPrimary && !aSurvey.mIsReportTimeOver;
}

// Commits wait for no replica, so any of them may be lost with the old primary.
Choice ChooseSoon(const PromotionSurvey& aSurvey)
{
  const auto* best = FindLongest(aSurvey, true);
  if (best == nullptr) {
    return tl::unexpected(PromotionWait::NoCandidate);
  }
  const auto& candidates = aSurvey.mCandidates;
  bool isAnyMissing =
    std::any_of(candidates.begin(), candidates.end(), [](const auto& aIt) {
      return aIt.mMayStay && !IsKnown(aIt);
    });
  if (isAnyMissing && !aSurvey.mIsReportTimeOver) {
    return tl::unexpected(PromotionWait::Reports);
  }
  if (IsOldPrimaryExpected(aSurvey)) {
    return tl::unexpected(PromotionWait::Reports);
  }
  bool isBehind = aSurvey.mOldPrimary && !Holds(best, *aSurvey.mOldPrimary);
  if (isBehind && !aSurvey.mIsCatchUpTimeOver) {
    return tl::unexpected(PromotionWait::CatchUp);
  }
  return best->mDatabase;
}

// The position that a target's log must reach. What was acknowledged before the old
// primary took over is given up once no listed database holds it and none has come back
// with it in time.
LogPosition NeededPosition(const PromotionSurvey& aSurvey, const LogPosition& aBound)
{
  const auto& candidates = aSurvey.mCandidates;
  bool isHeld = std::any_of(candidates.begin(), candidates.end(), [&](const auto& aIt) {
    return aIt.mReceived && !(*aIt.mReceived < aSurvey.mTakenOverAt);
  });
  bool isGivenUp = !isHeld && aSurvey.mIsHolderTimeOver;
  return isGivenUp ? aBound : std::max(aBound, aSurvey.mTakenOverAt);
}

Choice ChooseWithoutLoss(const PromotionSurvey& aSurvey)
{
  const auto* staying = FindLongest(aSurvey, true);
  if (aSurvey.mOldPrimary && Holds(staying, *aSurvey.mOldPrimary)) {
    return staying->mDatabase;
  }
  bool mayCatchUp = aSurvey.mDoesOldPrimaryAnswer;
  if (mayCatchUp && !aSurvey.mIsCatchUpTimeOver) {
    return tl::unexpected(PromotionWait::CatchUp);
  }
  if (IsOldPrimaryExpected(aSurvey) || !aSurvey.mIsListComplete) {
    return tl::unexpected(PromotionWait::Reports);
  }
  auto bound = AcknowledgedBound(aSurvey.mCandidates, aSurvey.mSyncReplicas);
  if (!bound) {
    return tl::unexpected(PromotionWait::Reports);
  }
  auto needed = NeededPosition(aSurvey, *bound);
  if (Holds(staying, needed)) {
    return staying->mDatabase;
  }
  // In a planned change, a primary that may not stay would be replaced by another one
  // of that kind.
  if (mayCatchUp && aSurvey.mIsPlanned) {
    return tl::unexpected(PromotionWait::CatchUp);
  }
  const auto* any = FindLongest(aSurvey, false);
  if (Holds(any, needed)) {
    return any->mDatabase;
  }
  return tl::unexpected(PromotionWait::Holder);
}

} // namespace

// Each acknowledged commit is in the logs of `aSyncReplicas` candidates, of which those
// without a report may be some. Among the others, at least as many logs as remain reach
// the commit, so that it doesn't lie beyond the shortest of that many longest logs.
std::optional<LogPosition> AcknowledgedBound(
  const std::vector<PromotionCandidate>& aCandidates,
  std::uint32_t aSyncReplicas)
{
  std::vector<LogPosition> received;
  for (const auto& it : aCandidates) {
    if (it.mReceived) {
      received.push_back(*it.mReceived);
    }
  }
  auto missing = aCandidates.size() - received.size();
  if (missing >= aSyncReplicas || received.empty()) {
    return std::nullopt;
  }
  std::sort(received.begin(),
            received.end(),
            [](const auto& aLeft, const auto& aRight) { return aRight < aLeft; });
  // A group may have fewer replicas than commits are to wait for.
  return received[std::min(aSyncReplicas - missing, received.size()) - 1];
}

Choice ChoosePromotionTarget(const PromotionSurvey& aSurvey)
{
  return aSurvey.mSyncReplicas == 0 ? ChooseSoon(aSurvey) : ChooseWithoutLoss(aSurvey);
}

bool MayBeginChange(const PromotionSurvey& aSurvey, bool aIsReplaced)
{
  bool mayCatchUp = aSurvey.mIsPlanned && aSurvey.mDoesOldPrimaryAnswer;
  if (aSurvey.mSyncReplicas == 0 || mayCatchUp) {
    return FindLongest(aSurvey, true) != nullptr;
  }
  return FindLongest(aSurvey, false) != nullptr &&
         (aIsReplaced || AcknowledgedBound(aSurvey.mCandidates, aSurvey.mSyncReplicas));
}

} // namespace sesameway
