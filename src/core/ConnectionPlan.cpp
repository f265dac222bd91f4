#include "sesameway/ConnectionPlan.h"

#include <algorithm>

namespace sesameway {

namespace {

// Wait after which the first request in the queue may replace an idle connection of
// another organisation, even if requests of that organisation wait for it. Not sooner,
// because each such change costs a new connection.
constexpr Duration kStarvationTime = milliseconds(120);
// How long a request waits for a busy connection of its own organisation before an idle
// one of another organisation is closed for it: about as long as a statement takes.
constexpr Duration kReuseWait = milliseconds(40);
// Delay after which a refused caller is told to retry.
constexpr Duration kRetryPause = milliseconds(250);
// With at most this many connections to a database, all organisations take turns on
// them. A connection that has been idle for long is then hardly ever reused by its
// organisation and takes up a place that another daemon could use.
constexpr std::size_t kScarceConnections = 2;
constexpr Duration kScarceIdleLimit = seconds(1);
// Expected wait at a database that accepts no connections. Other daemons close theirs
// only after seconds, so reads should be routed elsewhere.
constexpr Duration kRefusedWait = milliseconds(400);
// The newest hold time has a weight of 1/8 (1 / 2^kHoldShift) in the moving average.
constexpr int kHoldShift = 3;

} // namespace

ConnectionPlan::Actions ConnectionPlan::SetLimit(std::size_t aLimit, TimePoint aNow)
{
  Actions actions;
  mLimit = aLimit;
  for (auto it = mConnections.begin();
       it != mConnections.end() && mConnections.size() > mLimit;) {
    if (it->second.mState != State::Idle) {
      ++it;
      continue;
    }
    actions.push_back(Close{ it->first });
    it = mConnections.erase(it);
  }
  Dispatch(aNow, actions);
  return actions;
}

ConnectionPlan::Actions ConnectionPlan::Add(Request aRequest, TimePoint aNow)
{
  auto before = [&](const Waiter& aIt) {
    return aIt.mRequest.mPriority <= aRequest.mPriority;
  };
  auto it = std::find_if_not(mWaiters.begin(), mWaiters.end(), before);
  mWaiters.insert(it, { std::move(aRequest), aNow });
  Actions actions;
  Dispatch(aNow, actions);
  return actions;
}

bool ConnectionPlan::Drop(std::uint64_t aTicket)
{
  auto it = std::find_if(mWaiters.begin(), mWaiters.end(), [&](const Waiter& aIt) {
    return aIt.mRequest.mTicket == aTicket;
  });
  if (it == mWaiters.end()) {
    return false;
  }
  mWaiters.erase(it);
  return true;
}

ConnectionPlan::Actions ConnectionPlan::OnOpened(std::uint64_t aConnection,
                                                 TimePoint aNow)
{
  Actions actions;
  auto it = mConnections.find(aConnection);
  mIsRefused = false;
  if (it != mConnections.end()) {
    it->second.mState = State::Idle;
    it->second.mSince = aNow;
    Dispatch(aNow, actions);
  }
  return actions;
}

ConnectionPlan::Actions ConnectionPlan::OnOpenFailed(std::uint64_t aConnection,
                                                     TimePoint aRetryAt,
                                                     TimePoint aNow)
{
  Actions actions;
  mConnections.erase(aConnection);
  mNextOpenAt = std::max(mNextOpenAt, aRetryAt);
  mIsRefused = true;
  Dispatch(aNow, actions);
  return actions;
}

std::uint64_t ConnectionPlan::TakeIdle(TimePoint aNow)
{
  auto id = FindIdleLongest();
  if (id != 0) {
    mConnections[id].mState = State::Busy;
    mConnections[id].mSince = aNow;
  }
  return id;
}

ConnectionPlan::Actions ConnectionPlan::OnReleased(std::uint64_t aConnection,
                                                   TimePoint aNow)
{
  Actions actions;
  auto it = mConnections.find(aConnection);
  if (it == mConnections.end()) {
    return actions;
  }
  auto held = aNow - it->second.mSince;
  mAverageHold += (held - mAverageHold) / (1 << kHoldShift);
  it->second.mState = State::Idle;
  it->second.mSince = aNow;
  if (mConnections.size() > mLimit) {
    actions.push_back(Close{ aConnection });
    mConnections.erase(it);
  }
  Dispatch(aNow, actions);
  return actions;
}

ConnectionPlan::Actions ConnectionPlan::OnGone(std::uint64_t aConnection,
                                               TimePoint aNow)
{
  Actions actions;
  mConnections.erase(aConnection);
  Dispatch(aNow, actions);
  return actions;
}

ConnectionPlan::Actions ConnectionPlan::OnTick(TimePoint aNow)
{
  Actions actions;
  for (auto it = mWaiters.begin(); it != mWaiters.end();) {
    if (it->mRequest.mDeadline > aNow) {
      ++it;
      continue;
    }
    actions.push_back(Refuse{ it->mRequest.mTicket, aNow + kRetryPause });
    it = mWaiters.erase(it);
  }
  CloseIdle(aNow, actions);
  Dispatch(aNow, actions);
  return actions;
}

void ConnectionPlan::CloseIdle(TimePoint aNow, Actions& aActions)
{
  if (mKeepsIdle && mLimit > kScarceConnections) {
    return;
  }
  auto limit = mKeepsIdle ? kScarceIdleLimit : Duration::zero();
  std::erase_if(mConnections, [&](const auto& aIt) {
    const auto& connection = aIt.second;
    bool isOver = connection.mState == State::Idle && aNow - connection.mSince >= limit;
    if (isOver) {
      aActions.push_back(Close{ aIt.first });
    }
    return isOver;
  });
}

TimePoint ConnectionPlan::NextTick() const
{
  auto next = TimePoint::max();
  for (const auto& it : mConnections) {
    if (mLimit <= kScarceConnections && it.second.mState == State::Idle) {
      next = std::min(next, it.second.mSince + kScarceIdleLimit);
    }
  }
  for (const auto& it : mWaiters) {
    next = std::min(next, it.mRequest.mDeadline);
    // The end of the wait for reuse matters only while there is an idle connection that
    // could be closed.
    if (mConnections.size() >= mLimit && FindIdleLongest() != 0) {
      next = std::min(next, it.mSince + kReuseWait);
    }
  }
  if (!mWaiters.empty() && mNextOpenAt != TimePoint{}) {
    next = std::min(next, mNextOpenAt);
  }
  return next;
}

ConnectionPlan::Actions ConnectionPlan::RefuseAll(TimePoint aRetryAt)
{
  Actions actions;
  for (const auto& it : mWaiters) {
    actions.push_back(Refuse{ it.mRequest.mTicket, aRetryAt });
  }
  mWaiters.clear();
  return actions;
}

// There is no wait if a connection of the organisation is idle, a new one may be
// opened, or an idle one of another organisation can be closed.
Duration ConnectionPlan::ExpectedWait(const std::string& aOrganisation) const
{
  if (IsRefusingConnections()) {
    return kRefusedWait;
  }
  if (FindIdle(aOrganisation) != 0 || mConnections.size() < mLimit ||
      FindIdleLongest() != 0) {
    return Duration::zero();
  }
  auto rounds = static_cast<std::int64_t>(mWaiters.size()) + 1;
  return mAverageHold * rounds /
         static_cast<std::int64_t>(std::max<std::size_t>(1, mLimit));
}

void ConnectionPlan::Dispatch(TimePoint aNow, Actions& aActions)
{
  if (mNextOpenAt <= aNow) {
    mNextOpenAt = TimePoint{};
  }
  if (!IsStarving(aNow)) {
    GrantMatching(aNow, aActions);
  }
  // Number of earlier waiting requests of each organisation.
  std::map<std::string, std::size_t> ahead;
  for (auto it = mWaiters.begin(); it != mWaiters.end();) {
    auto next = std::next(it);
    const auto& organisation = it->mRequest.mOrganisation;
    auto own = FindIdle(organisation);
    if (own != 0) {
      GrantTo(it, own, aNow, aActions);
    } else {
      auto position = ahead[organisation]++;
      if (position >= CountOf(organisation, State::Opening)) {
        OpenFor(*it, position, aNow, aActions);
      }
    }
    it = next;
  }
  if (!mKeepsIdle) {
    CloseIdle(aNow, aActions);
  }
}

void ConnectionPlan::GrantMatching(TimePoint aNow, Actions& aActions)
{
  for (auto it = mWaiters.begin(); it != mWaiters.end();) {
    auto next = std::next(it);
    auto own = FindIdle(it->mRequest.mOrganisation);
    if (own != 0) {
      GrantTo(it, own, aNow, aActions);
    }
    it = next;
  }
}

void ConnectionPlan::OpenFor(const Waiter& aWaiter,
                             std::size_t aAhead,
                             TimePoint aNow,
                             Actions& aActions)
{
  const auto& organisation = aWaiter.mRequest.mOrganisation;
  bool canShare = mKeepsIdle && organisation.empty() && !mConnections.empty();
  if (mNextOpenAt > aNow || canShare) {
    return;
  }
  if (mConnections.size() >= mLimit) {
    // A busy connection of the same organisation will be released about as soon as a
    // new one would be open.
    bool comesSoon =
      aAhead < CountOf(organisation, State::Busy) && aNow - aWaiter.mSince < kReuseWait;
    auto other = FindIdleLongest();
    if (other == 0 || comesSoon) {
      return;
    }
    aActions.push_back(Close{ other });
    mConnections.erase(other);
  }
  auto id = mNextConnection++;
  mConnections[id] = { organisation, State::Opening, aNow };
  aActions.push_back(Open{ id, organisation });
}

void ConnectionPlan::GrantTo(Waiters::iterator aWaiter,
                             std::uint64_t aConnection,
                             TimePoint aNow,
                             Actions& aActions)
{
  auto& connection = mConnections[aConnection];
  connection.mState = State::Busy;
  connection.mSince = aNow;
  aActions.push_back(Grant{ aWaiter->mRequest.mTicket, aConnection });
  mWaiters.erase(aWaiter);
}

std::uint64_t ConnectionPlan::FindIdle(const std::string& aOrganisation) const
{
  if (aOrganisation.empty()) {
    return FindIdleLongest();
  }
  for (const auto& it : mConnections) {
    if (it.second.mState == State::Idle && it.second.mOrganisation == aOrganisation) {
      return it.first;
    }
  }
  return 0;
}

std::uint64_t ConnectionPlan::FindIdleLongest() const
{
  std::uint64_t found = 0;
  auto since = TimePoint::max();
  for (const auto& it : mConnections) {
    if (it.second.mState == State::Idle && it.second.mSince < since) {
      found = it.first;
      since = it.second.mSince;
    }
  }
  return found;
}

std::size_t ConnectionPlan::CountOf(const std::string& aOrganisation,
                                    State aState) const
{
  return std::count_if(mConnections.begin(), mConnections.end(), [&](const auto& aIt) {
    return aIt.second.mState == aState && aIt.second.mOrganisation == aOrganisation;
  });
}

// Whether the first waiting request has exceeded kStarvationTime while the limit of
// connections is reached.
bool ConnectionPlan::IsStarving(TimePoint aNow) const
{
  return !mWaiters.empty() && mConnections.size() >= mLimit &&
         aNow - mWaiters.front().mSince > kStarvationTime;
}

} // namespace sesameway
