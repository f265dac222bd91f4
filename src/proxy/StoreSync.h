#pragma once

#include "platform/Platform.h"
#include "proxy/Loop.h"
#include "sesameway/FollowedKinds.h"
#include "sesameway/NameTable.h"
#include "sesameway/ObjectTransfer.h"

#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace sesameway::proxy {

// Kind of the objects that the daemons themselves keep in the store: the groups'
// primaries, the coordinator and the member records.
inline constexpr const char* kOwnKind = "sesameway";

// How a version of an object reached this daemon.
enum class SourceKind
{
  Listing,
  Watch,
  // The answer to a write of this daemon.
  Write,
  Peer,
};
inline constexpr NameTable<SourceKind, 4> kSourceKindNames{
  { "listing", "watch", "write", "peer" }
};

struct ObjectSource
{
  SourceKind mKind = SourceKind::Listing;
  // Address of the peer; empty if the store itself answered.
  std::string mPeer;
  // The source had all changes of its own objects that were made before this time.
  TimePoint mContact{};
  // When the first part of the version arrived.
  TimePoint mHeardAt{};
};

// Keeps a local copy of the store's objects: lists each kind once, then follows its
// changes. Copies received from peer daemons are merged in. Used on the event loop's
// thread, except for the functions marked otherwise. mMutex is never locked while
// another lock is held.
class StoreSync
{
public:
  struct Listener
  {
    std::function<void(const StoredObject&, const ObjectSource&)> mOnChange;
    // Called when all changes of kOwnKind that were made before the given time have
    // been applied.
    std::function<void(TimePoint)> mOnContact;
    // Called once every kind has been received for the first time.
    std::function<void()> mOnInitialSync;
  };

  // The first kind is kOwnKind.
  StoreSync(Loop& aLoop, platform::ChangeFeed& aFeed, std::vector<FollowedKind> aKinds);
  void Start(Listener aListener);
  // Merges a peer's objects. The kinds in `aRevisions` are complete up to the given
  // revision, and reflect the store at their time in `aContacts`.
  void Merge(const std::vector<StoredObject>& aObjects,
             const KindRevisions& aRevisions,
             const KindContacts& aContacts,
             const ObjectSource& aSource);
  // Merges one object of which nothing else is known.
  void Merge(const StoredObject& aObject, const ObjectSource& aSource);
  // Notes that a peer sends an object of the kind in parts, of which one has arrived.
  void NoteProgress(std::string_view aKind, TimePoint aNow)
  {
    mFollowed.OnProgress(aKind, aNow);
  }
  // Applies the object that a write found or left in the store. Does nothing if the
  // store did not answer or holds no such object.
  void Apply(const std::optional<platform::PutResult>& aResult);
  bool IsInitialized() const { return mIsInitialized; }
  // Whether to follow the store's changes. Otherwise, and until the first listing,
  // objects come only from peers. Calls in progress are not cancelled.
  void SetFollowing(bool aIsFollowing);
  bool IsFollowing() const { return mFollowed.IsFollowing(); }

  // The functions below may be called from any thread unless stated otherwise. Revision
  // returns the revision up to which all changes have been applied.
  std::uint64_t Revision() const;
  // OwnRevision returns the same for kOwnKind alone. It and OldestContact, see
  // FollowedKinds, may be called on the event loop's thread only.
  std::uint64_t OwnRevision() const;
  TimePoint OldestContact() const { return mFollowed.OldestContact(); }
  // The revision of each kind up to which all its changes have been applied; kinds that
  // have not been received yet are left out.
  KindRevisions Revisions() const;
  // Returns the objects that a peer lacks which has all changes up to a revision, or up
  // to its own revision of each kind.
  std::vector<StoredObject> ChangesSince(std::uint64_t aRevision) const;
  std::vector<StoredObject> ChangesSince(const KindRevisions& aRevisions) const;
  // Returns the next part of what a peer lacks, limited in size.
  ChangeBatch NextChanges(const ChangeRequest& aRequest);
  std::optional<StoredObject> Find(const std::string& aName) const;
  // The latest time at which no change of kOwnKind is known to have been missing, and
  // the same for each kind.
  TimePoint Contact() const;
  KindContacts Contacts() const;

private:
  // Makes the calls to the store that are due.
  void MakeCalls();
  void List(const StoreCall& aCall);
  void Watch(const StoreCall& aCall);
  void OnListing(const std::string& aKind,
                 const std::optional<platform::Listing>& aListing,
                 TimePoint aSentAt);
  void OnChanges(const StoreCall& aCall,
                 std::optional<platform::Changes> aChanges,
                 TimePoint aSentAt);
  void OnFailure(const std::string& aKind);
  void OnSuccess(const std::string& aKind, std::uint64_t aRevision, TimePoint aSentAt);
  void ApplyAll(const std::vector<StoredObject>& aObjects, const ObjectSource& aSource);
  // Publishes what mFollowed says after an answer, to other threads and to the
  // listener.
  void Publish();

  platform::ChangeFeed& mFeed;
  Listener mListener;
  // Used on the event loop's thread only.
  FollowedKinds mFollowed;
  Timer mNextCall;
  bool mIsInitialized = false;
  bool mIsStoreUnreachable = false;
  mutable std::mutex mMutex;
  ObjectTable mTable;
  KindRevisions mKindRevisions;
  ChangeSender mSender;
  std::uint64_t mRevision = 0;
  TimePoint mContact{};
  KindContacts mContacts;
};

} // namespace sesameway::proxy
