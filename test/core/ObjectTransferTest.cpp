#include "sesameway/ObjectTransfer.h"
#include "sesameway/Compression.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <random>

using namespace sesameway;

namespace {

// Text that can't be compressed.
std::string RandomText(std::size_t aBytes, unsigned aSeed)
{
  std::mt19937_64 random(aSeed);
  std::string text(aBytes, ' ');
  for (auto& it : text) {
    it = static_cast<char>(random());
  }
  return text;
}

constexpr std::size_t kLarge = 3 * kMaxAnswerBytes + 100;

// A daemon that answers requests for changes, or makes them.
struct Daemon
{
  void Write(const std::string& aName,
             const std::string& aBody,
             std::uint64_t aRevision)
  {
    mTable.Apply({ aName, aRevision, aRevision, aBody, false });
    mRevisions[std::string(KindOf(aName))] = aRevision;
  }

  ChangeBatch Answer(const ChangePull& aPull, const PieceReceiver& aReceiver)
  {
    return mSender.Next(
      mTable, mRevisions, { aPull.Revisions(), aReceiver.Received() });
  }

  void Apply(const ChangeBatch& aBatch, ChangePull& aPull)
  {
    for (const auto& it : aBatch.mObjects) {
      mTable.Apply(it);
    }
    if (aBatch.mPiece) {
      auto object = mReceiver.Add(*aBatch.mPiece, mNow);
      if (object && *object) {
        mTable.Apply(**object);
      }
    }
    for (const auto& it : aPull.OnAnswer(aBatch.mRevisions, aBatch.mIncompleteKinds)) {
      mRevisions[it.first] = std::max(mRevisions[it.first], it.second);
    }
  }

  // Asks once, and applies the answer.
  ChangeBatch Pull(Daemon& aFrom)
  {
    ChangePull pull(mRevisions);
    auto batch = aFrom.Answer(pull, mReceiver);
    Apply(batch, pull);
    return batch;
  }

  // Asks until an answer is complete. Returns the number of answers.
  int PullAll(Daemon& aFrom, int aMost = 1000)
  {
    ChangePull pull(mRevisions);
    int n = 0;
    for (bool isMore = true; isMore && n < aMost; ++n) {
      auto batch = aFrom.Answer(pull, mReceiver);
      Apply(batch, pull);
      isMore = !batch.mIncompleteKinds.empty();
    }
    return n;
  }

  std::string Body(const std::string& aName) const
  {
    const auto* object = mTable.Find(aName);
    return object != nullptr ? object->mBody : "";
  }
  // Whether this daemon has each object of the kind that the other one has, or a newer
  // version.
  bool HasAllOf(const Daemon& aOther, std::string_view aKind) const
  {
    bool hasAll = true;
    aOther.mTable.ForEachChange({}, [&](const StoredObject& aObject) {
      const auto* own = mTable.Find(aObject.mName);
      hasAll &= KindOf(aObject.mName) != aKind ||
                (own != nullptr && own->mRevision >= aObject.mRevision);
    });
    return hasAll;
  }

  ObjectTable mTable;
  KindRevisions mRevisions;
  ChangeSender mSender;
  PieceReceiver mReceiver;
  TimePoint mNow{ seconds(100) };
};

std::size_t SizeOf(const ChangeBatch& aBatch)
{
  std::size_t size = aBatch.mPiece ? aBatch.mPiece->mBytes.size() : 0;
  for (const auto& it : aBatch.mObjects) {
    size += it.mName.size() + it.mBody.size();
  }
  return size;
}

} // namespace

// Covers the transfer of changes between daemons in answers of limited size: many
// daemons with slow links that ask for a large object at the same time.
class ObjectTransferTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ObjectTransferTest);
  CPPUNIT_TEST(LargeObjectArrivesInPiecesOfLimitedSize);
  CPPUNIT_TEST(LostAnswerCostsOnePiece);
  CPPUNIT_TEST(SmallChangesDoNotWaitForALargeObject);
  CPPUNIT_TEST(NoRevisionIsNamedBeforeItsObjectHasArrived);
  CPPUNIT_TEST(ManySmallObjectsAreDivided);
  CPPUNIT_TEST(OlderVersionAtAnotherPeerIsNotPassedOver);
  CPPUNIT_TEST(AnotherPeerContinuesTheObject);
  CPPUNIT_TEST(PeersWithDifferentVersionsDoNotKeepTheTransferFromEnding);
  CPPUNIT_TEST(ObjectThatNobodyHasAnyMoreIsGivenUp);
  CPPUNIT_TEST(CompleteObjectIsNotSentAgainInAnotherCompression);
  CPPUNIT_TEST(MalformedPieceIsRefused);
  CPPUNIT_TEST(DamagedObjectIsRefusedAndReceivedAnew);
  CPPUNIT_TEST(EveryScheduleEndsWithTheSendersObjects);
  CPPUNIT_TEST_SUITE_END();

  void LargeObjectArrivesInPiecesOfLimitedSize()
  {
    Daemon from;
    Daemon to;
    auto text = RandomText(kLarge, 1);
    from.Write("config/main", text, 5);
    for (int n = 0; n < 4; ++n) {
      CPPUNIT_ASSERT(to.Body("config/main").empty());
      CPPUNIT_ASSERT(SizeOf(to.Pull(from)) <= kMaxAnswerBytes);
    }
    CPPUNIT_ASSERT(text == to.Body("config/main"));
    CPPUNIT_ASSERT_EQUAL(1, to.PullAll(from));
    CPPUNIT_ASSERT(from.mRevisions == to.mRevisions);
  }

  // Guards against a transfer that begins anew after each answer that came too late.
  void LostAnswerCostsOnePiece()
  {
    Daemon from;
    Daemon to;
    from.Write("config/main", RandomText(kLarge, 1), 5);
    int sent = 0;
    for (bool isMore = true; isMore && sent < 100; ++sent) {
      ChangePull pull(to.mRevisions);
      auto batch = from.Answer(pull, to.mReceiver);
      isMore = !batch.mIncompleteKinds.empty();
      if (sent % 2 == 0) {
        to.Apply(batch, pull);
      }
    }
    // Four pieces, a lost answer after each of the first three, and the complete
    // answer.
    CPPUNIT_ASSERT_EQUAL(8, sent);
    CPPUNIT_ASSERT(from.Body("config/main") == to.Body("config/main"));
  }

  void SmallChangesDoNotWaitForALargeObject()
  {
    Daemon from;
    Daemon to;
    from.Write("config/main", RandomText(kLarge, 1), 5);
    from.Write("servers/a", "x", 6);
    CPPUNIT_ASSERT(to.Pull(from).IsComplete("servers"));
    CPPUNIT_ASSERT_EQUAL(std::string("x"), to.Body("servers/a"));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 6 }, to.mRevisions["servers"]);
  }

  // Guards against an object that is never asked for, because the daemon took itself
  // for complete.
  void NoRevisionIsNamedBeforeItsObjectHasArrived()
  {
    Daemon from;
    Daemon to;
    from.Write("config/main", RandomText(kLarge, 1), 5);
    from.Write("config/other", "x", 7);
    CPPUNIT_ASSERT(!to.Pull(from).IsComplete("config"));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 0 }, to.mRevisions["config"]);
    to.PullAll(from);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 7 }, to.mRevisions["config"]);
    CPPUNIT_ASSERT_EQUAL(std::string("x"), to.Body("config/other"));
  }

  // A daemon that starts in a fleet of 590 receives a record of each.
  void ManySmallObjectsAreDivided()
  {
    Daemon from;
    Daemon to;
    for (int n = 0; n < 590; ++n) {
      from.Write("sesameway/member." + std::to_string(n), std::string(200, 'x'), n + 1);
    }
    auto batch = to.Pull(from);
    CPPUNIT_ASSERT(SizeOf(batch) <= kMaxAnswerBytes);
    CPPUNIT_ASSERT(!batch.IsComplete("sesameway"));
    auto answers = to.PullAll(from);
    CPPUNIT_ASSERT(answers > 5 && answers < 12);
    CPPUNIT_ASSERT(from.mRevisions == to.mRevisions);
  }

  // Guards against a daemon that takes itself for in contact without the record of a
  // change of primary: a first peer left the newer version of the record out, and the
  // second one, whose answer was complete, was not asked for its older version.
  void OlderVersionAtAnotherPeerIsNotPassedOver()
  {
    Daemon first;
    Daemon second;
    Daemon to;
    second.Write("own/group", "changing", 2);
    first.Write("own/other", std::string(kMaxAnswerBytes, 'x'), 3);
    first.Write("own/group", "serving", 4);
    CPPUNIT_ASSERT(!to.Pull(first).IsComplete("own"));
    CPPUNIT_ASSERT(to.Pull(second).IsComplete("own"));
    CPPUNIT_ASSERT(to.HasAllOf(second, "own"));
  }

  void AnotherPeerContinuesTheObject()
  {
    Daemon first;
    Daemon second;
    Daemon to;
    auto text = RandomText(kLarge, 1);
    first.Write("config/main", text, 5);
    second.Write("config/main", text, 5);
    to.Pull(first);
    to.Pull(first);
    CPPUNIT_ASSERT_EQUAL(3, to.PullAll(second));
    CPPUNIT_ASSERT(text == to.Body("config/main"));
  }

  void PeersWithDifferentVersionsDoNotKeepTheTransferFromEnding()
  {
    Daemon old;
    Daemon current;
    Daemon to;
    old.Write("config/main", RandomText(kLarge, 1), 5);
    current.Write("config/main", RandomText(kLarge, 2), 6);
    for (int n = 0; n < 6; ++n) {
      to.Pull(old);
      to.Pull(current);
    }
    CPPUNIT_ASSERT(current.Body("config/main") == to.Body("config/main"));
  }

  void ObjectThatNobodyHasAnyMoreIsGivenUp()
  {
    Daemon gone;
    Daemon from;
    Daemon to;
    gone.Write("config/main", RandomText(kLarge, 1), 9);
    from.Write("config/main", RandomText(kLarge, 2), 5);
    to.Pull(gone);
    to.Pull(from);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 9 }, to.mReceiver.Received()->mId.mRevision);
    to.mNow += seconds(3);
    to.PullAll(from, 10);
    CPPUNIT_ASSERT(from.Body("config/main") == to.Body("config/main"));
  }

  void CompleteObjectIsNotSentAgainInAnotherCompression()
  {
    Daemon from;
    Daemon to;
    from.Write("config/main", RandomText(kLarge, 1), 5);
    from.Write("config/other", "x", 6);
    ChangeRequest request;
    request.mReceived = { { "config/main", 5, 12345 }, 0, true };
    auto batch = from.mSender.Next(from.mTable, from.mRevisions, request);
    CPPUNIT_ASSERT(!batch.mPiece);
    CPPUNIT_ASSERT(batch.IsComplete("config"));
  }

  // Guards against a process that ends because of one malformed message.
  void MalformedPieceIsRefused()
  {
    PieceReceiver receiver;
    auto now = TimePoint(seconds(100));
    auto text = Compress("text");
    std::uint64_t size = text.size();
    ObjectPiece good{ { "config/main", 5, 1 }, 1, size, 0, text };
    auto huge = good;
    huge.mSize = UINT64_MAX;
    auto beyond = good;
    beyond.mOffset = size + 1;
    auto tooLong = good;
    tooLong.mSize = size - 1;
    auto empty = good;
    empty.mBytes.clear();
    for (const auto& it : { huge, beyond, tooLong, empty }) {
      auto result = receiver.Add(it, now);
      CPPUNIT_ASSERT(!result && result.error() == PieceError::Malformed);
    }
    CPPUNIT_ASSERT(!Decompress("not compressed", 100));
    CPPUNIT_ASSERT(!Decompress(Compress(std::string(101, 'x')), 100));
  }

  void DamagedObjectIsRefusedAndReceivedAnew()
  {
    Daemon from;
    Daemon to;
    from.Write("config/main", RandomText(kLarge, 1), 5);
    ChangePull pull(to.mRevisions);
    auto batch = from.Answer(pull, to.mReceiver);
    batch.mPiece->mBytes[7] ^= 1;
    to.Apply(batch, pull);
    to.PullAll(from, 20);
    CPPUNIT_ASSERT(from.Body("config/main") == to.Body("config/main"));
  }

  // A peer that is asked by the daemon, and the answer that is on its way.
  struct Asked
  {
    Daemon mPeer;
    ChangePull mPull{ {} };
    std::optional<ChangeBatch> mAnswer;
  };

  // Writes a large or a small object. The second peer learns of some changes later.
  static void WriteAny(std::uint64_t aRevision, std::vector<Asked>& aPeers)
  {
    auto size = *rc::gen::inRange<std::size_t>(1, 2 * kLarge);
    auto name = std::string(*rc::gen::arbitrary<bool>() ? "config/" : "own/") +
                *rc::gen::element<std::string>("a", "b");
    auto& first = aPeers[0].mPeer;
    first.Write(name, RandomText(size, static_cast<unsigned>(aRevision)), aRevision);
    if (*rc::gen::arbitrary<bool>()) {
      aPeers[1].mPeer = first;
    }
  }

  // Asks a peer, or receives or loses its answer.
  static void Step(Asked& aAsked, Daemon& aTo)
  {
    if (!aAsked.mAnswer) {
      aAsked.mAnswer = aAsked.mPeer.Answer(aAsked.mPull, aTo.mReceiver);
      return;
    }
    auto answer = std::move(*aAsked.mAnswer);
    aAsked.mAnswer.reset();
    bool isLost = *rc::gen::inRange(0, 4) == 0;
    if (!isLost) {
      aTo.Apply(answer, aAsked.mPull);
    }
    if (isLost || answer.mIncompleteKinds.empty()) {
      aAsked.mPull = ChangePull(aTo.mRevisions);
    }
  }

  // Two daemons are asked while objects change. Answers are lost and overtake each
  // other. What the daemon takes for complete is complete.
  void EveryScheduleEndsWithTheSendersObjects()
  {
    bool isOk = rc::check("every schedule ends with the sender's objects", [] {
      std::vector<Asked> peers(2);
      Daemon to;
      std::uint64_t revision = 0;
      auto steps = *rc::gen::inRange(1, 80);
      for (int n = 0; n < steps; ++n) {
        to.mNow += milliseconds(*rc::gen::inRange(0, 900));
        if (*rc::gen::inRange(0, 5) == 0) {
          WriteAny(++revision, peers);
        } else {
          Step(peers[*rc::gen::inRange(0, 2)], to);
        }
        for (const auto& peer : peers) {
          for (const auto& it : to.mRevisions) {
            auto theirs = peer.mPeer.mRevisions.find(it.first);
            bool isAhead =
              theirs != peer.mPeer.mRevisions.end() && it.second >= theirs->second;
            RC_ASSERT(!isAhead || to.HasAllOf(peer.mPeer, it.first));
          }
        }
      }
      to.mNow += seconds(3);
      auto& sender = peers[0].mPeer;
      to.PullAll(sender);
      RC_ASSERT(to.mRevisions == sender.mRevisions);
      RC_ASSERT(to.HasAllOf(sender, "config") && to.HasAllOf(sender, "own"));
    });
    CPPUNIT_ASSERT(isOk);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ObjectTransferTest);
