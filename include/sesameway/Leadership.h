#pragma once

#include "sesameway/NameTable.h"
#include "sesameway/StoreRevision.h"
#include "sesameway/Time.h"
#include "sesameway/Token.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <variant>

namespace sesameway {

// How long a daemon may use a primary after it last knew that no change of primary had
// been recorded. A coordinator waits this long, plus kContactMargin, for daemons that
// do not answer.
inline constexpr Duration kContactLimit = milliseconds(3000);
// Margin on kContactLimit for the drift between two clocks in that time and for the
// transmission of a call.
inline constexpr Duration kContactMargin = milliseconds(200);
// How long a coordinator may act after it sent a renewal that the store accepted.
inline constexpr Duration kCoordinatorLease = milliseconds(6000);
// How long other daemons wait after the last renewal that they saw before they take the
// lease.
inline constexpr Duration kCoordinatorTakeoverDelay = milliseconds(7000);
inline constexpr Duration kCoordinatorRenewal = milliseconds(2000);

enum class GroupPhase : std::uint8_t
{
  // The primary serves.
  Serving,
  // No daemon sends anything to the primary; another database is to take over.
  Changing,
};
inline constexpr NameTable<GroupPhase, 2> kGroupPhaseNames{ { "serving", "changing" } };

// The primary of a group as the coordinator has recorded it in the store.
struct GroupRecord
{
  std::string mGroup;
  GroupPhase mPhase = GroupPhase::Serving;
  // Number of the latest change of primary; 1 for the first primary found.
  std::uint64_t mChange = 0;
  std::uint64_t mTerm = 0;
  std::string mPrimary;
  // During a change, the database that is ordered to take over; empty until one is
  // chosen.
  std::string mTarget;
  // Fencing token of the coordinator that recorded the target; 0 if no target has been
  // recorded.
  std::uint64_t mFence = 0;
  // Incremented each time a target is recorded, so that recording the same target again
  // also changes the record.
  std::uint64_t mTargetSequence = 0;
  // Whether a promotion order of the coordinator that recorded the target may still
  // take effect.
  bool mIsOrderOpen = false;
  // The store's generation in which the record was written.
  std::uint64_t mGeneration = 0;
  // The end of the primary's log when it was found to lead, before any daemon used it:
  // nothing that was acknowledged earlier lies beyond. {0, 0} if it is not known.
  LogPosition mTakenOverAt{};
  bool operator==(const GroupRecord&) const = default;
};

// Parses TOML. The error says what was expected.
tl::expected<GroupRecord, std::string> ParseGroupRecord(std::string_view aBody);
std::string FormatGroupRecord(const GroupRecord& aRecord);

// A daemon's knowledge of one group's primary, and whether the daemon may use that
// primary now.
//
// After the store has returned with an older copy, its record may be older than the
// known one, and a change of primary that had begun may be missing from it. The newer
// record is kept, and contact with the store counts again only once a coordinator has
// written the record in the store's new generation.
class Leadership
{
public:
  // Takes in a record from the store. Records may arrive in any order: returns false
  // and changes nothing unless `aRevision` is newer than the known one.
  bool OnRecord(const GroupRecord& aRecord, std::uint64_t aRevision);
  // Call when the store no longer has the record, as of a revision.
  void OnRemoved(std::uint64_t aRevision);
  // Whether the store has no record, or one that is older than the known one.
  bool IsLostInStore() const { return mIsLostInStore; }
  // Call when the coordinator starts a change: the primary is not used until the record
  // of that change says that it is complete.
  void StandDown(std::uint64_t aChange);
  // Whether statements may be sent to the primary and its answers may be trusted.
  // `aContact` is when this daemon last knew that no change had been recorded.
  bool IsPrimaryUsable(TimePoint aContact, TimePoint aNow) const;
  // Whether the database became primary by change `aChange` and no later change has
  // begun. Anything granted under a change is valid no longer than that, even if the
  // same database becomes primary again.
  bool IsInForce(std::string_view aDatabase, std::uint64_t aChange) const;
  // Whether a change is in progress, so that a short wait for the new primary is
  // worthwhile.
  bool IsChanging() const;
  const GroupRecord& Record() const { return mRecord; }
  std::uint64_t Revision() const { return mRevision; }
  // The revision of the record in the store; 0 if it has none.
  std::uint64_t StoredRevision() const { return mIsRemoved ? 0 : mRevision; }

private:
  GroupRecord mRecord;
  std::uint64_t mRevision = 0;
  std::uint64_t mStoodDown = 0;
  bool mIsLostInStore = false;
  bool mIsRemoved = false;
};

// The lease record of the coordinator, the only daemon that may change primaries.
struct CoordinatorRecord
{
  std::string mHolder;
  std::string mAddress;
  std::uint64_t mIncarnation = 0;
  // Fencing token; incremented for each new holder.
  std::uint64_t mFence = 0;
  // Number of renewals, so that each renewal changes the record.
  std::uint64_t mRenewal = 0;
  // The store's generation in which the record was written. In a later generation the
  // record is void: leases that were granted after it may have been lost.
  std::uint64_t mGeneration = 0;
  // How long the holders of lost leases have been waited out in the generation
  // `mWaitGeneration`. Written while the record is void, so that a daemon that starts
  // later waits only for the rest.
  Duration mWaited{};
  std::uint64_t mWaitGeneration = 0;
  bool operator==(const CoordinatorRecord&) const = default;
};

tl::expected<CoordinatorRecord, std::string> ParseCoordinatorRecord(
  std::string_view aBody);
std::string FormatCoordinatorRecord(const CoordinatorRecord& aRecord);

// Acquires and renews the coordinator lease in the store on behalf of one daemon.
class CoordinatorLease
{
public:
  struct Write
  {
    CoordinatorRecord mRecord;
    // Store revision of the record to replace; 0 if there is none.
    std::uint64_t mExpected = 0;
  };

  // `aRank` delays this daemon's attempts to take the lease, by 150 ms per rank, so
  // that the attempts of several daemons do not coincide.
  CoordinatorLease(std::string aName,
                   std::string aAddress,
                   std::uint64_t aIncarnation,
                   std::uint32_t aRank);

  void OnRecord(const CoordinatorRecord& aRecord,
                std::uint64_t aRevision,
                TimePoint aNow);
  // Call when the store has no lease record and none is known.
  void OnNoRecord(TimePoint aNow);
  // Call when the store no longer has the lease record, as of a revision. Its holder
  // may act until its lease ends, so nobody takes the lease before that.
  void OnRemoved(std::uint64_t aRevision, TimePoint aNow);
  // Returns the next write to send, if one is due: it takes, renews or releases the
  // lease, or records for how long a void one has been waited out. At most one write is
  // in flight at a time. `aGeneration` is the store's present generation.
  std::optional<Write> Next(TimePoint aNow, std::uint64_t aGeneration = 0);
  // `aRevision` is the revision of the record written, 0 if the store rejected the
  // write, or nullopt if it did not answer.
  void OnWritten(std::optional<std::uint64_t> aRevision, TimePoint aNow);
  // Releases the lease with the next write; this daemon does not take it again.
  void Leave() { mIsLeaving = true; }

  bool IsHolder(TimePoint aNow) const;
  // The lease record; nullptr if the lease was released or no record is known.
  const CoordinatorRecord* Holder() const;
  std::uint64_t Fence() const { return mRecord.mFence; }

private:
  bool IsMine() const;
  // Whether the record gives nobody the lease.
  bool IsVoid() const
  {
    return mIsRemoved || IsOutdated(mRecord.mGeneration, mRevision);
  }
  // How long the void record says that lost leases have been waited out.
  Duration RecordedWait() const;
  std::optional<CoordinatorRecord> NextRecord(TimePoint aNow,
                                              std::uint64_t aGeneration) const;
  CoordinatorRecord TakenRecord(std::uint64_t aGeneration) const;

  std::string mName;
  std::string mAddress;
  std::uint64_t mIncarnation;
  std::uint32_t mRank;
  CoordinatorRecord mRecord;
  std::uint64_t mRevision = 0;
  bool mIsKnown = false;
  bool mIsRemoved = false;
  bool mIsLeaving = false;
  // When the record last changed; while it is void, a time that is not before the
  // store's return.
  TimePoint mSeenAt{};
  TimePoint mNextWrite{};
  std::optional<Write> mPendingWrite;
  TimePoint mSentAt{};
  // This daemon may act as coordinator until this time.
  TimePoint mHeldUntil{};
};

} // namespace sesameway
