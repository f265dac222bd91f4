#pragma once

#include "sesameway/Time.h"
#include "sesameway/Token.h"

#include <optional>
#include <string>
#include <vector>

namespace sesameway {

// A database that a read could go to.
struct ReadCandidate
{
  std::string mName;
  bool mIsPrimary = false;
  // One way, about.
  Duration mDistance{};
  // For a connection.
  Duration mExpectedWait{};
  // The end of its log when it answered last, and when that was.
  std::optional<LogPosition> mPosition;
  // It has just refused, or failed to serve, this read.
  bool mShouldAvoid = false;
  // Its log was too short for this read.
  bool mIsTooOld = false;
};

// The index of the database that will probably answer first among those whose log holds
// `aAfter`, as far as is known. The primary, which alone can take writes, is given
// reads only where replicas are far behind or much slower. None if there is no
// candidate.
std::optional<std::size_t> ChooseForFreshRead(
  const std::vector<ReadCandidate>& aCandidates,
  const std::optional<LogPosition>& aAfter);

} // namespace sesameway
