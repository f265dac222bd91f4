#pragma once

#include "daemon/Metrics.h"
#include "daemon/ShareKeeper.h"
#include "daemon/Workers.h"
#include "peer/Peer.h"
#include "sesameway/Catalogue.h"
#include "sesameway/Limits.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <shared_mutex>
#include <string>
#include <unordered_map>

namespace sesameway::daemon {

// Admission control: limits each organisation's statements to its rate and burst,
// counted over all daemons. Lock: mMutex of the derived class, taken while no lock of
// another class is held. Callbacks run after it is released.
class Admission
{
public:
  // Receives the decision. If `aIsAdmitted` is false, the statement may be retried at
  // `aRetryAt`.
  using AdmitCallback = std::function<void(bool aIsAdmitted, TimePoint aRetryAt)>;

  virtual ~Admission() = default;
  virtual void Admit(const Organisation& aOrganisation,
                     TimePoint aDeadline,
                     AdmitCallback aDone) = 0;
  // Takes tokens out of this daemon's buckets and lends them to another daemon.
  virtual peer::TokenGrant LendTokens(const std::string& aOrganisation,
                                      std::uint64_t aIncarnation,
                                      double aWanted) = 0;
  // Called for each new catalogue, in which the limits of organisations may have
  // changed.
  virtual void OnCatalogue(const Catalogue&) {}
};

// Divides each limit equally among the daemons in the member list, so that each admits
// a fixed share. Limits may be exceeded while daemons have different member lists. Kept
// as a baseline for measurements.
class StaticAdmission : public Admission
{
public:
  explicit StaticAdmission(std::function<std::size_t()> aDaemons);
  void Admit(const Organisation& aOrganisation,
             TimePoint aDeadline,
             AdmitCallback aDone) override;
  peer::TokenGrant LendTokens(const std::string& aOrganisation,
                              std::uint64_t aIncarnation,
                              double aWanted) override;

private:
  struct Bucket
  {
    double mTokens = 0;
    TimePoint mAt{};
  };
  std::function<std::size_t()> mDaemons;
  std::mutex mMutex;
  std::map<std::string, Bucket> mBuckets;
};

// Admits statements within this daemon's share of each limit, which follows from the
// slots that the ShareKeeper holds, and borrows tokens from other daemons. Lock order:
// mMutex, then the mutex of one entry.
class FleetAdmission
  : public Admission
  , public std::enable_shared_from_this<FleetAdmission>
{
public:
  FleetAdmission(Workers& aWorkers, Metrics& aMetrics, peer::Member aSelf);
  // Call before the first statement.
  void Start(peer::Peers* aPeers);

  void Admit(const Organisation& aOrganisation,
             TimePoint aDeadline,
             AdmitCallback aDone) override;
  peer::TokenGrant LendTokens(const std::string& aOrganisation,
                              std::uint64_t aIncarnation,
                              double aWanted) override;
  void OnCatalogue(const Catalogue& aCatalogue) override;
  // The snapshot is in force for every organisation when this call returns.
  void OnShareSnapshot(ShareSnapshotPtr aSnapshot);

private:
  struct Entry
  {
    std::mutex mMutex;
    Organisation mOrganisation;
    HeldShare mShare;
    Limiter mLimiter{ Clock::now() };
    std::unordered_map<std::uint64_t, AdmitCallback> mCallbacks;
    std::uint64_t mNextTicket = 0;
    TimePoint mTickAt = TimePoint::max();
    // The snapshot from which the lenders are still to be chosen; null if they are.
    ShareSnapshotPtr mNewLenders;
  };
  using EntryPtr = std::shared_ptr<Entry>;

  EntryPtr Find(const std::string& aName) const;
  EntryPtr FindOrAdd(const Organisation& aOrganisation);
  void SetShare(Entry& aEntry, const ShareSnapshotPtr& aSnapshot) const;
  void UpdateLenders(Entry& aEntry) const;
  using StepFunction = std::function<LimiterStep(Entry&, TimePoint)>;
  void Step(const EntryPtr& aEntry, const StepFunction& aFunction);
  void RequestTokens(const EntryPtr& aEntry, const TokenRequest& aTokenRequest);

  Workers& mWorkers;
  Metrics& mMetrics;
  peer::Member mSelf;
  peer::Peers* mPeers = nullptr;
  mutable std::shared_mutex mMutex;
  std::map<std::string, EntryPtr, std::less<>> mEntries;
  ShareSnapshotPtr mSnapshot = std::make_shared<ShareSnapshot>();
};

} // namespace sesameway::daemon
