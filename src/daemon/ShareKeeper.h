#pragma once

#include "daemon/Metrics.h"
#include "daemon/Workers.h"
#include "peer/Peer.h"
#include "platform/Platform.h"
#include "sesameway/Shares.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace sesameway::daemon {

// Immutable snapshot of the slots that this daemon may use, and of the daemons from
// which it may borrow tokens.
struct ShareSnapshot
{
  HeldSlots mHeld;
  // The table in the store, plus the members that are missing from it as holders
  // without slots.
  SlotTable mTable;
  // Peer addresses of the member daemons, by name.
  std::map<std::string, std::string, std::less<>> mAddresses;
};
using ShareSnapshotPtr = std::shared_ptr<const ShareSnapshot>;

// Runs a SlotAllocator against the platform's store. Lock: mMutex, taken while no other
// lock is held. The listener runs after it is released.
class ShareKeeper : public std::enable_shared_from_this<ShareKeeper>
{
public:
  // Must not return before the snapshot is in force.
  using Listener = std::function<void(ShareSnapshotPtr)>;
  using MemberList = std::function<std::vector<peer::Member>()>;

  ShareKeeper(Workers& aWorkers,
              Metrics& aMetrics,
              std::shared_ptr<platform::Platform> aPlatform,
              const peer::Member& aSelf);
  // Makes this daemon add table entries for members that have none; see
  // SlotAllocator::SetRunningDaemons(). Call before Start().
  void RegisterPeers() { mRegistersPeers = true; }
  void Start(MemberList aMembers, Listener aListener);
  // Lets this daemon use the floor slots of its former incarnation, which had ended by
  // `aSince`; see SlotAllocator::UsePreviousSlots().
  void UsePreviousSlots(TimePoint aSince);
  // Releases all slots, because the daemon ends for good. Blocks until the store has
  // confirmed the release, the allocator reports that this daemon is replaced, or the
  // deadline has passed.
  void ReleaseSlots(TimePoint aDeadline);

private:
  void Tick();
  void Publish(const std::vector<peer::Member>& aMembers);
  void Do(const SlotAllocatorStep& aStep);
  void OnObject(const std::optional<platform::Object>& aObject, TimePoint aSentAt);

  Workers& mWorkers;
  Metrics& mMetrics;
  std::shared_ptr<platform::Platform> mPlatform;
  MemberList mMembers;
  Listener mListener;
  bool mRegistersPeers = false;
  std::mutex mMutex;
  SlotAllocator mAllocator;
  ShareSnapshotPtr mSnapshot = std::make_shared<ShareSnapshot>();
};

} // namespace sesameway::daemon
