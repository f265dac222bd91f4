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

// The limits of all organisations are divided over kSlots slots. A slot has at most one
// holder at any instant; which slots carry an organisation's limits depends on the
// organisation's entry alone.
inline constexpr std::uint32_t kSlots = 2048;
// The slots below this one are floor slots: their holder needs no lease.
inline constexpr std::uint32_t kFloorSlots = 1536;

// How long a holder may use leased slots after a read of the table that showed them as
// its own, counted from before the read was sent.
inline constexpr Duration kSlotLease = seconds(45);
// How long a reassigner waits after it saw the mark: the lease and what two clocks may
// differ in that time.
inline constexpr Duration kSlotLeaseWait = seconds(47);
// How often the table is read: grows with the fleet between these two.
inline constexpr Duration kMinTableReadInterval = seconds(2);
inline constexpr Duration kMaxTableReadInterval = seconds(15);
// How long the platform's list must lack a holder before it is marked.
inline constexpr Duration kAbsenceWait = seconds(5);

inline constexpr std::string_view kShareObject = "limits/shares";

// One daemon's entry in the table.
struct SlotHolder
{
  std::string mName;
  std::string mZone;
  std::uint64_t mIncarnation = 0;
  // Differs at each marking; 0 when the holder is not suspected to be gone.
  std::uint64_t mMark = 0;
  std::vector<std::uint32_t> mSlots;
  bool operator==(const SlotHolder&) const = default;
};

// Who holds which slot. Kept as one object in the platform's store.
struct SlotTable
{
  // In the order of their first daemon; a floor slot's zone is its number modulo these.
  std::vector<std::string> mZones;
  std::map<std::string, SlotHolder, std::less<>> mHolders;
  bool operator==(const SlotTable&) const = default;

  // Slots without a holder, ascending.
  std::vector<std::uint32_t> Free() const;
};

// TOML. The error says what was expected.
tl::expected<SlotTable, std::string> ParseSlotTable(std::string_view aBody);
std::string FormatSlotTable(const SlotTable& aTable);

// The slots that carry an organisation's limits, floor slots first, ascending each.
std::vector<std::uint32_t> SlotsOf(const Organisation& aOrganisation);

// Which slots a daemon may use now.
struct HeldSlots
{
  std::vector<std::uint32_t> mSlots;
  TimePoint mLeaseEnd{};
  // See HeldShare.
  TimePoint mSince = TimePoint::max();
};
HeldShare ShareOf(const Organisation& aOrganisation, const HeldSlots& aHeld);

// Whom a daemon asks for an organisation's tokens: a few, those that hold some of its
// slots and those of the daemon's own zone first.
std::vector<std::string> FindLenders(const Organisation& aOrganisation,
                                     const SlotTable& aTable,
                                     std::string_view aSelf,
                                     std::string_view aZone);

// What the ledger wants done.
struct PauseUntil
{
  TimePoint mUntil;
};
struct ReadTable
{};
// Conditional on the version.
struct WriteTable
{
  std::string mBody;
  std::uint64_t mExpectedVersion = 0;
};
using SlotAllocatorStep = std::variant<PauseUntil, ReadTable, WriteTable>;

// One daemon's part in dividing the slots: takes free ones, hands back surplus ones,
// and frees the leased slots of holders that are gone. One call to the store at a time.
class SlotAllocator
{
public:
  SlotAllocator(std::string aName, std::string aZone, std::uint64_t aIncarnation);

  // Slots that the step hands back are out of Held() from here on.
  SlotAllocatorStep Next(TimePoint aNow);
  // The table as a read sent at `aSentAt` found it; version 0: there is none.
  void OnTable(SlotTable aTable,
               std::uint64_t aVersion,
               TimePoint aSentAt,
               TimePoint aNow);
  // The write may have had its effect, or may have it later.
  void OnNoAnswer(TimePoint aNow);
  // The platform's list of VMs.
  void OnListed(const std::set<std::string>& aNames, TimePoint aNow);
  // Daemons that run, as entries without slots: a write enters those that have none yet
  // and gives free slots to those that lack some, so that a fleet that starts at once
  // needs few writes. Not for daemons that hand their slots back, as a fellow that has
  // not heard of their end would enter them again.
  void SetRunningDaemons(std::vector<SlotHolder> aFellows);
  // An earlier incarnation of this daemon has certainly ended: its floor slots are used
  // before the table shows this one as their holder. Where a whole fleet restarts at
  // once that takes seconds. `aSince`: a time by which it had ended.
  void UsePreviousSlots(TimePoint aSince);
  // Hands everything back; the daemon drains.
  void Leave();

  HeldSlots Held() const;
  // Another incarnation has this daemon's entry: it holds nothing any more.
  bool IsReplaced() const { return mIsReplaced; }
  bool HasLeft() const { return mHasLeft; }
  const SlotTable& Table() const { return mTable; }

private:
  struct Pool;
  struct Sight
  {
    std::uint64_t mMark = 0;
    TimePoint mSince;
  };
  bool IsMine(const SlotHolder& aHolder) const;
  void Register(SlotTable& aTable) const;
  void EnterFellows(SlotTable& aTable) const;
  void BalanceAll(SlotTable& aTable, const Pool& aPool) const;
  void Balance(SlotTable& aTable, const Pool& aPool, const std::string& aName) const;
  void WaitForFellows(bool aHasEntry, TimePoint aNow);
  void Watch(SlotTable& aTable, TimePoint aNow) const;
  Duration TurnDelay(const std::string& aHolder) const;
  void BackOff(TimePoint aNow);
  void UseFormerIfAllowed();
  void StopUsing(const SlotTable& aWanted);
  Duration ReadInterval() const;
  // Whether it has far less than an even share.
  bool LacksSlots() const;

  std::string mName;
  std::string mZone;
  std::uint64_t mIncarnation;
  SlotTable mTable;
  std::uint64_t mVersion = 0;
  // What was written last, until its answer comes.
  std::optional<SlotTable> mWritten;
  // How often in a row others wrote first.
  int mBeaten = 0;
  bool mIsKnown = false;
  // Nothing was to be done about this version of the table.
  bool mIsSettled = false;
  bool mWantsRead = true;
  bool mIsRegistered = false;
  // TimePoint::max(): there may be a former one.
  TimePoint mFormerEnd = TimePoint::max();
  // What may be used are the former one's floor slots.
  bool mIsUsingFormer = false;
  // Before its first write it has let fellows come, and write for it.
  bool mHasWaited = false;
  bool mIsReplaced = false;
  bool mIsLeaving = false;
  bool mHasLeft = false;
  TimePoint mNextRead{};
  TimePoint mPauseUntil{};
  TimePoint mLeaseEnd{};
  std::vector<std::uint32_t> mUsable;
  // Slots of a hand-back that may still take effect, and the version it depends on.
  std::map<std::uint32_t, std::uint64_t> mHandedBack;
  std::vector<SlotHolder> mFellows;
  bool mEntersFellows = false;
  std::map<std::string, TimePoint> mAbsentSince;
  std::map<std::string, Sight> mMarkSeen;
};

} // namespace sesameway
