#include "sesameway/HeadQuestions.h"

#include <algorithm>

namespace sesameway {

namespace {

// How old the last known position may be for a daemon that asks for its fellows.
constexpr Duration kHeadAge = milliseconds(400);
// The same for one that is told: more than the teller's question and its own take, less
// than the age that reads accept.
constexpr Duration kToldHeadAge = milliseconds(1000);
// For so long after a read that needed one.
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
