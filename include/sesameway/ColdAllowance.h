#pragma once

#include "sesameway/Time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sesameway {

// Until when a database is cold, and how many statements this daemon may start there
// meanwhile. Starts are spaced evenly, without a burst: many daemons share the rate,
// and one saved start each would exceed it.
class ColdAllowance
{
public:
  // The database's entry has arrived, saying that the process started at
  // `aStartedAtMs` stays cold for `aCold`. An unchanged entry does not extend the time.
  void OnEntry(std::uint64_t aStartedAtMs, Duration aCold, TimePoint aNow);
  bool IsCold(TimePoint aNow) const { return aNow < mColdUntil; }
  // Takes one start at this rate. Returns the time to try again if there is none.
  std::optional<TimePoint> TakeStart(double aPerSecond, TimePoint aNow);
  // A statement was sent. One that took no start, because it belongs to an open
  // transaction, postpones the next start.
  void OnSent(double aPerSecond, TimePoint aNow);

private:
  void Spend(double aPerSecond, TimePoint aNow);

  bool mIsKnown = false;
  std::uint64_t mStartedAtMs = 0;
  Duration mCold{};
  TimePoint mColdUntil{};
  // When the last start was taken; the time of the first entry before that, as this
  // daemon may have taken a start just before it was restarted.
  TimePoint mStartAt{};
  // Starts whose statement has not been sent yet.
  std::size_t mUnsent = 0;
};

// This daemon's place among the daemons that start statements at the cold database;
// nullopt if `aSelf` is not in `aDaemons`.
std::optional<std::size_t> ColdRank(std::string_view aDatabase,
                                    std::string_view aSelf,
                                    const std::vector<std::string>& aDaemons);
// How many daemons start statements at a cold database, of the fleet's `aDaemons`. The
// database must get at most `aRate` x `aOver` + `aSlack` statements in any second.
std::size_t ColdStarters(double aRate,
                         double aOver,
                         double aSlack,
                         std::size_t aDaemons);

} // namespace sesameway
