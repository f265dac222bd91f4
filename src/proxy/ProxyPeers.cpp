#include "proxy/Proxy.h"

#include "daemon/Log.h"

#include <algorithm>
#include <utility>

namespace sesameway::proxy {

namespace {

constexpr Duration kPullTimeout = milliseconds(600);
constexpr Duration kHelloTimeout = seconds(1);
constexpr Duration kFailedPullLogInterval = seconds(1);
// A primary that has left statements unanswered for this long is reported as lost. It
// is shorter than the time after which the coordinator counts it as failed.
constexpr Duration kLostPrimaryAge = milliseconds(400);

} // namespace

void Proxy::PullFromPeers(TimePoint aNow)
{
  if (mPeers == nullptr || !mPullSchedule.IsDue(mSync.Contact(), aNow)) {
    return;
  }
  std::vector<std::string> addresses = mSeedPeerAddresses;
  for (const auto& it : Members()) {
    addresses.push_back(it.mAddress);
  }
  std::erase(addresses, mSelf.mAddress);
  for (auto it : mPullSchedule.Next(mSync.Contact(), addresses.size(), aNow)) {
    PullFrom(addresses[it], [](bool) {});
  }
}

// Opens a connection to one peer per tick, because each connection costs work.
void Proxy::ConnectToOnePeer()
{
  const auto* next = mPeers == nullptr ? nullptr : mLinkedPeers.Next();
  if (next == nullptr) {
    return;
  }
  mPeers->Hello(next->mAddress,
                mSelf,
                Clock::now() + kHelloTimeout,
                [](const std::optional<peer::HelloReply>&) {
                  // The call serves only to open the connection.
                });
}

void Proxy::PullFrom(const std::string& aAddress, std::function<void(bool)> aDone)
{
  auto askedAt = Clock::now();
  mMetrics.Count("pulls.asked");
  auto onDelta = [this, aAddress, askedAt, done = std::move(aDone)](
                   std::optional<peer::CatalogueDelta> aDelta) {
    mLoop.Post([this, aAddress, askedAt, done, delta = std::move(aDelta)] {
      if (delta) {
        OnDelta(aAddress, *delta, askedAt);
      } else {
        OnPullFailed(aAddress, askedAt);
      }
      done(delta && delta->mIsServing);
    });
  };
  peer::CatalogueQuery query{
    mSync.Revision(), askedAt - mSync.Contact(), 0, mSync.KindRevisions()
  };
  mPeers->Catalogue(aAddress, query, askedAt + kPullTimeout, std::move(onDelta));
}

void Proxy::OnPullFailed(const std::string& aAddress, TimePoint aAskedAt)
{
  mMetrics.Count("pulls.failed");
  ++mFailedPulls;
  auto now = Clock::now();
  if (now < mNextFailedPullLogAt) {
    return;
  }
  mNextFailedPullLogAt = now + kFailedPullLogInterval;
  LOG(WARNING) << daemon::LogLine("pull_failed")
                    .With("peer", aAddress)
                    .With("failures", std::exchange(mFailedPulls, 0))
                    .With("waited_ms", Millis(now - aAskedAt))
                    .With("contact_age_ms", Millis(now - mSync.Contact()))
                    .With("revision", mSync.Revision());
}

void Proxy::OnDelta(const std::string& aAddress,
                    const peer::CatalogueDelta& aDelta,
                    TimePoint aAskedAt)
{
  if (!aDelta.mIsServing) {
    return;
  }
  std::vector<StoredObject> objects;
  std::size_t bytes = 0;
  for (const auto& it : aDelta.mChanges) {
    objects.push_back({ it.mName, it.mVersion, it.mRevision, it.mBody, it.mDeleted });
    bytes += it.mBody.size();
  }
  if (!objects.empty()) {
    mMetrics.Count("pulls.bytes", static_cast<std::int64_t>(bytes));
    LOG(INFO) << daemon::LogLine("peer_changes")
                   .With("peer", aAddress)
                   .With("objects", objects.size())
                   .With("bytes", bytes)
                   .With("took_ms", Millis(Clock::now() - aAskedAt))
                   .With("peer_contact_age_ms", Millis(aDelta.mContactAge));
  }
  mSync.Merge(objects, aDelta.mKindRevisions, aAskedAt - aDelta.mContactAge);
  // Ages are subtracted from the time of the query, so that positions are taken as
  // older rather than newer than they are.
  for (const auto& it : aDelta.mHeads) {
    mFleet.OnPeerHead(it.mGroup, it.mHead, aAskedAt - it.mAge);
  }
}

void Proxy::UpdatePrimaryHints(TimePoint aNow)
{
  std::map<std::string, peer::PrimaryHint> hints;
  for (const auto& it : mFleet.Groups()) {
    const auto& record = mFleet.FindLeadership(it)->Record();
    auto silence = mFleet.Silence(record.mPrimary, aNow);
    auto& hint = hints[it];
    hint.mTerm = record.mTerm;
    if (silence) {
      hint.mDatabase = record.mPrimary;
      hint.mSeenAge = *silence;
    }
  }
  auto heads = mFleet.Heads();
  std::lock_guard lock(mMutex);
  mHints.swap(hints);
  mHeads.swap(heads);
}

void Proxy::SetSeedPeerAddresses(std::vector<std::string> aAddresses)
{
  mSeedPeerAddresses = std::move(aAddresses);
}

peer::Member Proxy::OnHello(const peer::Member&, bool* aReady)
{
  *aReady = true;
  return mSelf;
}

// Sessions are never forwarded: each runs at the daemon to which its caller is
// connected.
void Proxy::OnExecute(GroupRequest aRequest, peer::AnswerCallback aDone)
{
  auto answer = NotRun(Reason::NotReady, Clock::now());
  answer.mId = aRequest.mStatement.mId;
  aDone(std::move(answer));
}

void Proxy::OnBegin(GroupRequest aRequest, peer::BeginCallback aDone)
{
  auto answer = NotRun(Reason::NotReady, Clock::now());
  answer.mId = aRequest.mStatement.mId;
  aDone(std::move(answer), nullptr);
}

peer::CatalogueDelta Proxy::OnCatalogue(const peer::CatalogueQuery& aQuery)
{
  peer::CatalogueDelta delta;
  // Contact and revisions are read before the objects, so that the objects are at least
  // as recent as all of them.
  auto contact = mSync.Contact();
  delta.mRevision = mSync.Revision();
  delta.mKindRevisions = mSync.KindRevisions();
  delta.mIsServing = delta.mRevision != 0;
  delta.mContactAge = Clock::now() - contact;
  bool namesKinds = !aQuery.mKindRevisions.empty();
  for (auto& it : namesKinds ? mSync.ChangesSince(aQuery.mKindRevisions)
                             : mSync.ChangesSince(aQuery.mRevision)) {
    delta.mChanges.push_back(
      { it.mName, it.mVersion, it.mRevision, std::move(it.mBody), it.mDeleted });
  }
  auto now = Clock::now();
  std::lock_guard lock(mMutex);
  for (const auto& it : mHeads) {
    delta.mHeads.push_back({ it.first, it.second.mHead, now - it.second.mAt });
  }
  return delta;
}

peer::TokenGrant Proxy::OnTakeTokens(const std::string& aOrganisation,
                                     std::uint64_t aIncarnation,
                                     double aWanted)
{
  return mAdmission->LendTokens(aOrganisation, aIncarnation, aWanted);
}

peer::PrimaryHint Proxy::OnPrimary(const std::string& aGroup)
{
  std::lock_guard lock(mMutex);
  auto it = mHints.find(aGroup);
  return it == mHints.end() ? peer::PrimaryHint{} : it->second;
}

peer::PrimaryHints Proxy::OnPrimaries(const std::vector<std::string>& aGroups)
{
  peer::PrimaryHints hints;
  std::lock_guard lock(mMutex);
  for (const auto& it : aGroups) {
    auto hint = mHints.find(it);
    hints[it] = hint == mHints.end() ? peer::PrimaryHint{} : hint->second;
  }
  if (!aGroups.empty()) {
    return hints;
  }
  for (const auto& it : mHints) {
    if (!it.second.mDatabase.empty() && it.second.mSeenAge > kLostPrimaryAge) {
      hints.insert(it);
    }
  }
  return hints;
}

void Proxy::OnAnnounce(const std::string&, const peer::PrimaryHint&) {}

void Proxy::OnStandDown(const std::string& aGroup,
                        std::uint64_t aChange,
                        std::function<void()> aDone)
{
  mLoop.Post([this, aGroup, aChange, done = std::move(aDone)] {
    mFleet.StandDown(aGroup, aChange, done);
  });
}

} // namespace sesameway::proxy
