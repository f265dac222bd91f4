#include "daemon/ShareKeeper.h"

#include "daemon/Log.h"

#include <algorithm>
#include <thread>

namespace sesameway::daemon {

namespace {

constexpr Duration kCallTimeout = seconds(1);
constexpr Duration kTickInterval = milliseconds(500);
constexpr Duration kReleasePollInterval = milliseconds(10);

} // namespace

ShareKeeper::ShareKeeper(Workers& aWorkers,
                         Metrics& aMetrics,
                         std::shared_ptr<platform::Platform> aPlatform,
                         const peer::Member& aSelf)
  : mWorkers(aWorkers)
  , mMetrics(aMetrics)
  , mPlatform(std::move(aPlatform))
  , mAllocator(aSelf.mName, aSelf.mZone, aSelf.mIncarnation)
{
}

void ShareKeeper::Start(MemberList aMembers, Listener aListener)
{
  mMembers = std::move(aMembers);
  mListener = std::move(aListener);
  Tick();
}

void ShareKeeper::UsePreviousSlots(TimePoint aSince)
{
  {
    std::lock_guard lock(mMutex);
    mAllocator.UsePreviousSlots(aSince);
  }
  Publish(mMembers());
}

void ShareKeeper::ReleaseSlots(TimePoint aDeadline)
{
  {
    std::lock_guard lock(mMutex);
    mAllocator.Leave();
  }
  auto isOver = [this] {
    std::lock_guard lock(mMutex);
    return mAllocator.HasLeft() || mAllocator.IsReplaced();
  };
  while (!isOver() && Clock::now() < aDeadline) {
    std::this_thread::sleep_for(kReleasePollInterval);
  }
}

// Only one call to the store is in flight at a time: the next tick follows its answer.
// Slots that a step releases are out of force before the step is sent.
void ShareKeeper::Tick()
{
  auto members = mMembers();
  std::set<std::string> names;
  std::vector<SlotHolder> peers;
  for (const auto& it : members) {
    names.insert(it.mName);
    peers.push_back({ it.mName, it.mZone, it.mIncarnation, 0, {} });
  }
  SlotAllocatorStep step;
  {
    std::lock_guard lock(mMutex);
    auto now = Clock::now();
    if (!names.empty()) {
      mAllocator.OnListed(names, now);
    }
    if (mRegistersPeers) {
      mAllocator.SetRunningDaemons(std::move(peers));
    }
    step = mAllocator.Next(now);
  }
  Publish(members);
  Do(step);
}

void ShareKeeper::Publish(const std::vector<peer::Member>& aMembers)
{
  auto snapshot = std::make_shared<ShareSnapshot>();
  for (const auto& it : aMembers) {
    snapshot->mAddresses[it.mName] = it.mAddress;
  }
  bool hasNewSlots = false;
  std::int64_t added = 0;
  {
    std::lock_guard lock(mMutex);
    snapshot->mHeld = mAllocator.Held();
    snapshot->mTable = mAllocator.Table();
    // A daemon that has no table yet, or an old one, can still borrow from the members
    // that it knows.
    for (const auto& it : aMembers) {
      SlotHolder unknown{ it.mName, it.mZone, it.mIncarnation, 0, {} };
      snapshot->mTable.mHolders.try_emplace(it.mName, std::move(unknown));
    }
    hasNewSlots = snapshot->mHeld.mSlots != mSnapshot->mHeld.mSlots;
    bool isSame = !hasNewSlots &&
                  snapshot->mHeld.mLeaseEnd == mSnapshot->mHeld.mLeaseEnd &&
                  snapshot->mTable == mSnapshot->mTable &&
                  snapshot->mAddresses == mSnapshot->mAddresses;
    if (isSame) {
      return;
    }
    added = static_cast<std::int64_t>(snapshot->mHeld.mSlots.size()) -
            static_cast<std::int64_t>(mSnapshot->mHeld.mSlots.size());
    mSnapshot = snapshot;
  }
  if (hasNewSlots) {
    LOG(INFO) << LogLine("share")
                   .With("slots", snapshot->mHeld.mSlots.size())
                   .With("of", kSlots)
                   .With("holders", snapshot->mTable.mHolders.size());
  }
  mMetrics.Count("limits.slots", added);
  mListener(snapshot);
}

void ShareKeeper::Do(const SlotAllocatorStep& aStep)
{
  auto sentAt = Clock::now();
  auto self = shared_from_this();
  std::string name(kShareObject);
  if (const auto* rest = std::get_if<PauseUntil>(&aStep)) {
    mWorkers.RunAt(std::min(rest->mUntil, sentAt + kTickInterval),
                   [self] { self->Tick(); });
    return;
  }
  if (const auto* write = std::get_if<WriteTable>(&aStep)) {
    mMetrics.Count("store.put");
    mPlatform->Put(name,
                   write->mBody,
                   write->mExpectedVersion,
                   false,
                   sentAt + kCallTimeout,
                   [self, sentAt](const std::optional<platform::PutResult>& aResult) {
                     // The result holds the current object, whether or not the write
                     // was applied.
                     self->OnObject(aResult ? std::optional(aResult->mObject)
                                            : std::nullopt,
                                    sentAt);
                   });
    return;
  }
  mMetrics.Count("store.get");
  mPlatform->Get(name,
                 sentAt + kCallTimeout,
                 [self, sentAt](const std::optional<platform::Object>& aObject) {
                   self->OnObject(aObject, sentAt);
                 });
}

void ShareKeeper::OnObject(const std::optional<platform::Object>& aObject,
                           TimePoint aSentAt)
{
  auto table = aObject ? ParseSlotTable(aObject->mBody)
                       : tl::unexpected(std::string("the store did not answer"));
  {
    std::lock_guard lock(mMutex);
    if (table) {
      mAllocator.OnTable(std::move(*table), aObject->mVersion, aSentAt, Clock::now());
    } else {
      mAllocator.OnNoAnswer(Clock::now());
    }
  }
  if (!table) {
    LOG(WARNING) << LogLine("share_table").With("detail", table.error());
  }
  mWorkers.Post([self = shared_from_this()] { self->Tick(); });
}

} // namespace sesameway::daemon
