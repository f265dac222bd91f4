#pragma once

#include "platform/Platform.h"
#include "proxy/Loop.h"
#include "sesameway/ObjectTable.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace sesameway::proxy {

// The project's own kind of objects in the store: groups' primaries, the coordinator,
// the daemons.
inline constexpr const char* kOwnKind = "sesameway";

// Keeps a copy of the store's objects: lists each kind once, then follows its changes.
// Fellow daemons' copies are merged in. On the loop's thread, but for what is marked.
// Lock: mMutex, under no other.
class StoreSync
{
public:
  struct Kind
  {
    std::string mName;
    // Of one call for changes.
    Duration mWait{};
  };
  struct Listener
  {
    std::function<void(const StoredObject&)> mOnChange;
    // All changes of the own kind before this time are here.
    std::function<void(TimePoint)> mOnContact;
    // Each kind has been listed once.
    std::function<void()> mOnKnown;
  };

  StoreSync(Loop& aLoop, platform::ChangeFeed& aFeed, std::vector<Kind> aKinds);
  void Start(Listener aListener);
  // A fellow's objects, complete up to a revision, as the store had them at `aContact`.
  void Merge(const std::vector<StoredObject>& aObjects,
             std::uint64_t aRevision,
             TimePoint aContact);
  // The object as a write found or left it, if the store has answered and has one.
  void Apply(const std::optional<platform::PutResult>& aResult);
  bool IsKnown() const { return mIsKnown; }
  // Whether to follow the store's changes; without that, and at first, only fellows'
  // copies come in. Calls under way go on.
  void SetFollowing(bool aIsFollowing);

  // From any thread: all changes up to this revision are here.
  std::uint64_t Revision() const;
  // The same for kOwnKind alone; on the loop's thread.
  std::uint64_t OwnRevision() const;
  std::vector<StoredObject> ChangesSince(std::uint64_t aRevision) const;
  std::optional<StoredObject> Find(const std::string& aName) const;
  // When it was last known that no change of the own kind was missing.
  TimePoint Contact() const;

private:
  struct State
  {
    Kind mKind;
    std::uint64_t mRevision = 0;
    bool mIsListed = false;
    // A call is under way, or will be made by the retry timer.
    bool mIsActive = false;
    int mFailures = 0;
    std::unique_ptr<Timer> mRetry;
  };

  void List(State& aState);
  void Follow(State& aState);
  void OnFailure(State& aState);
  void OnSuccess(State& aState, std::uint64_t aRevision, TimePoint aSentAt);
  void ApplyAll(const std::vector<StoredObject>& aObjects);
  void NoteContact(TimePoint aContact);
  void CheckKnown();

  Loop& mLoop;
  platform::ChangeFeed& mFeed;
  Listener mListener;
  // Never moves.
  std::vector<std::unique_ptr<State>> mStates;
  bool mIsKnown = false;
  bool mIsFollowing = false;
  bool mIsOut = false;
  mutable std::mutex mMutex;
  ObjectTable mTable;
  std::uint64_t mRevision = 0;
  TimePoint mContact{};
};

} // namespace sesameway::proxy
