#include "sesameway/Routing.h"

#include <algorithm>

namespace sesameway {

namespace {

constexpr std::size_t kMaxSamples = 512;
// The last sample is replaced while the new one follows the second-last one by less
// than this, so that a full history of 512 samples spans at least about 256 times this.
constexpr Duration kSampleSpacing = milliseconds(5);

// Time allowed for a round trip to a replica. If the read takes longer, the check of
// its answer detects data that is too old.
constexpr Duration kReadAllowance = milliseconds(50);

RouteChoice PrimaryOrWait(const GroupView& aView, RouteCause aCause)
{
  if (!aView.mPrimary) {
    return { WaitForPrimary{}, RouteCause::NoPrimaryKnown };
  }
  return { ToPrimary{ *aView.mPrimary }, aCause };
}

bool FreshEnough(const HeadHistory& aHistory,
                 const LogPosition& aPosition,
                 Duration aMaxAge,
                 TimePoint aAt)
{
  auto current = aHistory.CurrentAt(aPosition);
  return current && aAt - *current <= aMaxAge;
}

} // namespace

void HeadHistory::Observe(const LogPosition& aHead, TimePoint aAt)
{
  if (!mSamples.empty() && aHead.mTerm > mSamples.back().mHead.mTerm) {
    DropLostTail(aHead.mPosition);
  }
  if (!mSamples.empty()) {
    auto& last = mSamples.back();
    if (aAt < last.mAt || aHead < last.mHead) {
      return;
    }
    if (aHead == last.mHead) {
      last.mAt = aAt;
      return;
    }
    bool isClose =
      mSamples.size() > 1 && aAt - mSamples[mSamples.size() - 2].mAt < kSampleSpacing;
    if (isClose) {
      // Keeping the newer head with the newer time is conservative, as it requires more
      // of a replica.
      last = { aHead, aAt };
      return;
    }
  }
  if (mSamples.size() == kMaxSamples) {
    mSamples.erase(mSamples.begin(), mSamples.begin() + kMaxSamples / 2);
  }
  mSamples.push_back({ aHead, aAt });
}

void HeadHistory::Propose(const LogPosition& aHead, TimePoint aAt)
{
  mProposed = Sample{ aHead, aAt };
}

void HeadHistory::Confirm(const GroupView& aView)
{
  if (!mProposed || !IsConfirmed(aView, mProposed->mHead.mTerm, mProposed->mAt)) {
    return;
  }
  Observe(mProposed->mHead, mProposed->mAt);
  mProposed.reset();
}

void HeadHistory::DropLostTail(std::uint64_t aPosition)
{
  while (!mSamples.empty() && mSamples.back().mHead.mPosition > aPosition) {
    mSamples.pop_back();
  }
}

std::optional<TimePoint> HeadHistory::CurrentAt(const LogPosition& aPosition) const
{
  auto it = std::upper_bound(mSamples.begin(),
                             mSamples.end(),
                             aPosition,
                             [](const LogPosition& aHead, const Sample& aSample) {
                               return !aHead.Covers(aSample.mHead);
                             });
  if (it == mSamples.begin()) {
    return std::nullopt;
  }
  return std::prev(it)->mAt;
}

std::optional<LogPosition> HeadHistory::HeadSince(TimePoint aAt) const
{
  auto it = std::lower_bound(
    mSamples.begin(), mSamples.end(), aAt, [](const Sample& aSample, TimePoint aTime) {
      return aSample.mAt < aTime;
    });
  if (it == mSamples.end()) {
    return std::nullopt;
  }
  return it->mHead;
}

RouteChoice ChooseForRead(const GroupView& aView,
                          const HeadHistory& aHistory,
                          const ReadRequirement& aRequirement,
                          std::string_view aZone,
                          TimePoint aNow,
                          std::uint64_t aTurn)
{
  if (aRequirement.mMaxAge == Duration::zero()) {
    return PrimaryOrWait(aView, RouteCause::NoAgeAllowed);
  }
  if (!aRequirement.mTokenKnown) {
    return PrimaryOrWait(aView, RouteCause::NoToken);
  }
  std::vector<std::size_t> near;
  std::vector<std::size_t> far;
  bool isAnyThere = false;
  for (std::size_t n = 0; n < aView.mDatabases.size(); ++n) {
    const auto& it = aView.mDatabases[n];
    if (!it.mReachable || it.mLeaving || aView.mPrimary == n) {
      continue;
    }
    if (aRequirement.mToken && !it.mHead.Covers(*aRequirement.mToken)) {
      continue;
    }
    isAnyThere = true;
    Duration allowance = std::min(kReadAllowance, aRequirement.mMaxAge / 4);
    if (!FreshEnough(aHistory, it.mHead, aRequirement.mMaxAge - allowance, aNow)) {
      continue;
    }
    (it.mZone == aZone ? near : far).push_back(n);
  }
  const auto& some = near.empty() ? far : near;
  if (some.empty()) {
    return PrimaryOrWait(
      aView, isAnyThere ? RouteCause::ReplicasTooOld : RouteCause::ReplicasBehindToken);
  }
  return { ToReplica{ some[aTurn % some.size()] }, RouteCause::ReplicaFresh };
}

RouteChoice ChooseForWrite(const GroupView& aView)
{
  return PrimaryOrWait(aView, RouteCause::Write);
}

bool MeetsRequirement(const ReadRequirement& aRequirement,
                      const HeadHistory& aHistory,
                      const LogPosition& aPosition,
                      TimePoint aNow)
{
  if (aRequirement.mToken && !aPosition.Covers(*aRequirement.mToken)) {
    return false;
  }
  return FreshEnough(aHistory, aPosition, aRequirement.mMaxAge, aNow);
}

bool IsSafe(const GroupView& aView, const LogPosition& aEntry)
{
  std::size_t holders = 0;
  for (const auto& it : aView.mDatabases) {
    // A log whose last entry is of another term proves nothing about this term's entry:
    // it may hold a different entry at that index, and an inherited entry on a majority
    // can still be lost. An entry on a database that has granted a newer term counts as
    // inherited: that term's primary may have copied it there, and a log of a term in
    // between takes precedence over it.
    bool isInherited = it.mGrantedTerm > aEntry.mTerm;
    bool holds =
      it.mHead.mTerm == aEntry.mTerm && it.mHead.mPosition >= aEntry.mPosition;
    holders += holds && !isInherited ? 1 : 0;
  }
  return holders * 2 > aView.mDatabases.size();
}

bool IsConfirmed(const GroupView& aView, std::uint64_t aTerm, TimePoint aSince)
{
  std::size_t granters = 0;
  for (const auto& it : aView.mDatabases) {
    if (it.mGrantedTerm == aTerm && it.mSeenAt >= aSince) {
      ++granters;
    }
  }
  return granters * 2 > aView.mDatabases.size();
}

} // namespace sesameway
