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

// Admits statements within an organisation's rate and burst over the fleet.
// Lock: mMutex, under no other; callbacks run without it.
class Admission
{
public:
  // True admits; false refuses, with when to come back.
  using Verdict = std::function<void(bool aIsAdmitted, TimePoint aRetryAt)>;

  virtual ~Admission() = default;
  virtual void Admit(const Organisation& aOrganisation,
                     TimePoint aDeadline,
                     Verdict aVerdict) = 0;
  // Takes tokens out of this daemon's buckets for a fellow.
  virtual peer::TokenGrant LendTokens(const std::string& aOrganisation,
                                      std::uint64_t aIncarnation,
                                      double aWanted) = 0;
  // The organisations' limits have changed.
  virtual void OnCatalogue(const Catalogue&) {}
};

// Equal static shares: each of the daemons listed admits its part. Unsafe where
// daemons' lists differ; kept to measure against.
class StaticAdmission : public Admission
{
public:
  explicit StaticAdmission(std::function<std::size_t()> aDaemons);
  void Admit(const Organisation& aOrganisation,
             TimePoint aDeadline,
             Verdict aVerdict) override;
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

// Admits from the slots that the share keeper holds, and borrows tokens of fellows.
// Locks: mMutex, then one entry's.
class FleetAdmission
  : public Admission
  , public std::enable_shared_from_this<FleetAdmission>
{
public:
  FleetAdmission(Workers& aWorkers, Metrics& aMetrics, peer::Member aSelf);
  // Before the first statement.
  void Start(peer::Peers* aPeers);

  void Admit(const Organisation& aOrganisation,
             TimePoint aDeadline,
             Verdict aVerdict) override;
  peer::TokenGrant LendTokens(const std::string& aOrganisation,
                              std::uint64_t aIncarnation,
                              double aWanted) override;
  void OnCatalogue(const Catalogue& aCatalogue) override;
  // In force for every organisation when it returns.
  void OnShareSnapshot(ShareSnapshotPtr aSnapshot);

private:
  struct Entry
  {
    std::mutex mMutex;
    Organisation mOrganisation;
    HeldShare mShare;
    Limiter mLimiter{ Clock::now() };
    std::unordered_map<std::uint64_t, Verdict> mVerdicts;
    std::uint64_t mNextTicket = 0;
    TimePoint mTickAt = TimePoint::max();
  };
  using EntryPtr = std::shared_ptr<Entry>;

  EntryPtr Find(const std::string& aName) const;
  EntryPtr FindOrAdd(const Organisation& aOrganisation);
  void SetShare(Entry& aEntry, const ShareSnapshot& aSnapshot) const;
  using StepFunction = std::function<LimiterStep(Entry&, TimePoint)>;
  void Step(const EntryPtr& aEntry, const StepFunction& aFunction);
  void Ask(const EntryPtr& aEntry, const TokenRequest& aAsk);

  Workers& mWorkers;
  Metrics& mMetrics;
  peer::Member mSelf;
  peer::Peers* mPeers = nullptr;
  mutable std::shared_mutex mMutex;
  std::map<std::string, EntryPtr, std::less<>> mEntries;
  ShareSnapshotPtr mSnapshot = std::make_shared<ShareSnapshot>();
};

} // namespace sesameway::daemon
