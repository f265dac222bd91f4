#include "proxy/CoordinatorRun.h"

#include "daemon/Log.h"

namespace sesameway::proxy {

namespace {

constexpr Duration kWriteTimeout = milliseconds(1000);
constexpr Duration kStatusTimeout = milliseconds(700);
constexpr Duration kPeerTimeout = milliseconds(500);
// A daemon answers only after its last statements on the primary have ended.
constexpr Duration kStandDownTimeout = milliseconds(900);
constexpr Duration kOrderTimeout = milliseconds(2000);

std::string JoinNames(const std::vector<std::string>& aNames)
{
  std::string text;
  for (const auto& it : aNames) {
    text += (text.empty() ? "" : ",") + it;
  }
  return text.empty() ? "-" : text;
}

std::string AddressOf(const std::vector<MemberRecord>& aMembers,
                      const std::string& aDaemon)
{
  for (const auto& it : aMembers) {
    if (it.mName == aDaemon) {
      return it.mAddress;
    }
  }
  return {};
}

} // namespace

CoordinatorRun::CoordinatorRun(Parts aParts,
                               const peer::Member& aSelf,
                               std::uint32_t aRank)
  : mParts(std::move(aParts))
  , mSelf(aSelf)
  , mLease(aSelf.mName, aSelf.mAddress, aSelf.mIncarnation, aRank)
{
}

void CoordinatorRun::OnRecord(const std::optional<StoredObject>& aObject)
{
  auto now = Clock::now();
  if (!aObject) {
    mLease.OnNoRecord(now);
    return;
  }
  if (aObject->mDeleted) {
    LOG(WARNING) << daemon::LogLine("coordinator_record_removed")
                      .With("revision", aObject->mRevision);
    mLease.OnRemoved(aObject->mRevision, now);
    return;
  }
  auto record = ParseCoordinatorRecord(aObject->mBody);
  if (!record) {
    LOG(WARNING) << daemon::LogLine("coordinator_record_unreadable")
                      .With("expected", record.error());
    return;
  }
  mLease.OnRecord(*record, aObject->mRevision, now);
}

void CoordinatorRun::Tick()
{
  auto now = Clock::now();
  auto generation = GenerationOf(mParts.mSync.OwnRevision());
  if (auto write = mLease.Next(now, generation)) {
    Write(*write);
  }
  bool isCoordinator = mLease.IsHolder(now);
  if (isCoordinator != mIsCoordinator) {
    mIsCoordinator = isCoordinator;
    mPlans.clear();
    mLoggedWaits.clear();
    mMemberWatch = MemberWatch();
    mDaemonPoll = DaemonPoll();
    mPendingStandDowns.clear();
    LOG(INFO) << daemon::LogLine(isCoordinator ? "coordinator" : "coordinator_over")
                   .With("fence", mLease.Fence());
  }
  if (!isCoordinator) {
    return;
  }
  auto members = mParts.mMembers();
  StepMembers(members, now);
  for (const auto& it : mParts.mFleet.Groups()) {
    StepGroup(it, members, now);
  }
  PollDaemons(members, now);
}

void CoordinatorRun::StepMembers(const std::vector<MemberRecord>& aMembers,
                                 TimePoint aNow)
{
  for (const auto& it : mMemberWatch.Step(aMembers, mSelf.mName, aNow)) {
    std::visit([this](const auto& aAction) { Execute(aAction); }, it);
  }
}

void CoordinatorRun::Execute(const MemberWatch::MarkMissing& aAction)
{
  auto name = kMemberPrefix + aAction.mName;
  auto object = mParts.mSync.Find(name);
  auto record = object ? ParseMemberRecord(object->mBody)
                       : tl::unexpected(std::string("no record"));
  if (!record) {
    return;
  }
  record->mIsMissing = true;
  LOG(INFO) << daemon::LogLine("member_missing")
                 .With("name", aAction.mName)
                 .With("address", record->mAddress)
                 .With("revision", object->mRevision);
  auto onResult = [self =
                     shared_from_this()](std::optional<platform::PutResult> aResult) {
    self->mParts.mSync.Apply(aResult);
  };
  mParts.mStore.Put(name,
                    FormatMemberRecord(*record),
                    object->mVersion,
                    false,
                    Clock::now() + kWriteTimeout,
                    std::move(onResult));
}

// If the daemon has rewritten its record in the meantime, the version differs, so the
// compare-and-set fails and the record stays.
void CoordinatorRun::Execute(const MemberWatch::Remove& aAction)
{
  auto name = kMemberPrefix + aAction.mName;
  auto object = mParts.mSync.Find(name);
  if (!object) {
    return;
  }
  LOG(INFO) << daemon::LogLine("member_removed")
                 .With("name", aAction.mName)
                 .With("revision", object->mRevision);
  mParts.mStore.Put(name,
                    {},
                    object->mVersion,
                    true,
                    Clock::now() + kWriteTimeout,
                    [](const std::optional<platform::PutResult>&) {
                      // The removal arrives with the store's changes.
                    });
}

void CoordinatorRun::Write(const CoordinatorLease::Write& aWrite)
{
  auto now = Clock::now();
  auto onResult = [self =
                     shared_from_this()](std::optional<platform::PutResult> aResult) {
    auto revision = aResult
                      ? std::optional(aResult->mApplied ? aResult->mObject.mRevision
                                                        : std::uint64_t{ 0 })
                      : std::nullopt;
    self->mLease.OnWritten(revision, Clock::now());
    self->mParts.mSync.Apply(aResult);
  };
  mParts.mStore.Put(kCoordinatorObject,
                    FormatCoordinatorRecord(aWrite.mRecord),
                    aWrite.mExpected,
                    false,
                    now + kWriteTimeout,
                    std::move(onResult));
}

void CoordinatorRun::StepGroup(const std::string& aGroup,
                               const std::vector<MemberRecord>& aMembers,
                               TimePoint aNow)
{
  const auto* leadership = mParts.mFleet.FindLeadership(aGroup);
  if (leadership == nullptr) {
    return;
  }
  auto& plan = mPlans.try_emplace(aGroup, aGroup).first->second;
  PromotionPlan::ClusterState clusterState;
  clusterState.mDatabases = mParts.mFleet.OfGroup(aGroup);
  clusterState.mSelf = mSelf.mName;
  for (const auto& it : aMembers) {
    clusterState.mDaemons.push_back(it.mName);
    if (it.mIsMissing) {
      clusterState.mMissing.insert(it.mName);
    }
  }
  clusterState.mRevision = mParts.mSync.OwnRevision();
  clusterState.mFence = mLease.Fence();
  clusterState.mEvacuatedZones = mParts.mFleet.CurrentEvacuations().Zones();
  clusterState.mSyncReplicas = mParts.mFleet.SyncReplicas(aGroup);
  for (const auto* it : clusterState.mDatabases) {
    plan.OnHeard(it->mName, mParts.mFleet.HeardAt(it->mName));
  }
  const auto& record = leadership->Record();
  plan.OnContactReport(mSelf.mName, mParts.mFleet.Silence(record.mPrimary, aNow), aNow);
  auto actions = plan.Step(record, leadership->StoredRevision(), clusterState, aNow);
  LogWait(aGroup, record, plan.Wait());
  for (const auto& it : actions) {
    std::visit([&](const auto& aAction) { Execute(aGroup, aAction); }, it);
  }
}

// Logs why a group stays without a primary, once for each reason in a row.
void CoordinatorRun::LogWait(const std::string& aGroup,
                             const GroupRecord& aRecord,
                             PromotionWait aWait)
{
  auto& logged = mLoggedWaits[aGroup];
  if (std::exchange(logged, aWait) == aWait || aWait == PromotionWait::None) {
    return;
  }
  auto syncReplicas = mParts.mFleet.SyncReplicas(aGroup);
  LOG(INFO) << daemon::LogLine("promotion_waits")
                 .With("group", aGroup)
                 .With("change", aRecord.mChange)
                 .With("for", kPromotionWaitNames.Name(aWait))
                 .With("sync_replicas",
                       syncReplicas ? std::to_string(*syncReplicas) : "unknown");
}

void CoordinatorRun::Execute(const std::string& aGroup,
                             const PromotionPlan::Probe& aAction)
{
  ConnectionCommand status;
  status.mKind = CommandKind::Status;
  auto askedAt = Clock::now();
  auto onReply = [self = shared_from_this(), aGroup, aAction, askedAt](
                   std::optional<ConnectionReply> aReply) {
    auto* plan = self->FindPlan(aGroup);
    bool hasRow = aReply && aReply->mCode == ReplyCode::Done && !aReply->mRows.empty();
    if (plan == nullptr || !hasRow) {
      return;
    }
    if (auto report = self->mParts.mReadStatus(aReply->mRows.front())) {
      plan->OnReport(aAction.mDatabase, *report, askedAt);
    }
  };
  mParts.mFleet.Ask(
    aAction.mDatabase, status, askedAt + kStatusTimeout, std::move(onReply));
}

void CoordinatorRun::Execute(const std::string& aGroup,
                             const PromotionPlan::QueryDaemons& aAction)
{
  // Losses of any group are asked for in any case.
  if (aAction.mIsUrgent) {
    mDaemonPoll.AskAbout(aGroup);
  }
}

void CoordinatorRun::PollDaemons(const std::vector<MemberRecord>& aMembers,
                                 TimePoint aNow)
{
  std::vector<std::string> others;
  for (const auto& it : aMembers) {
    if (it.mName != mSelf.mName) {
      others.push_back(it.mName);
    }
  }
  for (auto& it : mDaemonPoll.Next(others, aNow)) {
    auto onHints = [self = shared_from_this(),
                    name = it.mDaemon](std::optional<peer::PrimaryHints> aHints) {
      self->mParts.mLoop.Post(
        [self, name, hints = std::move(aHints)] { self->OnHints(name, hints); });
    };
    mPeers->Primaries(AddressOf(aMembers, it.mDaemon),
                      std::move(it.mGroups),
                      aNow + kPeerTimeout,
                      std::move(onHints));
  }
}

void CoordinatorRun::OnHints(const std::string& aDaemon,
                             const std::optional<peer::PrimaryHints>& aHints)
{
  auto now = Clock::now();
  if (!aHints || !mIsCoordinator) {
    return;
  }
  mMemberWatch.OnAnswer(aDaemon, now);
  for (const auto& it : *aHints) {
    const auto& hint = it.second;
    if (auto* plan = FindPlan(it.first)) {
      auto silence =
        hint.mDatabase.empty() ? std::nullopt : std::optional(hint.mSeenAge);
      plan->OnContactReport(aDaemon, silence, now);
    }
  }
}

void CoordinatorRun::Execute(const std::string& aGroup,
                             const PromotionPlan::WriteRecord& aAction)
{
  const auto& record = aAction.mRecord;
  auto* plan = FindPlan(aGroup);
  LOG(INFO) << daemon::LogLine("write_group_record")
                 .With("group", aGroup)
                 .With("phase", kGroupPhaseNames.Name(record.mPhase))
                 .With("change", record.mChange)
                 .With("term", record.mTerm)
                 .With("primary", record.mPrimary)
                 .With("target", record.mTarget)
                 .With("cause", kPromotionCauseNames.Name(plan->ChangeCause()))
                 .With("expected", aAction.mExpected);
  auto onResult = [self = shared_from_this(),
                   aGroup](std::optional<platform::PutResult> aResult) {
    self->mParts.mSync.Apply(aResult);
    if (auto* plan = self->FindPlan(aGroup)) {
      plan->OnWritten(aResult ? std::optional(aResult->mApplied) : std::nullopt,
                      Clock::now());
      // A promotion order that waits for this record is sent at once instead of at the
      // next tick.
      if (aResult && aResult->mApplied) {
        self->StepGroup(aGroup, self->mParts.mMembers(), Clock::now());
      }
    }
  };
  mParts.mStore.Put(kGroupPrefix + aGroup,
                    FormatGroupRecord(record),
                    aAction.mExpected,
                    false,
                    Clock::now() + kWriteTimeout,
                    std::move(onResult));
}

void CoordinatorRun::Execute(const std::string& aGroup,
                             const PromotionPlan::AskStandDown& aAction)
{
  auto now = Clock::now();
  auto change = aAction.mChange;
  auto members = mParts.mMembers();
  for (const auto& it : aAction.mDaemons) {
    auto& askedAt = mPendingStandDowns[{ it, aGroup }];
    if (now - askedAt < kStandDownTimeout) {
      continue;
    }
    askedAt = now;
    auto onDone = [self = shared_from_this(), aGroup, change, name = it](bool aIsDone) {
      self->mParts.mLoop.Post([self, aGroup, change, name, aIsDone] {
        self->mPendingStandDowns.erase({ name, aGroup });
        auto* plan = self->FindPlan(aGroup);
        if (plan != nullptr && aIsDone) {
          plan->OnStoodDown(name, change);
        }
      });
    };
    if (it == mSelf.mName) {
      mParts.mFleet.StandDown(aGroup, change, [onDone] { onDone(true); });
    } else {
      mPeers->StandDown(AddressOf(members, it),
                        aGroup,
                        change,
                        now + kStandDownTimeout,
                        std::move(onDone));
    }
  }
}

void CoordinatorRun::Execute(const std::string& aGroup,
                             const PromotionPlan::OrderPromotion& aAction)
{
  auto fence = mLease.Fence();
  LOG(INFO) << daemon::LogLine("order_promotion")
                 .With("group", aGroup)
                 .With("database", aAction.mDatabase)
                 .With("reports", JoinNames(aAction.mReports))
                 .With("stood_down", aAction.mStoodDown)
                 .With("waited_out", JoinNames(aAction.mWaitedOut))
                 .With("fence", fence);
  auto onDone =
    [self = shared_from_this(), aGroup, aAction](std::optional<bool> aIsTaken) {
      LOG(INFO) << daemon::LogLine("promotion_answered")
                     .With("group", aGroup)
                     .With("database", aAction.mDatabase)
                     .With("outcome",
                           !aIsTaken   ? "no_answer"
                           : *aIsTaken ? "taken"
                                       : "refused");
      if (auto* plan = self->FindPlan(aGroup)) {
        plan->OnOrdered(aIsTaken, Clock::now());
      }
    };
  mParts.mPromotionClient.Promote(aGroup,
                                  aAction.mDatabase,
                                  mSelf.mName,
                                  fence,
                                  Clock::now() + kOrderTimeout,
                                  std::move(onDone));
}

void CoordinatorRun::Execute(const std::string& aGroup,
                             const PromotionPlan::OrderDemotion& aAction)
{
  LOG(INFO) << daemon::LogLine("order_demotion")
                 .With("group", aGroup)
                 .With("database", aAction.mDatabase)
                 .With("term", aAction.mTerm);
  ConnectionCommand demote;
  demote.mKind = CommandKind::Demote;
  demote.mTerm = aAction.mTerm;
  mParts.mFleet.Ask(aAction.mDatabase,
                    demote,
                    Clock::now() + kStatusTimeout,
                    [aAction](std::optional<ConnectionReply> aReply) {
                      LOG(INFO) << daemon::LogLine("demotion_answered")
                                     .With("database", aAction.mDatabase)
                                     .With("outcome",
                                           aReply ? kReplyCodeNames.Name(aReply->mCode)
                                                  : "no_answer");
                    });
}

PromotionPlan* CoordinatorRun::FindPlan(const std::string& aGroup)
{
  auto it = mPlans.find(aGroup);
  bool isHolder = mIsCoordinator && mLease.IsHolder(Clock::now());
  return isHolder && it != mPlans.end() ? &it->second : nullptr;
}

} // namespace sesameway::proxy
