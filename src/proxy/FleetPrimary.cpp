#include "proxy/DatabaseFleet.h"

#include "daemon/Log.h"

namespace sesameway::proxy {

namespace {

// How long statements that are in progress on a primary may still run after this daemon
// was asked to stand down from it.
constexpr Duration kStandDownGrace = milliseconds(250);
constexpr Duration kStandDownPoll = milliseconds(20);
// Time limit for a round of status queries to the other databases of a group, and the
// pause after a round that could not confirm the primary.
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
  auto& leadership = mGroups[aRecord.mGroup].mLeadership;
  if (!leadership.OnRecord(aRecord, aRevision)) {
    return;
  }
  LOG(INFO) << daemon::LogLine("group_record")
                 .With("group", aRecord.mGroup)
                 .With("phase", kGroupPhaseNames.Name(aRecord.mPhase))
                 .With("change", aRecord.mChange)
                 .With("term", aRecord.mTerm)
                 .With("primary", aRecord.mPrimary)
                 .With("revision", aRevision)
                 .With("lost_in_store", leadership.IsLostInStore())
                 .With("contact_age_ms", Millis(Clock::now() - mContact));
  OnChange(leadership.Record());
  Tick();
}

void DatabaseFleet::OnRecordRemoved(const std::string& aGroup, std::uint64_t aRevision)
{
  auto group = mGroups.find(aGroup);
  if (group == mGroups.end()) {
    return;
  }
  LOG(WARNING) << daemon::LogLine("group_record_removed")
                    .With("group", aGroup)
                    .With("revision", aRevision);
  group->second.mLeadership.OnRemoved(aRevision);
}

void DatabaseFleet::OnChange(const GroupRecord& aRecord)
{
  auto& group = mGroups[aRecord.mGroup];
  group.mRecordedAt = Clock::now();
  group.mUnconfirmedHead.reset();
  WithdrawPlacements(aRecord.mGroup);
  auto leases = LeasesOnReplacedPrimary(aRecord.mGroup);
  // While the change of primary is in progress, StandDown gives these statements some
  // time to finish.
  bool isOver = !group.mLeadership.IsChanging();
  if (leases.empty() || !isOver) {
    return;
  }
  LOG(INFO) << daemon::LogLine("primary_replaced")
                 .With("group", aRecord.mGroup)
                 .With("change", aRecord.mChange)
                 .With("primary", aRecord.mPrimary)
                 .With("connections_closed", leases.size());
  CloseAll(leases);
}

// Waits for the statements that are in progress on the primary of a group whose primary
// is about to change.
struct DatabaseFleet::StandDownWait
{
  std::string mGroup;
  std::uint64_t mChange = 0;
  // When connections whose statements have not finished are closed.
  TimePoint mUntil;
  std::function<void()> mDone;
  Timer mPoll;

  StandDownWait(std::string aGroup,
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
  PollStandDown(std::make_shared<StandDownWait>(
    aGroup, aChange, Clock::now() + kStandDownGrace, std::move(aDone), mLoop));
}

void DatabaseFleet::PollStandDown(const std::shared_ptr<StandDownWait>& aWait)
{
  auto leases = LeasesOnReplacedPrimary(aWait->mGroup);
  if (!leases.empty() && Clock::now() < aWait->mUntil) {
    aWait->mPoll.Set(Clock::now() + kStandDownPoll,
                     [this, aWait] { PollStandDown(aWait); });
    return;
  }
  CloseAll(leases);
  LOG(INFO) << daemon::LogLine("stood_down")
                 .With("group", aWait->mGroup)
                 .With("change", aWait->mChange)
                 .With("connections_closed", leases.size());
  aWait->mDone();
}

bool DatabaseFleet::IsReplaced(const Pending& aPending) const
{
  return aPending.mIsAtPrimary &&
         !IsInForce(aPending.mRequest.mGroup, aPending.mDatabase, aPending.mChange);
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
    bool isPlaced = pending.mRequest.mGroup == aGroup && !pending.mDatabase.empty();
    bool mustMove =
      IsReplaced(pending) || IsAtLeavingReplica(pending) || IsAtExcluded(pending);
    if (!isPlaced || !mustMove) {
      continue;
    }
    if (auto pool = FindPool(pending.mDatabase)) {
      pool->CancelAcquire(it.first);
    }
    pending.mDatabase.clear();
  }
}

std::vector<LeasePtr> DatabaseFleet::LeasesOnReplacedPrimary(
  const std::string& aGroup) const
{
  auto pools = mRetired;
  for (const auto& it : mPools) {
    pools.push_back(it.second);
  }
  // A home that lost its rank may have leases of its own sessions in its home pool.
  for (const auto& it : mHomePools) {
    if (it.second && it.second != FindPool(it.first)) {
      pools.push_back(it.second);
    }
  }
  std::vector<LeasePtr> replaced;
  for (const auto& it : pools) {
    if (!it) {
      continue;
    }
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
    if (!it) {
      OnRoundAnswer(aName, round, std::nullopt);
      continue;
    }
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

// A round that confirms the primary settles the confirmations that concern a time
// before the round was sent; later ones need another round. A failed round about the
// current primary settles all of them as failed. Confirmations about a former primary
// are settled as failed in any case.
void DatabaseFleet::OnRoundOver(const std::string& aName, const RoundPtr& aRound)
{
  auto& group = mGroups[aName];
  group.mRound.reset();
  bool isChanging = group.mLeadership.IsChanging();
  auto change = group.mLeadership.Record().mChange;
  // A round that was started under another change asked about another primary.
  bool isOfThisChange = !isChanging && aRound->mChange == change;
  bool isConfirmed = !aRound->mHasFailed && isOfThisChange;
  if (!isConfirmed) {
    // A round about an earlier primary says nothing about the current one.
    if (aRound->mHasFailed || isChanging) {
      group.mRoundFailedAt = Clock::now();
    }
    group.mUnconfirmedHead.reset();
    LOG(INFO) << daemon::LogLine("primary_unconfirmed")
                   .With("group", aName)
                   .With("primary", group.mLeadership.Record().mPrimary)
                   .With("round_change", aRound->mChange)
                   .With("change", change)
                   .With("changing", isChanging);
  } else if (group.mUnconfirmedHead &&
             group.mUnconfirmedHead->mReceivedAt <= aRound->mSentAt) {
    group.mHeads.Observe(group.mUnconfirmedHead->mPosition,
                         group.mUnconfirmedHead->mSentAt);
    group.mHeadPollSchedule.OnHead(group.mUnconfirmedHead->mSentAt);
    group.mUnconfirmedHead.reset();
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
