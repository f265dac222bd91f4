#include "sesameway/ObjectTransfer.h"

#include "sesameway/Compression.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace sesameway {

namespace {

// A larger object is refused, so that a malformed piece can't exhaust the memory.
constexpr std::size_t kMaxObjectBytes = 64 << 20;
// An object that is being received is given up for another one if none of its pieces
// has come for this long. The peers may no longer have it.
constexpr Duration kPieceWait = seconds(2);

std::uint64_t Digest(std::string_view aBytes)
{
  return XXH3_64bits(aBytes.data(), aBytes.size());
}

// Objects of the table that the peer lacks, in the order of their revisions. An answer
// that ends at one of them is complete up to its predecessor.
std::vector<const StoredObject*> Missing(const ObjectTable& aTable,
                                         const KindRevisions& aKnown)
{
  std::vector<const StoredObject*> missing;
  aTable.ForEachChange(
    aKnown, [&](const StoredObject& aObject) { missing.push_back(&aObject); });
  std::sort(missing.begin(), missing.end(), [](const auto* aLeft, const auto* aRight) {
    return aLeft->mRevision < aRight->mRevision;
  });
  return missing;
}

std::size_t SizeOf(const StoredObject& aObject)
{
  return aObject.mName.size() + aObject.mBody.size();
}

bool IsVersionOf(const EncodedObjectId& aId, const StoredObject& aObject)
{
  return aId.mName == aObject.mName && aId.mRevision == aObject.mRevision;
}

} // namespace

bool ChangeBatch::IsComplete(std::string_view aKind) const
{
  return std::find(mIncompleteKinds.begin(), mIncompleteKinds.end(), aKind) ==
         mIncompleteKinds.end();
}

ChangeBatch ChangeSender::Next(const ObjectTable& aTable,
                               const KindRevisions& aRevisions,
                               const ChangeRequest& aRequest)
{
  ChangeBatch batch;
  batch.mRevisions = aRevisions;
  std::size_t bytes = 0;
  // Ends the changes of the object's kind before the object.
  auto stopAt = [&](const StoredObject& aObject) {
    auto kind = std::string(KindOf(aObject.mName));
    auto revision = batch.mRevisions.find(kind);
    if (revision != batch.mRevisions.end()) {
      revision->second = std::min(revision->second, aObject.mRevision - 1);
    }
    batch.mIncompleteKinds.push_back(std::move(kind));
  };
  for (const auto* it : Missing(aTable, aRequest.mRevisions)) {
    if (!batch.IsComplete(KindOf(it->mName))) {
      continue;
    }
    if (it->mBody.size() <= kMaxAnswerBytes) {
      bytes += SizeOf(*it);
      // The first object is sent whatever its size, so that each answer brings one.
      if (bytes > kMaxAnswerBytes && !batch.mObjects.empty()) {
        stopAt(*it);
      } else {
        batch.mObjects.push_back(*it);
      }
      continue;
    }
    bool isNamed = aRequest.mReceived && IsVersionOf(aRequest.mReceived->mId, *it);
    if (isNamed && aRequest.mReceived->mIsComplete) {
      continue;
    }
    stopAt(*it);
    if (!batch.mPiece || isNamed) {
      batch.mPiece = PieceOf(*it, aRequest.mReceived);
    }
  }
  return batch;
}

const ChangeSender::Encoded& ChangeSender::Encode(const StoredObject& aObject)
{
  if (!IsVersionOf(mEncoded.mId, aObject)) {
    mEncoded.mBytes = Compress(aObject.mBody);
    mEncoded.mId = { aObject.mName, aObject.mRevision, Digest(mEncoded.mBytes) };
  }
  return mEncoded;
}

ObjectPiece ChangeSender::PieceOf(const StoredObject& aObject,
                                  const std::optional<ReceivedPart>& aReceived)
{
  const auto& encoded = Encode(aObject);
  ObjectPiece piece;
  piece.mId = encoded.mId;
  piece.mVersion = aObject.mVersion;
  piece.mSize = encoded.mBytes.size();
  if (aReceived && aReceived->mId == encoded.mId) {
    piece.mOffset = std::min(aReceived->mBytes, piece.mSize);
  }
  piece.mBytes = encoded.mBytes.substr(piece.mOffset, kMaxAnswerBytes);
  return piece;
}

KindRevisions ChangePull::OnAnswer(const KindRevisions& aRevisions,
                                   const std::vector<std::string>& aIncompleteKinds)
{
  auto complete = aRevisions;
  for (const auto& it : aIncompleteKinds) {
    complete.erase(it);
  }
  for (const auto& it : aRevisions) {
    auto& known = mRevisions[it.first];
    known = std::max(known, it.second);
  }
  return complete;
}

std::optional<ReceivedPart> PieceReceiver::Received() const
{
  if (mBytes.empty() && !mIsComplete) {
    return std::nullopt;
  }
  return ReceivedPart{ mId, mBytes.size(), mIsComplete };
}

tl::expected<std::optional<StoredObject>, PieceError> PieceReceiver::Add(
  const ObjectPiece& aPiece,
  TimePoint aNow)
{
  bool isValid = aPiece.mSize <= kMaxObjectBytes && !aPiece.mBytes.empty() &&
                 aPiece.mOffset <= aPiece.mSize &&
                 aPiece.mBytes.size() <= aPiece.mSize - aPiece.mOffset;
  if (!isValid) {
    return tl::make_unexpected(PieceError::Malformed);
  }
  if (aPiece.mId != mId) {
    if (!MayReplace(aPiece, aNow)) {
      return tl::make_unexpected(PieceError::OutOfPlace);
    }
    mId = aPiece.mId;
    mIsComplete = false;
    mBytes.clear();
    mBegunAt = aNow;
  }
  if (mIsComplete || aPiece.mOffset != mBytes.size()) {
    return tl::make_unexpected(PieceError::OutOfPlace);
  }
  mBytes += aPiece.mBytes;
  mAddedAt = aNow;
  if (mBytes.size() < aPiece.mSize) {
    return std::nullopt;
  }
  auto bytes = std::exchange(mBytes, {});
  auto body =
    Digest(bytes) == mId.mDigest ? Decompress(bytes, kMaxObjectBytes) : std::nullopt;
  if (!body) {
    return tl::make_unexpected(PieceError::Damaged);
  }
  mIsComplete = true;
  return StoredObject{
    mId.mName, aPiece.mVersion, mId.mRevision, std::move(*body), false
  };
}

// Peers may hold different versions of an object. A newer one replaces an older one and
// never the other way round, or two peers that are asked by turns would keep the
// transfer from ending.
bool PieceReceiver::MayReplace(const ObjectPiece& aPiece, TimePoint aNow) const
{
  if (aPiece.mOffset != 0) {
    return false;
  }
  bool isNewer = aPiece.mId.mName == mId.mName && aPiece.mId.mRevision > mId.mRevision;
  return mBytes.empty() || isNewer || aNow - mAddedAt > kPieceWait;
}

} // namespace sesameway
