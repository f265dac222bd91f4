#include "daemon/Admission.h"

#include <algorithm>
#include <utility>

namespace sesameway::daemon {

namespace {

// The maximum number of tokens accepted from a message of another daemon, so that the
// number fits into NanoTokens.
constexpr double kMaxTokensPerMessage = 1e6;

} // namespace

StaticAdmission::StaticAdmission(std::function<std::size_t()> aDaemons)
  : mDaemons(std::move(aDaemons))
{
}

void StaticAdmission::Admit(const Organisation& aOrganisation,
                            TimePoint,
                            AdmitCallback aDone)
{
  double share = 1.0 / static_cast<double>(std::max<std::size_t>(1, mDaemons()));
  auto now = Clock::now();
  bool isAdmitted = false;
  TimePoint retryAt = now;
  {
    std::lock_guard lock(mMutex);
    auto& bucket = mBuckets[aOrganisation.mName];
    if (bucket.mAt == TimePoint{}) {
      bucket.mAt = now;
    }
    double passed = std::chrono::duration<double>(now - bucket.mAt).count();
    bucket.mTokens = std::min(aOrganisation.mBurst * share,
                              bucket.mTokens + passed * aOrganisation.mRate * share);
    bucket.mAt = now;
    isAdmitted = bucket.mTokens >= 1;
    if (isAdmitted) {
      bucket.mTokens -= 1;
    } else {
      double wait = (1 - bucket.mTokens) / std::max(0.001, aOrganisation.mRate * share);
      retryAt =
        now + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(wait));
    }
  }
  aDone(isAdmitted, retryAt);
}

peer::TokenGrant StaticAdmission::LendTokens(const std::string&, std::uint64_t, double)
{
  return {};
}

FleetAdmission::FleetAdmission(Workers& aWorkers, Metrics& aMetrics, peer::Member aSelf)
  : mWorkers(aWorkers)
  , mMetrics(aMetrics)
  , mSelf(std::move(aSelf))
{
}

void FleetAdmission::Start(peer::Peers* aPeers)
{
  mPeers = aPeers;
}

void FleetAdmission::Admit(const Organisation& aOrganisation,
                           TimePoint aDeadline,
                           AdmitCallback aDone)
{
  auto entry = Find(aOrganisation.mName);
  if (!entry) {
    entry = FindOrAdd(aOrganisation);
  }
  Step(entry, [&](Entry& aEntry, TimePoint aNow) {
    UpdateLenders(aEntry);
    auto ticket = aEntry.mNextTicket++;
    aEntry.mCallbacks[ticket] = std::move(aDone);
    return aEntry.mLimiter.Admit(ticket, aDeadline, aNow);
  });
}

peer::TokenGrant FleetAdmission::LendTokens(const std::string& aOrganisation,
                                            std::uint64_t,
                                            double aWanted)
{
  auto entry = Find(aOrganisation);
  // NaN is out of range as well, because comparisons with it are false.
  bool isInRange = aWanted >= 1 && aWanted <= kMaxTokensPerMessage;
  if (!entry || !isInRange) {
    return {};
  }
  Loan loan;
  {
    std::lock_guard lock(entry->mMutex);
    auto wanted = static_cast<NanoTokens>(aWanted) * kOneToken;
    loan = entry->mLimiter.Lend(wanted, Clock::now());
  }
  std::int64_t tokens = loan.mTokens / kOneToken;
  mMetrics.Count("limits.lent", tokens);
  return { static_cast<double>(tokens), loan.mNext };
}

// Creates the buckets of all organisations, so that they fill before the first
// statement arrives.
void FleetAdmission::OnCatalogue(const Catalogue& aCatalogue)
{
  for (const auto& it : aCatalogue.mOrganisations) {
    const auto& organisation = it.second;
    auto entry = FindOrAdd(organisation);
    std::shared_lock lock(mMutex);
    std::lock_guard entryLock(entry->mMutex);
    bool isSame = entry->mOrganisation.mRate == organisation.mRate &&
                  entry->mOrganisation.mBurst == organisation.mBurst;
    if (!isSame) {
      entry->mOrganisation = organisation;
      SetShare(*entry, mSnapshot);
    }
  }
}

void FleetAdmission::OnShareSnapshot(ShareSnapshotPtr aSnapshot)
{
  std::lock_guard lock(mMutex);
  bool isRenewal = aSnapshot->mHeld.mSlots == mSnapshot->mHeld.mSlots &&
                   aSnapshot->mTable == mSnapshot->mTable &&
                   aSnapshot->mAddresses == mSnapshot->mAddresses;
  mSnapshot = std::move(aSnapshot);
  for (const auto& it : mEntries) {
    std::lock_guard entryLock(it.second->mMutex);
    if (isRenewal) {
      it.second->mShare.mLeaseEnd = mSnapshot->mHeld.mLeaseEnd;
      it.second->mLimiter.SetShare(it.second->mShare, Clock::now());
    } else {
      SetShare(*it.second, mSnapshot);
    }
  }
}

FleetAdmission::EntryPtr FleetAdmission::Find(const std::string& aName) const
{
  std::shared_lock lock(mMutex);
  auto it = mEntries.find(aName);
  return it == mEntries.end() ? nullptr : it->second;
}

FleetAdmission::EntryPtr FleetAdmission::FindOrAdd(const Organisation& aOrganisation)
{
  std::lock_guard lock(mMutex);
  auto& entry = mEntries[aOrganisation.mName];
  if (!entry) {
    entry = std::make_shared<Entry>();
    entry->mOrganisation = aOrganisation;
    SetShare(*entry, mSnapshot);
  }
  return entry;
}

// Ranking the lenders of every organisation takes time in proportion to organisations
// and daemons together, and the table of shares changes often while a fleet starts. The
// lenders are therefore chosen when a statement of the organisation comes, at once only
// if one is waiting.
void FleetAdmission::SetShare(Entry& aEntry, const ShareSnapshotPtr& aSnapshot) const
{
  aEntry.mShare = ShareOf(aEntry.mOrganisation, aSnapshot->mHeld);
  aEntry.mLimiter.SetShare(aEntry.mShare, Clock::now());
  aEntry.mNewLenders = aSnapshot;
  if (!aEntry.mCallbacks.empty()) {
    UpdateLenders(aEntry);
  }
}

void FleetAdmission::UpdateLenders(Entry& aEntry) const
{
  if (auto snapshot = std::exchange(aEntry.mNewLenders, nullptr)) {
    aEntry.mLimiter.SetLenders(
      FindLenders(aEntry.mOrganisation, snapshot->mTable, mSelf.mName, mSelf.mZone));
  }
}

void FleetAdmission::Step(const EntryPtr& aEntry, const StepFunction& aFunction)
{
  LimiterStep step;
  std::vector<std::pair<AdmitCallback, sesameway::AdmissionDecision>> verdicts;
  bool needsTimer = false;
  {
    std::lock_guard lock(aEntry->mMutex);
    step = aFunction(*aEntry, Clock::now());
    for (const auto& it : step.mDecisions) {
      verdicts.emplace_back(std::move(aEntry->mCallbacks.extract(it.mTicket).mapped()),
                            it);
    }
    needsTimer = step.mNextTick < aEntry->mTickAt;
    if (needsTimer) {
      aEntry->mTickAt = step.mNextTick;
    }
  }
  for (auto& it : verdicts) {
    mMetrics.Count(it.second.mAdmitted ? "limits.admitted" : "limits.refused");
    it.first(it.second.mAdmitted, it.second.mRetryAt);
  }
  for (const auto& it : step.mTokenRequests) {
    RequestTokens(aEntry, it);
  }
  if (!needsTimer) {
    return;
  }
  mWorkers.RunAt(step.mNextTick, [self = shared_from_this(), aEntry] {
    self->Step(aEntry, [](Entry& aIt, TimePoint aNow) {
      aIt.mTickAt = TimePoint::max();
      return aIt.mLimiter.OnTick(aNow);
    });
  });
}

void FleetAdmission::RequestTokens(const EntryPtr& aEntry,
                                   const TokenRequest& aTokenRequest)
{
  std::string address;
  {
    std::shared_lock lock(mMutex);
    auto it = mSnapshot->mAddresses.find(aTokenRequest.mLender);
    address = it == mSnapshot->mAddresses.end() ? std::string() : it->second;
  }
  auto onGiven = [self = shared_from_this(), aEntry, id = aTokenRequest.mId](
                   const peer::TokenGrant& aGrant) {
    bool isInRange = aGrant.mTokens >= 1 && aGrant.mTokens <= kMaxTokensPerMessage;
    Loan loan{ isInRange ? static_cast<NanoTokens>(aGrant.mTokens) * kOneToken : 0,
               aGrant.mNext };
    self->mMetrics.Count("limits.borrowed", loan.mTokens / kOneToken);
    self->mWorkers.Post([self, aEntry, id, loan] {
      self->Step(aEntry, [&](Entry& aIt, TimePoint aNow) {
        return aIt.mLimiter.OnLoan(id, loan, aNow);
      });
    });
  };
  if (address.empty()) {
    onGiven({});
    return;
  }
  mMetrics.Count("limits.asked");
  std::int64_t wanted = (aTokenRequest.mWanted + kOneToken - 1) / kOneToken;
  mPeers->TakeTokens(address,
                     aEntry->mOrganisation.mName,
                     mSelf.mIncarnation,
                     static_cast<double>(wanted),
                     aTokenRequest.mDeadline,
                     onGiven);
}

} // namespace sesameway::daemon
