#include "sesameway/DaemonPoll.h"

#include <algorithm>

namespace sesameway {

namespace {

// Calls about groups whose primary may have failed: more than half of 590 daemons are
// asked within the time for which an answer counts.
constexpr std::size_t kUrgentCallsPerTick = 32;
constexpr std::size_t kCallsPerTick = 16;
// Shortest interval between two rounds of questions for losses. It grows with the fleet
// by the same step for each kCallsPerTick daemons.
constexpr Duration kRoundInterval = milliseconds(1500);
// A third of the time after which a daemon that has not answered counts as missing.
constexpr Duration kLongestRoundInterval = seconds(5);

Duration RoundInterval(std::size_t aDaemons)
{
  auto steps = static_cast<int>(aDaemons / kCallsPerTick) + 1;
  return std::min<Duration>(kRoundInterval * steps, kLongestRoundInterval);
}

} // namespace

std::vector<DaemonPoll::Call> DaemonPoll::Next(const std::vector<std::string>& aDaemons,
                                               TimePoint aNow)
{
  std::vector<Call> calls;
  auto count = aDaemons.size();
  for (std::size_t n = 0; n < std::min(kUrgentCallsPerTick, count); ++n) {
    std::erase_if(mAsked, [&](const auto& aIt) { return aIt.second >= count; });
    if (mAsked.empty()) {
      break;
    }
    Call call{ aDaemons[mNextAbout++ % count], {} };
    for (auto& it : mAsked) {
      call.mGroups.push_back(it.first);
      ++it.second;
    }
    calls.push_back(std::move(call));
  }
  if (mLossesLeft == 0 && aNow - mLossesAskedAt >= RoundInterval(count)) {
    mLossesLeft = count;
    mLossesAskedAt = aNow;
  }
  for (std::size_t n = 0; n < std::min(kCallsPerTick, count) && mLossesLeft > 0; ++n) {
    calls.push_back({ aDaemons[mNextForLosses++ % count], {} });
    --mLossesLeft;
  }
  return calls;
}

} // namespace sesameway
