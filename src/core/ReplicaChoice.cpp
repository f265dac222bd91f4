#include "sesameway/ReplicaChoice.h"

namespace sesameway {

namespace {

// Kept away from the primary: a read there takes the time of a write.
constexpr Duration kPrimaryCost = milliseconds(60);
// A replica that lacked the position when it answered last has it by now more often
// than not, as logs are copied all the time; its refusal costs a round trip.
constexpr Duration kBehindCost = milliseconds(80);
constexpr Duration kAvoidCost = milliseconds(1000);
// A replica that lags does so for longer than a read lasts; the primary, though busy,
// will answer.
constexpr Duration kTooOldCost = milliseconds(3000);

Duration CostOf(const ReadCandidate& aCandidate,
                const std::optional<LogPosition>& aAfter)
{
  auto cost = aCandidate.mDistance * 2 + aCandidate.mExpectedWait;
  if (aCandidate.mIsPrimary) {
    cost += kPrimaryCost;
  } else if (aAfter && aCandidate.mPosition && *aCandidate.mPosition < *aAfter) {
    cost += kBehindCost;
  }
  if (aCandidate.mShouldAvoid) {
    cost += kAvoidCost;
  }
  if (aCandidate.mIsTooOld) {
    cost += kTooOldCost;
  }
  return cost;
}

} // namespace

std::optional<std::size_t> ChooseForFreshRead(
  const std::vector<ReadCandidate>& aCandidates,
  const std::optional<LogPosition>& aAfter)
{
  std::optional<std::size_t> best;
  for (std::size_t n = 0; n < aCandidates.size(); ++n) {
    // A replica can only prove its freshness by a position that is known to be new.
    if (!aCandidates[n].mIsPrimary && !aAfter) {
      continue;
    }
    if (!best || CostOf(aCandidates[n], aAfter) < CostOf(aCandidates[*best], aAfter)) {
      best = n;
    }
  }
  return best;
}

} // namespace sesameway
