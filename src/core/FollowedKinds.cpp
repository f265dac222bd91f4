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
// How long a kind counts as recent while parts of one of its objects arrive. After that
// the daemon looks for another source.
constexpr Duration kReceiveTime = seconds(3);

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

void FollowedKinds::NoteContact(State& aState, TimePoint aContact)
{
  aState.mContact = std::max(aState.mContact, aContact);
  aState.mPartsSince = TimePoint{};
  aState.mPartAt = TimePoint{};
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
  NoteContact(state, aSentAt);
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
void FollowedKinds::OnPeerAnswer(const KindRevisions& aRevisions,
                                 const KindContacts& aContacts)
{
  for (auto& it : mKinds) {
    auto revision = aRevisions.find(it.mKind.mName);
    if (revision == aRevisions.end()) {
      continue;
    }
    it.mRevision = std::max(it.mRevision, revision->second);
    auto contact = aContacts.find(it.mKind.mName);
    if (contact != aContacts.end()) {
      NoteContact(it, contact->second);
    }
    if (revision->second != 0) {
      it.mIsReceived = true;
      it.mMustList &= it.mIsCalling;
    }
  }
}

void FollowedKinds::OnProgress(std::string_view aKind, TimePoint aNow)
{
  for (auto& it : mKinds) {
    if (it.mKind.mName == aKind) {
      it.mPartsSince = it.mPartsSince == TimePoint{} ? aNow : it.mPartsSince;
      it.mPartAt = aNow;
    }
  }
}

KindContacts FollowedKinds::Contacts() const
{
  KindContacts contacts;
  for (const auto& it : mKinds) {
    if (it.mIsReceived) {
      contacts[it.mKind.mName] = it.mContact;
    }
  }
  return contacts;
}

TimePoint FollowedKinds::OldestContact() const
{
  auto oldest = TimePoint::max();
  for (const auto& it : mKinds) {
    // The contact is that of the last call that was answered, so just before an answer
    // it is two calls old.
    auto longer = 2 * (it.mKind.mPollTimeout - mKinds.front().mKind.mPollTimeout);
    auto parts = std::min(it.mPartAt, it.mPartsSince + kReceiveTime);
    oldest = std::min(oldest, std::max(it.mContact + longer, parts));
  }
  return oldest;
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
