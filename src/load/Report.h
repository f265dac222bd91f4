#pragma once

#include "load/LoadSession.h"

#include <iosfwd>
#include <string>
#include <vector>

namespace sesameway::load {

// Median and 99th percentile in microseconds.
struct Latency
{
  double mP50 = 0;
  double mP99 = 0;
};

// Takes samples in microseconds. Returns zeros if there are none.
Latency LatencyOf(const std::vector<float>& aSamples);

// The longest time between two successive acknowledged writes of all sessions together,
// and when it ended.
struct WriteGap
{
  Duration mLongest{};
  TimePoint mEnd{};
};

// Ignores gaps that end within a second of the first acknowledged write, because
// connections are opened then.
WriteGap WriteGapOf(std::vector<TimePoint> aAcknowledgedAt);

// Prints one line of key=value pairs that starts with `aKind`. `aSeconds` is how long
// the run took.
void PrintLine(std::ostream& aStream,
               const std::string& aKind,
               const Tally& aTally,
               double aSeconds);

// Prints the latency that daemons add: the difference between the run through daemons
// and the direct run.
void PrintAddedLatency(std::ostream& aStream,
                       const Tally& aThrough,
                       const Tally& aDirect);

} // namespace sesameway::load
