#pragma once

#include "sesameway/Time.h"
#include "sesameway/Token.h"

#include <optional>

namespace sesameway {

// Whether a replica's log is too short for reads that require a log position, learned
// from its replies. The replica itself checks the position of each read, so this only
// affects which database a read is sent to.
class ReplicaLag
{
public:
  // The replica refused a read because its log did not hold this position.
  void OnBehind(const LogPosition& aRequired, TimePoint aNow);
  // The replica served a read that required this position.
  void OnServed(const LogPosition& aRequired);
  // The replica was chosen for a read that requires this position. The first such read
  // after the pause tries the replica again; the others wait for its result.
  void OnChosen(const std::optional<LogPosition>& aRequired, TimePoint aNow);
  // Whether a read that requires this position should pass the replica over for now.
  bool IsLagging(const std::optional<LogPosition>& aRequired, TimePoint aNow) const;

private:
  // Whether a log without the refused position can't hold this one either.
  bool IsRefused(const LogPosition& aRequired) const;

  // The lowest position refused since the last pause began; none while the replica is
  // taken to follow the primary.
  std::optional<LogPosition> mRefused;
  // The lowest position refused since the first of mRefusals.
  LogPosition mFirstRefused;
  // Refusals in a row: the first one and those of reads that tried again.
  int mRefusals = 0;
  TimePoint mPauseUntil{};
  // Up to when the other reads wait for the result of the one that tries the replica;
  // TimePoint{} if none has tried since the pause.
  TimePoint mTrialUntil{};
};

} // namespace sesameway
