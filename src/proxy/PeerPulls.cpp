#include "proxy/PeerPulls.h"

#include "daemon/Log.h"

#include <utility>

namespace sesameway::proxy {

namespace {

constexpr Duration kPullTimeout = milliseconds(600);
constexpr Duration kFailureLogInterval = seconds(1);

// Ages count from when the peer was asked. Daemons of former versions state one age.
KindContacts ContactsOf(const peer::CatalogueDelta& aDelta, TimePoint aAskedAt)
{
  KindContacts contacts;
  for (const auto& it : aDelta.mKindRevisions) {
    auto age = aDelta.mKindAges.find(it.first);
    contacts[it.first] =
      aAskedAt - (age != aDelta.mKindAges.end() ? age->second : aDelta.mContactAge);
  }
  return contacts;
}

} // namespace

PeerPulls::PeerPulls(Loop& aLoop,
                     daemon::Metrics& aMetrics,
                     StoreSync& aSync,
                     OnHeads aOnHeads)
  : mLoop(aLoop)
  , mMetrics(aMetrics)
  , mSync(aSync)
  , mOnHeads(std::move(aOnHeads))
{
}

void PeerPulls::Pull(const std::string& aAddress, Done aDone)
{
  if (mPeers != nullptr && mAsked.insert(aAddress).second) {
    Ask(aAddress, ChangePull(mSync.Revisions()), aDone);
  }
}

void PeerPulls::Ask(const std::string& aAddress, ChangePull aPull, const Done& aDone)
{
  mMetrics.Count("pulls.asked");
  auto askedAt = Clock::now();
  peer::CatalogueQuery query;
  query.mRevision = mSync.Revision();
  query.mContactAge = askedAt - mSync.Contact();
  query.mKindRevisions = aPull.Revisions();
  query.mTakesPieces = true;
  query.mReceived = mReceiver.Received();
  auto onDelta = [this, aAddress, aDone, askedAt, pull = std::move(aPull)](
                   std::optional<peer::CatalogueDelta> aDelta) {
    mLoop.Post(
      [this, aAddress, aDone, askedAt, pull, delta = std::move(aDelta)]() mutable {
        bool isServing = delta && delta->mIsServing;
        bool isMore = false;
        if (delta) {
          isMore = Apply(aAddress, std::move(*delta), askedAt, pull);
        } else {
          LogFailure(aAddress, askedAt);
        }
        aDone(isServing);
        if (isMore) {
          Ask(aAddress, std::move(pull), aDone);
        } else {
          mAsked.erase(aAddress);
        }
      });
  };
  mPeers->Catalogue(aAddress, query, askedAt + kPullTimeout, std::move(onDelta));
}

bool PeerPulls::Apply(const std::string& aAddress,
                      peer::CatalogueDelta aDelta,
                      TimePoint aAskedAt,
                      ChangePull& aPull)
{
  if (!aDelta.mIsServing) {
    mMetrics.Count("pulls.not_serving");
    return false;
  }
  // An answer that brings nothing new does not lead to the next call: two peers that
  // are asked at the same time would otherwise both send everything.
  const auto& objects = aDelta.mChanges;
  ObjectSource source{
    SourceKind::Peer, aAddress, aAskedAt - aDelta.mContactAge, Clock::now()
  };
  bool isNew = !objects.empty();
  std::size_t bytes = 0;
  for (const auto& it : objects) {
    bytes += it.mBody.size();
  }
  if (aDelta.mPiece) {
    bytes += aDelta.mPiece->mBytes.size();
    isNew |= AddPiece(*aDelta.mPiece, source);
  }
  mMetrics.Count("pulls.bytes", static_cast<std::int64_t>(bytes));
  if (!objects.empty()) {
    LOG(INFO) << daemon::LogLine("peer_changes")
                   .With("peer", aAddress)
                   .With("objects", objects.size())
                   .With("bytes", bytes)
                   .With("incomplete_kinds", aDelta.mIncompleteKinds.size())
                   .With("took_ms", Millis(Clock::now() - aAskedAt))
                   .With("peer_contact_age_ms", Millis(aDelta.mContactAge));
  }
  mSync.Merge(objects,
              aPull.OnAnswer(aDelta.mKindRevisions, aDelta.mIncompleteKinds),
              ContactsOf(aDelta, aAskedAt),
              source);
  mOnHeads(aDelta.mHeads, aAskedAt);
  return isNew && !aDelta.mIncompleteKinds.empty();
}

bool PeerPulls::AddPiece(const ObjectPiece& aPiece, ObjectSource aSource)
{
  auto former = mReceiver.Received();
  auto object = mReceiver.Add(aPiece, aSource.mHeardAt);
  if (!object) {
    if (object.error() != PieceError::OutOfPlace) {
      LOG(WARNING) << daemon::LogLine("piece_refused")
                        .With("peer", aSource.mPeer)
                        .With("object", aPiece.mId.mName)
                        .With("revision", aPiece.mId.mRevision)
                        .With("reason", kPieceErrorNames.Name(object.error()));
    }
    return false;
  }
  if (aPiece.mOffset == 0) {
    bool isAnew = former && !former->mIsComplete && former->mBytes != 0;
    mMetrics.Count("pulls.begun_anew", isAnew ? 1 : 0);
    LogBegin(aPiece, aSource);
  }
  mSync.NoteProgress(KindOf(aPiece.mId.mName), aSource.mHeardAt);
  if (*object) {
    aSource.mHeardAt = mReceiver.BegunAt();
    mSync.Merge(**object, aSource);
  }
  return true;
}

void PeerPulls::LogBegin(const ObjectPiece& aPiece, const ObjectSource& aSource)
{
  LOG(INFO) << daemon::LogLine("object_begun")
                 .With("object", aPiece.mId.mName)
                 .With("revision", aPiece.mId.mRevision)
                 .With("bytes", aPiece.mSize)
                 .With("peer", aSource.mPeer)
                 .With("peer_contact_age_ms",
                       Millis(aSource.mHeardAt - aSource.mContact));
}

void PeerPulls::LogFailure(const std::string& aAddress, TimePoint aAskedAt)
{
  mMetrics.Count("pulls.failed");
  ++mFailures;
  auto now = Clock::now();
  if (now < mNextFailureLogAt) {
    return;
  }
  mNextFailureLogAt = now + kFailureLogInterval;
  LOG(WARNING) << daemon::LogLine("pull_failed")
                    .With("peer", aAddress)
                    .With("failures", std::exchange(mFailures, 0))
                    .With("waited_ms", Millis(now - aAskedAt))
                    .With("contact_age_ms", Millis(now - mSync.Contact()))
                    .With("revision", mSync.Revision());
}

} // namespace sesameway::proxy
