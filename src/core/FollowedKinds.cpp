#include "sesameway/FollowedKinds.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace sesameway {

namespace {

constexpr Duration kListTimeout = milliseconds(1500);
// Pause after a failed call. It doubles with each consecutive failure up to
// kRetryLimit.
constexpr Duration kRetryFloor = milliseconds(150);
constexpr Duration kRetryLimit = milliseconds(800);

} // namespace

FollowedKinds::FollowedKinds(std::vector<FollowedKind> aKinds)
{
  for (auto& it : aKinds) {
    mKinds.push_back({ std::move(it) });
  }
}

FollowedKinds::State& FollowedKinds::Find(std::string_view aKind)
{
  return *std::find_if(mKinds.begin(), mKinds.end(), [&](const State& aState) {
    return aState.mKind.mName == aKind;
  });
}

void FollowedKinds::SetFollowing(bool aIsFollowing)
{
  mIsFollowing = aIsFollowing;
  for (auto& it : mKinds) {
    it.mWaitsForStore &= aIsFollowing;
  }
}

bool FollowedKinds::IsWanted(const State& aState) const
{
  return !aState.mIsCalling && !aState.mWaitsForStore &&
         (aState.mMustList || mIsFollowing);
}

std::vector<StoreCall> FollowedKinds::Due(TimePoint aNow)
{
  std::vector<StoreCall> calls;
  for (auto& it : mKinds) {
    if (!IsWanted(it) || aNow < it.mNotBefore) {
      continue;
    }
    it.mIsCalling = true;
    if (it.mMustList) {
      calls.push_back({ StoreCallType::List, it.mKind.mName, 0, aNow + kListTimeout });
    } else {
      calls.push_back({ StoreCallType::Watch,
                        it.mKind.mName,
                        it.mRevision,
                        aNow + it.mKind.mPollTimeout });
    }
  }
  return calls;
}

std::optional<TimePoint> FollowedKinds::NextDue() const
{
  std::optional<TimePoint> next;
  for (const auto& it : mKinds) {
    if (IsWanted(it)) {
      next = std::min(next.value_or(it.mNotBefore), it.mNotBefore);
    }
  }
  return next;
}

void FollowedKinds::OnAnswer(std::string_view aKind,
                             std::uint64_t aRevision,
                             TimePoint aSentAt)
{
  auto& state = Find(aKind);
  state.mIsCalling = false;
  state.mIsReceived = true;
  state.mMustList = false;
  state.mFailures = 0;
  state.mRevision = std::max(state.mRevision, aRevision);
  state.mContact = std::max(state.mContact, aSentAt);
  if (&state == &mKinds.front()) {
    for (auto& it : mKinds) {
      it.mWaitsForStore = false;
    }
  }
}

void FollowedKinds::OnHistoryGone(std::string_view aKind)
{
  auto& state = Find(aKind);
  state.mIsCalling = false;
  state.mMustList = true;
}

// One kind is enough to learn whether the store answers again.
void FollowedKinds::OnFailure(std::string_view aKind, TimePoint aNow)
{
  auto& state = Find(aKind);
  state.mIsCalling = false;
  state.mMustList = !state.mIsReceived;
  if (state.mIsReceived && &state != &mKinds.front()) {
    state.mWaitsForStore = true;
    return;
  }
  state.mNotBefore =
    aNow + ExponentialBackoff(kRetryFloor, state.mFailures++, kRetryLimit);
}

// A listing that is in progress replaces what the peer sent when it arrives.
void FollowedKinds::OnPeerAnswer(const KindRevisions& aRevisions, TimePoint aContact)
{
  for (auto& it : mKinds) {
    auto revision = aRevisions.find(it.mKind.mName);
    if (revision == aRevisions.end()) {
      continue;
    }
    it.mRevision = std::max(it.mRevision, revision->second);
    it.mContact = std::max(it.mContact, aContact);
    if (revision->second != 0) {
      it.mIsReceived = true;
      it.mMustList &= it.mIsCalling;
    }
  }
}

bool FollowedKinds::IsComplete() const
{
  return std::all_of(mKinds.begin(), mKinds.end(), [](const State& aState) {
    return aState.mIsReceived;
  });
}

std::uint64_t FollowedKinds::Revision() const
{
  auto revision = std::numeric_limits<std::uint64_t>::max();
  for (const auto& it : mKinds) {
    revision = std::min(revision, it.mRevision);
  }
  return revision;
}

KindRevisions FollowedKinds::Revisions() const
{
  KindRevisions revisions;
  for (const auto& it : mKinds) {
    if (it.mIsReceived) {
      revisions[it.mKind.mName] = it.mRevision;
    }
  }
  return revisions;
}

} // namespace sesameway
