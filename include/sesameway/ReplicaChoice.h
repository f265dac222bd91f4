#pragma once

#include "sesameway/Time.h"
#include "sesameway/Token.h"

#include <optional>
#include <string>
#include <vector>

namespace sesameway {

// A database that a read can be sent to.
struct ReadCandidate
{
  std::string mName;
  bool mIsPrimary = false;
  // Approximate one-way network latency.
  Duration mDistance{};
  // Expected wait for a free connection.
  Duration mExpectedWait{};
  // The end of its log as of its last answer.
  std::optional<LogPosition> mPosition;
  // The database has just refused or failed this read, or is ejected for failed
  // statements.
  bool mShouldAvoid = false;
  // The database's log was too short for this read.
  bool mIsTooOld = false;
};

// Returns the index of the candidate that will probably answer first with data that
// holds `aAfter`, as far as is known. The primary is the only database that can take
// writes, so it gets reads only if the replicas are far behind or much slower. Returns
// nullopt if there is no suitable candidate.
std::optional<std::size_t> ChooseForFreshRead(
  const std::vector<ReadCandidate>& aCandidates,
  const std::optional<LogPosition>& aAfter);

} // namespace sesameway
