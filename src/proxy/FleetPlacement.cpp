#include "proxy/DatabaseFleet.h"

#include <algorithm>
#include <utility>

namespace sesameway::proxy {

namespace {

// Approximate one-way network latencies: within an availability zone, between zones of
// a region, and between regions.
constexpr Duration kSameZoneLatency = microseconds(300);
constexpr Duration kSameRegionLatency = milliseconds(1);
constexpr Duration kOtherRegionLatency = milliseconds(20);
constexpr Duration kRetryPause = milliseconds(300);
// Retry time of requests that no database may serve. A change of primary usually takes
// about this long.
constexpr Duration kExcludedPause = milliseconds(1000);

} // namespace

std::uint64_t DatabaseFleet::Acquire(const LeaseRequest& aRequest, LeaseCallback aDone)
{
  auto ticket = mNextTicket++;
  mPending[ticket] = { aRequest, std::move(aDone), {} };
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
  const auto& request = pending.mRequest;
  if (const auto* reason = ReasonToRefuse(request)) {
    Refuse(aTicket, reason, Clock::now() + kExcludedPause);
    return;
  }
  if (!request.mNeedsPrimary) {
    PlaceRead(aTicket);
    return;
  }
  auto& leadership = mGroups[request.mGroup].mLeadership;
  auto now = Clock::now();
  if (!MayTryPrimary(request.mGroup, now)) {
    // A change of primary ends soon, so that waiting is worthwhile. How long lost
    // contact with the store lasts is unknown, so the request is refused.
    bool isWorthWaiting = leadership.IsChanging() || leadership.Revision() == 0;
    if (!isWorthWaiting) {
      Refuse(aTicket, "no_contact", now + kRetryPause);
    }
    return;
  }
  auto pool = FindPool(leadership.Record().mPrimary);
  if (pool && !IsSuspect(*pool, now)) {
    PlaceAt(aTicket, pool, true);
  }
}

void DatabaseFleet::PlaceRead(std::uint64_t aTicket)
{
  const auto& request = mPending.at(aTicket).mRequest;
  auto& group = mGroups[request.mGroup];
  auto now = Clock::now();
  group.mHeadPollSchedule.OnRead(now);
  auto after = group.mHeads.HeadSince(request.mFreshSince);
  if (after && request.mToken) {
    after = std::max(*after, *request.mToken);
  }
  bool mayUsePrimary = MayTryPrimary(request.mGroup, now);
  std::vector<ReadCandidate> candidates;
  for (const auto* it : mList.OfGroup(request.mGroup)) {
    auto pool = FindPool(it->mName);
    if (mPending.at(aTicket).mOverloaded.count(it->mName) > 0) {
      continue;
    }
    bool isPrimary = it->mName == group.mLeadership.Record().mPrimary;
    if (!pool || IsSuspect(*pool, now) || (isPrimary && !mayUsePrimary) ||
        (!isPrimary && it->mIsLeaving) || ReasonToExclude(request, *it) != nullptr) {
      continue;
    }
    ReadCandidate candidate;
    candidate.mName = it->mName;
    candidate.mIsPrimary = isPrimary;
    candidate.mDistance = LatencyTo(it->mZone);
    candidate.mExpectedWait = ExpectedWaitAt(*pool, request.mTerms, now);
    candidate.mPosition = pool->Position(now);
    // The primary holds every position that it has acknowledged.
    candidate.mIsTooOld = request.mLaggingDatabases.count(it->mName) > 0 ||
                          (!isPrimary && pool->Lag().IsLagging(after, now));
    candidate.mShouldAvoid =
      request.mAvoid.count(it->mName) > 0 || pool->IsEjected(now) || ColdRate(*it, now);
    candidates.push_back(std::move(candidate));
  }
  auto choice = ChooseForFreshRead(candidates, after);
  if (choice) {
    const auto& chosen = candidates[*choice];
    auto pool = FindPool(chosen.mName);
    pool->Lag().OnChosen(after, now);
    PlaceAt(aTicket, pool, chosen.mIsPrimary);
  } else if (!mPending.at(aTicket).mOverloaded.empty()) {
    Refuse(aTicket, "overloaded", mPending.at(aTicket).mRetryAt);
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
  const auto& terms = pending.mRequest.mTerms;
  // A home alone knows what waits before this statement; what it reported last was
  // about another one.
  bool isBorrowing = aPool->Kind() == PoolKind::Borrowing;
  auto wait = isBorrowing ? Duration::zero() : ExpectedWaitAt(*aPool, terms, now);
  if (now + wait > pending.mRequest.mDeadline) {
    Refuse(aTicket, "overloaded", now + wait);
    return;
  }
  if (auto until = aPool->RefusedUntil(terms)) {
    pending.mDatabase = aPool->Listed().mName;
    OnOverload(aTicket, *until);
    return;
  }
  // At homes the queue bounds what starts at a cold database.
  bool isDirect = aPool->Kind() == PoolKind::Direct;
  auto coldUntil = isDirect ? TakeColdStart(aPool->Listed(), now) : std::nullopt;
  if (coldUntil) {
    Refuse(aTicket, "database_cold", *coldUntil);
    return;
  }
  pending.mDatabase = aPool->Listed().mName;
  pending.mIsAtPrimary = aIsPrimary;
  pending.mChange = mGroups[pending.mRequest.mGroup].mLeadership.Record().mChange;
  aPool->Acquire(
    aTicket, pending.mRequest, [this, aTicket](tl::expected<LeasePtr, Refusal> aLease) {
      OnGranted(aTicket, std::move(aLease));
    });
}

void DatabaseFleet::OnGranted(std::uint64_t aTicket,
                              tl::expected<LeasePtr, Refusal> aLease)
{
  auto it = mPending.find(aTicket);
  if (it == mPending.end()) {
    if (aLease) {
      Release(*aLease, false);
    }
    return;
  }
  auto& pending = it->second;
  bool isBlocked =
    pending.mIsAtPrimary &&
    (IsReplaced(pending) || !MayTryPrimary(pending.mRequest.mGroup, Clock::now()));
  if (aLease && isBlocked) {
    Release(*aLease, false);
  }
  if (!aLease || isBlocked) {
    // Tick chooses again: another database, or the same one a little later.
    pending.mRequest.mAvoid.insert(pending.mDatabase);
    pending.mDatabase.clear();
    return;
  }
  (*aLease)->mIsPrimary = pending.mIsAtPrimary;
  (*aLease)->mChange = pending.mChange;
  auto node = mPending.extract(it);
  node.mapped().mDone(std::move(aLease));
}

// A read may be served by another database. A statement that needs the primary is
// refused at once, because waiting would not help it.
void DatabaseFleet::OnOverload(std::uint64_t aTicket, TimePoint aRetryAt)
{
  auto& pending = mPending.at(aTicket);
  pending.mOverloaded.insert(std::exchange(pending.mDatabase, {}));
  pending.mRetryAt = std::min(pending.mRetryAt, aRetryAt);
  if (pending.mRequest.mNeedsPrimary) {
    Refuse(aTicket, "overloaded", aRetryAt);
  } else {
    PlaceRead(aTicket);
  }
}

void DatabaseFleet::Refuse(std::uint64_t aTicket,
                           const char* aReason,
                           TimePoint aRetryAt)
{
  auto node = mPending.extract(aTicket);
  node.mapped().mDone(tl::unexpected(Refusal{ ReplyCode::Busy, aReason, aRetryAt }));
}

Duration DatabaseFleet::LatencyTo(const std::string& aZone) const
{
  if (aZone == mZone) {
    return kSameZoneLatency;
  }
  auto own = mRegions.find(mZone);
  auto other = mRegions.find(aZone);
  bool isNear =
    own != mRegions.end() && other != mRegions.end() && own->second == other->second;
  return isNear ? kSameRegionLatency : kOtherRegionLatency;
}

} // namespace sesameway::proxy
