#include "load/Report.h"

// The quantile header uses std::ostringstream without including it.
#include <sstream>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/tail_quantile.hpp>

#include <algorithm>
#include <iomanip>
#include <ostream>

namespace sesameway::load {

namespace {

namespace acc = boost::accumulators;

constexpr double kMedian = 0.5;
constexpr double kP99 = 0.99;
constexpr Duration kWarmUp = seconds(1);

// Returns the time in microseconds of the system clock, for comparison with logs; 0 if
// there was no gap.
std::int64_t SystemMicroseconds(TimePoint aAt)
{
  if (aAt == TimePoint{}) {
    return 0;
  }
  auto at = std::chrono::system_clock::now() - (Clock::now() - aAt);
  return std::chrono::duration_cast<microseconds>(at.time_since_epoch()).count();
}

} // namespace

Latency LatencyOf(const std::vector<float>& aSamples)
{
  if (aSamples.empty()) {
    return {};
  }
  using Upper = acc::tag::tail_quantile<acc::right>;
  // The accumulator keeps the greater half of the samples, so that both quantiles are
  // exact.
  acc::accumulator_set<double, acc::stats<Upper>> samples(acc::right_tail_cache_size =
                                                            aSamples.size() / 2 + 2);
  for (float it : aSamples) {
    samples(it);
  }
  return { acc::quantile(samples, acc::quantile_probability = kMedian),
           acc::quantile(samples, acc::quantile_probability = kP99) };
}

WriteGap WriteGapOf(std::vector<TimePoint> aAcknowledgedAt)
{
  std::sort(aAcknowledgedAt.begin(), aAcknowledgedAt.end());
  WriteGap gap;
  for (std::size_t n = 1; n < aAcknowledgedAt.size(); ++n) {
    auto length = aAcknowledgedAt[n] - aAcknowledgedAt[n - 1];
    bool isCounted = aAcknowledgedAt[n] >= aAcknowledgedAt.front() + kWarmUp;
    if (isCounted && length > gap.mLongest) {
      gap = { length, aAcknowledgedAt[n] };
    }
  }
  return gap;
}

void PrintLine(std::ostream& aStream,
               const std::string& aKind,
               const Tally& aTally,
               double aSeconds)
{
  auto reads = LatencyOf(aTally.mReadLatencies);
  auto writes = LatencyOf(aTally.mWriteLatencies);
  auto gap = WriteGapOf(aTally.mAcknowledgedAt);
  double done = static_cast<double>(aTally.mReads + aTally.mAcknowledged);
  double judged = static_cast<double>(std::max<std::uint64_t>(1, aTally.mJudgedReads));
  double share = static_cast<double>(aTally.mReplicaReads) / judged;
  aStream << aKind << " acknowledged=" << aTally.mAcknowledged
          << " lost=" << aTally.mLost << " stale=" << aTally.mStale
          << " repeated=" << aTally.mRepeated << " reads=" << aTally.mReads
          << std::fixed << std::setprecision(3)
          << " judged_reads=" << aTally.mJudgedReads << " replica_share=" << share
          << " not_run=" << aTally.mNotRun << " unknown=" << aTally.mUnknown
          << std::setprecision(0) << " statements_per_s=" << done / aSeconds
          << " read_p50_us=" << reads.mP50 << " read_p99_us=" << reads.mP99
          << " write_p50_us=" << writes.mP50 << " write_p99_us=" << writes.mP99
          << " write_gap_us="
          << std::chrono::duration_cast<microseconds>(gap.mLongest).count()
          << " write_gap_end_us=" << SystemMicroseconds(gap.mEnd) << std::endl;
}

void PrintAddedLatency(std::ostream& aStream,
                       const Tally& aThrough,
                       const Tally& aDirect)
{
  auto reads = LatencyOf(aThrough.mReadLatencies);
  auto writes = LatencyOf(aThrough.mWriteLatencies);
  auto directReads = LatencyOf(aDirect.mReadLatencies);
  auto directWrites = LatencyOf(aDirect.mWriteLatencies);
  aStream << std::fixed << std::setprecision(0)
          << "added read_p50_us=" << reads.mP50 - directReads.mP50
          << " read_p99_us=" << reads.mP99 - directReads.mP99
          << " write_p50_us=" << writes.mP50 - directWrites.mP50
          << " write_p99_us=" << writes.mP99 - directWrites.mP99 << std::endl;
}

} // namespace sesameway::load
