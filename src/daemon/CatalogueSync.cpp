#include "daemon/CatalogueSync.h"

#include "daemon/Log.h"

#include <xxhash.h>

#include <algorithm>

namespace sesameway::daemon {

namespace {

constexpr Duration kStoreTimeout = seconds(1);
constexpr Duration kPullTimeout = milliseconds(700);
constexpr Duration kNotifyTimeout = milliseconds(500);
constexpr Duration kTickInterval = milliseconds(100);

bool IsLease(const std::string& aName)
{
  return aName.starts_with(kReaderPrefix);
}

PeerDaemon ToPeerDaemon(const peer::Member& aFrom)
{
  return { aFrom.mName, aFrom.mZone, aFrom.mAddress, aFrom.mLeaving };
}

std::uint64_t HashOf(const std::vector<peer::Member>& aMembers)
{
  std::string text;
  for (const auto& it : aMembers) {
    text += it.mName + ' ' + it.mZone + ' ' + it.mAddress + ' ' +
            std::to_string(it.mIncarnation) + (it.mLeaving ? " leaving\n" : "\n");
  }
  return XXH3_64bits(text.data(), text.size());
}

std::string TextOf(const EntryError& aError)
{
  return aError.mKey + ": " + aError.mExpected;
}

} // namespace

CatalogueSync::CatalogueSync(Workers& aWorkers,
                             std::shared_ptr<platform::Platform> aPlatform,
                             peer::Member aSelf,
                             const Settings& aSettings)
  : mWorkers(aWorkers)
  , mPlatform(std::move(aPlatform))
  , mSelf(std::move(aSelf))
  , mRefusesIsolated(aSettings.mRefusesIsolated)
  , mIsolatedAfter(aSettings.mIsolatedAfter)
  , mDistribution(ToPeerDaemon(mSelf),
                  mSelf.mIncarnation,
                  aSettings.mSeedPeerAddresses,
                  mSelf.mIncarnation)
{
  mMembers.push_back(mSelf);
}

void CatalogueSync::Start(peer::Peers* aPeers, std::function<void()> aOnChange)
{
  mPeers = aPeers;
  mOnChange = std::move(aOnChange);
  TickPeriodically();
}

bool CatalogueSync::IsIsolated(TimePoint aNow) const
{
  return mRefusesIsolated &&
         aNow - TimePoint(Duration(mContact.load())) > mIsolatedAfter;
}

std::vector<peer::Member> CatalogueSync::Members() const
{
  std::lock_guard lock(mMutex);
  return mMembers;
}

CatalogueState CatalogueSync::State(TimePoint aNow) const
{
  std::lock_guard lock(mMutex);
  CatalogueState state;
  state.mRevision = mTable.Revision();
  state.mIsServing = mDistribution.IsServing();
  state.mIsReader = mDistribution.IsReader();
  state.mIsIsolated = IsIsolated(aNow);
  state.mContactAge = aNow - mDistribution.Contact();
  state.mMembers = mMembers.size();
  state.mRejections = mTable.Rejections();
  return state;
}

peer::CatalogueDelta CatalogueSync::Delta(const peer::CatalogueQuery& aQuery)
{
  peer::CatalogueDelta delta;
  bool isBehind = false;
  {
    std::lock_guard lock(mMutex);
    isBehind = aQuery.mRevision > mTable.Revision();
    delta.mIsServing = mDistribution.IsServing();
    if (delta.mIsServing) {
      auto now = Clock::now();
      delta.mRevision = mTable.Revision();
      delta.mContactAge = now - mDistribution.Contact();
      delta.mChanges = mTable.ChangesSince(aQuery.mRevision);
      if (mDistribution.Lease().mVersion > 0) {
        delta.mChanges.push_back(mDistribution.Lease());
      }
      if (mMembersHash != 0 && mMembersHash != aQuery.mMembersHash) {
        delta.mMembers = mMembers;
      }
      delta.mMembersAge = now - mMembersAsOf;
    }
  }
  if (isBehind) {
    // Runs on a worker, because the peer thread must not wait long for mMutex.
    mWorkers.Post([self = shared_from_this()] {
      self->Step([](CatalogueDistribution& aDistribution, TimePoint aNow) {
        aDistribution.OnPeerHasNewer(aNow);
      });
    });
  }
  return delta;
}

void CatalogueSync::TickPeriodically()
{
  Step([](CatalogueDistribution&, TimePoint) {});
  mWorkers.RunAtNextMultiple(kTickInterval,
                             [self = shared_from_this()] { self->TickPeriodically(); });
}

void CatalogueSync::Step(const EventHandler& aHandler)
{
  CatalogueActions actions;
  bool isFirst = false;
  bool wasReader = false;
  bool isReader = false;
  {
    std::lock_guard lock(mMutex);
    auto now = Clock::now();
    wasReader = mDistribution.IsReader();
    aHandler(mDistribution, now);
    actions = mDistribution.Tick(now);
    mContact = mDistribution.Contact().time_since_epoch().count();
    isFirst = mDistribution.IsServing() && !mCurrent.load();
    isReader = mDistribution.IsReader();
  }
  if (wasReader != isReader) {
    LOG(INFO) << LogLine("catalogue_reader")
                   .With("zone", mSelf.mZone)
                   .With("is_reader", isReader ? "yes" : "no");
  }
  for (const auto& it : actions) {
    std::visit([this](const auto& aAction) { Do(aAction); }, it);
  }
  if (isFirst) {
    Publish();
  }
}

void CatalogueSync::Publish()
{
  {
    std::lock_guard publishing(mPublishMutex);
    auto catalogue = std::make_shared<Catalogue>();
    std::vector<Rejection> rejections;
    {
      std::lock_guard lock(mMutex);
      if (!mDistribution.IsServing()) {
        return;
      }
      *catalogue = mTable.Build();
      rejections = mTable.Rejections();
    }
    for (const auto& it : rejections) {
      LOG(WARNING) << LogLine("entry_rejected")
                        .With("object", it.mObject)
                        .With("version", it.mVersion)
                        .With("version_in_force", it.mVersionInForce)
                        .With("detail", TextOf(it.mError));
    }
    LOG(INFO) << LogLine("catalogue").With("revision", catalogue->mRevision);
    mCurrent.store(std::move(catalogue));
  }
  mOnChange();
  NotifyChildren();
}

void CatalogueSync::NotifyChildren()
{
  std::vector<std::string> children;
  peer::CatalogueQuery query;
  {
    std::lock_guard lock(mMutex);
    children = mDistribution.Children();
    query = { mTable.Revision(), {}, mMembersHash };
  }
  // A query from a daemon with a newer revision makes a child pull at once.
  for (const auto& it : children) {
    mPeers->Catalogue(it,
                      query,
                      Clock::now() + kNotifyTimeout,
                      [](const std::optional<peer::CatalogueDelta>&) {});
  }
}

StoreFailure CatalogueSync::FailureOf(TimePoint aSentAt) const
{
  return mPlatform->LastOutageAt() >= aSentAt ? StoreFailure::Down
                                              : StoreFailure::Silent;
}

void CatalogueSync::OnFailed(TimePoint aSentAt)
{
  Step([&](CatalogueDistribution& aDistribution, TimePoint aNow) {
    aDistribution.OnStoreFailed(aSentAt, aNow, FailureOf(aSentAt));
  });
}

void CatalogueSync::Do(const ListStore&)
{
  auto sent = Clock::now();
  auto onList = [self = shared_from_this(),
                 sent](const std::optional<platform::Listing>& aListing) {
    if (aListing) {
      self->OnListing(*aListing, sent);
    } else {
      self->OnFailed(sent);
    }
  };
  mPlatform->List(std::string(kWatchedPrefix), sent + kStoreTimeout, onList);
}

void CatalogueSync::OnListing(const platform::Listing& aListing, TimePoint aSentAt)
{
  std::vector<StoredObject> entries;
  std::vector<StoredObject> leases;
  for (const auto& it : aListing.mObjects) {
    (IsLease(it.mName) ? leases : entries).push_back(it);
  }
  bool isChanged = false;
  Step([&](CatalogueDistribution& aDistribution, TimePoint aNow) {
    isChanged = mTable.ApplyListing(entries, aListing.mRevision);
    for (const auto& it : leases) {
      aDistribution.OnLease(aNow, it, false);
    }
    aDistribution.OnListed(aSentAt);
  });
  if (isChanged) {
    Publish();
  }
}

void CatalogueSync::Do(const WatchStore&)
{
  std::uint64_t after = 0;
  std::uint64_t number = 0;
  {
    std::lock_guard lock(mMutex);
    after = mTable.Revision();
    number = ++mWatchNumber;
  }
  auto onChange = [self = shared_from_this(),
                   number](std::optional<platform::Object> aObject) {
    self->OnWatched(number, std::move(aObject));
  };
  auto watch = mPlatform->Watch(std::string(kWatchedPrefix), after, onChange);
  std::lock_guard lock(mMutex);
  if (number == mWatchNumber) {
    std::swap(mWatch, watch);
  }
}

void CatalogueSync::OnWatched(std::uint64_t aNumber,
                              std::optional<platform::Object> aObject)
{
  auto now = Clock::now();
  bool isChanged = false;
  Step([&](CatalogueDistribution& aDistribution, TimePoint aNow) {
    if (aNumber != mWatchNumber) {
      return;
    }
    if (!aObject) {
      aDistribution.OnWatchEnded(FailureOf(now - kTickInterval));
    } else if (IsLease(aObject->mName)) {
      aDistribution.OnLease(aNow, *aObject, true);
    } else {
      isChanged = mTable.Apply(*aObject);
    }
  });
  if (isChanged) {
    Publish();
  }
}

void CatalogueSync::Do(const CancelWatch&)
{
  std::shared_ptr<void> watch;
  std::lock_guard lock(mMutex);
  ++mWatchNumber;
  std::swap(mWatch, watch);
}

void CatalogueSync::Do(const GetLease& aAction)
{
  auto sent = Clock::now();
  auto onGet = [self = shared_from_this(),
                sent](const std::optional<platform::Object>& aObject) {
    if (!aObject) {
      self->OnFailed(sent);
      return;
    }
    self->Step([&](CatalogueDistribution& aDistribution, TimePoint aNow) {
      aDistribution.OnLeaseRead(aNow, *aObject);
    });
  };
  mPlatform->Get(aAction.mName, sent + kStoreTimeout, onGet);
}

void CatalogueSync::Do(const PutLease& aAction)
{
  auto sent = Clock::now();
  auto onPut = [self = shared_from_this(),
                sent](const std::optional<platform::PutResult>& aResult) {
    if (!aResult) {
      self->OnFailed(sent);
      return;
    }
    self->Step([&](CatalogueDistribution& aDistribution, TimePoint aNow) {
      aDistribution.OnPut(sent, aNow, aResult->mApplied, aResult->mObject);
    });
  };
  mPlatform->Put(aAction.mName,
                 aAction.mBody,
                 aAction.mExpectedVersion,
                 false,
                 sent + kStoreTimeout,
                 onPut);
}

void CatalogueSync::Do(const ListVms&)
{
  auto sent = Clock::now();
  auto onVms = [self = shared_from_this(),
                sent](const std::optional<std::vector<platform::Vm>>& aVms) {
    if (!aVms) {
      return;
    }
    std::vector<peer::Member> members;
    for (const auto& it : *aVms) {
      members.push_back(
        { it.mName, it.mZone, it.mPeerAddress, it.mIncarnation, it.mLeaving });
    }
    bool isChanged = false;
    {
      std::lock_guard lock(self->mMutex);
      isChanged = self->ApplyMembers(std::move(members), sent);
    }
    if (isChanged) {
      self->mOnChange();
      self->NotifyChildren();
    }
  };
  mPlatform->Vms(sent + kStoreTimeout, onVms);
}

bool CatalogueSync::ApplyMembers(std::vector<peer::Member> aMembers, TimePoint aAsOf)
{
  if (aAsOf <= mMembersAsOf) {
    return false;
  }
  mMembersAsOf = aAsOf;
  if (aMembers == mMembers && mMembersHash != 0) {
    return false;
  }
  mMembers = std::move(aMembers);
  mMembersHash = HashOf(mMembers);
  std::vector<PeerDaemon> peerDaemons;
  for (const auto& it : mMembers) {
    peerDaemons.push_back(ToPeerDaemon(it));
  }
  mDistribution.OnMembers(std::move(peerDaemons));
  return true;
}

void CatalogueSync::Do(const PullFrom& aAction)
{
  auto sent = Clock::now();
  peer::CatalogueQuery query;
  {
    std::lock_guard lock(mMutex);
    query = { mTable.Revision(), sent - mDistribution.Contact(), mMembersHash };
  }
  auto onDelta = [self = shared_from_this(),
                  address = aAction.mAddress,
                  base = query.mRevision,
                  sent](std::optional<peer::CatalogueDelta> aDelta) {
    // Runs on a worker, because applying a large catalogue would block the peer thread.
    self->mWorkers.Post([self, address, base, sent, delta = std::move(aDelta)] {
      self->OnDelta(address, base, sent, delta);
    });
  };
  mPeers->Catalogue(aAction.mAddress, query, sent + kPullTimeout, onDelta);
}

void CatalogueSync::OnDelta(const std::string& aAddress,
                            std::uint64_t aBase,
                            TimePoint aSentAt,
                            std::optional<peer::CatalogueDelta> aDelta)
{
  bool isChanged = false;
  bool hasNewMembers = false;
  Step([&](CatalogueDistribution& aDistribution, TimePoint aNow) {
    if (!aDelta || !aDelta->mIsServing) {
      aDistribution.OnPulled(aAddress, aSentAt, aNow, std::nullopt);
      return;
    }
    std::vector<StoredObject> entries;
    for (const auto& it : aDelta->mChanges) {
      if (IsLease(it.mName)) {
        aDistribution.OnLease(aNow, it, false);
      } else {
        entries.push_back(it);
      }
    }
    isChanged = mTable.ApplyDelta(aBase, aDelta->mRevision, entries);
    auto asOf = aSentAt - aDelta->mMembersAge;
    if (!aDelta->mMembers.empty()) {
      hasNewMembers = ApplyMembers(aDelta->mMembers, asOf);
    } else {
      mMembersAsOf = mMembersHash != 0 ? std::max(mMembersAsOf, asOf) : mMembersAsOf;
    }
    aDistribution.OnPulled(aAddress, aSentAt, aNow, aDelta->mContactAge);
  });
  if (isChanged) {
    Publish();
  } else if (hasNewMembers) {
    mOnChange();
  }
}

} // namespace sesameway::daemon
