#pragma once

#include "sesameway/Time.h"

#include <string>
#include <vector>

namespace sesameway {

// Number of daemons that ask the same daemon for changes while all are running.
inline constexpr std::size_t kMaxAskingDaemons = 16;

// A daemon of the same region.
struct NearDaemon
{
  std::string mName;
  std::string mZone;
};

// Decides whether this daemon watches the store for changes. In each region the first
// daemon watches it, by name and with the zones taking turns. The others form a tree
// below it: each asks its parent for changes, and watches the store itself only while
// it gets no fresh answer. The number of calls to the store thus grows with the number
// of regions, not of daemons, and the calls that one daemon answers do not grow with
// either.
class StoreWatchers
{
public:
  explicit StoreWatchers(NearDaemon aSelf)
    : mSelf(std::move(aSelf))
  {
  }

  // Sets the daemons of this daemon's region, with or without this daemon itself.
  void SetDaemons(std::vector<NearDaemon> aDaemons);
  // Whether to watch the store now. `aContact` is the last time at which this daemon
  // was known to have all changes.
  bool MustWatch(TimePoint aContact, TimePoint aNow);
  // The daemon to ask for changes: the parent, or after a failure another daemon that
  // precedes this one, a different one after each; empty if this daemon is the first.
  std::string PeerToAsk() const;
  void OnNoAnswer() { ++mFailures; }
  // Number of daemons that precede this one in its region, and number of daemons
  // between this one and the store.
  std::size_t Rank() const { return mPreceding.size(); }
  int Level() const { return mLevel; }
  // Takes in an answer of that daemon. An answer whose contact with the store is old
  // counts as none: a parent that the store turns away can't help its children.
  void OnAnswer(TimePoint aContact, TimePoint aNow);

private:
  Duration FreshAge() const;
  Duration TakeoverDelay() const;

  NearDaemon mSelf;
  // Names of the daemons that precede this one, in order.
  std::vector<std::string> mPreceding;
  // Number of daemons between this one and the store, at least 1 unless it is the
  // first.
  int mLevel = 0;
  // Number of failures of the parent and of those asked in its place.
  std::size_t mFailures = 0;
  // When the parent is asked again after another daemon has helped.
  TimePoint mParentAgainAt = TimePoint::max();
  // When this daemon last began to watch the store, and the contact that it had then;
  // TimePoint{} while it does not watch.
  TimePoint mWatchingSince{};
  TimePoint mContactBefore{};
  // Number of consecutive times that it watched in vain.
  int mFruitless = 0;
  TimePoint mWatchAgainAt{};
};

} // namespace sesameway
