#include "proxy/DatabaseFleet.h"

#include <algorithm>

namespace sesameway::proxy {

namespace {

// One way, about: within a zone, between zones of a region, between regions.
constexpr Duration kZoneDistance = microseconds(300);
constexpr Duration kRegionDistance = milliseconds(1);
constexpr Duration kFarDistance = milliseconds(20);
constexpr Duration kRetryPause = milliseconds(300);

} // namespace

std::uint64_t DatabaseFleet::Acquire(const LeaseRequest& aNeed, LeaseCallback aDone)
{
  auto ticket = mNextTicket++;
  mPending[ticket] = { aNeed, std::move(aDone), {} };
  Place(ticket);
  return ticket;
}

void DatabaseFleet::CancelAcquire(std::uint64_t aTicket)
{
  auto node = mPending.extract(aTicket);
  if (node.empty()) {
    return;
  }
  if (auto pool = FindPool(node.mapped().mDatabase)) {
    pool->CancelAcquire(aTicket);
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
  group.mHeadPollSchedule.OnRead(now);
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
    candidate.mShouldAvoid = need.mAvoid.count(it->mName) > 0 || pool->IsEjected(now);
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

} // namespace sesameway::proxy
