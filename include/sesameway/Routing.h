#pragma once

#include "sesameway/Statement.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace sesameway {

// A home's view of one database, from its latest status report.
struct DatabaseView
{
  std::string mName;
  std::string mZone;
  bool mPrimary = false;
  // The greatest term that the database has granted. It refuses grants, entries and
  // writes of lower terms.
  std::uint64_t mGrantedTerm = 0;
  LogPosition mHead;
  // When the request that this report answers was sent, by this process's clock.
  TimePoint mSeenAt{};
  bool mReachable = false;
  bool mLeaving = false;
};

// A home daemon's view of a group.
struct GroupView
{
  std::string mName;
  // The newest term that is known to have a primary; 0 if none.
  std::uint64_t mTerm = 0;
  // Index into mDatabases.
  std::optional<std::size_t> mPrimary;
  std::vector<DatabaseView> mDatabases;
};

// What a read requires of the data that it returns.
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

// Records at which time the primary's head, the end of its log, was at which position,
// to determine the age of a replica's data.
class HeadHistory
{
public:
  // Records that the primary of `aHead.mTerm` had this head at `aAt` or later.
  void Observe(const LogPosition& aHead, TimePoint aAt);
  // Keeps the head that a primary returned for a request sent at `aAt`. It counts only
  // once it is confirmed.
  void Propose(const LogPosition& aHead, TimePoint aAt);
  // Observes the last proposed head if a majority confirms that its term was in force
  // when the head was requested. The primary is often the nearest database and answers
  // before those that confirm it, so the head is kept until then.
  void Confirm(const GroupView& aView);
  // Returns a time at which data at this position was still current; nullopt if none is
  // known.
  std::optional<TimePoint> CurrentAt(const LogPosition& aPosition) const;
  // Returns a head such that a log that holds it holds everything acknowledged before
  // `aAt`; nullopt if no head has been observed since. Of several such heads it returns
  // the oldest, which most replicas hold.
  std::optional<LogPosition> HeadSince(TimePoint aAt) const;
  // A head and the time at which it was observed.
  struct Sample
  {
    LogPosition mHead;
    TimePoint mAt;
  };
  const Sample* Newest() const { return mSamples.empty() ? nullptr : &mSamples.back(); }

private:
  // Drops heads of older terms beyond `aPosition`, which the new primary does not hold.
  void DropLostTail(std::uint64_t aPosition);

  std::vector<Sample> mSamples;
  std::optional<Sample> mProposed;
};

// Chooses the database for a read. Suitable replicas in `aZone` are preferred; `aTurn`
// rotates among equals.
RouteChoice ChooseForRead(const GroupView& aView,
                          const HeadHistory& aHistory,
                          const ReadRequirement& aRequirement,
                          std::string_view aZone,
                          TimePoint aNow,
                          std::uint64_t aTurn);
RouteChoice ChooseForWrite(const GroupView& aView);

// Whether an answer read at log position `aPosition` meets the requirement when it
// arrives at `aNow`.
bool MeetsRequirement(const ReadRequirement& aRequirement,
                      const HeadHistory& aHistory,
                      const LogPosition& aPosition,
                      TimePoint aNow);

// Whether the entry is safe, that is, kept by every later term. It is safe if a
// majority of the databases has granted no later term and holds a log whose last entry
// is of `aEntry.mTerm`, at the entry's index or later. Reports of any age count, as an
// entry that was once safe stays safe.
bool IsSafe(const GroupView& aView, const LogPosition& aEntry);

// Whether no later term can have had a primary at `aSince`: a majority of the
// databases, asked at `aSince` or later, still grants `aTerm`.
bool IsConfirmed(const GroupView& aView, std::uint64_t aTerm, TimePoint aSince);

} // namespace sesameway
