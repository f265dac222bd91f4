#include "sesameway/Failover.h"

#include <algorithm>

namespace sesameway {

namespace {

// A longer gap between two ticks means that this process itself was paused.
constexpr Duration kOwnPause = milliseconds(100);
constexpr Duration kPromoteInterval = milliseconds(100);
constexpr Duration kBackoff = milliseconds(100);
constexpr std::uint32_t kMaxBackoffShift = 4;
// Pause before another attempt to replace a primary after an avoided database had to be
// promoted.
constexpr Duration kAvoidedBackoff = seconds(2);
constexpr std::uint32_t kMaxStallShift = 5;

} // namespace

std::optional<std::size_t> ChooseForPromotion(
  const std::vector<std::optional<LogPosition>>& aFencedHeads,
  const std::vector<bool>& aAvoided,
  bool aMayTakeAvoided)
{
  std::optional<std::size_t> best;
  std::optional<std::size_t> wanted;
  std::size_t fenced = 0;
  std::size_t eligible = 0;
  for (std::size_t n = 0; n < aFencedHeads.size(); ++n) {
    const auto& head = aFencedHeads[n];
    if (!head) {
      continue;
    }
    ++fenced;
    if (!best || *aFencedHeads[*best] < *head) {
      best = n;
    }
    if (aAvoided[n]) {
      continue;
    }
    ++eligible;
    if (!wanted || *aFencedHeads[*wanted] < *head) {
      wanted = n;
    }
  }
  if (fenced * 2 <= aFencedHeads.size()) {
    return std::nullopt;
  }
  // Any two majorities overlap: a majority contains a log with everything that was
  // acknowledged, and so the greatest log of that majority holds it too. The logs of a
  // minority may lack it.
  bool isMajority = eligible * 2 > aFencedHeads.size();
  if (wanted && (isMajority || !(*aFencedHeads[*wanted] < *aFencedHeads[*best]))) {
    return wanted;
  }
  return aMayTakeAvoided ? best : std::nullopt;
}

void ApplyReport(DatabaseView* aView, const DatabaseStatus& aStatus, TimePoint aSentAt)
{
  aView->mPrimary = aStatus.mPrimary;
  // Status reports from different requests may arrive out of order; granted terms only
  // increase.
  aView->mGrantedTerm = std::max(aView->mGrantedTerm, aStatus.mGrantedTerm);
  if (aStatus.mHead.mTerm >= aView->mHead.mTerm) {
    aView->mHead = aStatus.mHead;
  }
  aView->mLeaving = aStatus.mLeaving;
  aView->mSeenAt = std::max(aView->mSeenAt, aSentAt);
}

FailoverMachine::FailoverMachine(std::vector<std::string> aAddresses,
                                 FailoverLimits aLimits,
                                 TimePoint aNow)
  : mLimits(aLimits)
  , mStartedAt(aNow)
  , mLastTick(aNow)
  , mGrantSeenAt(aNow)
  , mProgressAt(aNow)
  , mBackoffUntil(aNow)
{
  for (auto& it : aAddresses) {
    Node node;
    node.mAddress = std::move(it);
    node.mHeardAt = aNow;
    mNodes.push_back(std::move(node));
  }
}

void FailoverMachine::SetHomes(std::size_t aRank, std::size_t aPeers)
{
  mRank = aRank;
  mPeers = aPeers;
}

FailoverActions FailoverMachine::OnStatus(std::size_t aDatabase,
                                          const std::optional<DatabaseStatus>& aStatus,
                                          TimePoint aNow)
{
  FailoverActions actions;
  if (!aStatus) {
    return actions;
  }
  auto& node = mNodes[aDatabase];
  auto granted = std::max(node.mStatus.mGrantedTerm, aStatus->mGrantedTerm);
  // Reports may arrive out of order; one of an older term is outdated.
  if (granted == aStatus->mGrantedTerm) {
    node.mStatus = *aStatus;
  }
  node.mKnown = true;
  node.mHeardAt = aNow;
  if (granted > mGrantSeen) {
    mGrantSeen = granted;
    mGrantSeenAt = aNow;
  }
  TrackReplication(aNow);
  if (aStatus->mPrimary && aStatus->mGrantedTerm > mTerm) {
    bool isOurs = false;
    if (const auto* state = std::get_if<Promoting>(&mState)) {
      isOurs = state->mTerm == aStatus->mGrantedTerm;
    }
    Learn(aStatus->mGrantedTerm, aDatabase, &actions);
    if (isOurs) {
      actions.push_back(AnnouncePrimary{ aDatabase, mTerm });
    }
    RedirectReplicas(aNow, &actions);
  }
  return actions;
}

void FailoverMachine::OnConnections(std::size_t aDatabase,
                                    std::optional<TimePoint> aFailingSince)
{
  mNodes[aDatabase].mFailingSince = aFailingSince;
}

FailoverActions FailoverMachine::OnFence(std::size_t aDatabase,
                                         std::uint64_t aTerm,
                                         const std::optional<FenceResult>& aResult,
                                         TimePoint aNow)
{
  if (!aResult) {
    return {};
  }
  auto actions = OnStatus(aDatabase, aResult->mStatus, aNow);
  auto* state = std::get_if<Claiming>(&mState);
  if (!state || state->mTerm != aTerm) {
    return actions;
  }
  // A database that has granted a later term since may hold a different log than the
  // one that was fenced.
  if (aResult->mGranted && aResult->mStatus.mGrantedTerm == aTerm) {
    state->mHeads[aDatabase] = aResult->mStatus.mHead;
    Advance(*state, aNow, &actions);
  }
  return actions;
}

FailoverActions FailoverMachine::OnPromote(std::size_t aDatabase,
                                           std::uint64_t aTerm,
                                           const std::optional<DatabaseStatus>& aStatus,
                                           TimePoint aNow)
{
  if (!aStatus || !aStatus->mPrimary || aStatus->mGrantedTerm != aTerm) {
    return {};
  }
  return OnStatus(aDatabase, aStatus, aNow);
}

FailoverActions FailoverMachine::OnPeer(std::uint64_t aRound,
                                        const std::optional<PeerOpinion>& aOpinion,
                                        TimePoint aNow)
{
  FailoverActions actions;
  if (aOpinion && aOpinion->mPrimary && aOpinion->mTerm > mTerm) {
    return OnAnnounce(aOpinion->mTerm, *aOpinion->mPrimary, aNow);
  }
  auto* state = std::get_if<Suspecting>(&mState);
  if (!state || state->mRound != aRound) {
    return actions;
  }
  ++state->mAnswers;
  // The opinion of a home that does not know this term says nothing about its primary.
  if (aOpinion && aOpinion->mTerm == mTerm) {
    bool agrees = !aOpinion->mPrimary || aOpinion->mSilence >= mLimits.mAgreeSilence;
    ++(agrees ? state->mAgree : state->mDisagree);
  }
  Advance(*state, aNow, &actions);
  return actions;
}

FailoverActions FailoverMachine::OnAnnounce(std::uint64_t aTerm,
                                            std::size_t aPrimary,
                                            TimePoint aNow)
{
  FailoverActions actions;
  if (aTerm > mTerm) {
    mNodes[aPrimary].mHeardAt = aNow;
    Learn(aTerm, aPrimary, &actions);
  }
  return actions;
}

FailoverActions FailoverMachine::Tick(TimePoint aNow)
{
  FailoverActions actions;
  DiscountOwnPause(aNow);
  std::visit([&](auto& aState) { Advance(aState, aNow, &actions); }, mState);
  RedirectReplicas(aNow, &actions);
  return actions;
}

std::optional<std::size_t> FailoverMachine::ServingPrimary(TimePoint aNow) const
{
  if (!mPrimary || LacksMajority(aNow) || mNodes[*mPrimary].mStatus.mLeaving) {
    return std::nullopt;
  }
  auto later = std::count_if(mNodes.begin(), mNodes.end(), [this](const Node& aIt) {
    return aIt.mStatus.mGrantedTerm > mTerm;
  });
  return IsMajority(static_cast<std::size_t>(later)) ? std::nullopt : mPrimary;
}

bool FailoverMachine::LacksMajority(TimePoint aNow) const
{
  auto heard = std::count_if(mNodes.begin(), mNodes.end(), [&](const Node& aIt) {
    return aNow - aIt.mHeardAt < mLimits.mSilenceAlone;
  });
  return !IsMajority(static_cast<std::size_t>(heard));
}

Duration FailoverMachine::SilenceOf(std::size_t aDatabase, TimePoint aNow) const
{
  const auto& node = mNodes[aDatabase];
  auto since = node.mHeardAt;
  if (node.mFailingSince) {
    since = std::min(since, *node.mFailingSince);
  }
  return std::max(Duration::zero(), aNow - since);
}

void FailoverMachine::Advance(Healthy&, TimePoint aNow, FailoverActions* aTo)
{
  auto cause = FindCause(aNow);
  if (!cause || aNow < mBackoffUntil) {
    return;
  }
  aTo->push_back(StepReached{ FailoverStep::Suspect, mTerm, mPrimary, cause });
  Suspecting next;
  next.mCause = *cause;
  next.mActAt = ActTime(*cause, aNow);
  mState = next;
  Advance(std::get<Suspecting>(mState), aNow, aTo);
}

void FailoverMachine::Advance(Suspecting& aState, TimePoint aNow, FailoverActions* aTo)
{
  auto cause = FindCause(aNow);
  if (cause != aState.mCause) {
    aTo->push_back(
      StepReached{ FailoverStep::Recovered, mTerm, mPrimary, aState.mCause });
    mState = Healthy{};
    return;
  }
  // Fencing a minority would only disturb a primary that the majority may have.
  bool isAllowed = MayClaim(aState, aNow, aTo) && IsMajority(CountHeard(aNow));
  if (isAllowed && aNow >= aState.mActAt) {
    StartClaim(*cause, aNow, aTo);
  }
}

void FailoverMachine::Advance(Claiming& aState, TimePoint aNow, FailoverActions* aTo)
{
  bool isOver =
    aNow >= aState.mDeadline || std::none_of(aState.mHeads.begin(),
                                             aState.mHeads.end(),
                                             [](const auto& aHead) { return !aHead; });
  auto chosen = ChooseForPromotion(aState.mHeads, aState.mAvoided, isOver);
  if (!chosen) {
    if (isOver) {
      FailClaim(FailoverStep::ClaimFailed, aNow, aTo);
    }
    return;
  }
  if (aState.mAvoided[*chosen]) {
    mBackoffUntil = aNow + kAvoidedBackoff;
  }
  auto term = aState.mTerm;
  aTo->push_back(StepReached{ FailoverStep::Fenced, term, chosen, aState.mCause });
  aTo->push_back(SendPromote{ *chosen, term });
  mState = Promoting{
    term, *chosen, aNow + kPromoteInterval, aNow + mLimits.mStepTimeout * 2
  };
}

void FailoverMachine::Advance(Promoting& aState, TimePoint aNow, FailoverActions* aTo)
{
  if (aNow >= aState.mDeadline) {
    // The promotion may still take effect, so no other database can be promoted in this
    // term.
    FailClaim(FailoverStep::PromoteFailed, aNow, aTo);
    return;
  }
  if (aNow >= aState.mSendAt) {
    aState.mSendAt = aNow + kPromoteInterval;
    aTo->push_back(SendPromote{ aState.mDatabase, aState.mTerm });
  }
}

void FailoverMachine::DiscountOwnPause(TimePoint aNow)
{
  auto gap = aNow - mLastTick;
  mLastTick = aNow;
  if (gap <= kOwnPause) {
    return;
  }
  // Silence while this process itself was paused says nothing about the databases, so
  // the pause is not counted.
  auto shift = [&](TimePoint& aTime) { aTime = std::min(aTime + gap, aNow); };
  for (auto& it : mNodes) {
    shift(it.mHeardAt);
    if (it.mFailingSince) {
      shift(*it.mFailingSince);
    }
  }
  shift(mProgressAt);
  shift(mGrantSeenAt);
  shift(mStartedAt);
}

std::optional<SuspectCause> FailoverMachine::FindCause(TimePoint aNow) const
{
  if (!mPrimary) {
    auto since = std::max(mStartedAt, mGrantSeenAt);
    bool isOverdue = aNow - since >= mLimits.mSilence;
    return isOverdue ? std::optional(SuspectCause::NoPrimary) : std::nullopt;
  }
  if (MaxGranted() > mTerm) {
    bool isOverdue = aNow - mGrantSeenAt >= mLimits.mUnfinished;
    return isOverdue ? std::optional(SuspectCause::Unfinished) : std::nullopt;
  }
  if (SilenceOf(*mPrimary, aNow) >= mLimits.mSilence) {
    return SuspectCause::Silent;
  }
  if (mNodes[*mPrimary].mStatus.mLeaving) {
    return SuspectCause::Leaving;
  }
  auto stalled = mLimits.mStalled * (1 << std::min(mStalls, kMaxStallShift));
  if (aNow - mProgressAt >= stalled) {
    return SuspectCause::Stalled;
  }
  return std::nullopt;
}

TimePoint FailoverMachine::ActTime(SuspectCause aCause, TimePoint aNow) const
{
  auto ranked = aNow + mLimits.mRankDelay * static_cast<int>(mRank);
  return aCause == SuspectCause::Leaving ? ranked + mLimits.mCatchUp : ranked;
}

bool FailoverMachine::MayClaim(Suspecting& aState, TimePoint aNow, FailoverActions* aTo)
{
  switch (aState.mCause) {
    case SuspectCause::Unfinished:
    case SuspectCause::Stalled:
      return true;
    case SuspectCause::Leaving:
      if (mRank == 0 && HasCaughtUp()) {
        aState.mActAt = aNow;
      }
      return std::any_of(mNodes.begin(), mNodes.end(), [&](const Node& aIt) {
        return !aIt.mStatus.mLeaving && aNow - aIt.mHeardAt < mLimits.mSilence;
      });
    case SuspectCause::Silent:
    case SuspectCause::NoPrimary:
      break;
  }
  if (aState.mAgree > 0 && aState.mDisagree == 0) {
    return true;
  }
  bool isRoundOver = aNow >= aState.mRoundDeadline || aState.mAnswers >= mPeers;
  bool isAlone = aState.mAgree + aState.mDisagree == 0 && aState.mRound != 0;
  auto silence = mPrimary ? SilenceOf(*mPrimary, aNow) : aNow - mStartedAt;
  if ((isRoundOver && isAlone) || mPeers == 0) {
    if (silence >= mLimits.mSilenceAlone) {
      return true;
    }
  }
  if (aNow >= aState.mRoundDeadline && mPeers > 0) {
    aState.mRound = ++mRound;
    aState.mAgree = 0;
    aState.mDisagree = 0;
    aState.mAnswers = 0;
    aState.mRoundDeadline = aNow + mLimits.mPeerTimeout;
    aTo->push_back(AskPeers{ aState.mRound });
  }
  return false;
}

bool FailoverMachine::HasCaughtUp() const
{
  const auto& head = mNodes[*mPrimary].mStatus.mHead;
  return std::any_of(mNodes.begin(), mNodes.end(), [&](const Node& aIt) {
    return !aIt.mStatus.mLeaving && aIt.mKnown && aIt.mStatus.mHead == head;
  });
}

void FailoverMachine::StartClaim(SuspectCause aCause,
                                 TimePoint aNow,
                                 FailoverActions* aTo)
{
  Claiming next;
  next.mCause = aCause;
  next.mTerm = std::max(MaxGranted(), mTerm) + 1;
  next.mDeadline = aNow + mLimits.mStepTimeout;
  next.mHeads.resize(mNodes.size());
  if (aCause == SuspectCause::Stalled) {
    ++mStalls;
  }
  aTo->push_back(StepReached{ FailoverStep::Claim, next.mTerm, mPrimary, aCause });
  for (std::size_t n = 0; n < mNodes.size(); ++n) {
    bool isStalled = aCause == SuspectCause::Stalled && mPrimary == n;
    const auto& node = mNodes[n];
    bool isFailing =
      node.mFailingSince && aNow - *node.mFailingSince >= mLimits.mAgreeSilence;
    next.mAvoided.push_back(isStalled || isFailing || node.mStatus.mLeaving);
    aTo->push_back(SendFence{ n, next.mTerm });
  }
  mState = std::move(next);
}

void FailoverMachine::FailClaim(FailoverStep aStep,
                                TimePoint aNow,
                                FailoverActions* aTo)
{
  aTo->push_back(StepReached{ aStep, MaxGranted(), std::nullopt, std::nullopt });
  // Homes that claim at the same time retry at different times, by their rank.
  auto backoff = kBackoff * (1 << std::min(mFailures, kMaxBackoffShift));
  mBackoffUntil = aNow + backoff + mLimits.mRankDelay * static_cast<int>(mRank);
  ++mFailures;
  mState = Healthy{};
}

void FailoverMachine::Learn(std::uint64_t aTerm,
                            std::size_t aPrimary,
                            FailoverActions* aTo)
{
  mTerm = aTerm;
  mPrimary = aPrimary;
  mState = Healthy{};
  mFailures = 0;
  mProgressAt = std::max(mProgressAt, mNodes[aPrimary].mHeardAt);
  aTo->push_back(StepReached{ FailoverStep::Known, aTerm, aPrimary, std::nullopt });
}

void FailoverMachine::TrackReplication(TimePoint aNow)
{
  if (!mPrimary) {
    mProgressAt = aNow;
    return;
  }
  const auto& primary = mNodes[*mPrimary].mStatus;
  std::size_t holders = 0;
  std::uint64_t replicated = 0;
  for (std::size_t n = 0; n < mNodes.size(); ++n) {
    const auto& head = mNodes[n].mStatus.mHead;
    bool holds = head.mTerm == mTerm && head.mPosition >= primary.mHead.mPosition;
    holders += holds ? 1 : 0;
    replicated += n == *mPrimary ? 0 : head.mPosition;
  }
  bool isUnobservable = !IsHeard(*mPrimary, aNow) || !IsMajority(CountHeard(aNow));
  if (IsMajority(holders) || isUnobservable || replicated != mReplicated) {
    mProgressAt = aNow;
  }
  mReplicated = replicated;
}

void FailoverMachine::RedirectReplicas(TimePoint aNow, FailoverActions* aTo)
{
  if (!mPrimary) {
    return;
  }
  for (std::size_t n = 0; n < mNodes.size(); ++n) {
    auto& node = mNodes[n];
    const auto& status = node.mStatus;
    bool follows =
      status.mGrantedTerm == mTerm && status.mFollows == mNodes[*mPrimary].mAddress;
    bool isNeeded = n != *mPrimary && node.mKnown && !follows &&
                    status.mGrantedTerm <= mTerm && IsHeard(n, aNow);
    if (!isNeeded) {
      node.mFollowAt.reset();
      continue;
    }
    auto wait = mLimits.mRankDelay * static_cast<int>(mRank);
    if (!node.mFollowAt) {
      node.mFollowAt = aNow + wait;
    }
    if (aNow >= *node.mFollowAt) {
      node.mFollowAt = aNow + wait + mLimits.mFollowInterval;
      aTo->push_back(SendFollow{ n, mTerm, *mPrimary });
    }
  }
}

bool FailoverMachine::IsHeard(std::size_t aDatabase, TimePoint aNow) const
{
  const auto& node = mNodes[aDatabase];
  return node.mKnown && aNow - node.mHeardAt < mLimits.mSilence;
}

std::size_t FailoverMachine::CountHeard(TimePoint aNow) const
{
  std::size_t heard = 0;
  for (std::size_t n = 0; n < mNodes.size(); ++n) {
    heard += IsHeard(n, aNow) ? 1 : 0;
  }
  return heard;
}

std::uint64_t FailoverMachine::MaxGranted() const
{
  std::uint64_t granted = 0;
  for (const auto& it : mNodes) {
    granted = std::max(granted, it.mStatus.mGrantedTerm);
  }
  return granted;
}

} // namespace sesameway
