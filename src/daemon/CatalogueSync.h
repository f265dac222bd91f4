#pragma once

#include "daemon/Settings.h"
#include "daemon/Workers.h"
#include "peer/Peer.h"
#include "platform/Platform.h"
#include "sesameway/CatalogueDistribution.h"
#include "sesameway/CatalogueTable.h"

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>

namespace sesameway::daemon {

// The status of a daemon's copy of the catalogue, as operators see it.
struct CatalogueState
{
  std::uint64_t mRevision = 0;
  bool mIsServing = false;
  bool mIsReader = false;
  bool mIsIsolated = false;
  // Time since the revision was last known to be the newest.
  Duration mContactAge{};
  std::size_t mMembers = 0;
  std::vector<Rejection> mRejections;
};

// Keeps this daemon's catalogue and member list up to date, from the store or from
// other daemons, by performing the actions that CatalogueDistribution returns. Locks:
// mPublishMutex, then mMutex, both taken while no lock of another class is held. The
// listener runs after they are released.
class CatalogueSync : public std::enable_shared_from_this<CatalogueSync>
{
public:
  CatalogueSync(Workers& aWorkers,
                std::shared_ptr<platform::Platform> aPlatform,
                peer::Member aSelf,
                const Settings& aSettings);
  // `aOnChange` is called after each change of the catalogue or the member list.
  void Start(peer::Peers* aPeers, std::function<void()> aOnChange);

  // Null until the newest reachable revision is known. Takes no lock, so it may be
  // called for each statement.
  CataloguePtr Current() const { return mCurrent.load(); }
  // Whether keys must be refused, because the withdrawal of a key may have been missed.
  // Takes no lock, so it may be called for each statement.
  bool IsIsolated(TimePoint aNow) const;
  std::vector<peer::Member> Members() const;
  // Returns the entries and members that the querying daemon lacks. If its revision is
  // newer than the one here, also starts a pull.
  peer::CatalogueDelta Delta(const peer::CatalogueQuery& aQuery);
  CatalogueState State(TimePoint aNow) const;

private:
  using EventHandler = std::function<void(CatalogueDistribution&, TimePoint)>;
  void TickPeriodically();
  // Passes an event to CatalogueDistribution with mMutex held, then performs the
  // actions that it returns.
  void Step(const EventHandler& aHandler);
  // Builds and publishes the catalogue. Call it after each change of the table, with no
  // lock held.
  void Publish();
  void NotifyChildren();

  void Do(const ListStore& aAction);
  void Do(const WatchStore& aAction);
  void Do(const CancelWatch& aAction);
  void Do(const GetLease& aAction);
  void Do(const PutLease& aAction);
  void Do(const ListVms& aAction);
  void Do(const PullFrom& aAction);
  void OnListing(const platform::Listing& aListing, TimePoint aSentAt);
  void OnWatched(std::uint64_t aNumber, std::optional<platform::Object> aObject);
  void OnDelta(const std::string& aAddress,
               std::uint64_t aBase,
               TimePoint aSentAt,
               std::optional<peer::CatalogueDelta> aDelta);
  void OnFailed(TimePoint aSentAt);
  // Takes over a member list that is newer than the present one. Returns whether the
  // members changed. Requires mMutex.
  bool ApplyMembers(std::vector<peer::Member> aMembers, TimePoint aAsOf);
  StoreFailure FailureOf(TimePoint aSentAt) const;

  Workers& mWorkers;
  std::shared_ptr<platform::Platform> mPlatform;
  peer::Member mSelf;
  bool mRefusesIsolated;
  Duration mIsolatedAfter;
  peer::Peers* mPeers = nullptr;
  std::function<void()> mOnChange;

  mutable std::mutex mMutex;
  CatalogueTable mTable;
  CatalogueDistribution mDistribution;
  std::vector<peer::Member> mMembers;
  std::uint64_t mMembersHash = 0;
  TimePoint mMembersAsOf{};
  std::shared_ptr<void> mWatch;
  // Number of the current watch. Events of earlier watches are dropped.
  std::uint64_t mWatchNumber = 0;

  // Prevents catalogues from being published out of order.
  std::mutex mPublishMutex;
  std::atomic<CataloguePtr> mCurrent;
  // Copy of CatalogueDistribution::Contact(), readable without mMutex.
  std::atomic<Duration::rep> mContact = 0;
};

} // namespace sesameway::daemon
