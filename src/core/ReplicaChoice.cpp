#include "sesameway/ReplicaChoice.h"

namespace sesameway {

namespace {

// Keeps reads away from the primary, where a read takes the time of a write.
constexpr Duration kPrimaryCost = milliseconds(60);
// A replica whose log lacked the position as of its last answer usually holds it by
// now, as replication is continuous. If it does not, its refusal costs a round trip.
constexpr Duration kBehindCost = milliseconds(80);
constexpr Duration kAvoidCost = milliseconds(1000);
// A replica that lags does so for longer than a read lasts, whereas the primary answers
// even if it is busy.
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
    // A replica can prove the freshness of its data only against a log position that is
    // known to be recent.
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
