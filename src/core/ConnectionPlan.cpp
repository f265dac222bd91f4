#include "sesameway/ConnectionPlan.h"

#include <algorithm>

namespace sesameway {

namespace {

// After this long a waiter may take an idle connection of another organisation, though
// others of that organisation wait for it: turns cost a new connection each.
constexpr Duration kPatience = milliseconds(120);
// How long a waiter leaves others' idle connections alone while its organisation has
// one that is in use: about as long as a statement takes.
constexpr Duration kOwnPatience = milliseconds(40);
// A refused caller is told to come back when about this much has been served.
constexpr Duration kRetryPause = milliseconds(250);
// A daemon with so few connections to a database has them for all organisations in
// turn: one that is idle for long is hardly ever used again for the same one, and takes
// a place that another daemon could have.
constexpr std::size_t kScarce = 2;
constexpr Duration kScarceIdleLimit = seconds(1);
// Of a database that takes no connections: those of others are given up after seconds,
// so that reads had better go elsewhere.
constexpr Duration kShutOutWait = milliseconds(400);
// Weight of the newest hold in the moving average: 1/8.
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
  Settle(aNow, actions);
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
  Settle(aNow, actions);
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
    Settle(aNow, actions);
  }
  return actions;
}

ConnectionPlan::Actions ConnectionPlan::OnOpenFailed(std::uint64_t aConnection,
                                                     TimePoint aRetryAt,
                                                     TimePoint aNow)
{
  Actions actions;
  mConnections.erase(aConnection);
  mOpenAgainAt = std::max(mOpenAgainAt, aRetryAt);
  mIsRefused = true;
  Settle(aNow, actions);
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
  mHold += (held - mHold) / (1 << kHoldShift);
  it->second.mState = State::Idle;
  it->second.mSince = aNow;
  if (mConnections.size() > mLimit) {
    actions.push_back(Close{ aConnection });
    mConnections.erase(it);
  }
  Settle(aNow, actions);
  return actions;
}

ConnectionPlan::Actions ConnectionPlan::OnGone(std::uint64_t aConnection,
                                               TimePoint aNow)
{
  Actions actions;
  mConnections.erase(aConnection);
  Settle(aNow, actions);
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
  Settle(aNow, actions);
  return actions;
}

void ConnectionPlan::CloseIdle(TimePoint aNow, Actions& aActions)
{
  if (mLimit > kScarce) {
    return;
  }
  std::erase_if(mConnections, [&](const auto& aIt) {
    const auto& connection = aIt.second;
    bool isOver =
      connection.mState == State::Idle && aNow - connection.mSince >= kScarceIdleLimit;
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
    if (mLimit <= kScarce && it.second.mState == State::Idle) {
      next = std::min(next, it.second.mSince + kScarceIdleLimit);
    }
  }
  for (const auto& it : mWaiters) {
    next = std::min(next, it.mRequest.mDeadline);
    // The end of a waiter's patience matters while there is a connection to take.
    if (mConnections.size() >= mLimit && FindIdleLongest() != 0) {
      next = std::min(next, it.mSince + kOwnPatience);
    }
  }
  if (!mWaiters.empty() && mOpenAgainAt != TimePoint{}) {
    next = std::min(next, mOpenAgainAt);
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

// Connections are told apart by organisation, so only those of the same one, and those
// that could be given up, count as ahead of the new one.
Duration ConnectionPlan::ExpectedWait(const std::string& aOrganisation) const
{
  if (IsRefusingConnections()) {
    return kShutOutWait;
  }
  if (FindIdle(aOrganisation) != 0 || mConnections.size() < mLimit ||
      FindIdleLongest() != 0) {
    return Duration::zero();
  }
  auto rounds = static_cast<std::int64_t>(mWaiters.size()) + 1;
  return mHold * rounds / static_cast<std::int64_t>(std::max<std::size_t>(1, mLimit));
}

void ConnectionPlan::Settle(TimePoint aNow, Actions& aActions)
{
  if (mOpenAgainAt <= aNow) {
    mOpenAgainAt = TimePoint{};
  }
  if (!IsStarving(aNow)) {
    GiveToOwn(aNow, aActions);
  }
  // Waiters before this one, by organisation.
  std::map<std::string, std::size_t> ahead;
  for (auto it = mWaiters.begin(); it != mWaiters.end();) {
    auto next = std::next(it);
    const auto& organisation = it->mRequest.mOrganisation;
    auto own = FindIdle(organisation);
    if (own != 0) {
      GiveTo(it, own, aNow, aActions);
    } else {
      auto position = ahead[organisation]++;
      if (position >= CountOf(organisation, State::Opening)) {
        OpenFor(*it, position, aNow, aActions);
      }
    }
    it = next;
  }
}

void ConnectionPlan::GiveToOwn(TimePoint aNow, Actions& aActions)
{
  for (auto it = mWaiters.begin(); it != mWaiters.end();) {
    auto next = std::next(it);
    auto own = FindIdle(it->mRequest.mOrganisation);
    if (own != 0) {
      GiveTo(it, own, aNow, aActions);
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
  bool isContent = organisation.empty() && !mConnections.empty();
  if (mOpenAgainAt > aNow || isContent) {
    return;
  }
  if (mConnections.size() >= mLimit) {
    // One of its own will be free about as soon as a new one could be used.
    bool comesSoon = aAhead < CountOf(organisation, State::Busy) &&
                     aNow - aWaiter.mSince < kOwnPatience;
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

void ConnectionPlan::GiveTo(Waiters::iterator aWaiter,
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

// Whether the first in line has waited its time while all connections are taken.
bool ConnectionPlan::IsStarving(TimePoint aNow) const
{
  return !mWaiters.empty() && mConnections.size() >= mLimit &&
         aNow - mWaiters.front().mSince > kPatience;
}

} // namespace sesameway
