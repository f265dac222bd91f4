#pragma once

#include "sesameway/NameTable.h"
#include "sesameway/ObjectTable.h"
#include "sesameway/Time.h"

#include <tl/expected.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace sesameway {

// Size of an answer to a peer that asks for changes, in bytes of objects. It bounds how
// long other calls wait for this answer on a slow link. Objects with a larger body are
// sent compressed and in pieces of this size.
inline constexpr std::size_t kMaxAnswerBytes = 16'384;

// Identifies the compressed form of one version of an object.
struct EncodedObjectId
{
  std::string mName;
  std::uint64_t mRevision = 0;
  // Hash of the compressed body. Daemons with different versions of the compression
  // library may produce different bytes for the same body.
  std::uint64_t mDigest = 0;
  bool operator==(const EncodedObjectId&) const = default;
};

// How much a daemon has received of an object.
struct ReceivedPart
{
  EncodedObjectId mId;
  // Number of bytes from the start of the compressed body.
  std::uint64_t mBytes = 0;
  bool mIsComplete = false;
};

// A part of an object's compressed body.
struct ObjectPiece
{
  EncodedObjectId mId;
  std::uint64_t mVersion = 0;
  // Size of the whole compressed body.
  std::uint64_t mSize = 0;
  std::uint64_t mOffset = 0;
  std::string mBytes;
};

// A peer's request for changes.
struct ChangeRequest
{
  // The changes of each kind that the peer has. A kind that is not named is taken as
  // unknown to the peer.
  KindRevisions mRevisions;
  // The object that the peer has received last, in part or as a whole.
  std::optional<ReceivedPart> mReceived;
};

// One answer to a request for changes, of limited size.
struct ChangeBatch
{
  std::vector<StoredObject> mObjects;
  std::optional<ObjectPiece> mPiece;
  // The revision of each kind up to which the peer has all changes of the sending
  // daemon once it has applied mObjects.
  KindRevisions mRevisions;
  // The kinds of which changes were left out.
  std::vector<std::string> mIncompleteKinds;
  bool IsComplete(std::string_view aKind) const;
};

// Divides the changes that a peer lacks into answers of limited size. Each answer
// continues where the request says that the peer is, so answers may be lost.
class ChangeSender
{
public:
  // `aRevisions` is the revision of each kind up to which `aTable` is complete.
  ChangeBatch Next(const ObjectTable& aTable,
                   const KindRevisions& aRevisions,
                   const ChangeRequest& aRequest);

private:
  // The compressed body of one object.
  struct Encoded
  {
    EncodedObjectId mId;
    std::string mBytes;
  };
  const Encoded& Encode(const StoredObject& aObject);
  ObjectPiece PieceOf(const StoredObject& aObject,
                      const std::optional<ReceivedPart>& aReceived);

  // The object that was compressed last. All peers usually ask for the same one.
  Encoded mEncoded;
};

// A sequence of requests to one peer, which ends with an answer that is complete. What
// an incomplete answer brought counts for this peer only: another one may hold an older
// version of an object that the answer left out, and this daemon none.
class ChangePull
{
public:
  explicit ChangePull(KindRevisions aKnown)
    : mRevisions(std::move(aKnown))
  {
  }
  // The revisions to name in the next request to the peer.
  const KindRevisions& Revisions() const { return mRevisions; }
  // Returns the revisions up to which this daemon has all changes of the kinds that are
  // complete, once it has applied the answer's objects.
  KindRevisions OnAnswer(const KindRevisions& aRevisions,
                         const std::vector<std::string>& aIncompleteKinds);

private:
  KindRevisions mRevisions;
};

// Why a piece was not added to the object that is being received.
enum class PieceError
{
  // The piece does not continue what has been received.
  OutOfPlace,
  // The sizes in the piece contradict each other or exceed the limit.
  Malformed,
  // The whole object does not match its digest or can't be decompressed.
  Damaged,
};
inline constexpr NameTable<PieceError, 3> kPieceErrorNames{
  { "out_of_place", "malformed", "damaged" }
};

// Joins the pieces of one object at a time. Pieces may come from several peers, and
// more than once.
class PieceReceiver
{
public:
  // What to name in the next request.
  std::optional<ReceivedPart> Received() const;
  // When the first piece of the object that was received last arrived.
  TimePoint BegunAt() const { return mBegunAt; }
  // Adds the next piece. Returns the object once it is complete, no object before that.
  tl::expected<std::optional<StoredObject>, PieceError> Add(const ObjectPiece& aPiece,
                                                            TimePoint aNow);

private:
  bool MayReplace(const ObjectPiece& aPiece, TimePoint aNow) const;

  EncodedObjectId mId;
  // The bytes received so far. They are released once the object is complete.
  std::string mBytes;
  bool mIsComplete = false;
  TimePoint mBegunAt{};
  TimePoint mAddedAt{};
};

} // namespace sesameway
