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

// What an operator asks of a daemon's copy of the catalogue.
struct CatalogueState
{
  std::uint64_t mRevision = 0;
  bool mIsServing = false;
  bool mIsReader = false;
  bool mIsIsolated = false;
  // Since the revision was last known to be the newest.
  Duration mContactAge{};
  std::size_t mMembers = 0;
  std::vector<Rejection> mRejections;
};

// Keeps this daemon's catalogue and member list up to date, from the store or fellows:
// carries out what CatalogueDistribution decides.
// Lock: mMutex, under no other; the listener runs without it.
class CatalogueSync : public std::enable_shared_from_this<CatalogueSync>
{
public:
  CatalogueSync(Workers& aWorkers,
                std::shared_ptr<platform::Platform> aPlatform,
                peer::Member aSelf,
                const Settings& aSettings);
  // The listener hears of each new catalogue or member list.
  void Start(peer::Peers* aPeers, std::function<void()> aOnChange);

  // Null until the newest revision within reach is known. Cheap: no lock is taken.
  CataloguePtr Current() const { return mCurrent.load(); }
  // Whether keys are to be refused because a withdrawal may have been missed. Cheap.
  bool IsIsolated(TimePoint aNow) const;
  std::vector<peer::Member> Members() const;
  // For a fellow: what it does not have.
  peer::CatalogueDelta Delta(const peer::CatalogueQuery& aQuery);
  CatalogueState State(TimePoint aNow) const;

private:
  using Decide = std::function<void(CatalogueDistribution&, TimePoint)>;
  void TickForEver();
  // Tells the decisions of an event, then does what they ask for.
  void Step(const Decide& aDecide);
  // After calls that change the table, under no lock.
  void Publish();
  void NudgeChildren();

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
  // With mMutex held.
  bool TakeMembers(std::vector<peer::Member> aMembers, TimePoint aAsOf);
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
  // Of the watch that counts; what an earlier one still brings is dropped.
  std::uint64_t mWatchNumber = 0;

  // Keeps catalogues from being published out of order.
  std::mutex mPublishMutex;
  std::atomic<CataloguePtr> mCurrent;
  // CatalogueDistribution::Contact, to be read without the lock.
  std::atomic<Duration::rep> mContact = 0;
};

} // namespace sesameway::daemon
