#pragma once

#include "sesameway/NameTable.h"
#include "sesameway/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <variant>

namespace sesameway {

// How long a daemon may use a primary after a time at which it knew that no change of
// primary had been recorded. A coordinator waits as long for daemons that do not
// answer.
inline constexpr Duration kContactLimit = milliseconds(3000);
// What two clocks may differ in that time, and a call's way.
inline constexpr Duration kContactMargin = milliseconds(200);
// How long a coordinator acts after it sent a renewal that the store took.
inline constexpr Duration kCoordinatorLease = milliseconds(6000);
// How long others wait after the last renewal that they saw.
inline constexpr Duration kCoordinatorTakeoverDelay = milliseconds(7000);
inline constexpr Duration kCoordinatorRenewal = milliseconds(2000);

enum class GroupPhase : std::uint8_t
{
  // The primary serves.
  Serving,
  // Nobody sends anything to the primary; another database is to take over.
  Changing,
};
inline constexpr NameTable<GroupPhase, 2> kGroupPhaseNames{ { "serving", "changing" } };

// Who is primary of a group, as the coordinator has recorded it in the store.
struct GroupRecord
{
  std::string mGroup;
  GroupPhase mPhase = GroupPhase::Serving;
  // Counts the changes of primary, from 1 for the first one found.
  std::uint64_t mChange = 0;
  std::uint64_t mTerm = 0;
  std::string mPrimary;
  // While changing, the database that is told to take over; empty before that.
  std::string mTarget;
  // Of the coordinator that named the target; 0: none has.
  std::uint64_t mFence = 0;
  // Counts the times a target was named, so that each one is a change.
  std::uint64_t mTargetSequence = 0;
  // An order of that coordinator's may yet take effect.
  bool mIsOrderOpen = false;
  bool operator==(const GroupRecord&) const = default;
};

// TOML. The error says what was expected.
tl::expected<GroupRecord, std::string> ParseGroupRecord(std::string_view aBody);
std::string FormatGroupRecord(const GroupRecord& aRecord);

// What a daemon knows of one group's primary, and whether it may use it now.
class Leadership
{
public:
  // Records come in any order; an older one changes nothing.
  bool OnRecord(const GroupRecord& aRecord, std::uint64_t aRevision);
  // The coordinator begins a change: the primary is not used until the record of that
  // change says that it is over.
  void StandDown(std::uint64_t aChange);
  // Whether statements may be sent to the primary, and its answers believed, given when
  // it was last known that no change had been recorded.
  bool IsPrimaryUsable(TimePoint aContact, TimePoint aNow) const;
  // Whether the database is the primary by this change, and no later one has begun.
  // What was granted at a primary holds no longer than that, whoever the primary is by
  // then.
  bool IsInForce(std::string_view aDatabase, std::uint64_t aChange) const;
  // Whether a change is under way, so that waiting a little is worth while.
  bool IsChanging() const;
  const GroupRecord& Record() const { return mRecord; }
  std::uint64_t Revision() const { return mRevision; }

private:
  GroupRecord mRecord;
  std::uint64_t mRevision = 0;
  std::uint64_t mStoodDown = 0;
};

// The record of the one daemon that may change primaries.
struct CoordinatorRecord
{
  std::string mHolder;
  std::string mAddress;
  std::uint64_t mIncarnation = 0;
  // Grows with each new holder.
  std::uint64_t mFence = 0;
  // Counts renewals, so that each one is a change.
  std::uint64_t mRenewal = 0;
  bool operator==(const CoordinatorRecord&) const = default;
};

tl::expected<CoordinatorRecord, std::string> ParseCoordinatorRecord(
  std::string_view aBody);
std::string FormatCoordinatorRecord(const CoordinatorRecord& aRecord);

// One daemon's part in choosing the coordinator by a lease in the store.
class CoordinatorLease
{
public:
  struct Write
  {
    CoordinatorRecord mRecord;
    // The store's revision of the record that it replaces; 0: there is none.
    std::uint64_t mExpected = 0;
  };

  // `aRank` spreads the attempts of several daemons, in steps of some 100 ms.
  CoordinatorLease(std::string aName,
                   std::string aAddress,
                   std::uint64_t aIncarnation,
                   std::uint32_t aRank);

  void OnRecord(const CoordinatorRecord& aRecord,
                std::uint64_t aRevision,
                TimePoint aNow);
  // The store lists no record.
  void OnNoRecord(TimePoint aNow);
  // A write to send, if one is due. Only one is under way at a time.
  std::optional<Write> Next(TimePoint aNow);
  // `aRevision`: of the record written, if it was; 0 if the store said no. None if
  // there was no answer.
  void OnWritten(std::optional<std::uint64_t> aRevision, TimePoint aNow);
  // Gives the lease back at the next write; nothing is taken again.
  void Leave() { mIsLeaving = true; }

  bool IsHolder(TimePoint aNow) const;
  // None while the lease has been given back, or is not known.
  const CoordinatorRecord* Holder() const;
  std::uint64_t Fence() const { return mRecord.mFence; }

private:
  bool IsMine() const;

  std::string mName;
  std::string mAddress;
  std::uint64_t mIncarnation;
  std::uint32_t mRank;
  CoordinatorRecord mRecord;
  std::uint64_t mRevision = 0;
  bool mIsKnown = false;
  bool mIsLeaving = false;
  TimePoint mSeenAt{};
  TimePoint mNextWrite{};
  std::optional<Write> mPendingWrite;
  TimePoint mSentAt{};
  // Actions as coordinator end here.
  TimePoint mHeldUntil{};
};

} // namespace sesameway
