#include "proxy/Proxy.h"

#include "daemon/Log.h"

#include <utility>

namespace sesameway::proxy {

namespace {

// Interval at which changes are pulled from the peer in the same region that
// StoreWatchers chooses.
constexpr Duration kRelayPullInterval = milliseconds(350);
constexpr Duration kRegisterTimeout = milliseconds(1000);
constexpr Duration kRegisterPause = milliseconds(700);
constexpr Duration kWriteBackInterval = seconds(1);
// How long a daemon that does not follow the store leaves it to the others to write a
// lost evacuation back.
constexpr Duration kWriteBackWait = seconds(5);

} // namespace

void Proxy::OnInitialSync()
{
  mIsInitialized = true;
  LOG(INFO) << daemon::LogLine("serving")
                 .With("revision", mSync.Revision())
                 .With("routes", mCatalogue ? mCatalogue->mRoutes.size() : 0);
  if (!mSync.Find(kCoordinatorObject)) {
    mCoordinator->OnRecord(std::nullopt);
  }
}

// A coordinator asks only the daemons that it knows of to stand down. Contact with the
// store therefore counts only once it is recent enough to include this daemon's
// registration.
void Proxy::OnContact(TimePoint aContact)
{
  if (mRegistration.Covers(aContact)) {
    mFleet.SetContact(aContact);
  }
  auto generation = GenerationOf(mSync.OwnRevision());
  auto returns = generation - mGeneration.value_or(generation);
  mMetrics.Count("store.returns", static_cast<std::int64_t>(returns));
  mGeneration = generation;
}

void Proxy::OnChange(const StoredObject& aObject, const ObjectSource& aSource)
{
  auto kind = KindOf(aObject.mName);
  if (aObject.mName == mAdapters.mConfigurationObject) {
    OnConfiguration(aObject, aSource);
  } else if (kind == mAdapters.mDatabaseKind) {
    OnDatabase(aObject);
  } else if (!kind.empty() && kind == mAdapters.mEvacuationKind) {
    OnEvacuation(aObject);
  } else if (kind == kOwnKind) {
    OnOwnObject(aObject);
  }
}

void Proxy::OnConfiguration(const StoredObject& aObject, const ObjectSource& aSource)
{
  if (aObject.mDeleted) {
    return;
  }
  auto receivedAt = Clock::now();
  auto catalogue = mAdapters.mReadConfiguration(aObject);
  if (!catalogue) {
    LOG(WARNING) << daemon::LogLine("configuration_rejected")
                      .With("revision", aObject.mRevision)
                      .With("expected", catalogue.error());
    return;
  }
  if (!MayReplace(mCatalogue.get(), *catalogue)) {
    LOG(WARNING) << daemon::LogLine("configuration_older")
                      .With("revision", aObject.mRevision)
                      .With("version", catalogue->mVersion)
                      .With("version_in_force", mCatalogue->mVersion);
    return;
  }
  mCatalogue = std::make_shared<const Catalogue>(std::move(*catalogue));
  mFleet.SetCatalogue(mCatalogue);
  mAdmission->OnCatalogue(*mCatalogue);
  EndWithdrawnGrants();
  auto now = Clock::now();
  LOG(INFO) << daemon::LogLine("configuration")
                 .With("revision", aObject.mRevision)
                 .With("version", mCatalogue->mVersion)
                 .With("synced_revision", mSync.Revision())
                 .With("contact_age_ms", Millis(now - mSync.Contact()))
                 .With("source", kSourceKindNames.Name(aSource.mKind))
                 .With("peer", aSource.mPeer)
                 .With("source_contact_age_ms", Millis(now - aSource.mContact))
                 .With("heard_ms", Millis(now - aSource.mHeardAt))
                 .With("whole_ms", Millis(now - receivedAt))
                 .With("rank", mWatchers.Rank())
                 .With("level", mWatchers.Level())
                 .With("bytes", aObject.mBody.size())
                 .With("routes", mCatalogue->mRoutes.size())
                 .With("keys", mCatalogue->mKeys.size())
                 .With("organisations", mCatalogue->mOrganisations.size());
}

void Proxy::OnDatabase(const StoredObject& aObject)
{
  auto name = std::string(IdOf(aObject.mName));
  if (aObject.mDeleted) {
    LOG(INFO) << daemon::LogLine("database_unlisted")
                   .With("database", name)
                   .With("revision", aObject.mRevision);
    mFleet.OnRemoved(name);
    return;
  }
  auto database = mAdapters.mReadDatabase(aObject);
  if (!database) {
    LOG(WARNING) << daemon::LogLine("database_entry_rejected")
                      .With("database", name)
                      .With("revision", aObject.mRevision)
                      .With("expected", database.error());
    return;
  }
  mFleet.OnListed(*database);
}

// An object that can't be read changes nothing: an earlier version of it stays in
// force.
void Proxy::OnEvacuation(const StoredObject& aObject)
{
  if (aObject.mDeleted) {
    mFleet.OnEvacuationRemoved(std::string(IdOf(aObject.mName)), aObject.mRevision);
    return;
  }
  auto zone = mAdapters.mReadEvacuation(aObject);
  if (!zone) {
    LOG(WARNING) << daemon::LogLine("evacuation_rejected")
                      .With("object", aObject.mName)
                      .With("revision", aObject.mRevision)
                      .With("expected", zone.error());
    return;
  }
  mFleet.OnEvacuation(*zone, aObject.mBody, aObject.mRevision);
}

void Proxy::OnOwnObject(const StoredObject& aObject)
{
  if (aObject.mName == kCoordinatorObject) {
    mCoordinator->OnRecord(aObject);
    return;
  }
  if (aObject.mName.starts_with(kMemberPrefix)) {
    OnMember(aObject);
    return;
  }
  if (!aObject.mName.starts_with(kGroupPrefix)) {
    return;
  }
  if (aObject.mDeleted) {
    mFleet.OnRecordRemoved(aObject.mName.substr(std::string_view(kGroupPrefix).size()),
                           aObject.mRevision);
    return;
  }
  auto record = ParseGroupRecord(aObject.mBody);
  if (!record) {
    LOG(WARNING) << daemon::LogLine("group_record_unreadable")
                      .With("object", aObject.mName)
                      .With("expected", record.error());
    return;
  }
  mFleet.OnRecord(*record, aObject.mRevision);
}

void Proxy::OnMember(const StoredObject& aObject)
{
  auto name = aObject.mName.substr(std::string_view(kMemberPrefix).size());
  std::optional<MemberRecord> record;
  if (!aObject.mDeleted) {
    auto read = ParseMemberRecord(aObject.mBody);
    if (!read) {
      LOG(WARNING) << daemon::LogLine("member_unreadable")
                        .With("object", aObject.mName)
                        .With("expected", read.error());
      return;
    }
    record = std::move(*read);
  }
  {
    std::lock_guard lock(mMutex);
    if (record) {
      mMembers[name] = *record;
    } else {
      mMembers.erase(name);
    }
  }
  if (name == mSelf.mName) {
    OnOwnRecord(record ? &*record : nullptr);
  }
  ++mMemberChanges;
}

// Changes are handled together once per tick: when a fleet starts, the records of all
// daemons arrive within a second.
void Proxy::ApplyMemberChanges()
{
  if (mMemberChanges == 0) {
    return;
  }
  auto members = Records();
  std::erase_if(members, [](const auto& aIt) { return aIt.mIsMissing; });
  std::vector<std::string> names;
  std::vector<NearDaemon> near;
  for (const auto& it : members) {
    names.push_back(it.mName);
    if (IsOwnRegion(it.mZone)) {
      near.push_back({ it.mName, it.mZone });
    }
  }
  LOG(INFO) << daemon::LogLine("members")
                 .With("changes", std::exchange(mMemberChanges, 0))
                 .With("members", members.size())
                 .With("near", near.size())
                 .With("revision", mSync.OwnRevision());
  mFleet.SetDaemons(members);
  mFleet.SetDaemonNames(std::move(names));
  mWatchers.SetDaemons(std::move(near));
  mLinkedPeers.SetPeers(members, [this](const std::string& aZone) {
    return aZone == mSelf.mZone ? 0 : IsOwnRegion(aZone) ? 1 : 2;
  });
}

bool Proxy::IsOwnRegion(const std::string& aZone) const
{
  auto own = mSettings.mRegions.find(mSelf.mZone);
  auto other = mSettings.mRegions.find(aZone);
  bool isKnown = own != mSettings.mRegions.end() && other != mSettings.mRegions.end();
  return isKnown ? own->second == other->second : aZone == mSelf.mZone;
}

void Proxy::OnOwnRecord(const MemberRecord* aRecord)
{
  mRegistration.OnRecord(aRecord, Clock::now());
  // The former process of this name has ended, because this process now listens at its
  // address.
  bool isFormer = aRecord != nullptr && aRecord->mAddress == mSelf.mAddress &&
                  aRecord->mIncarnation != mSelf.mIncarnation;
  if (isFormer) {
    mShareKeeper->UsePreviousSlots(mStartedAt);
  }
}

std::vector<MemberRecord> Proxy::Records() const
{
  std::lock_guard lock(mMutex);
  std::vector<MemberRecord> records;
  for (const auto& it : mMembers) {
    records.push_back(it.second);
  }
  return records;
}

// Returns the daemons that are not marked as missing.
std::vector<peer::Member> Proxy::Members() const
{
  std::vector<peer::Member> members;
  for (const auto& it : Records()) {
    if (!it.mIsMissing) {
      members.push_back({ it.mName, it.mZone, it.mAddress, it.mIncarnation, false });
    }
  }
  return members;
}

void Proxy::Register(TimePoint aNow)
{
  if (!mIsInitialized || mIsRegistering || aNow < mRegisterAgainAt) {
    return;
  }
  auto name = kMemberPrefix + mSelf.mName;
  auto known = mSync.Find(name);
  if (known && known->mBody == mOwnRecord) {
    return;
  }
  mIsRegistering = true;
  mAdapters.mStore->Put(name,
                        mOwnRecord,
                        known ? known->mVersion : 0,
                        false,
                        aNow + kRegisterTimeout,
                        [this](std::optional<platform::PutResult> aResult) {
                          mIsRegistering = false;
                          mRegisterAgainAt = Clock::now() + kRegisterPause;
                          mSync.Apply(aResult);
                        });
}

// Writes the records of groups back that the store has lost, so that a coordinator that
// starts later knows of them. The records keep their generation: contact does not count
// for them before the coordinator has written them again.
void Proxy::WriteLostRecords(TimePoint aNow)
{
  if (!mSync.IsFollowing() || aNow < mNextWriteBackAt) {
    return;
  }
  mNextWriteBackAt = aNow + kWriteBackInterval;
  for (const auto& it : mFleet.Groups()) {
    const auto* leadership = mFleet.FindLeadership(it);
    if (!leadership->IsLostInStore()) {
      continue;
    }
    LOG(WARNING) << daemon::LogLine("write_lost_record")
                      .With("group", it)
                      .With("change", leadership->Record().mChange)
                      .With("expected", leadership->StoredRevision());
    mAdapters.mStore->Put(kGroupPrefix + it,
                          FormatGroupRecord(leadership->Record()),
                          leadership->StoredRevision(),
                          false,
                          aNow + kRegisterTimeout,
                          [this](const std::optional<platform::PutResult>& aResult) {
                            mSync.Apply(aResult);
                          });
  }
}

// Writes evacuations back that the store has lost, so that daemons that start later
// know of them and the operator can remove them. A daemon that does not follow the
// store may be the only one that takes an evacuation for lost, so it writes too, but
// later.
void Proxy::WriteLostEvacuations(TimePoint aNow)
{
  if (mFleet.CurrentEvacuations().IsEmpty() || aNow < mNextEvacuationWriteAt) {
    return;
  }
  mNextEvacuationWriteAt = aNow + kWriteBackInterval;
  auto until = mSync.IsFollowing() ? aNow : aNow - kWriteBackWait;
  for (const auto& it : mFleet.CurrentEvacuations().LostUntil(until)) {
    LOG(WARNING) << daemon::LogLine("write_lost_evacuation").With("zone", it.mZone);
    mAdapters.mStore->Put(mAdapters.mEvacuationKind + '/' + it.mZone,
                          it.mBody,
                          0,
                          false,
                          aNow + kRegisterTimeout,
                          [this](const std::optional<platform::PutResult>& aResult) {
                            mSync.Apply(aResult);
                          });
  }
}

void Proxy::FollowStore(TimePoint aNow)
{
  // The coordinator always follows the store because it must learn of new daemons at
  // once.
  bool mustWatch =
    mWatchers.MustWatch(mSync.OldestContact(), aNow) || mCoordinator->IsCoordinator();
  // Which daemons follow the store is known only after the first synchronisation.
  if (!mIsInitialized) {
    return;
  }
  mSync.SetFollowing(mustWatch);
  mFleet.SetAsksForHeads(mustWatch);
  auto peerName = mWatchers.PeerToAsk();
  if (peerName.empty() || aNow < mNextRelayPullAt || mPeers == nullptr) {
    return;
  }
  mNextRelayPullAt = aNow + kRelayPullInterval;
  std::string address;
  for (const auto& it : Members()) {
    if (it.mName == peerName) {
      address = it.mAddress;
    }
  }
  mPulls.Pull(address, [this](bool aHasAnswered) {
    aHasAnswered ? mWatchers.OnAnswer(mSync.OldestContact(), Clock::now())
                 : mWatchers.OnNoAnswer();
  });
}

} // namespace sesameway::proxy
