#include "proxy/StoreSync.h"

#include "daemon/Log.h"

#include <algorithm>
#include <utility>

namespace sesameway::proxy {

StoreSync::StoreSync(Loop& aLoop,
                     platform::ChangeFeed& aFeed,
                     std::vector<FollowedKind> aKinds)
  : mFeed(aFeed)
  , mFollowed(std::move(aKinds))
  , mNextCall(aLoop)
{
}

void StoreSync::Start(Listener aListener)
{
  mListener = std::move(aListener);
  MakeCalls();
}

void StoreSync::Merge(const std::vector<StoredObject>& aObjects,
                      const KindRevisions& aRevisions,
                      const KindContacts& aContacts,
                      const ObjectSource& aSource)
{
  ApplyAll(aObjects, aSource);
  mFollowed.OnPeerAnswer(aRevisions, aContacts);
  Publish();
}

void StoreSync::Merge(const StoredObject& aObject, const ObjectSource& aSource)
{
  ApplyAll({ aObject }, aSource);
}

void StoreSync::SetFollowing(bool aIsFollowing)
{
  mFollowed.SetFollowing(aIsFollowing);
  MakeCalls();
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
  auto revisions = mFollowed.Revisions();
  auto own = revisions.find(kOwnKind);
  return own == revisions.end() ? 0 : own->second;
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

KindContacts StoreSync::Contacts() const
{
  std::lock_guard lock(mMutex);
  return mContacts;
}

void StoreSync::MakeCalls()
{
  for (const auto& it : mFollowed.Due(Clock::now())) {
    it.mType == StoreCallType::List ? List(it) : Watch(it);
  }
  auto next = mFollowed.NextDue();
  if (next) {
    mNextCall.Set(*next, [this] { MakeCalls(); });
  }
}

void StoreSync::List(const StoreCall& aCall)
{
  mFeed.ListKind(aCall.mKind,
                 aCall.mDeadline,
                 [this, kind = aCall.mKind, sentAt = Clock::now()](
                   const std::optional<platform::Listing>& aListing) {
                   OnListing(kind, aListing, sentAt);
                   MakeCalls();
                 });
}

void StoreSync::Watch(const StoreCall& aCall)
{
  mFeed.ChangesAfter(
    aCall.mKind,
    aCall.mRevision,
    aCall.mDeadline,
    [this, aCall, sentAt = Clock::now()](std::optional<platform::Changes> aChanges) {
      OnChanges(aCall, std::move(aChanges), sentAt);
      MakeCalls();
    });
}

void StoreSync::OnListing(const std::string& aKind,
                          const std::optional<platform::Listing>& aListing,
                          TimePoint aSentAt)
{
  if (!aListing) {
    OnFailure(aKind);
    return;
  }
  std::vector<StoredObject> changed;
  {
    std::lock_guard lock(mMutex);
    changed = mTable.ApplyListing(aKind, aListing->mObjects, aListing->mRevision);
  }
  ObjectSource source{ SourceKind::Listing, {}, aSentAt, Clock::now() };
  for (const auto& it : changed) {
    mListener.mOnChange(it, source);
  }
  OnSuccess(aKind, aListing->mRevision, aSentAt);
}

void StoreSync::OnChanges(const StoreCall& aCall,
                          std::optional<platform::Changes> aChanges,
                          TimePoint aSentAt)
{
  if (!aChanges) {
    OnFailure(aCall.mKind);
    return;
  }
  if (aChanges->mIsHistoryGone) {
    LOG(INFO) << daemon::LogLine("store_history_gone")
                   .With("kind", aCall.mKind)
                   .With("revision", aCall.mRevision);
    mFollowed.OnHistoryGone(aCall.mKind);
    return;
  }
  auto& objects = aChanges->mObjects;
  RaiseRemovalRevisions(objects, aChanges->mRevision);
  ApplyAll(objects, { SourceKind::Watch, {}, aSentAt, Clock::now() });
  OnSuccess(aCall.mKind, aChanges->mRevision, aSentAt);
}

void StoreSync::OnFailure(const std::string& aKind)
{
  if (!mIsStoreUnreachable) {
    mIsStoreUnreachable = true;
    LOG(WARNING) << daemon::LogLine("store_lost").With("kind", aKind);
  }
  mFollowed.OnFailure(aKind, Clock::now());
}

void StoreSync::OnSuccess(const std::string& aKind,
                          std::uint64_t aRevision,
                          TimePoint aSentAt)
{
  if (mIsStoreUnreachable) {
    mIsStoreUnreachable = false;
    LOG(INFO) << daemon::LogLine("store_regained")
                   .With("kind", aKind)
                   .With("revision", aRevision);
  }
  mFollowed.OnAnswer(aKind, aRevision, aSentAt);
  Publish();
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

void StoreSync::Publish()
{
  auto contact = mFollowed.Contact();
  bool isNewer = false;
  {
    std::lock_guard lock(mMutex);
    mRevision = mFollowed.Revision();
    mKindRevisions = mFollowed.Revisions();
  }
  if (mFollowed.IsComplete() && !mIsInitialized) {
    mIsInitialized = true;
    mListener.mOnInitialSync();
  }
  {
    std::lock_guard lock(mMutex);
    isNewer = contact > std::exchange(mContact, std::max(mContact, contact));
    mContacts = mFollowed.Contacts();
  }
  if (isNewer) {
    mListener.mOnContact(contact);
  }
}

} // namespace sesameway::proxy
