#include "proxy/Proxy.h"

#include <algorithm>

namespace sesameway::proxy {

namespace {

// Fellows are asked when the store was last heard from this long ago.
constexpr Duration kContactAge = milliseconds(2200);
constexpr Duration kPullPause = milliseconds(300);
constexpr Duration kPullTimeout = milliseconds(600);
constexpr std::size_t kPullFellows = 2;
constexpr Duration kHelloTimeout = seconds(1);

} // namespace

void Proxy::PullFromFellows(TimePoint aNow)
{
  bool isDue = aNow - mSync.Contact() > kContactAge && aNow >= mPullAgainAt;
  if (!isDue || mPeers == nullptr) {
    return;
  }
  mPullAgainAt = aNow + kPullPause;
  std::vector<std::string> addresses = mSeedPeerAddresses;
  for (const auto& it : Members()) {
    addresses.push_back(it.mAddress);
  }
  std::erase(addresses, mSelf.mAddress);
  for (std::size_t n = 0; n < std::min(kPullFellows, addresses.size()); ++n) {
    PullFrom(addresses[mPullTurn++ % addresses.size()], [](bool) {});
  }
}

// A connection takes longer than a question for tokens may. So they stand before the
// first one is asked, near fellows first, and one at a time, as each takes work.
void Proxy::GreetOneFellow()
{
  if (mPeers == nullptr || mToGreet.empty()) {
    return;
  }
  auto next = std::move(mToGreet.front());
  mToGreet.pop_front();
  mGreeted[next.mName] = next.mIncarnation;
  mPeers->Hello(next.mAddress,
                mSelf,
                Clock::now() + kHelloTimeout,
                [](const std::optional<peer::HelloReply>&) {
                  // The connection is what counts.
                });
}

void Proxy::PullFrom(const std::string& aAddress, std::function<void(bool)> aDone)
{
  auto askedAt = Clock::now();
  auto onDelta = [this, askedAt, done = std::move(aDone)](
                   std::optional<peer::CatalogueDelta> aDelta) {
    mLoop.Post([this, askedAt, done, delta = std::move(aDelta)] {
      if (delta) {
        OnDelta(*delta, askedAt);
      }
      done(delta && delta->mIsServing);
    });
  };
  peer::CatalogueQuery query{ mSync.Revision(), askedAt - mSync.Contact(), 0 };
  mPeers->Catalogue(aAddress, query, askedAt + kPullTimeout, std::move(onDelta));
}

void Proxy::OnDelta(const peer::CatalogueDelta& aDelta, TimePoint aAskedAt)
{
  if (!aDelta.mIsServing) {
    return;
  }
  std::vector<StoredObject> objects;
  for (const auto& it : aDelta.mChanges) {
    objects.push_back({ it.mName, it.mVersion, it.mRevision, it.mBody, it.mDeleted });
  }
  mSync.Merge(objects, aDelta.mRevision, aAskedAt - aDelta.mContactAge);
  // Counted from the question, so that they seem older rather than newer.
  for (const auto& it : aDelta.mHeads) {
    mFleet.OnPeerHead(it.mGroup, it.mHead, aAskedAt - it.mAge);
  }
}

void Proxy::UpdateHints(TimePoint aNow)
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

// Sessions of this kind run at the daemon that the caller is connected to.
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
  // In this order: the objects are at least as new as the contact and the revision.
  auto contact = mSync.Contact();
  delta.mRevision = mSync.Revision();
  delta.mIsServing = delta.mRevision != 0;
  delta.mContactAge = Clock::now() - contact;
  for (auto& it : mSync.ChangesSince(aQuery.mRevision)) {
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
