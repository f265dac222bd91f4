#include "proxy/Proxy.h"

#include <algorithm>

namespace sesameway::proxy {

namespace {

constexpr Duration kHelloTimeout = seconds(1);
// A primary that has left statements unanswered for this long is reported as lost. It
// is shorter than the time after which the coordinator counts it as failed.
constexpr Duration kLostPrimaryAge = milliseconds(400);

} // namespace

void Proxy::PullFromPeers(TimePoint aNow)
{
  auto contact = mSync.OldestContact();
  if (mPeers == nullptr || !mPullSchedule.IsDue(contact, aNow)) {
    return;
  }
  std::vector<std::string> addresses = mSeedPeerAddresses;
  for (const auto& it : Members()) {
    addresses.push_back(it.mAddress);
  }
  std::erase(addresses, mSelf.mAddress);
  for (auto it : mPullSchedule.Next(contact, addresses.size(), aNow)) {
    mPulls.Pull(addresses[it], [](bool) {});
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

// Ages are subtracted from the time of the query, so that positions are taken as older
// rather than newer than they are.
void Proxy::OnPeerHeads(const std::vector<peer::GroupHead>& aHeads, TimePoint aAskedAt)
{
  for (const auto& it : aHeads) {
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
  auto contacts = mSync.Contacts();
  delta.mRevision = mSync.Revision();
  ChangeBatch batch;
  if (aQuery.mTakesPieces) {
    batch = mSync.NextChanges({ aQuery.mKindRevisions, aQuery.mReceived });
  } else {
    batch.mRevisions = mSync.Revisions();
    batch.mObjects = aQuery.mKindRevisions.empty()
                       ? mSync.ChangesSince(aQuery.mRevision)
                       : mSync.ChangesSince(aQuery.mKindRevisions);
  }
  delta.mKindRevisions = std::move(batch.mRevisions);
  delta.mIsServing = delta.mRevision != 0;
  delta.mContactAge = Clock::now() - contact;
  delta.mChanges = std::move(batch.mObjects);
  delta.mPiece = std::move(batch.mPiece);
  delta.mIncompleteKinds = std::move(batch.mIncompleteKinds);
  auto now = Clock::now();
  for (const auto& it : contacts) {
    delta.mKindAges[it.first] = now - it.second;
  }
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

// Call it with mMutex locked.
peer::PrimaryHint Proxy::HintOf(const std::string& aGroup) const
{
  auto it = mHints.find(aGroup);
  return it == mHints.end() ? peer::PrimaryHint{} : it->second;
}

peer::PrimaryHint Proxy::OnPrimary(const std::string& aGroup)
{
  std::lock_guard lock(mMutex);
  return HintOf(aGroup);
}

peer::PrimaryHints Proxy::OnPrimaries(const std::vector<std::string>& aGroups)
{
  peer::PrimaryHints hints;
  std::lock_guard lock(mMutex);
  for (const auto& it : aGroups) {
    hints[it] = HintOf(it);
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

void Proxy::OnOpenLink(peer::LinkRequest aRequest,
                       std::function<void(peer::LinkOffer)> aDone)
{
  mLoop.Post([this, request = std::move(aRequest), done = std::move(aDone)] {
    mFleet.Lend(request, done);
  });
}

} // namespace sesameway::proxy
