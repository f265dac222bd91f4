#include "sesameway/Leadership.h"

#include <algorithm>
#include <sstream>
#include <toml++/toml.h>
#include <tuple>

namespace sesameway {

namespace {

// Delay between the attempts of two daemons of adjacent ranks to take the lease.
constexpr Duration kRankStep = milliseconds(150);
// Pause after a write that was lost or rejected.
constexpr Duration kWritePause = milliseconds(300);
// How often the time that lost leases have been waited out is recorded.
constexpr Duration kWaitRecordInterval = milliseconds(1000);
// The fencing tokens of a generation of the store start at its number shifted by this,
// so that they exceed all tokens of earlier generations, whose records may be lost.
constexpr int kFenceBits = 40;

std::string TextIn(const toml::table& aTable, const char* aKey)
{
  return aTable[aKey].value_or(std::string());
}

std::uint64_t NumberIn(const toml::table& aTable, const char* aKey)
{
  auto number = aTable[aKey].value_or<std::int64_t>(0);
  return number < 0 ? 0 : static_cast<std::uint64_t>(number);
}

std::string Format(const toml::table& aTable)
{
  std::ostringstream text;
  text << aTable << '\n';
  return text.str();
}

std::int64_t Signed(std::uint64_t aNumber)
{
  return static_cast<std::int64_t>(aNumber);
}

// Whether the record was written before the other one. A coordinator writes its first
// record of a generation only after all that was begun in the earlier one is over.
bool IsOlder(const GroupRecord& aRecord, const GroupRecord& aOther)
{
  auto order = [](const GroupRecord& aIt) {
    return std::tuple(aIt.mGeneration,
                      aIt.mChange,
                      aIt.mPhase == GroupPhase::Serving,
                      aIt.mTargetSequence);
  };
  return order(aRecord) < order(aOther);
}

tl::expected<toml::table, std::string> Parse(std::string_view aBody)
{
  try {
    return toml::parse(aBody);
  } catch (const toml::parse_error& error) {
    return tl::unexpected(std::string(error.description()));
  }
}

} // namespace

tl::expected<GroupRecord, std::string> ParseGroupRecord(std::string_view aBody)
{
  auto table = Parse(aBody);
  if (!table) {
    return tl::unexpected(table.error());
  }
  auto phase = kGroupPhaseNames.Find(TextIn(*table, "phase"));
  GroupRecord record;
  record.mGroup = TextIn(*table, "group");
  record.mChange = NumberIn(*table, "change");
  if (!phase || record.mGroup.empty() || record.mChange == 0) {
    return tl::unexpected(std::string("a group, a phase and a change above 0"));
  }
  record.mPhase = *phase;
  record.mTerm = NumberIn(*table, "term");
  record.mPrimary = TextIn(*table, "primary");
  record.mTarget = TextIn(*table, "target");
  record.mFence = NumberIn(*table, "fence");
  record.mTargetSequence = NumberIn(*table, "naming");
  record.mIsOrderOpen = (*table)["order_open"].value_or(false);
  record.mGeneration = NumberIn(*table, "generation");
  record.mTakenOverAt = { NumberIn(*table, "taken_over_term"),
                          NumberIn(*table, "taken_over_position") };
  return record;
}

std::string FormatGroupRecord(const GroupRecord& aRecord)
{
  return Format(toml::table{
    { "group", aRecord.mGroup },
    { "phase", std::string(kGroupPhaseNames.Name(aRecord.mPhase)) },
    { "change", Signed(aRecord.mChange) },
    { "term", Signed(aRecord.mTerm) },
    { "primary", aRecord.mPrimary },
    { "target", aRecord.mTarget },
    { "fence", Signed(aRecord.mFence) },
    { "naming", Signed(aRecord.mTargetSequence) },
    { "order_open", aRecord.mIsOrderOpen },
    { "generation", Signed(aRecord.mGeneration) },
    { "taken_over_term", Signed(aRecord.mTakenOverAt.mTerm) },
    { "taken_over_position", Signed(aRecord.mTakenOverAt.mPosition) },
  });
}

bool Leadership::OnRecord(const GroupRecord& aRecord, std::uint64_t aRevision)
{
  if (aRevision <= mRevision) {
    return false;
  }
  mRevision = aRevision;
  mIsRemoved = false;
  mIsLostInStore = IsOlder(aRecord, mRecord);
  if (!mIsLostInStore) {
    mRecord = aRecord;
  }
  return true;
}

void Leadership::OnRemoved(std::uint64_t aRevision)
{
  if (aRevision <= mRevision || mRevision == 0) {
    return;
  }
  mRevision = aRevision;
  mIsRemoved = true;
  mIsLostInStore = true;
}

void Leadership::StandDown(std::uint64_t aChange)
{
  mStoodDown = std::max(mStoodDown, aChange);
}

bool Leadership::IsPrimaryUsable(TimePoint aContact, TimePoint aNow) const
{
  bool isOutdated = IsOutdated(mRecord.mGeneration, mRevision);
  return mRevision != 0 && !isOutdated && !IsChanging() &&
         aNow < aContact + kContactLimit;
}

bool Leadership::IsInForce(std::string_view aDatabase, std::uint64_t aChange) const
{
  return !IsChanging() && mRecord.mPrimary == aDatabase && mRecord.mChange == aChange;
}

bool Leadership::IsChanging() const
{
  return mRecord.mPhase == GroupPhase::Changing || mRecord.mChange < mStoodDown;
}

tl::expected<CoordinatorRecord, std::string> ParseCoordinatorRecord(
  std::string_view aBody)
{
  auto table = Parse(aBody);
  if (!table) {
    return tl::unexpected(table.error());
  }
  CoordinatorRecord record;
  record.mHolder = TextIn(*table, "holder");
  record.mAddress = TextIn(*table, "address");
  record.mIncarnation = NumberIn(*table, "incarnation");
  record.mFence = NumberIn(*table, "fence");
  record.mRenewal = NumberIn(*table, "renewal");
  record.mGeneration = NumberIn(*table, "generation");
  // A longer time than the delay itself has no meaning.
  auto limit = std::chrono::duration_cast<milliseconds>(kCoordinatorTakeoverDelay);
  auto waited = NumberIn(*table, "waited_ms");
  record.mWaited = milliseconds(std::min<std::uint64_t>(waited, limit.count()));
  record.mWaitGeneration = NumberIn(*table, "wait_generation");
  return record;
}

std::string FormatCoordinatorRecord(const CoordinatorRecord& aRecord)
{
  return Format(toml::table{
    { "holder", aRecord.mHolder },
    { "address", aRecord.mAddress },
    { "incarnation", Signed(aRecord.mIncarnation) },
    { "fence", Signed(aRecord.mFence) },
    { "renewal", Signed(aRecord.mRenewal) },
    { "generation", Signed(aRecord.mGeneration) },
    { "waited_ms", std::chrono::duration_cast<milliseconds>(aRecord.mWaited).count() },
    { "wait_generation", Signed(aRecord.mWaitGeneration) },
  });
}

CoordinatorLease::CoordinatorLease(std::string aName,
                                   std::string aAddress,
                                   std::uint64_t aIncarnation,
                                   std::uint32_t aRank)
  : mName(std::move(aName))
  , mAddress(std::move(aAddress))
  , mIncarnation(aIncarnation)
  , mRank(aRank)
{
}

void CoordinatorLease::OnRecord(const CoordinatorRecord& aRecord,
                                std::uint64_t aRevision,
                                TimePoint aNow)
{
  if (aRevision <= mRevision) {
    return;
  }
  bool isRestored = GenerationOf(aRevision) > GenerationOf(mRevision);
  bool wasVoid = IsVoid();
  mRecord = aRecord;
  mRevision = aRevision;
  mIsKnown = true;
  mIsRemoved = false;
  // The holders of lost leases act no longer than those of a lease that was renewed
  // when the store's return was first seen.
  if (isRestored || !wasVoid || !IsVoid()) {
    mSeenAt = aNow;
  }
  if (IsVoid()) {
    mSeenAt = std::min(mSeenAt, aNow - RecordedWait());
  }
  if (!IsMine()) {
    mHeldUntil = TimePoint{};
  }
}

void CoordinatorLease::OnNoRecord(TimePoint aNow)
{
  if (!mIsKnown) {
    mIsKnown = true;
    mSeenAt = aNow;
  }
}

void CoordinatorLease::OnRemoved(std::uint64_t aRevision, TimePoint aNow)
{
  if (aRevision <= mRevision || !mIsKnown) {
    return;
  }
  mRevision = aRevision;
  mIsRemoved = true;
  mSeenAt = aNow;
  mHeldUntil = TimePoint{};
}

std::optional<CoordinatorLease::Write> CoordinatorLease::Next(TimePoint aNow,
                                                              std::uint64_t aGeneration)
{
  if (!mIsKnown || mPendingWrite || aNow < mNextWrite) {
    return std::nullopt;
  }
  auto record = NextRecord(aNow, aGeneration);
  if (!record) {
    return std::nullopt;
  }
  ++record->mRenewal;
  mPendingWrite = Write{ *record, mIsRemoved ? 0 : mRevision };
  mSentAt = aNow;
  return mPendingWrite;
}

std::optional<CoordinatorRecord> CoordinatorLease::NextRecord(
  TimePoint aNow,
  std::uint64_t aGeneration) const
{
  auto record = mRecord;
  if (IsMine()) {
    if (mIsLeaving) {
      record.mHolder.clear();
      record.mAddress.clear();
    }
    return record;
  }
  // The lease is free, or this daemon held it before it was restarted.
  bool isFree = !IsVoid() && (mRecord.mHolder.empty() || mRecord.mHolder == mName);
  auto wait = isFree ? Duration::zero() : kCoordinatorTakeoverDelay;
  auto delay = kRankStep * mRank;
  if (!mIsLeaving && aNow >= mSeenAt + wait + delay) {
    return TakenRecord(aGeneration);
  }
  // Also while this daemon is stopping: all others may have just been started.
  auto waited = std::min(aNow - mSeenAt, kCoordinatorTakeoverDelay);
  bool isDue = waited >= RecordedWait() + kWaitRecordInterval + delay;
  bool canRecord = IsVoid() && !mIsRemoved && aGeneration == GenerationOf(mRevision);
  if (canRecord && isDue) {
    record.mWaited = waited;
    record.mWaitGeneration = aGeneration;
    return record;
  }
  return std::nullopt;
}

CoordinatorRecord CoordinatorLease::TakenRecord(std::uint64_t aGeneration) const
{
  CoordinatorRecord record;
  record.mHolder = mName;
  record.mAddress = mAddress;
  record.mIncarnation = mIncarnation;
  record.mFence = std::max(mRecord.mFence, aGeneration << kFenceBits) + 1;
  record.mGeneration = aGeneration;
  return record;
}

// An unanswered write may still take effect. The store then shows this daemon as the
// holder although its lease has not begun, so the record is renewed by a write that is
// conditional on the revision in the store.
void CoordinatorLease::OnWritten(std::optional<std::uint64_t> aRevision, TimePoint aNow)
{
  if (!mPendingWrite) {
    return;
  }
  auto write = *mPendingWrite;
  mPendingWrite.reset();
  if (!aRevision || *aRevision == 0) {
    mNextWrite = aNow + kWritePause;
    return;
  }
  if (*aRevision > mRevision) {
    mRecord = write.mRecord;
    mRevision = *aRevision;
    mIsRemoved = false;
    mSeenAt = IsVoid() ? mSeenAt : aNow;
  }
  mNextWrite = IsMine() ? mSentAt + kCoordinatorRenewal : TimePoint{};
  mHeldUntil = IsMine() ? mSentAt + kCoordinatorLease : TimePoint{};
}

bool CoordinatorLease::IsHolder(TimePoint aNow) const
{
  return IsMine() && !mIsLeaving && aNow < mHeldUntil;
}

const CoordinatorRecord* CoordinatorLease::Holder() const
{
  return mRecord.mHolder.empty() ? nullptr : &mRecord;
}

// The time that was waited in an earlier generation says nothing about leases that were
// granted since.
Duration CoordinatorLease::RecordedWait() const
{
  bool isCurrent = mRecord.mWaitGeneration == GenerationOf(mRevision);
  return isCurrent ? mRecord.mWaited : Duration::zero();
}

bool CoordinatorLease::IsMine() const
{
  return !IsVoid() && mRecord.mHolder == mName && mRecord.mIncarnation == mIncarnation;
}

} // namespace sesameway
