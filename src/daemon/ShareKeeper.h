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

// The slots that this daemon may use, and whom it may borrow from. Never changes once
// it is published.
struct ShareSnapshot
{
  HeldSlots mHeld;
  // With the members that it lacks, as holders of nothing.
  SlotTable mTable;
  // Peer addresses of the listed daemons by name.
  std::map<std::string, std::string, std::less<>> mAddresses;
};
using ShareSnapshotPtr = std::shared_ptr<const ShareSnapshot>;

// Runs the share ledger against the platform's store.
// Lock: mMutex, under no other; the listener runs without it.
class ShareKeeper : public std::enable_shared_from_this<ShareKeeper>
{
public:
  // Returns when the holding is in force.
  using Listener = std::function<void(ShareSnapshotPtr)>;
  using MemberList = std::function<std::vector<peer::Member>()>;

  ShareKeeper(Workers& aWorkers,
              Metrics& aMetrics,
              std::shared_ptr<platform::Platform> aPlatform,
              const peer::Member& aSelf);
  // Before Start. See SlotAllocator::SetRunningDaemons.
  void RegisterFellows() { mEntersFellows = true; }
  void Start(MemberList aMembers, Listener aListener);
  // See SlotAllocator.
  void UsePreviousSlots(TimePoint aSince);
  // Hands the slots back: the daemon leaves for good. Blocks until that is confirmed or
  // the deadline has passed.
  void HandBack(TimePoint aDeadline);

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
  bool mEntersFellows = false;
  std::mutex mMutex;
  SlotAllocator mLedger;
  ShareSnapshotPtr mSnapshot = std::make_shared<ShareSnapshot>();
};

} // namespace sesameway::daemon
