#include "sesameway/HeadPollSchedule.h"

#include <algorithm>

namespace sesameway {

namespace {

// Maximum age of the last known position at the daemon that polls for its region.
constexpr Duration kHeadAge = milliseconds(400);
// Maximum age at the other daemons: more than the poller's request and a request of
// their own take, but less than the age that reads accept.
constexpr Duration kToldHeadAge = milliseconds(1000);
// How long a daemon other than the poller may poll after a read that needed the
// position. The poller polls whether or not there are reads.
constexpr Duration kHeadNeed = seconds(3);

} // namespace

void HeadPollSchedule::OnHead(TimePoint aAt)
{
  mHeadAt = std::max(mHeadAt, aAt);
}

bool HeadPollSchedule::Ask(bool aIsPoller, TimePoint aNow)
{
  bool isWanted = aIsPoller || aNow - mReadAt < kHeadNeed;
  auto limit = aIsPoller ? kHeadAge : kToldHeadAge;
  if (!isWanted || mIsAsking || aNow - mHeadAt <= limit) {
    return false;
  }
  mIsAsking = true;
  return true;
}

} // namespace sesameway
