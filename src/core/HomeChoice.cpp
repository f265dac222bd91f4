#include "sesameway/HomeChoice.h"

#include <algorithm>

namespace sesameway {

namespace {

// Longer than the 600 ms that an answer is waited for: calls that were under way when
// the home fell silent fail before it is tried again.
constexpr Duration kFirstAvoidance = seconds(1);
// Statements wait in vain while a silent home is tried, so this becomes rarer.
constexpr Duration kLongestAvoidance = seconds(8);
// A home that is shutting down exits after a few seconds.
constexpr Duration kLeavingAvoidance = seconds(3);
// Daemons are replaced under new names, so names that are no longer used are dropped.
constexpr Duration kForgetAfter = seconds(60);

} // namespace

std::optional<std::string> HomeChoice::Choose(const std::vector<std::string>& aHomes,
                                              TimePoint aNow) const
{
  auto it = std::find_if(aHomes.begin(), aHomes.end(), [&](const std::string& aHome) {
    return !IsAvoided(aHome, aNow);
  });
  return it == aHomes.end() ? std::nullopt : std::optional(*it);
}

void HomeChoice::OnAnswer(const std::string& aHome)
{
  mAvoided.erase(aHome);
}

// When a home falls silent, many calls fail together. Only the first one counts, so
// that a single outage does not lead to the longest avoidance at once.
void HomeChoice::OnNoAnswer(const std::string& aHome, TimePoint aNow)
{
  if (IsAvoided(aHome, aNow)) {
    return;
  }
  Forget(aNow);
  auto& avoided = mAvoided[aHome];
  avoided.mUntil =
    aNow + ExponentialBackoff(kFirstAvoidance, avoided.mSilences, kLongestAvoidance);
  ++avoided.mSilences;
}

// A refusal is an answer, so silences before it no longer count.
void HomeChoice::OnLeaving(const std::string& aHome, TimePoint aNow)
{
  mAvoided[aHome] = { aNow + kLeavingAvoidance, 0 };
}

bool HomeChoice::IsAvoided(const std::string& aHome, TimePoint aNow) const
{
  auto it = mAvoided.find(aHome);
  return it != mAvoided.end() && aNow < it->second.mUntil;
}

void HomeChoice::Forget(TimePoint aNow)
{
  std::erase_if(
    mAvoided, [&](const auto& aIt) { return aIt.second.mUntil + kForgetAfter < aNow; });
}

} // namespace sesameway
