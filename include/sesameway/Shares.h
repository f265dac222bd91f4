#pragma once

#include "sesameway/Catalogue.h"
#include "sesameway/Limits.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <variant>
#include <vector>

namespace sesameway {

// The rate limits of all organisations are divided over kSlots slots. Each slot has at
// most one holder at any time. Which slots an organisation's limits are assigned to
// depends only on the organisation's catalogue entry.
inline constexpr std::uint32_t kSlots = 2048;
// Slots with a lower number than this are floor slots, whose holder needs no lease.
inline constexpr std::uint32_t kFloorSlots = 1536;

// Lease of the slots that are not floor slots (leased slots): how long a holder may use
// them after a read of the table that showed it as their holder, counted from before
// the read was sent.
inline constexpr Duration kSlotLease = seconds(45);
// How long a daemon that has seen a holder's mark waits before it frees the holder's
// leased slots: the lease plus the drift of two clocks in that time.
inline constexpr Duration kSlotLeaseExpiry = seconds(47);
// Bounds of the interval between reads of the table, which grows with the fleet.
inline constexpr Duration kMinTableReadInterval = seconds(2);
inline constexpr Duration kMaxTableReadInterval = seconds(15);
// After the store has returned with an older copy, a daemon does not use slots that it
// did not hold before for this long: their holder, whose entry is lost, uses them until
// it has read the table again.
inline constexpr Duration kLostTableWait = kMaxTableReadInterval + seconds(2);
// How long a holder must be missing from the platform's list of VMs before it is marked
// as possibly gone.
inline constexpr Duration kAbsenceTimeout = seconds(5);

inline constexpr std::string_view kShareObject = "limits/shares";

// One daemon's entry in the slot table.
struct SlotHolder
{
  std::string mName;
  std::string mZone;
  std::uint64_t mIncarnation = 0;
  // Nonzero while the holder is suspected to be gone; each marking uses another value.
  std::uint64_t mMark = 0;
  std::vector<std::uint32_t> mSlots;
  bool operator==(const SlotHolder&) const = default;
};

// The assignment of slots to holders. Stored as one object in the platform's store.
struct SlotTable
{
  // Zones in the order in which their first daemon registered. Floor slot n belongs to
  // the zone at index n modulo the number of zones.
  std::vector<std::string> mZones;
  std::map<std::string, SlotHolder, std::less<>> mHolders;
  bool operator==(const SlotTable&) const = default;

  // Returns the slots without a holder in ascending order.
  std::vector<std::uint32_t> Free() const;
};

// Parses the table from TOML. The error says what was expected.
tl::expected<SlotTable, std::string> ParseSlotTable(std::string_view aBody);
std::string FormatSlotTable(const SlotTable& aTable);

// Returns the slots that an organisation's limits are divided over, in ascending order,
// so that floor slots come first.
std::vector<std::uint32_t> SlotsOf(const Organisation& aOrganisation);

// The slots that a daemon may use now.
struct HeldSlots
{
  std::vector<std::uint32_t> mSlots;
  TimePoint mLeaseEnd{};
  // See HeldShare::mSince.
  TimePoint mSince = TimePoint::max();
};
HeldShare ShareOf(const Organisation& aOrganisation, const HeldSlots& aHeld);

// Returns the few daemons that a daemon asks for an organisation's tokens, in order of
// preference: first those that hold slots of the organisation, and among these the ones
// of the daemon's own zone.
std::vector<std::string> FindLenders(const Organisation& aOrganisation,
                                     const SlotTable& aTable,
                                     std::string_view aSelf,
                                     std::string_view aZone);

// Actions that the caller of SlotAllocator::Next must carry out. PauseUntil: call Next
// again at the given time.
struct PauseUntil
{
  TimePoint mUntil;
};
struct ReadTable
{};
// Write the table if the stored version is still the expected one (compare-and-set).
struct WriteTable
{
  std::string mBody;
  std::uint64_t mExpectedVersion = 0;
};
using SlotAllocatorStep = std::variant<PauseUntil, ReadTable, WriteTable>;

// One daemon's part in the allocation of slots: takes free slots, returns surplus ones,
// and frees the leased slots of holders that are gone. Makes one store call at a time.
class SlotAllocator
{
public:
  SlotAllocator(std::string aName, std::string aZone, std::uint64_t aIncarnation);

  // Returns the next action. Slots that it returns to the table are no longer in Held()
  // from this call on.
  SlotAllocatorStep Next(TimePoint aNow);
  // Handles the table returned by a read that was sent at `aSentAt`; version 0 means
  // that there is no table yet.
  void OnTable(SlotTable aTable,
               std::uint64_t aVersion,
               TimePoint aSentAt,
               TimePoint aNow);
  // Handles a store call without an answer. A write may have been applied or may still
  // be.
  void OnNoAnswer(TimePoint aNow);
  // Handles the platform's list of VMs.
  void OnListed(const std::set<std::string>& aNames, TimePoint aNow);
  // Sets the running daemons, as entries without slots. Each write of this daemon adds
  // those that have no entry yet and gives free slots to those that lack some, so that
  // a fleet whose daemons start together needs few writes. Must not be used
  // where daemons return their slots on leaving: a peer that has not yet learned of
  // their end would add them again.
  void SetRunningDaemons(std::vector<SlotHolder> aDaemons);
  // Reports that the previous incarnation of this daemon had ended by `aSince`. Its
  // floor slots are then used before the table shows this incarnation as their holder,
  // which takes seconds when a whole fleet restarts at once.
  void UsePreviousSlots(TimePoint aSince);
  // Starts to return all slots, because the daemon drains.
  void Leave();

  HeldSlots Held() const;
  // Whether another incarnation has taken over this daemon's entry; this one then holds
  // no slots.
  bool IsReplaced() const { return mIsReplaced; }
  bool HasLeft() const { return mHasLeft; }
  const SlotTable& Table() const { return mTable; }

private:
  struct Pool;
  struct MarkSighting
  {
    std::uint64_t mMark = 0;
    TimePoint mSince;
  };
  bool IsMine(const SlotHolder& aHolder) const;
  void Register(SlotTable& aTable) const;
  void AddRunningDaemons(SlotTable& aTable) const;
  void BalanceAll(SlotTable& aTable, const Pool& aPool) const;
  void Balance(SlotTable& aTable, const Pool& aPool, const std::string& aName) const;
  void WaitForPeers(bool aHasEntry, TimePoint aNow);
  void MarkOrFree(SlotTable& aTable, TimePoint aNow) const;
  Duration TurnDelay(const std::string& aHolder) const;
  void BackOff(TimePoint aNow);
  void UsePreviousIfAllowed();
  void OnTableLost(TimePoint aNow);
  void StopUsing(const SlotTable& aWanted);
  Duration ReadInterval() const;
  // Whether this daemon has less than half of an even share of the slots.
  bool LacksSlots() const;

  std::string mName;
  std::string mZone;
  std::uint64_t mIncarnation;
  SlotTable mTable;
  std::uint64_t mVersion = 0;
  // The table in the last write until its outcome is known.
  std::optional<SlotTable> mWritten;
  // Number of consecutive writes that failed because another daemon wrote first.
  int mLostWrites = 0;
  // Number of consecutive calls without an answer.
  int mNoAnswers = 0;
  bool mHasTable = false;
  // Whether the current version of the table needed no change.
  bool mIsSettled = false;
  bool mWantsRead = true;
  bool mIsRegistered = false;
  // Time by which the previous incarnation had ended; TimePoint::max() if unknown.
  TimePoint mPreviousEnd = TimePoint::max();
  // Whether mUsable holds the floor slots of the previous incarnation.
  bool mIsUsingPrevious = false;
  // Whether the one pause before the first write, which lets peer daemons write first,
  // has begun.
  bool mHasWaited = false;
  bool mIsReplaced = false;
  bool mIsLeaving = false;
  bool mHasLeft = false;
  TimePoint mNextRead{};
  TimePoint mPauseUntil{};
  TimePoint mLeaseEnd{};
  std::vector<std::uint32_t> mUsable;
  // Returned slots whose write may still take effect, with the version that the write
  // expects.
  std::map<std::uint32_t, std::uint64_t> mHandedBack;
  // Until this time only the slots in mKept are used; see kLostTableWait.
  TimePoint mKeptUntil{};
  std::set<std::uint32_t> mKept;
  std::vector<SlotHolder> mRunningDaemons;
  bool mAddsRunningDaemons = false;
  std::map<std::string, TimePoint> mAbsentSince;
  std::map<std::string, MarkSighting> mMarkSeen;
};

} // namespace sesameway
