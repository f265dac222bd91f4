#pragma once

#include "sesameway/CatalogueTable.h"
#include "sesameway/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

namespace sesameway {

// Prefix of the lease objects, one per zone (PREFIX + ZONE). The holder of a zone's
// lease is its reader: the daemon that reads the store for the zone.
inline constexpr std::string_view kReaderPrefix = "catalogue-reader/";
// Prefix of both catalogue entries and reader leases.
inline constexpr std::string_view kWatchedPrefix = "catalogue";

// A daemon that takes part in distributing the catalogue.
struct PeerDaemon
{
  std::string mName;
  std::string mZone;
  // Address of its peer port as IP:port.
  std::string mAddress;
  bool mLeaving = false;
  bool operator==(const PeerDaemon&) const = default;
};

// Reads all entries and leases from the store.
struct ListStore
{};
struct WatchStore
{};
struct CancelWatch
{};
struct GetLease
{
  std::string mName;
};
struct PutLease
{
  std::string mName;
  std::string mBody;
  std::uint64_t mExpectedVersion;
};
struct ListVms
{};
// Asks a peer daemon for the changes that are newer than this daemon's revision.
struct PullFrom
{
  std::string mAddress;
};
using CatalogueAction = std::
  variant<ListStore, WatchStore, CancelWatch, GetLease, PutLease, ListVms, PullFrom>;
using CatalogueActions = std::vector<CatalogueAction>;

enum class StoreFailure : std::uint8_t
{
  // No answer.
  Silent,
  // The store answered that it is down; it then accepts no changes from any daemon.
  Down,
};

// Decides whether this daemon reads the store, which peer it asks for changes, when it
// starts to serve, and how recently its revision was known to be the newest. All time
// points are of this daemon's own clock.
class CatalogueDistribution
{
public:
  CatalogueDistribution(PeerDaemon aSelf,
                        std::uint64_t aIncarnation,
                        std::vector<std::string> aSeedAddresses,
                        std::uint64_t aSeed);

  // Returns the actions to carry out now. Call it about every 100 ms and after each
  // event.
  CatalogueActions Tick(TimePoint aNow);

  // Results of store calls; `aSentAt` is the time at which the call was sent.
  void OnListed(TimePoint aSentAt);
  void OnLeaseRead(TimePoint aNow, const StoredObject& aObject);
  void OnPut(TimePoint aSentAt, TimePoint aNow, bool aIsApplied, const StoredObject&);
  void OnStoreFailed(TimePoint aSentAt, TimePoint aNow, StoreFailure aFailure);
  void OnWatchEnded(StoreFailure aFailure);
  // Handles a lease received from a watch, a list or a peer daemon.
  void OnLease(TimePoint aNow, const StoredObject& aObject, bool aIsFromWatch);
  void OnMembers(std::vector<PeerDaemon> aMembers);
  // Handles the result of PullFrom. `aContactAge` is empty if there was no answer or
  // the peer does not serve yet itself.
  void OnPulled(const std::string& aAddress,
                TimePoint aSentAt,
                TimePoint aNow,
                std::optional<Duration> aContactAge);
  // Handles the news that a peer daemon has a newer revision than this one.
  void OnPeerHasNewer(TimePoint aNow);

  // False until the newest reachable revision is known.
  bool IsServing() const { return mIsServing; }
  bool IsReader() const { return mIsReader; }
  // Time of the last known contact: all changes that the store accepted before it are
  // known here.
  TimePoint Contact() const { return mContact; }
  // Addresses of the daemons that pull from this one and should be told of a change.
  std::vector<std::string> Children() const;
  // Lease of this daemon's zone; version 0 if unknown.
  const StoredObject& Lease() const { return mLease; }

private:
  void TickStart(TimePoint aNow, CatalogueActions& aActions);
  void TickReader(TimePoint aNow, CatalogueActions& aActions);
  void TickChallenger(TimePoint aNow, CatalogueActions& aActions);
  void TickPull(TimePoint aNow, CatalogueActions& aActions);
  void Put(TimePoint aNow, CatalogueActions& aActions);
  void AdvanceContact(TimePoint aAt);
  void OnStoreReachable();
  bool IsOwn(const StoredObject& aLease) const;
  // Address to pull from; empty if no other daemon is known.
  std::string PullSource(TimePoint aNow);
  std::string RandomAddress(const std::vector<PeerDaemon>& aPeers);
  // Daemons of the zone in the order of the distribution tree, the lease holder first.
  std::vector<PeerDaemon> ZoneOrder() const;
  std::size_t RankOf(const std::string& aName, const std::vector<PeerDaemon>&) const;

  PeerDaemon mSelf;
  std::string mLeaseName;
  std::string mLeaseBody;
  std::vector<std::string> mSeedAddresses;
  std::mt19937_64 mRandom;
  std::vector<PeerDaemon> mMembers;
  TimePoint mContact{};
  bool mIsServing = false;

  // State before serving.
  TimePoint mNextList{};
  bool mHasStoreFailed = false;
  TimePoint mAskUntil{};
  std::map<std::string, bool> mAsked;

  // Lease and store access.
  StoredObject mLease;
  TimePoint mLeaseSeenAt{};
  TimePoint mHolderFreshAt{};
  bool mIsReader = false;
  bool mIsPutOpen = false;
  bool mMustReadBack = false;
  TimePoint mNextPut{};
  // For each lease version, when the update that creates it was first sent.
  std::map<std::uint64_t, TimePoint> mSentAt;
  TimePoint mNextVms{};
  bool mIsListOpen = false;
  bool mIsListed = false;
  bool mIsWatching = false;

  // Current outage of the store: when it was first reported, when the last call that
  // reported it was sent, and whether all changes accepted before it are known here.
  std::optional<TimePoint> mDownAt;
  std::optional<TimePoint> mLastDownAt;
  bool mIsCompleteAtDown = false;

  TimePoint mNextPull{};
  bool mIsPullOpen = false;
  bool mMustPullAgain = false;
};

} // namespace sesameway
