#pragma once

// The quantile header uses std::ostringstream without including it.
#include <sstream>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/histogram/accumulators/count.hpp>
#include <boost/histogram/axis/variable.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>

#include <oneapi/tbb/concurrent_map.h>
#include <oneapi/tbb/spin_mutex.h>

#include <array>
#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace sesameway::daemon {

struct MetricValue
{
  std::string mName;
  double mValue = 0;
};

// A counter that threads update with little contention, because they are spread over
// several shards. With negative amounts it serves as a gauge.
class Counter
{
public:
  void Add(std::int64_t aAmount = 1)
  {
    mShards[ShardOfThread()].mSum.fetch_add(aAmount, std::memory_order_relaxed);
  }
  std::int64_t Value() const;

private:
  static constexpr std::size_t kShards = 8;
  static std::size_t ShardOfThread();
  // Each shard fills a cache line, which avoids false sharing.
  struct alignas(64) Shard
  {
    std::atomic<std::int64_t> mSum = 0;
  };
  std::array<Shard, kShards> mShards;
};

// Statistics of the values recorded since the start: count, mean, maximum, p50 and p99
// once there are enough values, and a histogram, in which `.le_N` counts the values up
// to N. Thread-safe, with a lock of its own.
class Distribution
{
public:
  Distribution();
  void Record(double aValue);
  void AppendTo(const std::string& aName, std::vector<MetricValue>& aTo) const;

private:
  using Values = boost::accumulators::accumulator_set<
    double,
    boost::accumulators::stats<boost::accumulators::tag::count,
                               boost::accumulators::tag::mean,
                               boost::accumulators::tag::max,
                               boost::accumulators::tag::extended_p_square_quantile>>;
  using Histogram =
    decltype(boost::histogram::make_histogram(boost::histogram::axis::variable<>()));
  mutable oneapi::tbb::spin_mutex mMutex;
  Values mValues;
  Histogram mHistogram;
};

// Counters and distributions by name, which operators read through the operator
// service. References that CounterOf() and DistributionOf() return stay valid as long
// as this object. Code on a hot path should keep the reference, or look it up by a name
// that it need not build; the lookup takes no lock.
class Metrics
{
public:
  Counter& CounterOf(std::string_view aName);
  Distribution& DistributionOf(std::string_view aName);

  void Count(std::string_view aName, std::int64_t aAmount = 1)
  {
    CounterOf(aName).Add(aAmount);
  }
  // Adds one value to a distribution.
  void Record(std::string_view aName, double aValue)
  {
    DistributionOf(aName).Record(aValue);
  }
  std::vector<MetricValue> Read() const;
  // Reads the counters only, not the distributions.
  std::vector<MetricValue> Counters() const;

private:
  template<typename Value>
  using Table =
    oneapi::tbb::concurrent_map<std::string, std::unique_ptr<Value>, std::less<>>;
  Table<Counter> mCounters;
  Table<Distribution> mDistributions;
};

} // namespace sesameway::daemon
