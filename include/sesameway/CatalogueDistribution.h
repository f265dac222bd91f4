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

// One object for each zone: who reads the store for it. PREFIX + ZONE.
inline constexpr std::string_view kReaderPrefix = "catalogue-reader/";
// Catalogue entries and reader leases alike.
inline constexpr std::string_view kWatchedPrefix = "catalogue";

// A daemon as the catalogue's distribution sees it.
struct PeerDaemon
{
  std::string mName;
  std::string mZone;
  // Of its peer port, IP:port.
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
// Asks a fellow for what is newer than our revision.
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
  // The store itself answered that it is out: it takes no change from anyone.
  Down,
};

// Decides who reads the store, whom to ask for changes, when to serve, and how recently
// this daemon's revision was known to be the newest. Every time is of our own clock.
class CatalogueDistribution
{
public:
  CatalogueDistribution(PeerDaemon aSelf,
                        std::uint64_t aIncarnation,
                        std::vector<std::string> aSeedAddresses,
                        std::uint64_t aSeed);

  // What is to be done now; call it every 100 ms or so and after each event.
  CatalogueActions Tick(TimePoint aNow);

  // Each store call ends in one of these, with the time at which it was sent.
  void OnListed(TimePoint aSentAt);
  void OnLeaseRead(TimePoint aNow, const StoredObject& aObject);
  void OnPut(TimePoint aSentAt, TimePoint aNow, bool aIsApplied, const StoredObject&);
  void OnStoreFailed(TimePoint aSentAt, TimePoint aNow, StoreFailure aFailure);
  void OnWatchEnded(StoreFailure aFailure);
  // A lease as a watch, a list or a fellow brought it.
  void OnLease(TimePoint aNow, const StoredObject& aObject, bool aIsFromWatch);
  void OnMembers(std::vector<PeerDaemon> aMembers);
  // `aContactAge` none: no answer, or from one that does not serve yet itself.
  void OnPulled(const std::string& aAddress,
                TimePoint aSentAt,
                TimePoint aNow,
                std::optional<Duration> aContactAge);
  // A fellow holds something newer than we do.
  void OnPeerHasNewer(TimePoint aNow);

  // False until the newest revision within reach is known.
  bool IsServing() const { return mIsServing; }
  bool IsReader() const { return mIsReader; }
  // All that was accepted before this time is known here.
  TimePoint Contact() const { return mContact; }
  // Whom to tell of a change: those that pull from us.
  std::vector<std::string> Children() const;
  // Our own zone's lease, version 0 if unknown.
  const StoredObject& Lease() const { return mLease; }

private:
  void TickStart(TimePoint aNow, CatalogueActions& aActions);
  void TickReader(TimePoint aNow, CatalogueActions& aActions);
  void TickChallenger(TimePoint aNow, CatalogueActions& aActions);
  void TickPull(TimePoint aNow, CatalogueActions& aActions);
  void Put(TimePoint aNow, CatalogueActions& aActions);
  void RaiseContact(TimePoint aAt);
  void Reachable();
  bool IsOwn(const StoredObject& aLease) const;
  // Where to pull from; empty if nobody is known.
  std::string Source(TimePoint aNow);
  std::string AnyOf(const std::vector<PeerDaemon>& aFellows);
  // The zone's daemons in the order of the tree, the holder of the lease first.
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

  // Starting.
  TimePoint mNextList{};
  bool mHasStoreFailed = false;
  TimePoint mAskUntil{};
  std::map<std::string, bool> mAsked;

  // Leases.
  StoredObject mLease;
  TimePoint mLeaseSeenAt{};
  TimePoint mHolderFreshAt{};
  bool mIsReader = false;
  bool mIsPutOpen = false;
  bool mMustReadBack = false;
  TimePoint mNextPut{};
  // When the update was sent that makes this version.
  std::map<std::uint64_t, TimePoint> mSentAt;
  TimePoint mNextVms{};
  bool mIsListOpen = false;
  bool mIsListed = false;
  bool mIsWatching = false;

  // Of this outage: when it was first heard of, the latest sign of it, and whether all
  // that the store took before it is here.
  std::optional<TimePoint> mDownAt;
  std::optional<TimePoint> mLastDownAt;
  bool mIsCompleteAtDown = false;

  TimePoint mNextPull{};
  bool mIsPullOpen = false;
  bool mMustPullAgain = false;
};

} // namespace sesameway
