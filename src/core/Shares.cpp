#include "sesameway/Shares.h"

#include "sesameway/LinkedPeers.h"
#include "sesameway/StoreRevision.h"

#include <toml++/toml.h>
#include <xxhash.h>

#include <algorithm>
#include <bit>
#include <functional>
#include <sstream>
#include <tuple>

namespace sesameway {

namespace {

constexpr std::uint32_t kLeasedSlots = kSlots - kFloorSlots;
// Minimum part of an organisation's burst per slot, so that the buckets made of slots
// hold whole tokens.
constexpr double kMinTokensPerSlot = 2;
constexpr std::uint32_t kFloorParts = 3;
constexpr std::uint32_t kParts = 4;
// Enough lenders to find spare tokens, and few enough to ask while a statement waits.
constexpr std::size_t kMaxLenders = 12;
// How many of them may hold no slot of the organisation in the table known, if others
// do. They may have taken one since, but mostly they are asked in vain.
constexpr std::size_t kMaxLendersWithoutSlot = 3;
constexpr Duration kTurnSpacing = seconds(1);
constexpr std::int64_t kReadsPerSecond = 5;
// Pause after a call without an answer. It doubles with each up to the limit while this
// daemon has an entry, so that a fleet that the store turns away asks rarely.
constexpr Duration kNoAnswerPause = seconds(1);
constexpr Duration kNoAnswerLimit = seconds(4);
constexpr Duration kFirstBackOff = milliseconds(10);
constexpr int kMaxDoublings = 10;
constexpr std::int64_t kBackOffParts = 1024;
// Wait before the first write of a daemon without an entry. By then all daemons of a
// fleet that starts at once are known, so that the first write can add all of them.
constexpr Duration kEntryWait = milliseconds(1500);
// Interval between the first writes of two daemons; a read between regions takes about
// 50 ms.
constexpr Duration kEntryTurn = milliseconds(20);
// The same interval for restarted daemons, long enough for a read and a write. They use
// their previous floor slots in the meantime.
constexpr Duration kReentryTurn = milliseconds(200);

std::uint64_t HashOf(std::string_view aText, std::uint64_t aSeed)
{
  return XXH3_64bits_withSeed(aText.data(), aText.size(), aSeed);
}

bool IsFloor(std::uint32_t aSlot)
{
  return aSlot < kFloorSlots;
}

// Strides close to the number of slots divided by the golden ratio, and coprime with
// that number, so that consecutive steps are spread evenly over ranges of slots and
// over zones.
constexpr std::uint64_t kFloorStride = 949;
constexpr std::uint64_t kLeasedStride = 317;

// Returns the part of `aTotal` that `aHeld` of `aSlots` slots carry, rounded down per
// slot.
NanoTokens PartOf(double aTotal, std::size_t aHeld, std::size_t aSlots)
{
  auto each = static_cast<NanoTokens>(aTotal * static_cast<double>(kOneToken)) /
              static_cast<NanoTokens>(aSlots);
  return each * static_cast<NanoTokens>(aHeld);
}

} // namespace

std::vector<std::uint32_t> SlotTable::Free() const
{
  std::vector<bool> isHeld(kSlots);
  for (const auto& it : mHolders) {
    for (auto slot : it.second.mSlots) {
      isHeld[slot] = true;
    }
  }
  std::vector<std::uint32_t> slots;
  for (std::uint32_t n = 0; n < kSlots; ++n) {
    if (!isHeld[n]) {
      slots.push_back(n);
    }
  }
  return slots;
}

tl::expected<SlotTable, std::string> ParseSlotTable(std::string_view aBody)
{
  SlotTable to;
  toml::table table;
  try {
    table = toml::parse(aBody);
  } catch (const toml::parse_error& error) {
    return tl::unexpected(std::string(error.description()));
  }
  if (const auto* zones = table["zones"].as_array()) {
    for (const auto& it : *zones) {
      to.mZones.push_back(it.value_or(std::string()));
    }
  }
  const auto* holders = table["holder"].as_array();
  if (!holders) {
    return to;
  }
  std::vector<bool> isHeld(kSlots);
  for (const auto& it : *holders) {
    const auto* entry = it.as_table();
    if (!entry) {
      return tl::unexpected(std::string("holder: expected an array of tables"));
    }
    SlotHolder holder;
    holder.mName = (*entry)["name"].value_or(std::string());
    holder.mZone = (*entry)["zone"].value_or(std::string());
    holder.mIncarnation =
      static_cast<std::uint64_t>((*entry)["incarnation"].value_or(std::int64_t{ 0 }));
    holder.mMark =
      static_cast<std::uint64_t>((*entry)["mark"].value_or(std::int64_t{ 0 }));
    if (const auto* slots = (*entry)["slots"].as_array()) {
      for (const auto& number : *slots) {
        auto slot = number.value_or(std::int64_t{ -1 });
        bool isValid = slot >= 0 && slot < std::int64_t{ kSlots } && !isHeld[slot];
        if (!isValid) {
          return tl::unexpected(std::string(
            "slots: expected slot numbers below the limit, each at most once"));
        }
        isHeld[slot] = true;
        holder.mSlots.push_back(static_cast<std::uint32_t>(slot));
      }
    }
    to.mHolders[holder.mName] = std::move(holder);
  }
  return to;
}

// Formatted by hand because the TOML library's layout takes twice the bytes, and every
// daemon reads the table repeatedly.
std::string FormatSlotTable(const SlotTable& aTable)
{
  std::ostringstream text;
  text << "zones=[";
  for (const auto& it : aTable.mZones) {
    text << toml::value<std::string>(it) << ',';
  }
  text << "]\n";
  for (const auto& it : aTable.mHolders) {
    const auto& holder = it.second;
    text << "[[holder]]\nname=" << toml::value<std::string>(holder.mName)
         << "\nzone=" << toml::value<std::string>(holder.mZone)
         << "\nincarnation=" << static_cast<std::int64_t>(holder.mIncarnation)
         << "\nmark=" << holder.mMark << "\nslots=[";
    for (auto slot : holder.mSlots) {
      text << slot << ',';
    }
    text << "]\n";
  }
  return text.str();
}

// The number of slots is a power of two, so that a small change of the burst leaves the
// slots unchanged.
std::vector<std::uint32_t> SlotsOf(const Organisation& aOrganisation)
{
  auto most = static_cast<std::uint32_t>(
    std::clamp(aOrganisation.mBurst / kMinTokensPerSlot, 1.0, double{ kSlots }));
  std::uint32_t count = std::bit_floor(most);
  std::uint32_t floors = std::max(1u, count * kFloorParts / kParts);
  std::vector<std::uint32_t> slots;
  auto start = HashOf(aOrganisation.mName, 0);
  for (std::uint64_t n = 0; n < count; ++n) {
    auto slot = n < floors ? (start + n * kFloorStride) % kFloorSlots
                           : kFloorSlots + (start + n * kLeasedStride) % kLeasedSlots;
    slots.push_back(static_cast<std::uint32_t>(slot));
  }
  std::sort(slots.begin(), slots.end());
  return slots;
}

HeldShare ShareOf(const Organisation& aOrganisation, const HeldSlots& aHeld)
{
  auto slots = SlotsOf(aOrganisation);
  std::size_t floors = 0;
  std::size_t leased = 0;
  for (auto it : aHeld.mSlots) {
    bool isCarried = std::binary_search(slots.begin(), slots.end(), it);
    floors += isCarried && IsFloor(it) ? 1 : 0;
    leased += isCarried && !IsFloor(it) ? 1 : 0;
  }
  auto part = [&](std::size_t aCount) {
    return Share{ PartOf(aOrganisation.mRate, aCount, slots.size()),
                  PartOf(aOrganisation.mBurst, aCount, slots.size()) };
  };
  return { part(floors), part(leased), aHeld.mLeaseEnd, aHeld.mSince };
}

std::vector<std::string> FindLenders(const Organisation& aOrganisation,
                                     const SlotTable& aTable,
                                     std::string_view aSelf,
                                     std::string_view aZone)
{
  struct Lender
  {
    bool mHasNone = false;
    bool mIsFar = false;
    std::uint64_t mRank = 0;
    std::string mName;
  };
  auto slots = SlotsOf(aOrganisation);
  std::vector<Lender> lenders;
  for (const auto& it : aTable.mHolders) {
    const auto& held = it.second.mSlots;
    bool hasSome = std::any_of(held.begin(), held.end(), [&](std::uint32_t aSlot) {
      return std::binary_search(slots.begin(), slots.end(), aSlot);
    });
    if (it.first != aSelf) {
      // The ranking differs for each asking daemon, so that requests spread over all
      // lenders. Daemons without a slot of the organisation come last instead of being
      // left out, as they may have taken one since this table was read.
      auto rank = PeerRank(aSelf, it.first);
      lenders.push_back({ !hasSome, it.second.mZone != aZone, rank, it.first });
    }
  }
  std::sort(
    lenders.begin(), lenders.end(), [](const Lender& aLeft, const Lender& aRight) {
      return std::tie(aLeft.mHasNone, aLeft.mIsFar, aLeft.mRank) <
             std::tie(aRight.mHasNone, aRight.mIsFar, aRight.mRank);
    });
  std::vector<std::string> names;
  auto withSlot = static_cast<std::size_t>(std::count_if(
    lenders.begin(), lenders.end(), [](const Lender& aIt) { return !aIt.mHasNone; }));
  auto most = withSlot == 0 ? kMaxLenders
                            : std::min(kMaxLenders, withSlot + kMaxLendersWithoutSlot);
  for (std::size_t n = 0; n < std::min(most, lenders.size()); ++n) {
    names.push_back(std::move(lenders[n].mName));
  }
  return names;
}

// A set of slots that is divided evenly among a set of holders.
struct SlotAllocator::Pool
{
  // Whether a slot belongs to the pool.
  std::function<bool(std::uint32_t)> mHas;
  // Whether a holder takes part in the pool.
  std::function<bool(const SlotHolder&)> mServes;
};

SlotAllocator::SlotAllocator(std::string aName,
                             std::string aZone,
                             std::uint64_t aIncarnation)
  : mName(std::move(aName))
  , mZone(std::move(aZone))
  , mIncarnation(aIncarnation)
{
}

bool SlotAllocator::IsMine(const SlotHolder& aHolder) const
{
  return aHolder.mName == mName && aHolder.mIncarnation == mIncarnation;
}

SlotAllocatorStep SlotAllocator::Next(TimePoint aNow)
{
  if (mIsReplaced || mHasLeft) {
    return PauseUntil{ TimePoint::max() };
  }
  if (aNow < mPauseUntil) {
    return PauseUntil{ mPauseUntil };
  }
  if (mWantsRead || aNow >= mNextRead) {
    mWantsRead = true;
    return ReadTable{};
  }
  bool isQuiet = mIsSettled && !mIsLeaving && mAbsentSince.empty() && mMarkSeen.empty();
  if (isQuiet) {
    return PauseUntil{ mNextRead };
  }
  auto wanted = mTable;
  if (mIsLeaving) {
    wanted.mHolders.erase(mName);
  } else {
    Register(wanted);
    AddRunningDaemons(wanted);
    MarkOrFree(wanted, aNow);
    for (std::uint32_t zone = 0; zone < wanted.mZones.size(); ++zone) {
      auto count = wanted.mZones.size();
      BalanceAll(
        wanted,
        { [=](std::uint32_t aSlot) { return IsFloor(aSlot) && aSlot % count == zone; },
          [name = wanted.mZones[zone]](const SlotHolder& aHolder) {
            return aHolder.mZone == name;
          } });
    }
    BalanceAll(wanted,
               { [](std::uint32_t aSlot) { return !IsFloor(aSlot); },
                 [](const SlotHolder&) { return true; } });
  }
  mIsSettled = wanted == mTable;
  if (mIsSettled) {
    return PauseUntil{ mNextRead };
  }
  StopUsing(wanted);
  mWritten = std::move(wanted);
  return WriteTable{ FormatSlotTable(*mWritten), mVersion };
}

void SlotAllocator::Register(SlotTable& aTable) const
{
  if (std::find(aTable.mZones.begin(), aTable.mZones.end(), mZone) ==
      aTable.mZones.end()) {
    aTable.mZones.push_back(mZone);
  }
  // An earlier incarnation must have ended, since this one listens at its address, so
  // its slots are taken over.
  auto& holder = aTable.mHolders[mName];
  holder.mName = mName;
  holder.mZone = mZone;
  holder.mIncarnation = mIncarnation;
  holder.mMark = 0;
}

// Daemons that already have an entry, even of an earlier incarnation, update it
// themselves.
void SlotAllocator::AddRunningDaemons(SlotTable& aTable) const
{
  for (const auto& it : mRunningDaemons) {
    bool isNew = it.mName != mName && aTable.mHolders.count(it.mName) == 0;
    if (!isNew) {
      continue;
    }
    if (std::find(aTable.mZones.begin(), aTable.mZones.end(), it.mZone) ==
        aTable.mZones.end()) {
      aTable.mZones.push_back(it.mZone);
    }
    aTable.mHolders[it.mName] = { it.mName, it.mZone, it.mIncarnation, 0, {} };
  }
}

void SlotAllocator::BalanceAll(SlotTable& aTable, const Pool& aPool) const
{
  // The second round gives out the remainder of an uneven division, which is possible
  // only once no daemon lacks a slot.
  constexpr int kRounds = 2;
  for (int n = 0; n < kRounds; ++n) {
    Balance(aTable, aPool, mName);
    for (const auto& it : mRunningDaemons) {
      auto holder = aTable.mHolders.find(it.mName);
      bool isEntered = holder != aTable.mHolders.end() && holder->second.mMark == 0;
      if (isEntered && it.mName != mName) {
        Balance(aTable, aPool, it.mName);
      }
    }
  }
}

// Balances one holder's slots: returns those above the even share, takes free slots up
// to the even share, and returns one if the other holders lack more slots than are
// free. For another daemon, free slots can be taken but none returned.
void SlotAllocator::Balance(SlotTable& aTable,
                            const Pool& aPool,
                            const std::string& aName) const
{
  bool isOwn = aName == mName;
  struct Count
  {
    std::string mName;
    std::size_t mSlots = 0;
  };
  std::vector<Count> counts;
  std::size_t unavailable = 0;
  for (const auto& it : aTable.mHolders) {
    const auto& slots = it.second.mSlots;
    auto held =
      static_cast<std::size_t>(std::count_if(slots.begin(), slots.end(), aPool.mHas));
    bool shares = it.second.mMark == 0 && aPool.mServes(it.second);
    if (shares) {
      counts.push_back({ it.first, held });
    } else if (it.second.mMark != 0) {
      unavailable += held;
    }
  }
  auto& holder = aTable.mHolders[aName];
  std::vector<std::uint32_t> free;
  std::size_t size = 0;
  for (std::uint32_t n = 0; n < kSlots; ++n) {
    size += aPool.mHas(n) ? 1 : 0;
  }
  for (auto it : aTable.Free()) {
    if (aPool.mHas(it)) {
      free.push_back(it);
    }
  }
  auto drop = [&](std::size_t aCount) {
    auto& slots = holder.mSlots;
    for (auto it = slots.end(); isOwn && it != slots.begin() && aCount > 0;) {
      --it;
      if (aPool.mHas(*it)) {
        it = slots.erase(it);
        --aCount;
      }
    }
  };
  if (!aPool.mServes(holder)) {
    drop(kSlots);
    return;
  }
  auto spare = free.size();
  std::size_t low = (size - unavailable) / counts.size();
  std::size_t high = (size - unavailable + counts.size() - 1) / counts.size();
  std::size_t held = 0;
  std::size_t lacking = 0;
  std::size_t lackingElsewhere = 0;
  for (const auto& it : counts) {
    auto missing = it.mSlots < low ? low - it.mSlots : 0;
    lacking += missing;
    lackingElsewhere += it.mName == aName ? 0 : missing;
    held = it.mName == aName ? it.mSlots : held;
  }
  if (held > high) {
    drop(held - high);
    return;
  }
  std::size_t wanted = held < low ? low - held : 0;
  if (held == low && high > low && spare > lackingElsewhere) {
    wanted = 1;
  }
  free.resize(std::min(wanted, free.size()));
  holder.mSlots.insert(holder.mSlots.end(), free.begin(), free.end());
  std::sort(holder.mSlots.begin(), holder.mSlots.end());
  if (held > low && lacking > spare) {
    // As many holders as needed, in order of name, return one slot each.
    std::size_t before = 0;
    for (const auto& it : counts) {
      before += it.mSlots > low && it.mName < aName ? 1 : 0;
    }
    if (before < lacking - spare) {
      drop(1);
    }
  }
}

// A VM that is missing from the platform's list may only be disconnected, so a missing
// holder is marked first. The holder stops using its leased slots at the latest one
// lease after its last read without the mark; a daemon that has seen the mark for
// longer than that may free them. Floor slots are never freed this way.
void SlotAllocator::MarkOrFree(SlotTable& aTable, TimePoint aNow) const
{
  for (auto& it : aTable.mHolders) {
    auto& holder = it.second;
    auto absent = mAbsentSince.find(it.first);
    auto seen = mMarkSeen.find(it.first);
    auto turn = TurnDelay(it.first);
    if (holder.mMark == 0) {
      bool isGone =
        absent != mAbsentSince.end() && aNow >= absent->second + kAbsenceTimeout + turn;
      holder.mMark = isGone ? mVersion + 1 : 0;
      continue;
    }
    bool isOver = seen != mMarkSeen.end() && seen->second.mMark == holder.mMark &&
                  aNow >= seen->second.mSince + kSlotLeaseExpiry + turn;
    if (isOver) {
      std::erase_if(holder.mSlots, [](std::uint32_t aSlot) { return !IsFloor(aSlot); });
    }
  }
}

// Staggers the daemons' attempts to change a holder, so that they don't all write at
// once.
Duration SlotAllocator::TurnDelay(const std::string& aHolder) const
{
  auto mine = HashOf(mName, HashOf(aHolder, 0));
  std::int64_t before = 0;
  for (const auto& it : mTable.mHolders) {
    bool isActive = it.second.mMark == 0 && it.first != aHolder;
    before += isActive && HashOf(it.first, HashOf(aHolder, 0)) < mine ? 1 : 0;
  }
  return kTurnSpacing * before;
}

// Slots to be returned are out of use before the write is sent and for as long as it
// may still take effect.
void SlotAllocator::StopUsing(const SlotTable& aWanted)
{
  std::vector<std::uint32_t> kept;
  auto it = aWanted.mHolders.find(mName);
  for (auto slot : mUsable) {
    bool isKept =
      it != aWanted.mHolders.end() &&
      std::binary_search(it->second.mSlots.begin(), it->second.mSlots.end(), slot);
    if (isKept) {
      kept.push_back(slot);
    } else {
      mHandedBack[slot] = mVersion;
    }
  }
  mUsable = std::move(kept);
}

void SlotAllocator::OnTable(SlotTable aTable,
                            std::uint64_t aVersion,
                            TimePoint aSentAt,
                            TimePoint aNow)
{
  if (mHasTable && aVersion < mVersion) {
    return;
  }
  if (mHasTable && GenerationOf(aVersion) > GenerationOf(mVersion)) {
    OnTableLost(aNow);
  }
  mIsSettled = mIsSettled && aVersion == mVersion;
  mHasTable = true;
  mNoAnswers = 0;
  mWantsRead = false;
  mTable = std::move(aTable);
  mVersion = aVersion;
  std::erase_if(mHandedBack,
                [&](const auto& aEntry) { return aEntry.second < mVersion; });
  mUsable.clear();
  auto mine = mTable.mHolders.find(mName);
  bool isMine = mine != mTable.mHolders.end() && IsMine(mine->second);
  if (isMine) {
    mIsRegistered = true;
    for (auto slot : mine->second.mSlots) {
      bool isAllowed = aNow >= mKeptUntil || mKept.count(slot) != 0;
      if (mHandedBack.count(slot) == 0 && isAllowed) {
        mUsable.push_back(slot);
      }
    }
    if (mine->second.mMark == 0) {
      mLeaseEnd = std::max(mLeaseEnd, aSentAt + kSlotLease);
    }
  } else if (mIsRegistered && mine != mTable.mHolders.end()) {
    mIsReplaced = true;
  }
  UsePreviousIfAllowed();
  mHasLeft = mIsLeaving && !isMine;
  std::erase_if(mMarkSeen, [&](const auto& aEntry) {
    auto it = mTable.mHolders.find(aEntry.first);
    return it == mTable.mHolders.end() || it->second.mMark != aEntry.second.mMark;
  });
  for (const auto& it : mTable.mHolders) {
    if (it.second.mMark != 0) {
      mMarkSeen.try_emplace(it.first, MarkSighting{ it.second.mMark, aNow });
    }
  }
  mNextRead = aNow + ReadInterval();
  BackOff(aNow);
  if (!isMine) {
    WaitForPeers(mine != mTable.mHolders.end(), aNow);
  }
}

// The table in the store is older than the one that this daemon has seen. Its own entry
// may be missing, or be that of its previous incarnation.
void SlotAllocator::OnTableLost(TimePoint aNow)
{
  mKept = std::set<std::uint32_t>(mUsable.begin(), mUsable.end());
  mKeptUntil = aNow + kLostTableWait;
  mIsRegistered = false;
  // Slots of the previous incarnation may have gone to others since.
  mPreviousEnd = TimePoint::max();
  mWritten.reset();
}

void SlotAllocator::SetRunningDaemons(std::vector<SlotHolder> aDaemons)
{
  mRunningDaemons = std::move(aDaemons);
  mAddsRunningDaemons = true;
}

// Pauses once, before the first write: a peer's write may make this one's unnecessary.
void SlotAllocator::WaitForPeers(bool aHasEntry, TimePoint aNow)
{
  if (mHasWaited || !mAddsRunningDaemons) {
    return;
  }
  mHasWaited = true;
  auto before = std::count_if(
    mRunningDaemons.begin(), mRunningDaemons.end(), [this](const SlotHolder& aIt) {
      return HashOf(aIt.mName, 0) < HashOf(mName, 0);
    });
  auto wait = aHasEntry ? kReentryTurn * before : kEntryWait + kEntryTurn * before;
  mPauseUntil = aNow + wait;
  mWantsRead = true;
}

// Exponential backoff with a per-daemon jitter after another daemon wrote first, so
// that a fleet that starts at once doesn't overload the store.
void SlotAllocator::BackOff(TimePoint aNow)
{
  bool hasLost = mWritten && *mWritten != mTable;
  if (!hasLost) {
    mLostWrites = mWritten ? 0 : mLostWrites;
    mWritten.reset();
    return;
  }
  mWritten.reset();
  mLostWrites = std::min(mLostWrites + 1, kMaxDoublings);
  auto longest = kFirstBackOff * (1 << mLostWrites);
  auto part = static_cast<std::int64_t>(HashOf(mName, mVersion) % kBackOffParts);
  mPauseUntil = aNow + longest * part / kBackOffParts;
  mWantsRead = true;
}

bool SlotAllocator::LacksSlots() const
{
  return mUsable.size() * mTable.mHolders.size() * 2 < kSlots;
}

// Keeps the reads of a growing fleet at kReadsPerSecond in total. Daemons that wait for
// others to return surplus slots read at the minimum interval instead.
Duration SlotAllocator::ReadInterval() const
{
  if (mAddsRunningDaemons && LacksSlots()) {
    return kMinTableReadInterval;
  }
  auto holders = static_cast<std::int64_t>(mTable.mHolders.size());
  return std::clamp<Duration>(
    seconds(holders) / kReadsPerSecond, kMinTableReadInterval, kMaxTableReadInterval);
}

void SlotAllocator::UsePreviousSlots(TimePoint aSince)
{
  mPreviousEnd = aSince;
  UsePreviousIfAllowed();
}

// Uses only floor slots, because the lease of the previous incarnation is unknown.
void SlotAllocator::UsePreviousIfAllowed()
{
  auto previous = mTable.mHolders.find(mName);
  bool isOver = mIsRegistered || mIsLeaving || previous == mTable.mHolders.end();
  mIsUsingPrevious = !isOver && mPreviousEnd != TimePoint::max();
  if (!mIsUsingPrevious) {
    return;
  }
  mUsable.clear();
  std::copy_if(previous->second.mSlots.begin(),
               previous->second.mSlots.end(),
               std::back_inserter(mUsable),
               IsFloor);
}

void SlotAllocator::OnNoAnswer(TimePoint aNow)
{
  mWritten.reset();
  mWantsRead = true;
  mPauseUntil = aNow + ExponentialBackoff(kNoAnswerPause, mNoAnswers, kNoAnswerLimit);
  mNoAnswers += mIsRegistered ? 1 : 0;
}

void SlotAllocator::OnListed(const std::set<std::string>& aNames, TimePoint aNow)
{
  for (const auto& it : mTable.mHolders) {
    if (it.first == mName || aNames.count(it.first) > 0) {
      mAbsentSince.erase(it.first);
    } else {
      mAbsentSince.try_emplace(it.first, aNow);
    }
  }
}

void SlotAllocator::Leave()
{
  mIsLeaving = true;
}

HeldSlots SlotAllocator::Held() const
{
  if (mIsReplaced) {
    return {};
  }
  return { mUsable, mLeaseEnd, mIsUsingPrevious ? mPreviousEnd : TimePoint::max() };
}

} // namespace sesameway
