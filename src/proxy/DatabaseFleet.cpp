#include "proxy/DatabaseFleet.h"

#include "daemon/Log.h"

#include <algorithm>

namespace sesameway::proxy {

namespace {

// Connections of each database that are kept free, where all daemons connect to it, for
// status commands and for short periods in which the database still counts a connection
// that was already closed.
constexpr std::size_t kDirectReserve = 2;
// A database that has left statements unanswered for this long may be gone. This is ten
// times the duration of a typical statement.
constexpr Duration kUnresponsiveAfter = milliseconds(400);
// How long a borrower may leave a lent connection unused. Sessions end their idle
// transactions sooner; this bound is for borrowers that are suspended or cut off.
constexpr Duration kLentIdleLimit = seconds(30);

} // namespace

DatabaseFleet::DatabaseFleet(Loop& aLoop,
                             DatabaseConnector& aDatabases,
                             const Settings& aSettings,
                             StatusReader aReadStatus,
                             LinkBorrower::Counter aCount)
  : mLoop(aLoop)
  , mDatabases(aDatabases)
  , mReadStatus(std::move(aReadStatus))
  , mCount(std::move(aCount))
  , mBorrower(aLoop, aDatabases, mCount)
  , mLender(
      aLoop,
      [this](const std::string& aName) { return FindLendingPool(aName); },
      mCount)
  , mName(aSettings.mName)
  , mZone(aSettings.mZone)
  , mRegions(aSettings.mRegions)
  , mColdOver(aSettings.mColdOver)
  , mColdSlack(aSettings.mColdSlack)
{
}

void DatabaseFleet::SetCatalogue(CataloguePtr aCatalogue)
{
  mCatalogue = std::move(aCatalogue);
  AssignRoles();
}

std::optional<std::uint32_t> DatabaseFleet::SyncReplicas(
  const std::string& aGroup) const
{
  const auto* group = mCatalogue ? mCatalogue->FindGroup(aGroup) : nullptr;
  return group != nullptr ? std::optional(group->mSyncReplicas) : std::nullopt;
}

void DatabaseFleet::SetDaemons(const std::vector<MemberRecord>& aDaemons)
{
  mHomeFleet = HomeFleet(aDaemons, mRegions);
  mDaemonsByZone.clear();
  std::map<std::string, std::string> addresses;
  for (const auto& it : aDaemons) {
    ++mDaemonsByZone[it.mZone];
    addresses[it.mName] = it.mAddress;
  }
  mDaemons = std::max<std::size_t>(1, aDaemons.size());
  mBorrower.SetAddresses(std::move(addresses));
  AssignRoles();
}

void DatabaseFleet::OnListed(const ListedDatabase& aDatabase)
{
  const auto* known = mList.Find(aDatabase.mName);
  bool isOther = known != nullptr && (known->mAddress != aDatabase.mAddress ||
                                      known->mGroup != aDatabase.mGroup);
  if (!mList.Put(aDatabase)) {
    return;
  }
  LOG(INFO) << daemon::LogLine("database_listed")
                 .With("database", aDatabase.mName)
                 .With("group", aDatabase.mGroup)
                 .With("address", aDatabase.mAddress)
                 .With("zone", aDatabase.mZone)
                 .With("leaving", aDatabase.mIsLeaving)
                 .With("role", kDatabaseRoleNames.Name(aDatabase.mRole));
  mColdAllowances[aDatabase.mName].OnEntry(
    aDatabase.mStartedAtMs, milliseconds(aDatabase.mColdMs), Clock::now());
  if (isOther) {
    RemovePools(aDatabase.mName);
  }
  AssignRole(aDatabase);
  ApplyColdRates(Clock::now());
  mGroups[aDatabase.mGroup];
  if (aDatabase.mIsLeaving) {
    WithdrawPlacements(aDatabase.mGroup);
  }
}

void DatabaseFleet::OnRemoved(const std::string& aName)
{
  mList.Remove(aName, Clock::now());
}

void DatabaseFleet::SetContact(TimePoint aContact)
{
  mContact = std::max(mContact, aContact);
}

void DatabaseFleet::RemoveMissing(TimePoint aNow)
{
  if (aNow < mList.NextExpiry()) {
    return;
  }
  auto names = mList.Names();
  mList.RemoveExpired(aNow);
  for (const auto& it : names) {
    if (mList.Find(it) == nullptr) {
      LOG(INFO) << daemon::LogLine("database_gone").With("database", it);
      RemovePools(it);
      mBorrower.Forget(it);
      mHomeRoles.erase(it);
      mColdAllowances.erase(it);
    }
  }
}

void DatabaseFleet::Retire(PoolPtr aPool)
{
  aPool->Retire();
  mRetired.push_back(std::move(aPool));
}

void DatabaseFleet::Tick()
{
  auto now = Clock::now();
  RemoveMissing(now);
  std::erase_if(mRetired, [](const auto& aIt) { return aIt->Leases().empty(); });
  CheckPrimaries(now);
  ApplyColdRates(now);
  mLender.TakeBackIdle(kLentIdleLimit);
  for (auto& it : mGroups) {
    AskForHead(it.first, it.second, now);
  }
  std::vector<std::uint64_t> tickets;
  for (const auto& it : mPending) {
    if (it.second.mDatabase.empty()) {
      tickets.push_back(it.first);
    }
  }
  for (auto it : tickets) {
    if (mPending.count(it) > 0) {
      Place(it);
    }
  }
}

void DatabaseFleet::LogGroups() const
{
  auto now = Clock::now();
  for (const auto& it : mGroups) {
    const auto& leadership = it.second.mLeadership;
    const auto& record = leadership.Record();
    LOG(INFO) << daemon::LogLine("group_state")
                   .With("group", it.first)
                   .With("phase", kGroupPhaseNames.Name(record.mPhase))
                   .With("change", record.mChange)
                   .With("term", record.mTerm)
                   .With("primary", record.mPrimary)
                   .With("revision", leadership.Revision())
                   .With("usable", leadership.IsPrimaryUsable(mContact, now))
                   .With("contact_age_ms", Millis(now - mContact));
  }
}

std::set<std::string> DatabaseFleet::Groups() const
{
  std::set<std::string> groups;
  for (const auto& it : mGroups) {
    groups.insert(it.first);
  }
  return groups;
}

const Leadership* DatabaseFleet::FindLeadership(const std::string& aGroup) const
{
  auto it = mGroups.find(aGroup);
  return it == mGroups.end() ? nullptr : &it->second.mLeadership;
}

void DatabaseFleet::Ask(const std::string& aDatabase,
                        const ConnectionCommand& aCommand,
                        TimePoint aDeadline,
                        std::function<void(std::optional<ConnectionReply>)> aDone)
{
  auto pool = FindPool(aDatabase);
  if (!pool) {
    aDone(std::nullopt);
    return;
  }
  pool->Ask(aCommand, aDeadline, std::move(aDone));
}

TimePoint DatabaseFleet::HeardAt(const std::string& aDatabase) const
{
  auto pool = FindPool(aDatabase);
  auto home = FindHomePool(aDatabase);
  return std::max(pool ? pool->HeardAt() : TimePoint{},
                  home ? home->HeardAt() : TimePoint{});
}

// A daemon that uses the database through its homes can't tell a silent home from a
// silent database, so it reports nothing.
std::optional<Duration> DatabaseFleet::Silence(const std::string& aDatabase,
                                               TimePoint aNow) const
{
  auto pool = FindHomePool(aDatabase);
  if (!pool) {
    pool = FindPool(aDatabase);
  }
  bool isKnown = pool && pool->Kind() != PoolKind::Borrowing;
  return isKnown ? pool->Silence(aNow) : std::nullopt;
}

void DatabaseFleet::OnSent(const ConnectionLease& aLease)
{
  if (auto pool = aLease.mPool.lock()) {
    pool->OnSent(Clock::now());
    NoteColdStatement(aLease.mDatabase, Clock::now());
  }
}

bool DatabaseFleet::IsUnresponsive(const ConnectionLease& aLease) const
{
  auto now = Clock::now();
  auto pool = aLease.mPool.lock();
  auto silence = pool ? pool->Silence(now) : std::nullopt;
  // A statement that waits in a home's queue is not unanswered.
  bool isBorrowing = pool && pool->Kind() == PoolKind::Borrowing;
  auto wait =
    isBorrowing ? mBorrower.ExpectedWait(aLease.mDatabase, now) : Duration::zero();
  return silence && *silence >= kUnresponsiveAfter + wait;
}

void DatabaseFleet::OnReply(const ConnectionLease& aLease,
                            const ConnectionReply& aReply,
                            TimePoint aSentAt)
{
  if (IsUnsent(aReply)) {
    return;
  }
  if (auto pool = aLease.mPool.lock()) {
    pool->OnReply(aReply, aSentAt);
    pool->OnResult(aReply.mCode);
    pool->NoteLag(aLease.mAfter, aReply.mCode);
  }
  NoteHead(aLease.mGroup, aLease.mDatabase, aReply, aSentAt);
}

DatabaseFleet::PoolPtr DatabaseFleet::FindPool(const std::string& aName) const
{
  auto it = mPools.find(aName);
  return it == mPools.end() ? nullptr : it->second;
}

std::size_t DatabaseFleet::ConnectionsOf(const ListedDatabase& aDatabase) const
{
  const auto* group = mCatalogue ? mCatalogue->FindGroup(aDatabase.mGroup) : nullptr;
  return group != nullptr ? group->mConnections : kDirectReserve + 1;
}

// Returns this daemon's part of the database's connection limit. All daemons together
// stay within the limit unless there are more daemons than connections, as each daemon
// gets at least one. Daemons in the database's availability zone, which prefer it for
// reads, count twice, and also divide among themselves what rounding leaves over.
std::size_t DatabaseFleet::LimitOf(const ListedDatabase& aDatabase) const
{
  auto cap = ConnectionsOf(aDatabase);
  cap = std::max<std::size_t>(cap, kDirectReserve + 1) - kDirectReserve;
  auto it = mDaemonsByZone.find(aDatabase.mZone);
  auto near = it == mDaemonsByZone.end() ? 0 : it->second;
  auto far = std::max(mDaemons, near) - near;
  auto share = std::max<std::size_t>(1, cap / std::max<std::size_t>(1, 2 * near + far));
  if (aDatabase.mZone != mZone || near == 0) {
    return share;
  }
  return std::max(share, (cap - std::min(cap, far * share)) / near);
}

} // namespace sesameway::proxy
