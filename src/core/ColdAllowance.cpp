#include "sesameway/ColdAllowance.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace sesameway {

namespace {

// Retry time of a daemon that has no share of the rate.
constexpr Duration kNoSharePause = seconds(1);
// Part of the margin above the rate that is left for daemons whose lists of daemons
// differ, and for those that were restarted.
constexpr double kReservedMargin = 0.5;
// Longer intervals between two starts count as this one.
constexpr double kLongestIntervalS = 3600;

Duration IntervalOf(double aPerSecond)
{
  std::chrono::duration<double> interval(std::min(1 / aPerSecond, kLongestIntervalS));
  return std::chrono::duration_cast<Duration>(interval);
}

std::pair<std::uint64_t, std::string_view> Score(std::string_view aDatabase,
                                                 std::string_view aDaemon)
{
  auto seed = XXH3_64bits(aDatabase.data(), aDatabase.size());
  return { XXH3_64bits_withSeed(aDaemon.data(), aDaemon.size(), seed), aDaemon };
}

} // namespace

void ColdAllowance::OnEntry(std::uint64_t aStartedAtMs, Duration aCold, TimePoint aNow)
{
  bool isSame = mIsKnown && aStartedAtMs == mStartedAtMs && aCold == mCold;
  if (isSame) {
    return;
  }
  if (!mIsKnown || aStartedAtMs != mStartedAtMs) {
    mStartAt = aNow;
    mUnsent = 0;
  }
  mIsKnown = true;
  mStartedAtMs = aStartedAtMs;
  mCold = aCold;
  mColdUntil = aNow + aCold;
}

std::optional<TimePoint> ColdAllowance::TakeStart(double aPerSecond, TimePoint aNow)
{
  if (aPerSecond <= 0) {
    return aNow + kNoSharePause;
  }
  auto next = mStartAt + IntervalOf(aPerSecond);
  if (aNow < next) {
    return next;
  }
  Spend(aPerSecond, aNow);
  ++mUnsent;
  return std::nullopt;
}

void ColdAllowance::OnSent(double aPerSecond, TimePoint aNow)
{
  if (mUnsent > 0) {
    --mUnsent;
  } else if (aPerSecond > 0) {
    Spend(aPerSecond, aNow);
  }
}

void ColdAllowance::Spend(double aPerSecond, TimePoint aNow)
{
  auto interval = IntervalOf(aPerSecond);
  mStartAt = std::max(mStartAt + interval, aNow);
}

std::optional<std::size_t> ColdRank(std::string_view aDatabase,
                                    std::string_view aSelf,
                                    const std::vector<std::string>& aDaemons)
{
  auto own = Score(aDatabase, aSelf);
  bool isListed = false;
  std::size_t rank = 0;
  for (const auto& it : aDaemons) {
    isListed |= it == aSelf;
    rank += Score(aDatabase, it) > own ? 1 : 0;
  }
  return isListed ? std::optional(rank) : std::nullopt;
}

// Even spacing leaves each daemon at most its share plus one start in any second, so n
// daemons together start at most the rate plus n.
std::size_t ColdStarters(double aRate,
                         double aOver,
                         double aSlack,
                         std::size_t aDaemons)
{
  auto margin = aRate * (aOver - 1) + aSlack;
  auto most = std::clamp(std::floor(margin * kReservedMargin),
                         1.0,
                         static_cast<double>(std::max<std::size_t>(1, aDaemons)));
  return static_cast<std::size_t>(most);
}

} // namespace sesameway
