#pragma once

#include "sesameway/Statement.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace sesameway {

// What is known of one database, from its latest status report.
struct DatabaseView
{
  std::string mName;
  std::string mZone;
  bool mPrimary = false;
  // Terms below it get no more grants, entries or writes there.
  std::uint64_t mGrantedTerm = 0;
  LogPosition mHead;
  // When the request that this report answers was sent, of our clock.
  TimePoint mSeenAt{};
  bool mReachable = false;
  bool mLeaving = false;
};

// A group as one home daemon knows it.
struct GroupView
{
  std::string mName;
  // The newest term that is known to have a primary; 0 if none.
  std::uint64_t mTerm = 0;
  // Index into mDatabases.
  std::optional<std::size_t> mPrimary;
  std::vector<DatabaseView> mDatabases;
};

// What a read asks of the database that serves it.
struct ReadRequirement
{
  std::optional<LogPosition> mToken;
  bool mTokenKnown = false;
  Duration mMaxAge{};
};

struct ToReplica
{
  std::size_t mDatabase;
};
struct ToPrimary
{
  std::size_t mDatabase;
};
struct WaitForPrimary
{};
using RouteDecision = std::variant<ToReplica, ToPrimary, WaitForPrimary>;

enum class RouteCause : std::uint8_t
{
  Write,
  NoAgeAllowed,
  NoToken,
  ReplicaFresh,
  ReplicasBehindToken,
  ReplicasTooOld,
  NoPrimaryKnown,
};
inline constexpr NameTable<RouteCause, 7> kRouteCauseNames{ { "write",
                                                              "no_age_allowed",
                                                              "no_token",
                                                              "replica_fresh",
                                                              "replicas_behind_token",
                                                              "replicas_too_old",
                                                              "no_primary_known" } };

struct RouteChoice
{
  RouteDecision mDecision;
  RouteCause mCause;
};

// Remembers when the primary's head was at which position, to date replica data.
class HeadHistory
{
public:
  // The primary of `aHead.mTerm` had this head at `aAt` or later.
  void Observe(const LogPosition& aHead, TimePoint aAt);
  // A primary's head in answer to a request sent at `aAt`. It counts once confirmed.
  void Propose(const LogPosition& aHead, TimePoint aAt);
  // Observes the head proposed last if its term was in force when it was asked for. The
  // primary, often the nearest, answers before the others that confirm it.
  void Confirm(const GroupView& aView);
  // Data at this position was current at the returned time at least.
  std::optional<TimePoint> CurrentAt(const LogPosition& aPosition) const;
  // A log that holds this position holds all that was acknowledged before `aAt`; none
  // if the primary's head has not been seen since. The oldest such, which most replicas
  // hold.
  std::optional<LogPosition> HeadSince(TimePoint aAt) const;
  // What was observed.
  struct Sample
  {
    LogPosition mHead;
    TimePoint mAt;
  };
  const Sample* Newest() const { return mSamples.empty() ? nullptr : &mSamples.back(); }

private:
  // Forgets heads of an older term that the new primary does not hold.
  void DropLostTail(std::uint64_t aPosition);

  std::vector<Sample> mSamples;
  std::optional<Sample> mProposed;
};

// Where a read goes, among replicas by `aTurn`, nearest zone first.
RouteChoice ChooseForRead(const GroupView& aView,
                          const HeadHistory& aHistory,
                          const ReadRequirement& aNeed,
                          std::string_view aZone,
                          TimePoint aNow,
                          std::uint64_t aTurn);
RouteChoice ChooseForWrite(const GroupView& aView);

// Whether an answer read at `aPosition` meets the need now that it is here.
bool MeetsRequirement(const ReadRequirement& aNeed,
                      const HeadHistory& aHistory,
                      const LogPosition& aPosition,
                      TimePoint aNow);

// Whether a log that ends with an entry of `aEntry.mTerm`, at its place or later, is on
// a majority that has granted no later term. Reports of any time count: what was once
// so is kept by every later term.
bool IsSafe(const GroupView& aView, const LogPosition& aEntry);

// Whether no later term can have had a primary at `aSince`: a majority, asked since,
// still grants this one.
bool IsConfirmed(const GroupView& aView, std::uint64_t aTerm, TimePoint aSince);

} // namespace sesameway
