#include "proxy/StoreSync.h"

#include "daemon/Log.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace sesameway::proxy {

namespace {

constexpr Duration kListTimeout = milliseconds(1500);
// Pause after a failed call. It doubles with each consecutive failure up to
// kRetryLimit.
constexpr Duration kRetryFloor = milliseconds(150);
constexpr Duration kRetryLimit = milliseconds(800);

} // namespace

StoreSync::StoreSync(Loop& aLoop, platform::ChangeFeed& aFeed, std::vector<Kind> aKinds)
  : mLoop(aLoop)
  , mFeed(aFeed)
{
  for (auto& it : aKinds) {
    auto state = std::make_unique<State>();
    state->mKind = std::move(it);
    state->mRetry = std::make_unique<Timer>(mLoop);
    mStates.push_back(std::move(state));
  }
}

void StoreSync::Start(Listener aListener)
{
  mListener = std::move(aListener);
  for (auto& it : mStates) {
    List(*it);
  }
}

void StoreSync::Merge(const std::vector<StoredObject>& aObjects,
                      const KindRevisions& aRevisions,
                      const ObjectSource& aSource)
{
  ApplyAll(aObjects, aSource);
  for (auto& it : mStates) {
    auto revision = aRevisions.find(it->mKind.mName);
    if (revision == aRevisions.end()) {
      continue;
    }
    // A listing from the store replaces these objects when it arrives.
    it->mRevision = std::max(it->mRevision, revision->second);
    it->mIsListed |= revision->second != 0;
  }
  CheckInitialSync();
  if (aRevisions.count(kOwnKind) != 0) {
    NoteContact(aSource.mContact);
  }
}

void StoreSync::Merge(const StoredObject& aObject, const ObjectSource& aSource)
{
  ApplyAll({ aObject }, aSource);
}

void StoreSync::SetFollowing(bool aIsFollowing)
{
  mIsFollowing = aIsFollowing;
  for (auto& it : mStates) {
    it->mWaitsForStore &= aIsFollowing;
    if (aIsFollowing && !it->mIsActive && !it->mWaitsForStore) {
      Follow(*it);
    }
  }
}

void StoreSync::Apply(const std::optional<platform::PutResult>& aResult)
{
  if (aResult && aResult->mObject.mRevision != 0) {
    auto now = Clock::now();
    ApplyAll({ aResult->mObject }, { SourceKind::Write, {}, now, now });
  }
}

std::uint64_t StoreSync::Revision() const
{
  std::lock_guard lock(mMutex);
  return mRevision;
}

std::uint64_t StoreSync::OwnRevision() const
{
  for (const auto& it : mStates) {
    if (it->mKind.mName == kOwnKind) {
      return it->mRevision;
    }
  }
  return 0;
}

KindRevisions StoreSync::Revisions() const
{
  std::lock_guard lock(mMutex);
  return mKindRevisions;
}

std::vector<StoredObject> StoreSync::ChangesSince(std::uint64_t aRevision) const
{
  std::lock_guard lock(mMutex);
  return mTable.ChangesSince(aRevision);
}

std::vector<StoredObject> StoreSync::ChangesSince(const KindRevisions& aRevisions) const
{
  std::lock_guard lock(mMutex);
  return mTable.ChangesSince(aRevisions);
}

ChangeBatch StoreSync::NextChanges(const ChangeRequest& aRequest)
{
  std::lock_guard lock(mMutex);
  return mSender.Next(mTable, mKindRevisions, aRequest);
}

std::optional<StoredObject> StoreSync::Find(const std::string& aName) const
{
  std::lock_guard lock(mMutex);
  const auto* object = mTable.Find(aName);
  return object != nullptr ? std::optional(*object) : std::nullopt;
}

TimePoint StoreSync::Contact() const
{
  std::lock_guard lock(mMutex);
  return mContact;
}

void StoreSync::List(State& aState)
{
  aState.mIsActive = true;
  auto sentAt = Clock::now();
  mFeed.ListKind(aState.mKind.mName,
                 sentAt + kListTimeout,
                 [this, &aState, sentAt](std::optional<platform::Listing> aListing) {
                   if (!aListing) {
                     OnFailure(aState);
                     return;
                   }
                   std::vector<StoredObject> changed;
                   {
                     std::lock_guard lock(mMutex);
                     changed = mTable.ApplyListing(
                       aState.mKind.mName, aListing->mObjects, aListing->mRevision);
                   }
                   ObjectSource source{ SourceKind::Listing, {}, sentAt, Clock::now() };
                   for (const auto& it : changed) {
                     mListener.mOnChange(it, source);
                   }
                   aState.mIsListed = true;
                   OnSuccess(aState, aListing->mRevision, sentAt);
                   Follow(aState);
                 });
}

void StoreSync::Follow(State& aState)
{
  aState.mIsActive = mIsFollowing;
  if (!mIsFollowing) {
    return;
  }
  auto sentAt = Clock::now();
  mFeed.ChangesAfter(
    aState.mKind.mName,
    aState.mRevision,
    sentAt + aState.mKind.mPollTimeout,
    [this, &aState, sentAt](std::optional<platform::Changes> aChanges) {
      if (!aChanges) {
        OnFailure(aState);
        return;
      }
      if (aChanges->mIsHistoryGone) {
        LOG(INFO) << daemon::LogLine("store_history_gone")
                       .With("kind", aState.mKind.mName)
                       .With("revision", aState.mRevision);
        List(aState);
        return;
      }
      auto& objects = aChanges->mObjects;
      RaiseRemovalRevisions(objects, aChanges->mRevision);
      ApplyAll(objects, { SourceKind::Watch, {}, sentAt, Clock::now() });
      OnSuccess(aState, aChanges->mRevision, sentAt);
      Follow(aState);
    });
}

void StoreSync::OnFailure(State& aState)
{
  if (!mIsStoreUnreachable) {
    mIsStoreUnreachable = true;
    LOG(WARNING) << daemon::LogLine("store_lost").With("kind", aState.mKind.mName);
  }
  // One kind is enough to learn whether the store answers again.
  if (aState.mIsListed && aState.mKind.mName != kOwnKind) {
    aState.mIsActive = false;
    aState.mWaitsForStore = true;
    return;
  }
  auto pause = ExponentialBackoff(kRetryFloor, aState.mFailures++, kRetryLimit);
  aState.mRetry->Set(Clock::now() + pause, [this, &aState] {
    aState.mIsListed ? Follow(aState) : List(aState);
  });
}

void StoreSync::OnSuccess(State& aState, std::uint64_t aRevision, TimePoint aSentAt)
{
  if (mIsStoreUnreachable) {
    mIsStoreUnreachable = false;
    LOG(INFO) << daemon::LogLine("store_regained")
                   .With("kind", aState.mKind.mName)
                   .With("revision", aRevision);
  }
  aState.mFailures = 0;
  aState.mRevision = std::max(aState.mRevision, aRevision);
  CheckInitialSync();
  if (aState.mKind.mName != kOwnKind) {
    return;
  }
  NoteContact(aSentAt);
  for (auto& it : mStates) {
    if (std::exchange(it->mWaitsForStore, false)) {
      Follow(*it);
    }
  }
}

void StoreSync::ApplyAll(const std::vector<StoredObject>& aObjects,
                         const ObjectSource& aSource)
{
  for (const auto& it : aObjects) {
    bool isNew = false;
    {
      std::lock_guard lock(mMutex);
      isNew = mTable.Apply(it);
    }
    if (isNew) {
      mListener.mOnChange(it, aSource);
    }
  }
}

void StoreSync::NoteContact(TimePoint aContact)
{
  {
    std::lock_guard lock(mMutex);
    if (aContact <= mContact) {
      return;
    }
    mContact = aContact;
  }
  mListener.mOnContact(aContact);
}

void StoreSync::CheckInitialSync()
{
  auto revision = std::numeric_limits<std::uint64_t>::max();
  bool isKnown = true;
  KindRevisions kinds;
  for (const auto& it : mStates) {
    isKnown &= it->mIsListed;
    revision = std::min(revision, it->mRevision);
    if (it->mIsListed) {
      kinds[it->mKind.mName] = it->mRevision;
    }
  }
  {
    std::lock_guard lock(mMutex);
    mRevision = revision;
    mKindRevisions = std::move(kinds);
  }
  if (isKnown && !mIsInitialized) {
    mIsInitialized = true;
    mListener.mOnInitialSync();
  }
}

} // namespace sesameway::proxy
