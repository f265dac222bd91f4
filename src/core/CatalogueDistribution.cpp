#include "sesameway/CatalogueDistribution.h"

#include <algorithm>

namespace sesameway {

namespace {

// A lease may be taken over when its version has not changed for this long.
constexpr Duration kLeasePeriod = seconds(4);
constexpr Duration kRenewInterval = milliseconds(1500);
// Interval between the attempts of a zone's daemons to take over the lease, so that one
// attempt is over before the next begins.
constexpr Duration kChallengeSpacing = milliseconds(500);
constexpr Duration kChallengeInterval = seconds(2);
constexpr Duration kVmsInterval = seconds(2);
constexpr Duration kListInterval = milliseconds(500);
constexpr Duration kAskLimit = seconds(2);
constexpr std::size_t kAskedAtStart = 3;
constexpr Duration kPullInterval = seconds(1);
constexpr Duration kReaderPullInterval = seconds(5);
// If the last contact is older than kStaleContact, the parent in the tree is not relied
// on and the first few daemons of a zone ask other zones. Beyond kVeryStaleContact all
// do.
constexpr Duration kStaleContact = milliseconds(3500);
constexpr Duration kVeryStaleContact = seconds(5);
// Two calls that the store answered as down belong to the same outage if they were sent
// within this time. This assumes that the store stays up between outages for longer
// than this time plus the timeout of a call.
constexpr Duration kMaxGapWithinOutage = seconds(3);
constexpr std::size_t kFirstRanks = 2;
constexpr std::size_t kTreeArity = 8;

std::string HolderOf(const StoredObject& aLease)
{
  return aLease.mBody.substr(0, aLease.mBody.find(' '));
}

} // namespace

CatalogueDistribution::CatalogueDistribution(PeerDaemon aSelf,
                                             std::uint64_t aIncarnation,
                                             std::vector<std::string> aSeedAddresses,
                                             std::uint64_t aSeed)
  : mSelf(std::move(aSelf))
  , mLeaseName(std::string(kReaderPrefix) + mSelf.mZone)
  , mLeaseBody(mSelf.mName + ' ' + std::to_string(aIncarnation))
  , mSeedAddresses(std::move(aSeedAddresses))
  , mRandom(aSeed)
  , mMembers{ mSelf }
{
  std::erase(mSeedAddresses, mSelf.mAddress);
  mLease.mName = mLeaseName;
}

CatalogueActions CatalogueDistribution::Tick(TimePoint aNow)
{
  CatalogueActions actions;
  if (!mIsServing) {
    TickStart(aNow, actions);
    return actions;
  }
  if (mIsReader) {
    TickReader(aNow, actions);
  } else {
    TickChallenger(aNow, actions);
  }
  TickPull(aNow, actions);
  return actions;
}

void CatalogueDistribution::TickStart(TimePoint aNow, CatalogueActions& aActions)
{
  if (!mIsListOpen && aNow >= mNextList) {
    mIsListOpen = true;
    mNextList = aNow + kListInterval;
    aActions.push_back(ListStore{});
    aActions.push_back(ListVms{});
  }
  // The store has precedence: peers are asked only after it has failed to answer.
  if (!mHasStoreFailed) {
    return;
  }
  if (aNow < mAskUntil) {
    return;
  }
  bool hasAnswer = std::any_of(
    mAsked.begin(), mAsked.end(), [](const auto& aIt) { return aIt.second; });
  if (hasAnswer) {
    mIsServing = true;
    return;
  }
  auto addresses = mSeedAddresses;
  for (const auto& it : mMembers) {
    bool isKnown =
      std::find(addresses.begin(), addresses.end(), it.mAddress) != addresses.end();
    if (it.mName != mSelf.mName && !isKnown) {
      addresses.push_back(it.mAddress);
    }
  }
  std::shuffle(addresses.begin(), addresses.end(), mRandom);
  addresses.resize(std::min(addresses.size(), kAskedAtStart));
  mAsked.clear();
  mAskUntil = aNow + kAskLimit;
  for (const auto& it : addresses) {
    mAsked[it] = false;
    aActions.push_back(PullFrom{ it });
  }
}

void CatalogueDistribution::TickReader(TimePoint aNow, CatalogueActions& aActions)
{
  if (aNow >= mNextPut && !mIsPutOpen) {
    Put(aNow, aActions);
  }
  if (!mIsListed && !mIsListOpen && aNow >= mNextList) {
    mIsListOpen = true;
    mNextList = aNow + kListInterval;
    aActions.push_back(ListStore{});
  }
  if (mIsListed && !mIsWatching) {
    mIsWatching = true;
    aActions.push_back(WatchStore{});
  }
  if (aNow >= mNextVms) {
    mNextVms = aNow + kVmsInterval;
    aActions.push_back(ListVms{});
  }
}

void CatalogueDistribution::TickChallenger(TimePoint aNow, CatalogueActions& aActions)
{
  if (mIsWatching) {
    mIsWatching = false;
    mIsListed = false;
    aActions.push_back(CancelWatch{});
  }
  auto order = ZoneOrder();
  auto spacing = kChallengeSpacing * static_cast<int>(RankOf(mSelf.mName, order));
  // A takeover is due a full lease period, by this daemon's clock, after this lease
  // version was first seen and after the holder last proved contact with the store. The
  // store need not be asked earlier.
  auto due = std::max(mLeaseSeenAt, mHolderFreshAt) + kLeasePeriod + spacing;
  bool isFree = mLease.mVersion == 0;
  if (isFree) {
    due = mLeaseSeenAt + spacing;
  }
  if (aNow < due || mIsPutOpen || aNow < mNextPut) {
    return;
  }
  Put(aNow, aActions);
  // Limits the zone's challengers together to two calls per second, whatever their
  // number.
  mNextPut =
    aNow + std::max<Duration>(kChallengeInterval,
                              kChallengeSpacing * static_cast<int>(order.size()));
}

void CatalogueDistribution::Put(TimePoint aNow, CatalogueActions& aActions)
{
  mIsPutOpen = true;
  mNextPut = aNow + kRenewInterval;
  // After a lost answer it is unknown whether the update was applied, so read the
  // lease.
  if (mMustReadBack) {
    aActions.push_back(GetLease{ mLeaseName });
    return;
  }
  // Keep the time of the first attempt, which may be the one that created this version.
  mSentAt.try_emplace(mLease.mVersion + 1, aNow);
  aActions.push_back(PutLease{ mLeaseName, mLeaseBody, mLease.mVersion });
}

void CatalogueDistribution::TickPull(TimePoint aNow, CatalogueActions& aActions)
{
  if (mIsPullOpen || aNow < mNextPull) {
    return;
  }
  bool isCurrent = aNow - mContact <= kStaleContact;
  mNextPull = aNow + (mIsReader && isCurrent ? kReaderPullInterval : kPullInterval);
  auto address = PullSource(aNow);
  // A daemon whose peers are unknown or all fail to answer needs a newer list of VMs.
  bool isLost = address.empty() || aNow - mContact > kVeryStaleContact;
  if (isLost && !mIsReader && aNow >= mNextVms) {
    mNextVms = aNow + kVmsInterval;
    aActions.push_back(ListVms{});
  }
  if (address.empty()) {
    return;
  }
  mIsPullOpen = true;
  aActions.push_back(PullFrom{ address });
}

std::string CatalogueDistribution::PullSource(TimePoint aNow)
{
  std::vector<PeerDaemon> others;
  for (const auto& it : mMembers) {
    if (it.mZone != mSelf.mZone) {
      others.push_back(it);
    }
  }
  auto order = ZoneOrder();
  auto rank = RankOf(mSelf.mName, order);
  auto age = aNow - mContact;
  bool isBadlyStale = age > kVeryStaleContact;
  bool isStale = age > kStaleContact;
  bool asksOtherZones = isBadlyStale || (isStale && (mIsReader || rank <= kFirstRanks));
  if (asksOtherZones && !others.empty() && mRandom() % 4 != 0) {
    return RandomAddress(others);
  }
  if (mIsReader || isBadlyStale) {
    return RandomAddress(mMembers);
  }
  if (rank == 0) {
    return RandomAddress(order.size() > 1 ? order : others);
  }
  // If the parent lags behind, pull from the root of the tree instead.
  return isStale ? order.front().mAddress : order[(rank - 1) / kTreeArity].mAddress;
}

std::string CatalogueDistribution::RandomAddress(const std::vector<PeerDaemon>& aPeers)
{
  std::vector<std::string> addresses;
  for (const auto& it : aPeers) {
    if (it.mName != mSelf.mName) {
      addresses.push_back(it.mAddress);
    }
  }
  if (addresses.empty()) {
    addresses = mSeedAddresses;
  }
  return addresses.empty() ? std::string() : addresses[mRandom() % addresses.size()];
}

std::vector<PeerDaemon> CatalogueDistribution::ZoneOrder() const
{
  std::vector<PeerDaemon> order;
  for (const auto& it : mMembers) {
    if (it.mZone == mSelf.mZone) {
      order.push_back(it);
    }
  }
  auto holder = HolderOf(mLease);
  std::sort(
    order.begin(), order.end(), [&](const PeerDaemon& aLeft, const PeerDaemon& aRight) {
      bool isLeftHolder = aLeft.mName == holder;
      bool isRightHolder = aRight.mName == holder;
      return isLeftHolder != isRightHolder ? isLeftHolder : aLeft.mName < aRight.mName;
    });
  return order;
}

std::size_t CatalogueDistribution::RankOf(const std::string& aName,
                                          const std::vector<PeerDaemon>& aOrder) const
{
  std::size_t n = 0;
  while (n < aOrder.size() && aOrder[n].mName != aName) {
    ++n;
  }
  return n == aOrder.size() ? 0 : n;
}

std::vector<std::string> CatalogueDistribution::Children() const
{
  std::vector<std::string> addresses;
  auto order = ZoneOrder();
  auto rank = RankOf(mSelf.mName, order);
  auto first = rank * kTreeArity + 1;
  for (auto n = first; n < std::min(order.size(), first + kTreeArity); ++n) {
    addresses.push_back(order[n].mAddress);
  }
  return addresses;
}

void CatalogueDistribution::OnListed(TimePoint aSentAt)
{
  mIsListOpen = false;
  mIsListed = true;
  mIsServing = true;
  OnStoreReachable();
  AdvanceContact(aSentAt);
}

void CatalogueDistribution::OnLeaseRead(TimePoint aNow, const StoredObject& aObject)
{
  mIsPutOpen = false;
  mMustReadBack = false;
  OnStoreReachable();
  OnLease(aNow, aObject, false);
}

void CatalogueDistribution::OnPut(TimePoint,
                                  TimePoint aNow,
                                  bool,
                                  const StoredObject& aObject)
{
  mIsPutOpen = false;
  OnStoreReachable();
  // The answer contains the current lease whether or not the update was applied.
  OnLease(aNow, aObject, false);
}

void CatalogueDistribution::OnStoreFailed(TimePoint aSentAt,
                                          TimePoint aNow,
                                          StoreFailure aFailure)
{
  mHasStoreFailed = true;
  mIsListOpen = false;
  mMustReadBack = mMustReadBack || mIsPutOpen;
  mIsPutOpen = false;
  if (aFailure != StoreFailure::Down) {
    return;
  }
  bool isSameOutage = mLastDownAt && aSentAt - *mLastDownAt <= kMaxGapWithinOutage;
  if (!isSameOutage) {
    mDownAt = aNow;
    mIsCompleteAtDown = false;
  }
  mLastDownAt = std::max(aSentAt, mLastDownAt.value_or(aSentAt));
  if (mIsCompleteAtDown) {
    AdvanceContact(aSentAt);
  }
}

void CatalogueDistribution::OnWatchEnded(StoreFailure aFailure)
{
  // The watch had delivered every change until the store ended it. That may have been
  // some time ago, but after the last contact.
  if (mIsWatching && aFailure == StoreFailure::Down) {
    mIsCompleteAtDown = true;
    mLastDownAt = mContact;
  }
  mIsWatching = false;
  mIsListed = false;
}

void CatalogueDistribution::OnLease(TimePoint aNow,
                                    const StoredObject& aObject,
                                    bool aIsFromWatch)
{
  if (aObject.mName != mLeaseName) {
    return;
  }
  if (aIsFromWatch && IsOwn(aObject)) {
    // The watch delivered this daemon's own update, and with it all changes that were
    // accepted before the update was sent.
    auto sent = mSentAt.find(aObject.mVersion);
    if (sent != mSentAt.end()) {
      AdvanceContact(sent->second);
      mSentAt.erase(mSentAt.begin(), std::next(sent));
    }
  }
  if (aObject.mVersion <= mLease.mVersion) {
    return;
  }
  mLease = aObject;
  mLeaseSeenAt = aNow;
  mIsReader = IsOwn(mLease);
  if (!mIsReader) {
    mSentAt.clear();
  }
}

void CatalogueDistribution::OnMembers(std::vector<PeerDaemon> aMembers)
{
  mMembers = std::move(aMembers);
  std::erase_if(mMembers,
                [this](const PeerDaemon& aIt) { return aIt.mName == mSelf.mName; });
  // The list lags and may not contain this daemon yet.
  mMembers.push_back(mSelf);
}

void CatalogueDistribution::OnPulled(const std::string& aAddress,
                                     TimePoint aSentAt,
                                     TimePoint aNow,
                                     std::optional<Duration> aContactAge)
{
  mIsPullOpen = false;
  if (mMustPullAgain) {
    mMustPullAgain = false;
    mNextPull = aNow;
  }
  auto asked = mAsked.find(aAddress);
  if (!aContactAge) {
    if (asked != mAsked.end()) {
      mAsked.erase(asked);
    }
    if (mAsked.empty()) {
      mAskUntil = std::min(mAskUntil, aNow + kListInterval);
    }
    return;
  }
  // The peer computed the age after the request was sent, so this never overestimates
  // how recent the contact is.
  AdvanceContact(aSentAt - *aContactAge);
  bool isFresh = *aContactAge < kLeasePeriod;
  auto order = ZoneOrder();
  if (isFresh && !order.empty() && order.front().mAddress == aAddress) {
    mHolderFreshAt = aSentAt;
  }
  if (asked == mAsked.end()) {
    return;
  }
  asked->second = true;
  bool areAllIn = std::all_of(
    mAsked.begin(), mAsked.end(), [](const auto& aIt) { return aIt.second; });
  mIsServing = mIsServing || areAllIn;
}

void CatalogueDistribution::OnPeerHasNewer(TimePoint aNow)
{
  mMustPullAgain = mIsPullOpen;
  mNextPull = aNow;
}

void CatalogueDistribution::AdvanceContact(TimePoint aAt)
{
  mContact = std::max(mContact, aAt);
  if (mDownAt && mContact > *mDownAt) {
    // A down store accepts no changes, so what was known during the outage is complete
    // until the store is back.
    mIsCompleteAtDown = true;
  }
}

void CatalogueDistribution::OnStoreReachable()
{
  mDownAt.reset();
  mLastDownAt.reset();
  mIsCompleteAtDown = false;
}

bool CatalogueDistribution::IsOwn(const StoredObject& aLease) const
{
  return !aLease.mDeleted && aLease.mBody == mLeaseBody;
}

} // namespace sesameway
