#include "daemon/Metrics.h"

#include <cmath>

namespace sesameway::daemon {

namespace {

namespace acc = boost::accumulators;
namespace histogram = boost::histogram;

// Upper bounds of the histogram's buckets: 1, 2 and 5 in each power of ten. For
// latencies in microseconds they cover 100 us to 20 s.
constexpr std::array kBucketBounds{ 1e2, 2e2, 5e2, 1e3, 2e3, 5e3, 1e4, 2e4, 5e4,
                                    1e5, 2e5, 5e5, 1e6, 2e6, 5e6, 1e7, 2e7 };

constexpr std::array<double, 2> kQuantiles{ 0.5, 0.99 };
// The P-square algorithm has no estimate for fewer values.
constexpr std::size_t kMinValuesForQuantiles = 2 * kQuantiles.size() + 3;

template<typename Table>
auto& FindOrInsert(Table& aTable, std::string_view aName)
{
  auto it = aTable.find(aName);
  if (it == aTable.end()) {
    using Value = typename Table::mapped_type::element_type;
    // If two threads insert the same name at once, both get the element that was
    // inserted first.
    it = aTable.emplace(std::string(aName), std::make_unique<Value>()).first;
  }
  return *it->second;
}

} // namespace

std::size_t Counter::ShardOfThread()
{
  static std::atomic<std::size_t> sNext = 0;
  thread_local std::size_t shard = sNext++ % kShards;
  return shard;
}

std::int64_t Counter::Value() const
{
  std::int64_t sum = 0;
  for (const auto& it : mShards) {
    sum += it.mSum.load(std::memory_order_relaxed);
  }
  return sum;
}

Distribution::Distribution()
  : mValues(acc::extended_p_square_probabilities = kQuantiles)
  , mHistogram(histogram::make_histogram(
      histogram::axis::variable<>(kBucketBounds.begin(), kBucketBounds.end())))
{
}

void Distribution::Record(double aValue)
{
  oneapi::tbb::spin_mutex::scoped_lock lock(mMutex);
  mValues(aValue);
  // A bin of the histogram includes its lower bound, but `.le_N` must count values
  // equal to N. The value is therefore moved just below the bound.
  mHistogram(std::nextafter(aValue, 0.0));
}

void Distribution::AppendTo(const std::string& aName,
                            std::vector<MetricValue>& aTo) const
{
  oneapi::tbb::spin_mutex::scoped_lock lock(mMutex);
  auto add = [&](const char* aSuffix, double aValue) {
    aTo.push_back({ aName + aSuffix, aValue });
  };
  add(".count", static_cast<double>(acc::count(mValues)));
  add(".mean", acc::mean(mValues));
  add(".max", acc::max(mValues));
  double below = 0;
  // Bin -1 is the underflow bin, which counts the values below the first bound.
  for (int n = 0; n < static_cast<int>(kBucketBounds.size()); ++n) {
    below += mHistogram.at(n - 1);
    add((".le_" + std::to_string(std::llround(kBucketBounds[n]))).c_str(), below);
  }
  if (acc::count(mValues) < kMinValuesForQuantiles) {
    return;
  }
  add(".p50", acc::quantile(mValues, acc::quantile_probability = kQuantiles[0]));
  add(".p99", acc::quantile(mValues, acc::quantile_probability = kQuantiles[1]));
}

Counter& Metrics::CounterOf(std::string_view aName)
{
  return FindOrInsert(mCounters, aName);
}

Distribution& Metrics::DistributionOf(std::string_view aName)
{
  return FindOrInsert(mDistributions, aName);
}

std::vector<MetricValue> Metrics::Counters() const
{
  std::vector<MetricValue> values;
  for (const auto& it : mCounters) {
    values.push_back({ it.first, static_cast<double>(it.second->Value()) });
  }
  return values;
}

std::vector<MetricValue> Metrics::Read() const
{
  auto values = Counters();
  for (const auto& it : mDistributions) {
    it.second->AppendTo(it.first, values);
  }
  return values;
}

} // namespace sesameway::daemon
