#include "sesameway/ReplicaLag.h"

namespace sesameway {

namespace {

// Replicas normally hold a commit after 20 to 90 ms, so a refused position is usually
// there after this pause.
constexpr Duration kFirstPause = milliseconds(50);
// Bounds how long reads pass over a replica that has caught up.
constexpr Duration kLongestPause = milliseconds(800);
// The read that tries the replica again may be lost or refused as busy; another one
// tries after this time.
constexpr Duration kTrialTimeout = milliseconds(100);
// Much longer than the longest pause: if no read has tried the replica for this long,
// the earlier refusals say nothing about its present lag.
constexpr Duration kForgetAfter = seconds(5);

} // namespace

void ReplicaLag::OnBehind(const LogPosition& aRequired, TimePoint aNow)
{
  if (aNow - mPauseUntil > kForgetAfter) {
    *this = ReplicaLag();
  }
  bool isFirst = !mRefused;
  if (isFirst || mFirstRefused.Covers(aRequired)) {
    mFirstRefused = aRequired;
  }
  // A read that was sent before the pause, or that required an older position, says
  // nothing about how long the lag lasts.
  if (!isFirst && aNow < mPauseUntil) {
    mRefused = mRefused->Covers(aRequired) ? aRequired : *mRefused;
    return;
  }
  bool hasTried = mTrialUntil != TimePoint{};
  if (isFirst || hasTried) {
    ++mRefusals;
  }
  mRefused = aRequired;
  mPauseUntil = aNow + ExponentialBackoff(kFirstPause, mRefusals - 1, kLongestPause);
  mTrialUntil = TimePoint{};
}

// A read that required an older position than all those refused says nothing about the
// lag: during a long one, routes that accept old data are still served. A replica that
// holds the position refused first follows the primary, even if it does not hold the
// one refused last yet. Otherwise sessions that read soon after their commits would
// keep a replica of normal delay out of use.
void ReplicaLag::OnServed(const LogPosition& aRequired)
{
  if (mRefused && aRequired.Covers(mFirstRefused)) {
    *this = ReplicaLag();
  }
}

void ReplicaLag::OnChosen(const std::optional<LogPosition>& aRequired, TimePoint aNow)
{
  bool isTrial = aRequired && IsRefused(*aRequired) && !IsLagging(aRequired, aNow);
  if (isTrial) {
    mTrialUntil = aNow + kTrialTimeout;
  }
}

bool ReplicaLag::IsLagging(const std::optional<LogPosition>& aRequired,
                           TimePoint aNow) const
{
  bool isUnsettled = aNow < mPauseUntil || aNow < mTrialUntil;
  return isUnsettled && aRequired && IsRefused(*aRequired);
}

bool ReplicaLag::IsRefused(const LogPosition& aRequired) const
{
  return mRefused && aRequired.Covers(*mRefused);
}

} // namespace sesameway
