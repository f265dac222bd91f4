#include "proxy/DatabaseFleet.h"

#include "daemon/Log.h"

namespace sesameway::proxy {

namespace {

// How long statements at a primary may take to end once it is to be changed.
constexpr Duration kStandDownGrace = milliseconds(250);
constexpr Duration kStandDownPoll = milliseconds(20);
// Of asking a group's databases whether one has taken over, and after a round that did
// not show that none has.
constexpr Duration kRoundTimeout = milliseconds(500);
constexpr Duration kRoundPause = milliseconds(400);

void CloseAll(const std::vector<LeasePtr>& aLeases)
{
  for (const auto& it : aLeases) {
    it->mLink->Close();
  }
}

} // namespace

void DatabaseFleet::OnRecord(const GroupRecord& aRecord, std::uint64_t aRevision)
{
  if (!mGroups[aRecord.mGroup].mLeadership.OnRecord(aRecord, aRevision)) {
    return;
  }
  LOG(INFO) << daemon::LogLine("group_record")
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
  auto& group = mGroups[aRecord.mGroup];
  group.mRecordedAt = Clock::now();
  group.mProposed.reset();
  WithdrawPlacements(aRecord.mGroup);
  auto leases = Replaced(aRecord.mGroup);
  // While the change is under way, standing down gives them some time.
  bool isOver = !group.mLeadership.IsChanging();
  if (leases.empty() || !isOver) {
    return;
  }
  LOG(INFO) << daemon::LogLine("primary_replaced")
                 .With("group", aRecord.mGroup)
                 .With("change", aRecord.mChange)
                 .With("primary", aRecord.mPrimary)
                 .With("broken_off", leases.size());
  CloseAll(leases);
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
  WithdrawPlacements(aGroup);
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
  LOG(INFO) << daemon::LogLine("stood_down")
                 .With("group", aEnding->mGroup)
                 .With("change", aEnding->mChange)
                 .With("broken_off", leases.size());
  aEnding->mDone();
}

bool DatabaseFleet::IsReplaced(const Pending& aPending) const
{
  return aPending.mIsAtPrimary &&
         !IsInForce(aPending.mNeed.mGroup, aPending.mDatabase, aPending.mChange);
}

bool DatabaseFleet::IsAtLeavingReplica(const Pending& aPending) const
{
  const auto* listed = mList.Find(aPending.mDatabase);
  return !aPending.mIsAtPrimary && listed != nullptr && listed->mIsLeaving;
}

void DatabaseFleet::WithdrawPlacements(const std::string& aGroup)
{
  for (auto& it : mPending) {
    auto& pending = it.second;
    bool isPlaced = pending.mNeed.mGroup == aGroup && !pending.mDatabase.empty();
    if (!isPlaced || !(IsReplaced(pending) || IsAtLeavingReplica(pending))) {
      continue;
    }
    if (auto pool = FindPool(pending.mDatabase)) {
      pool->CancelAcquire(it.first);
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

bool DatabaseFleet::MayUsePrimary(const std::string& aGroup) const
{
  const auto* leadership = FindLeadership(aGroup);
  return leadership != nullptr && leadership->IsPrimaryUsable(mContact, Clock::now());
}

bool DatabaseFleet::IsInForce(const std::string& aGroup,
                              const std::string& aDatabase,
                              std::uint64_t aChange) const
{
  const auto* leadership = FindLeadership(aGroup);
  return leadership != nullptr && leadership->IsInForce(aDatabase, aChange);
}

bool DatabaseFleet::IsInForce(const ConnectionLease& aLease) const
{
  return !aLease.mIsPrimary ||
         IsInForce(aLease.mGroup, aLease.mDatabase, aLease.mChange);
}

bool DatabaseFleet::AreRepliesTrusted(const ConnectionLease& aLease) const
{
  return !aLease.mIsPrimary || (IsInForce(aLease) && MayUsePrimary(aLease.mGroup));
}

void DatabaseFleet::Confirm(const ConnectionLease& aLease,
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
  if (leadership.IsPrimaryUsable(mContact, aNow)) {
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
    LOG(INFO) << daemon::LogLine("primary_unconfirmed")
                   .With("group", aName)
                   .With("primary", group.mLeadership.Record().mPrimary)
                   .With("asked_in_change", aRound->mChange)
                   .With("change", change)
                   .With("changing", isChanging);
  } else if (group.mProposed && group.mProposed->mReceivedAt <= aRound->mSentAt) {
    group.mHeads.Observe(group.mProposed->mPosition, group.mProposed->mSentAt);
    group.mHeadPollSchedule.OnHead(group.mProposed->mSentAt);
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
    it.mDone(isConfirmed && it.mChange == change);
  }
  if (needsAnother && !mGroups[aName].mRound) {
    StartRound(aName);
  }
}

} // namespace sesameway::proxy
