#include "proxy/DatabaseFleet.h"

#include "daemon/Log.h"

namespace sesameway::proxy {

namespace {

constexpr const char* kEvacuatedReason = "zone_evacuated";
constexpr const char* kRegionReason = "region_not_allowed";

} // namespace

void DatabaseFleet::OnEvacuation(const std::string& aZone,
                                 const std::string& aBody,
                                 std::uint64_t aRevision)
{
  auto effect = mEvacuations.OnStored(aZone, aBody, aRevision, Clock::now());
  if (effect == Evacuations::Effect::None) {
    return;
  }
  LOG(INFO) << daemon::LogLine("evacuation_begun")
                 .With("zone", aZone)
                 .With("revision", aRevision);
  if (!mRegions.contains(aZone)) {
    LOG(WARNING) << daemon::LogLine("evacuation_of_unknown_zone")
                      .With("zone", aZone)
                      .With("expected", "a zone of the settings")
                      .With("revision", aRevision);
  }
  for (const auto& it : mGroups) {
    WithdrawPlacements(it.first);
  }
  Tick();
}

void DatabaseFleet::OnEvacuationRemoved(const std::string& aZone,
                                        std::uint64_t aRevision)
{
  auto effect = mEvacuations.OnRemoved(aZone, aRevision, Clock::now());
  if (effect == Evacuations::Effect::Ended) {
    LOG(INFO) << daemon::LogLine("evacuation_ended")
                   .With("zone", aZone)
                   .With("revision", aRevision);
  } else if (effect == Evacuations::Effect::LostInStore) {
    LOG(WARNING) << daemon::LogLine("evacuation_lost_in_store")
                      .With("zone", aZone)
                      .With("revision", aRevision);
  }
}

bool DatabaseFleet::MustEndTransaction(const ConnectionLease& aLease) const
{
  if (mEvacuations.IsEmpty()) {
    return false;
  }
  const auto* listed = mList.Find(aLease.mDatabase);
  return listed != nullptr &&
         mEvacuations.EndsTransactions(listed->mZone, Clock::now());
}

bool DatabaseFleet::IsAtExcluded(const Pending& aPending) const
{
  const auto* listed = mList.Find(aPending.mDatabase);
  return listed != nullptr && ReasonToExclude(aPending.mRequest, *listed) != nullptr;
}

const char* DatabaseFleet::ReasonToExclude(const LeaseRequest& aRequest,
                                           const ListedDatabase& aDatabase) const
{
  if (mEvacuations.Contains(aDatabase.mZone)) {
    return kEvacuatedReason;
  }
  auto region = mRegions.find(aDatabase.mZone);
  std::string_view name =
    region == mRegions.end() ? std::string_view() : region->second;
  return aRequest.mAllowedRegions.Allows(name) ? nullptr : kRegionReason;
}

void DatabaseFleet::SetDaemonNames(std::vector<std::string> aNames)
{
  mDaemonNames = std::move(aNames);
}

std::optional<double> DatabaseFleet::ColdRate(const ListedDatabase& aDatabase,
                                              TimePoint aNow) const
{
  auto allowance = mColdAllowances.find(aDatabase.mName);
  if (allowance == mColdAllowances.end() || !allowance->second.IsCold(aNow)) {
    return std::nullopt;
  }
  const auto* group = mCatalogue ? mCatalogue->FindGroup(aDatabase.mGroup) : nullptr;
  bool isBound = group != nullptr && group->mColdPerS > 0;
  return isBound ? std::optional(group->mColdPerS) : std::nullopt;
}

// A daemon that is not among the known ones, because it has just started, gets nothing.
double DatabaseFleet::ColdShare(const ListedDatabase& aDatabase, double aRate) const
{
  auto rank = ColdRank(aDatabase.mName, mName, mDaemonNames);
  auto starters = ColdStarters(aRate, mColdOver, mColdSlack, mDaemonNames.size());
  bool isStarter = rank && *rank < starters;
  return isStarter ? aRate / static_cast<double>(starters) : 0;
}

std::optional<TimePoint> DatabaseFleet::TakeColdStart(const ListedDatabase& aDatabase,
                                                      TimePoint aNow)
{
  auto rate = ColdRate(aDatabase, aNow);
  return rate ? mColdAllowances[aDatabase.mName].TakeStart(ColdShare(aDatabase, *rate),
                                                           aNow)
              : std::nullopt;
}

void DatabaseFleet::NoteColdStatement(const std::string& aDatabase, TimePoint aNow)
{
  const auto* listed = mList.Find(aDatabase);
  auto rate = listed != nullptr ? ColdRate(*listed, aNow) : std::nullopt;
  if (rate) {
    mColdAllowances[aDatabase].OnSent(ColdShare(*listed, *rate), aNow);
  }
}

// While a change of primary is in progress, a request that needs the primary waits for
// the new one, unless no database of the group may take it.
const char* DatabaseFleet::ReasonToRefuse(const LeaseRequest& aRequest) const
{
  if (mEvacuations.IsEmpty() && aRequest.mAllowedRegions.AllowsAll()) {
    return nullptr;
  }
  const char* reason = nullptr;
  bool isAnyLeft = false;
  const auto* leadership = FindLeadership(aRequest.mGroup);
  bool isPrimaryFixed =
    aRequest.mNeedsPrimary && leadership != nullptr && !leadership->IsChanging();
  for (const auto* it : mList.OfGroup(aRequest.mGroup)) {
    const auto* excluded = ReasonToExclude(aRequest, *it);
    if (excluded == nullptr) {
      isAnyLeft = true;
      continue;
    }
    if (isPrimaryFixed && it->mName == leadership->Record().mPrimary) {
      return excluded;
    }
    reason = excluded;
  }
  return isAnyLeft ? nullptr : reason;
}

} // namespace sesameway::proxy
