#include "proxy/DatabaseFleet.h"

#include "daemon/Log.h"

#include <algorithm>

namespace sesameway::proxy {

namespace {

// One way, about: within a zone, between zones of a region, between regions.
constexpr Duration kZoneDistance = microseconds(300);
constexpr Duration kRegionDistance = milliseconds(1);
constexpr Duration kFarDistance = milliseconds(20);
// Connections of each database that are kept for status commands and for moments in
// which an old connection is still counted.
constexpr std::size_t kReserve = 2;
constexpr Duration kStatusTimeout = milliseconds(600);
// A database that has answered nothing for so long since it was asked may be gone: ten
// times a statement's time.
constexpr Duration kSilence = milliseconds(400);
// How long statements at a primary may take to end once it is to be changed.
constexpr Duration kStandDownGrace = milliseconds(250);
constexpr Duration kStandDownPoll = milliseconds(20);
constexpr Duration kRetryPause = milliseconds(300);
// Of asking a group's databases whether one has taken over, and after a round that did
// not show that none has.
constexpr Duration kRoundTimeout = milliseconds(500);
constexpr Duration kRoundPause = milliseconds(400);

std::int64_t Millis(Duration aDuration)
{
  return std::chrono::duration_cast<milliseconds>(aDuration).count();
}

void CloseAll(const std::vector<LeasePtr>& aLeases)
{
  for (const auto& it : aLeases) {
    it->mLink->Close();
  }
}

} // namespace

DatabaseFleet::DatabaseFleet(Loop& aLoop,
                             Databases& aDatabases,
                             const Settings& aSettings,
                             StatusReader aReadStatus)
  : mLoop(aLoop)
  , mDatabases(aDatabases)
  , mReadStatus(std::move(aReadStatus))
  , mZone(aSettings.mZone)
  , mRegions(aSettings.mRegions)
{
}

void DatabaseFleet::SetCatalogue(CataloguePtr aCatalogue)
{
  mCatalogue = std::move(aCatalogue);
  SetLimits();
}

void DatabaseFleet::SetDaemonZones(const std::vector<std::string>& aZones)
{
  mDaemonsByZone.clear();
  for (const auto& it : aZones) {
    ++mDaemonsByZone[it];
  }
  mDaemons = std::max<std::size_t>(1, aZones.size());
  SetLimits();
}

void DatabaseFleet::OnListed(const ListedDatabase& aDatabase)
{
  const auto* known = mList.Find(aDatabase.mName);
  bool isOther = known != nullptr && (known->mAddress != aDatabase.mAddress ||
                                      known->mGroup != aDatabase.mGroup);
  if (!mList.Put(aDatabase)) {
    return;
  }
  LOG(INFO) << daemon::Line("database_listed")
                 .With("database", aDatabase.mName)
                 .With("group", aDatabase.mGroup)
                 .With("address", aDatabase.mAddress)
                 .With("zone", aDatabase.mZone)
                 .With("leaving", aDatabase.mIsLeaving)
                 .With("role", kDatabaseRoleNames.Name(aDatabase.mRole));
  auto& pool = mPools[aDatabase.mName];
  if (pool && isOther) {
    Retire(std::exchange(pool, nullptr));
  }
  if (!pool) {
    pool = std::make_shared<DatabasePool>(mLoop, mDatabases, aDatabase);
  }
  pool->SetListed(aDatabase);
  pool->SetLimit(LimitOf(aDatabase));
  mGroups[aDatabase.mGroup];
}

void DatabaseFleet::OnRemoved(const std::string& aName)
{
  mList.Remove(aName, Clock::now());
}

void DatabaseFleet::OnRecord(const GroupRecord& aRecord, std::uint64_t aRevision)
{
  if (!mGroups[aRecord.mGroup].mLeadership.OnRecord(aRecord, aRevision)) {
    return;
  }
  LOG(INFO) << daemon::Line("group_record")
                 .With("group", aRecord.mGroup)
                 .With("phase", kGroupPhaseNames.Name(aRecord.mPhase))
                 .With("change", aRecord.mChange)
                 .With("term", aRecord.mTerm)
                 .With("primary", aRecord.mPrimary)
                 .With("revision", aRevision)
                 .With("contact_age_ms", Millis(Clock::now() - mContact));
  OnChange(aRecord);
  Tick();
}

void DatabaseFleet::OnChange(const GroupRecord& aRecord)
{
  LeaveReplaced(aRecord.mGroup);
  auto leases = Replaced(aRecord.mGroup);
  // While the change is under way, standing down gives them some time.
  bool isOver = !mGroups[aRecord.mGroup].mLeadership.IsChanging();
  if (leases.empty() || !isOver) {
    return;
  }
  LOG(INFO) << daemon::Line("primary_replaced")
                 .With("group", aRecord.mGroup)
                 .With("change", aRecord.mChange)
                 .With("primary", aRecord.mPrimary)
                 .With("broken_off", leases.size());
  CloseAll(leases);
}

void DatabaseFleet::SetContact(TimePoint aContact)
{
  mContact = std::max(mContact, aContact);
}

// Statements that are under way at the primary of a group that is to be changed.
struct DatabaseFleet::Ending
{
  std::string mGroup;
  std::uint64_t mChange = 0;
  // When they are broken off.
  TimePoint mUntil;
  std::function<void()> mDone;
  Timer mPoll;

  Ending(std::string aGroup,
         std::uint64_t aChange,
         TimePoint aUntil,
         std::function<void()> aDone,
         Loop& aLoop)
    : mGroup(std::move(aGroup))
    , mChange(aChange)
    , mUntil(aUntil)
    , mDone(std::move(aDone))
    , mPoll(aLoop)
  {
  }
};

void DatabaseFleet::StandDown(const std::string& aGroup,
                              std::uint64_t aChange,
                              std::function<void()> aDone)
{
  mGroups[aGroup].mLeadership.StandDown(aChange);
  LeaveReplaced(aGroup);
  PollEnding(std::make_shared<Ending>(
    aGroup, aChange, Clock::now() + kStandDownGrace, std::move(aDone), mLoop));
}

void DatabaseFleet::PollEnding(const std::shared_ptr<Ending>& aEnding)
{
  auto leases = Replaced(aEnding->mGroup);
  if (!leases.empty() && Clock::now() < aEnding->mUntil) {
    aEnding->mPoll.Set(Clock::now() + kStandDownPoll,
                       [this, aEnding] { PollEnding(aEnding); });
    return;
  }
  CloseAll(leases);
  LOG(INFO) << daemon::Line("stood_down")
                 .With("group", aEnding->mGroup)
                 .With("change", aEnding->mChange)
                 .With("broken_off", leases.size());
  aEnding->mDone();
}

bool DatabaseFleet::IsReplaced(const Pending& aPending) const
{
  const auto* leadership = FindLeadership(aPending.mNeed.mGroup);
  return aPending.mIsAtPrimary &&
         !leadership->IsInForce(aPending.mDatabase, aPending.mChange);
}

void DatabaseFleet::LeaveReplaced(const std::string& aGroup)
{
  for (auto& it : mPending) {
    auto& pending = it.second;
    bool isPlaced = pending.mNeed.mGroup == aGroup && !pending.mDatabase.empty();
    if (!isPlaced || !IsReplaced(pending)) {
      continue;
    }
    if (auto pool = FindPool(pending.mDatabase)) {
      pool->Drop(it.first);
    }
    pending.mDatabase.clear();
  }
}

std::vector<LeasePtr> DatabaseFleet::Replaced(const std::string& aGroup) const
{
  auto pools = mRetired;
  for (const auto& it : mPools) {
    pools.push_back(it.second);
  }
  std::vector<LeasePtr> replaced;
  for (const auto& it : pools) {
    for (auto& lease : it->Leases()) {
      if (lease->mGroup == aGroup && !IsInForce(*lease)) {
        replaced.push_back(std::move(lease));
      }
    }
  }
  return replaced;
}

void DatabaseFleet::ForgetMissing(TimePoint aNow)
{
  if (aNow < mList.NextForget()) {
    return;
  }
  auto names = mList.Names();
  mList.Forget(aNow);
  for (const auto& it : names) {
    if (mList.Find(it) == nullptr) {
      LOG(INFO) << daemon::Line("database_gone").With("database", it);
      Retire(mPools.extract(it).mapped());
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
  ForgetMissing(now);
  std::erase_if(mRetired, [](const auto& aIt) { return aIt->Leases().empty(); });
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
    LOG(INFO) << daemon::Line("group_state")
                   .With("group", it.first)
                   .With("phase", kGroupPhaseNames.Name(record.mPhase))
                   .With("change", record.mChange)
                   .With("term", record.mTerm)
                   .With("primary", record.mPrimary)
                   .With("revision", leadership.Revision())
                   .With("usable", leadership.MayUse(mContact, now))
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
  return pool ? pool->HeardAt() : TimePoint{};
}

std::uint64_t DatabaseFleet::Acquire(const LeaseNeed& aNeed, LeaseDone aDone)
{
  auto ticket = mNextTicket++;
  mPending[ticket] = { aNeed, std::move(aDone), {} };
  Place(ticket);
  return ticket;
}

void DatabaseFleet::Drop(std::uint64_t aTicket)
{
  auto node = mPending.extract(aTicket);
  if (node.empty()) {
    return;
  }
  if (auto pool = FindPool(node.mapped().mDatabase)) {
    pool->Drop(aTicket);
  }
}

void DatabaseFleet::Release(const LeasePtr& aLease, bool aIsBroken)
{
  if (auto pool = aLease->mPool.lock()) {
    pool->Release(aLease, aIsBroken);
  } else {
    aLease->mLink->Close();
  }
}

bool DatabaseFleet::MayUsePrimary(const std::string& aGroup) const
{
  const auto* leadership = FindLeadership(aGroup);
  return leadership != nullptr && leadership->MayUse(mContact, Clock::now());
}

bool DatabaseFleet::IsInForce(const Lease& aLease) const
{
  if (!aLease.mIsPrimary) {
    return true;
  }
  const auto* leadership = FindLeadership(aLease.mGroup);
  return leadership != nullptr &&
         leadership->IsInForce(aLease.mDatabase, aLease.mChange);
}

bool DatabaseFleet::MayBelieve(const Lease& aLease) const
{
  return !aLease.mIsPrimary || (IsInForce(aLease) && MayUsePrimary(aLease.mGroup));
}

std::optional<LogPosition> DatabaseFleet::HeadSince(const std::string& aGroup,
                                                    TimePoint aSince) const
{
  auto it = mGroups.find(aGroup);
  return it == mGroups.end() ? std::nullopt : it->second.mHeads.HeadSince(aSince);
}

std::optional<Duration> DatabaseFleet::Silence(const std::string& aDatabase,
                                               TimePoint aNow) const
{
  auto pool = FindPool(aDatabase);
  return pool ? pool->Silence(aNow) : std::nullopt;
}

void DatabaseFleet::OnSent(const Lease& aLease)
{
  if (auto pool = aLease.mPool.lock()) {
    pool->OnSent(Clock::now());
  }
}

bool DatabaseFleet::IsSilent(const Lease& aLease) const
{
  auto pool = aLease.mPool.lock();
  auto silence = pool ? pool->Silence(Clock::now()) : std::nullopt;
  return silence && *silence >= kSilence;
}

void DatabaseFleet::OnReply(const Lease& aLease,
                            const ConnectionReply& aReply,
                            TimePoint aSentAt)
{
  if (auto pool = aLease.mPool.lock()) {
    pool->OnReply(aReply, aSentAt);
    pool->OnResult(aReply.mCode);
  }
  NoteHead(aLease.mGroup, aLease.mDatabase, aReply, aSentAt);
}

// A primary's position counts only while this daemon knows that it is still the
// primary.
void DatabaseFleet::NoteHead(const std::string& aGroup,
                             const std::string& aDatabase,
                             const ConnectionReply& aReply,
                             TimePoint aSentAt)
{
  auto& group = mGroups[aGroup];
  bool isPrimary = group.mLeadership.Record().mPrimary == aDatabase;
  if (!isPrimary || !aReply.mPosition) {
    return;
  }
  if (MayUsePrimary(aGroup)) {
    group.mHeads.Observe(*aReply.mPosition, aSentAt);
    group.mHeadQuestions.OnHead(aSentAt);
  } else if (!group.mProposed) {
    group.mProposed = ProposedHead{ *aReply.mPosition, aSentAt, Clock::now() };
  }
}

std::map<std::string, HeadHistory::Sample> DatabaseFleet::Heads() const
{
  std::map<std::string, HeadHistory::Sample> heads;
  for (const auto& it : mGroups) {
    if (const auto* newest = it.second.mHeads.Newest()) {
      heads[it.first] = *newest;
    }
  }
  return heads;
}

void DatabaseFleet::OnFellowHead(const std::string& aGroup,
                                 const LogPosition& aHead,
                                 TimePoint aAt)
{
  auto it = mGroups.find(aGroup);
  if (it != mGroups.end()) {
    it->second.mHeads.Observe(aHead, aAt);
    it->second.mHeadQuestions.OnHead(aAt);
  }
}

void DatabaseFleet::Confirm(const Lease& aLease,
                            TimePoint aSince,
                            std::function<void(bool)> aDone)
{
  if (IsInForce(aLease)) {
    ConfirmPrimary(aLease.mGroup, aSince, std::move(aDone));
  } else {
    aDone(false);
  }
}

void DatabaseFleet::ConfirmPrimary(const std::string& aGroup,
                                   TimePoint aSince,
                                   std::function<void(bool)> aDone)
{
  auto& group = mGroups[aGroup];
  group.mConfirmations.push_back(
    { group.mLeadership.Record().mChange, aSince, std::move(aDone) });
  if (!group.mRound) {
    StartRound(aGroup);
  }
}

bool DatabaseFleet::MayTryPrimary(const std::string& aGroup, TimePoint aNow) const
{
  auto it = mGroups.find(aGroup);
  if (it == mGroups.end()) {
    return false;
  }
  const auto& leadership = it->second.mLeadership;
  if (leadership.MayUse(mContact, aNow)) {
    return true;
  }
  bool isStable = leadership.Revision() != 0 && !leadership.IsChanging();
  return isStable && aNow - it->second.mRoundFailedAt > kRoundPause;
}

void DatabaseFleet::StartRound(const std::string& aName)
{
  auto& group = mGroups[aName];
  auto now = Clock::now();
  auto round = std::make_shared<Round>();
  round->mChange = group.mLeadership.Record().mChange;
  round->mSentAt = now;
  group.mRound = round;
  ConnectionCommand status;
  status.mKind = CommandKind::Status;
  std::vector<PoolPtr> others;
  for (const auto* it : mList.OfGroup(aName)) {
    if (it->mName != group.mLeadership.Record().mPrimary) {
      others.push_back(FindPool(it->mName));
    }
  }
  round->mHasFailed = others.empty();
  round->mOpen = others.size() + 1;
  for (const auto& it : others) {
    it->Ask(status,
            now + kRoundTimeout,
            [this, aName, round](std::optional<ConnectionReply> aReply) {
              OnRoundAnswer(aName, round, aReply);
            });
  }
  if (--round->mOpen == 0) {
    OnRoundOver(aName, round);
  }
}

void DatabaseFleet::OnRoundAnswer(const std::string& aName,
                                  const RoundPtr& aRound,
                                  const std::optional<ConnectionReply>& aReply)
{
  bool hasRow = aReply && aReply->mCode == ReplyCode::Done && !aReply->mRows.empty();
  auto report = hasRow ? mReadStatus(aReply->mRows.front()) : std::nullopt;
  auto term = mGroups[aName].mLeadership.Record().mTerm;
  bool isOlder =
    report && report->mRole == DatabaseRole::Replica && report->mTerm <= term;
  aRound->mHasFailed |= !isOlder;
  if (--aRound->mOpen == 0) {
    OnRoundOver(aName, aRound);
  }
}

// What was asked for before the round was sent is settled; the rest needs another one.
void DatabaseFleet::OnRoundOver(const std::string& aName, const RoundPtr& aRound)
{
  auto& group = mGroups[aName];
  group.mRound.reset();
  bool isChanging = group.mLeadership.IsChanging();
  auto change = group.mLeadership.Record().mChange;
  // Those of another change were asked about another primary.
  bool isOfThisChange = !isChanging && aRound->mChange == change;
  bool isConfirmed = !aRound->mHasFailed && isOfThisChange;
  if (!isConfirmed) {
    // A round about an earlier primary says nothing of this one.
    if (aRound->mHasFailed || isChanging) {
      group.mRoundFailedAt = Clock::now();
    }
    group.mProposed.reset();
    LOG(INFO) << daemon::Line("primary_unconfirmed")
                   .With("group", aName)
                   .With("primary", group.mLeadership.Record().mPrimary)
                   .With("asked_in_change", aRound->mChange)
                   .With("change", change)
                   .With("changing", isChanging);
  } else if (group.mProposed && group.mProposed->mReceivedAt <= aRound->mSentAt) {
    group.mHeads.Observe(group.mProposed->mPosition, group.mProposed->mSentAt);
    group.mHeadQuestions.OnHead(group.mProposed->mSentAt);
    group.mProposed.reset();
  }
  std::vector<Confirmation> settled;
  std::vector<Confirmation> later;
  for (auto& it : group.mConfirmations) {
    bool isReplaced = isChanging || it.mChange != change;
    bool isAsked = isOfThisChange && (!isConfirmed || it.mSince <= aRound->mSentAt);
    bool isSettled = isReplaced || isAsked;
    (isSettled ? settled : later).push_back(std::move(it));
  }
  group.mConfirmations = std::move(later);
  bool needsAnother = !group.mConfirmations.empty();
  for (auto& it : settled) {
    it.mDone(isConfirmed);
  }
  if (needsAnother && !mGroups[aName].mRound) {
    StartRound(aName);
  }
}

void DatabaseFleet::Place(std::uint64_t aTicket)
{
  auto& pending = mPending.at(aTicket);
  const auto& need = pending.mNeed;
  if (!need.mNeedsPrimary) {
    PlaceRead(aTicket);
    return;
  }
  auto& leadership = mGroups[need.mGroup].mLeadership;
  auto now = Clock::now();
  if (!MayTryPrimary(need.mGroup, now)) {
    // A change is over soon; without contact nobody knows when it is back.
    bool isWorthWaiting = leadership.IsChanging() || leadership.Revision() == 0;
    if (!isWorthWaiting) {
      Refuse(aTicket, "no_contact", now + kRetryPause);
    }
    return;
  }
  auto pool = FindPool(leadership.Record().mPrimary);
  if (pool && !pool->IsSuspect(now)) {
    PlaceAt(aTicket, pool, true);
  }
}

void DatabaseFleet::PlaceRead(std::uint64_t aTicket)
{
  const auto& need = mPending.at(aTicket).mNeed;
  auto& group = mGroups[need.mGroup];
  auto now = Clock::now();
  group.mHeadQuestions.OnRead(now);
  auto after = group.mHeads.HeadSince(need.mFreshSince);
  if (after && need.mToken) {
    after = std::max(*after, *need.mToken);
  }
  bool mayUsePrimary = MayTryPrimary(need.mGroup, now);
  std::vector<ReadCandidate> candidates;
  for (const auto* it : mList.OfGroup(need.mGroup)) {
    auto pool = FindPool(it->mName);
    bool isPrimary = it->mName == group.mLeadership.Record().mPrimary;
    if (!pool || pool->IsSuspect(now) || (isPrimary && !mayUsePrimary) ||
        (!isPrimary && it->mIsLeaving)) {
      continue;
    }
    ReadCandidate candidate;
    candidate.mName = it->mName;
    candidate.mIsPrimary = isPrimary;
    candidate.mDistance = DistanceTo(it->mZone);
    candidate.mExpectedWait = pool->ExpectedWait(need.mOrganisation);
    candidate.mPosition = pool->Position(now);
    candidate.mIsTooOld = need.mTooOld.count(it->mName) > 0;
    candidate.mIsToAvoid = need.mAvoid.count(it->mName) > 0 || pool->IsEjected(now);
    candidates.push_back(std::move(candidate));
  }
  auto choice = ChooseForFreshRead(candidates, after);
  if (choice) {
    const auto& chosen = candidates[*choice];
    PlaceAt(aTicket, FindPool(chosen.mName), chosen.mIsPrimary);
  } else if (!mayUsePrimary && !group.mLeadership.IsChanging()) {
    Refuse(aTicket, "no_fresh_database", now + kRetryPause);
  }
}

void DatabaseFleet::PlaceAt(std::uint64_t aTicket,
                            const PoolPtr& aPool,
                            bool aIsPrimary)
{
  auto& pending = mPending.at(aTicket);
  auto now = Clock::now();
  auto wait = aPool->ExpectedWait(pending.mNeed.mOrganisation);
  if (now + wait > pending.mNeed.mDeadline) {
    Refuse(aTicket, "overloaded", now + wait);
    return;
  }
  pending.mDatabase = aPool->Listed().mName;
  pending.mIsAtPrimary = aIsPrimary;
  pending.mChange = mGroups[pending.mNeed.mGroup].mLeadership.Record().mChange;
  aPool->Acquire(
    aTicket, pending.mNeed, [this, aTicket](tl::expected<LeasePtr, Refusal> aLease) {
      OnGranted(aTicket, std::move(aLease));
    });
}

void DatabaseFleet::OnGranted(std::uint64_t aTicket,
                              tl::expected<LeasePtr, Refusal> aLease)
{
  auto it = mPending.find(aTicket);
  if (it == mPending.end()) {
    return;
  }
  auto& pending = it->second;
  bool isBlocked =
    pending.mIsAtPrimary &&
    (IsReplaced(pending) || !MayTryPrimary(pending.mNeed.mGroup, Clock::now()));
  if (aLease && isBlocked) {
    Release(*aLease, false);
  }
  if (!aLease || isBlocked) {
    // Another database may do, or the same one a little later.
    pending.mNeed.mAvoid.insert(pending.mDatabase);
    pending.mDatabase.clear();
    return;
  }
  (*aLease)->mIsPrimary = pending.mIsAtPrimary;
  (*aLease)->mChange = pending.mChange;
  auto node = mPending.extract(it);
  node.mapped().mDone(std::move(aLease));
}

void DatabaseFleet::Refuse(std::uint64_t aTicket,
                           const char* aReason,
                           TimePoint aRetryAt)
{
  auto node = mPending.extract(aTicket);
  node.mapped().mDone(tl::unexpected(Refusal{ ReplyCode::Busy, aReason, aRetryAt }));
}

DatabaseFleet::PoolPtr DatabaseFleet::FindPool(const std::string& aName) const
{
  auto it = mPools.find(aName);
  return it == mPools.end() ? nullptr : it->second;
}

Duration DatabaseFleet::DistanceTo(const std::string& aZone) const
{
  if (aZone == mZone) {
    return kZoneDistance;
  }
  auto own = mRegions.find(mZone);
  auto other = mRegions.find(aZone);
  bool isNear =
    own != mRegions.end() && other != mRegions.end() && own->second == other->second;
  return isNear ? kRegionDistance : kFarDistance;
}

// All daemons together stay below what the database takes. Those of its own zone, which
// read there, get twice as many as the others.
std::size_t DatabaseFleet::LimitOf(const ListedDatabase& aDatabase) const
{
  const auto* group = mCatalogue ? mCatalogue->FindGroup(aDatabase.mGroup) : nullptr;
  std::size_t cap = group != nullptr ? group->mConnections : kReserve + 1;
  cap = std::max<std::size_t>(cap, kReserve + 1) - kReserve;
  auto it = mDaemonsByZone.find(aDatabase.mZone);
  auto near = it == mDaemonsByZone.end() ? 0 : it->second;
  auto far = std::max(mDaemons, near) - near;
  auto share = std::max<std::size_t>(1, cap / std::max<std::size_t>(1, 2 * near + far));
  if (aDatabase.mZone != mZone || near == 0) {
    return share;
  }
  return std::max(share, (cap - std::min(cap, far * share)) / near);
}

void DatabaseFleet::SetLimits()
{
  for (const auto& it : mPools) {
    it.second->SetLimit(LimitOf(it.second->Listed()));
  }
}

void DatabaseFleet::AskForHead(const std::string& aName, Group& aGroup, TimePoint aNow)
{
  auto pool = FindPool(aGroup.mLeadership.Record().mPrimary);
  bool mayAsk = pool && MayTryPrimary(aName, aNow);
  if (!mayAsk || !aGroup.mHeadQuestions.Ask(mAsksForHeads, aNow)) {
    return;
  }
  ConnectionCommand status;
  status.mKind = CommandKind::Status;
  auto database = pool->Listed().mName;
  auto onReply = [this, aName, database, aNow](std::optional<ConnectionReply> aReply) {
    mGroups[aName].mHeadQuestions.OnAnswered();
    if (!aReply) {
      return;
    }
    NoteHead(aName, database, *aReply, aNow);
    if (!MayUsePrimary(aName)) {
      ConfirmPrimary(aName, Clock::now(), [](bool) {});
    }
  };
  pool->Ask(status, aNow + kStatusTimeout, std::move(onReply));
}

} // namespace sesameway::proxy
