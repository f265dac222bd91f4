#pragma once

#include "peer/Link.h"

#include "sesameway/FollowedKinds.h"
#include "sesameway/GroupRequest.h"
#include "sesameway/ObjectTransfer.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace sesameway::peer {

// A daemon, as listed by the platform or described by itself.
struct Member
{
  std::string mName;
  std::string mZone;
  // IP:port of its peer port.
  std::string mAddress;
  // A different number at each start of the daemon.
  std::uint64_t mIncarnation = 0;
  bool mLeaving = false;
  bool operator==(const Member&) const = default;
};

// A request for the changes that the requesting daemon does not have yet.
struct CatalogueQuery
{
  // The revision up to which the requesting daemon has all changes.
  std::uint64_t mRevision = 0;
  // Time since the last contact: the requesting daemon knows all changes that the store
  // accepted before it.
  Duration mContactAge{};
  // Hash of the requesting daemon's list of members; 0 if it has no list.
  std::uint64_t mMembersHash = 0;
  // Used instead of mRevision unless empty. Kinds advance independently of each other,
  // so with one revision for all, the changes of a busy kind would be sent again until
  // each other kind has been read too.
  KindRevisions mKindRevisions{};
  // Whether the answer may be limited to kMaxAnswerBytes. The requesting daemon then
  // asks again for what was left out.
  bool mTakesPieces = false;
  std::optional<ReceivedPart> mReceived{};
};

// The end of a group's log, as reported by the primary to the sending daemon. The log
// ended there at some time within the last `mAge`.
struct GroupHead
{
  std::string mGroup;
  LogPosition mHead;
  Duration mAge{};
};

struct CatalogueDelta
{
  // False while the sending daemon does not serve its catalogue yet; all other fields
  // are then meaningless.
  bool mIsServing = false;
  std::uint64_t mRevision = 0;
  // The same for each kind, if the requesting daemon named its own revisions of them.
  KindRevisions mKindRevisions{};
  // Time since the sending daemon last knew, from the store or from a peer, that it had
  // all changes of the daemons' own kind.
  Duration mContactAge{};
  // The same for each kind. Daemons of former versions do not state it.
  KindAges mKindAges{};
  // The current state of each object that has changed.
  std::vector<StoredObject> mChanges;
  std::optional<ObjectPiece> mPiece;
  // The kinds of which changes were left out, because the answer is limited in size.
  std::vector<std::string> mIncompleteKinds;
  // Empty if the requesting daemon has the same list or the sending daemon has none.
  std::vector<Member> mMembers;
  // Upper bound of the time since the platform was asked for the list.
  Duration mMembersAge{};
  std::vector<GroupHead> mHeads;
};

// The primary of a group, as far as the sending daemon knows. mDatabase is empty if it
// knows none.
struct PrimaryHint
{
  std::uint64_t mTerm = 0;
  std::string mDatabase;
  // Time since the sending daemon last heard from that database.
  Duration mSeenAge{};
};

using PrimaryHints = std::map<std::string, PrimaryHint>;

using AnswerCallback = std::function<void(Answer)>;

// A transaction that was begun at a home daemon. Dropping the object rolls the
// transaction back if it is still open.
class Transaction
{
public:
  virtual ~Transaction() = default;
  virtual void Execute(GroupRequest aRequest, AnswerCallback aDone) = 0;
};
using TransactionPtr = std::shared_ptr<Transaction>;
// The transaction is null unless the answer's outcome is Done.
using BeginCallback = std::function<void(Answer, TransactionPtr)>;

// The reply to a request for an organisation's rate limit tokens.
struct TokenGrant
{
  double mTokens = 0;
  // Time until a token may be available, if none was granted.
  Duration mNext{};
};

// Handles the calls of peer daemons. The functions run on the peer thread, which runs
// the event loop of all peer connections, and must not block.
class Handler
{
public:
  virtual ~Handler() = default;
  // Returns this daemon's own entry. `aReady` receives whether the daemon is ready
  // to serve.
  virtual Member OnHello(const Member& aFrom, bool* aReady) = 0;
  virtual void OnExecute(GroupRequest aRequest, AnswerCallback aDone) = 0;
  virtual void OnBegin(GroupRequest aRequest, BeginCallback aDone) = 0;
  virtual CatalogueDelta OnCatalogue(const CatalogueQuery& aQuery) = 0;
  virtual TokenGrant OnTakeTokens(const std::string& aOrganisation,
                                  std::uint64_t aIncarnation,
                                  double aWanted) = 0;
  virtual PrimaryHint OnPrimary(const std::string& aGroup) = 0;
  // Returns the hints of these groups, or without any the hints of the groups whose
  // primary this daemon has not heard from for a while.
  virtual PrimaryHints OnPrimaries(const std::vector<std::string>& aGroups) = 0;
  virtual void OnAnnounce(const std::string& aGroup, const PrimaryHint& aPrimary) = 0;
  // Stops sending to the group's primary until the group's record shows that this
  // change of primary, or a later one, is complete. Calls `aDone`, on any thread, once
  // nothing is in progress at the primary.
  virtual void OnStandDown(const std::string& aGroup,
                           std::uint64_t aChange,
                           std::function<void()> aDone) = 0;
  // Lends a connection to a database and runs the request's first batch on it. Calls
  // `aDone` once, on any thread. If the borrower has given up by then, an unused link
  // is returned, and one with a first batch is dropped. A handler that is no home of
  // any database refuses.
  virtual void OnOpenLink(LinkRequest, std::function<void(LinkOffer)> aDone)
  {
    LinkOffer offer;
    offer.mRefusal = LinkRefusal::NotAHome;
    aDone(std::move(offer));
  }
};

struct HelloReply
{
  Member mMember;
  bool mReady = false;
};

// Client for calls to peer daemons at IP:port. Callbacks run on the peer thread and
// must not block. A callback that receives no value got no answer by the deadline; the
// call may have taken effect.
class Peers
{
public:
  virtual ~Peers() = default;
  virtual void Hello(const std::string& aAddress,
                     const Member& aSelf,
                     TimePoint aDeadline,
                     std::function<void(std::optional<HelloReply>)> aDone) = 0;
  // Without an answer from the peer, passes an answer with the reason ConnectionLost:
  // Unknown if the statement was sent and may have had an effect, otherwise NotRun.
  virtual void Execute(const std::string& aAddress,
                       GroupRequest aRequest,
                       AnswerCallback aDone) = 0;
  // Without an answer from the peer, passes NotRun with the reason ConnectionLost.
  virtual void Begin(const std::string& aAddress,
                     GroupRequest aRequest,
                     BeginCallback aDone) = 0;
  virtual void Catalogue(const std::string& aAddress,
                         const CatalogueQuery& aQuery,
                         TimePoint aDeadline,
                         std::function<void(std::optional<CatalogueDelta>)> aDone) = 0;
  // Without an answer, passes a grant of no tokens.
  virtual void TakeTokens(const std::string& aAddress,
                          const std::string& aOrganisation,
                          std::uint64_t aIncarnation,
                          double aWanted,
                          TimePoint aDeadline,
                          std::function<void(TokenGrant)> aDone) = 0;
  virtual void Primary(const std::string& aAddress,
                       const std::string& aGroup,
                       TimePoint aDeadline,
                       std::function<void(std::optional<PrimaryHint>)> aDone) = 0;
  // Asks for the hints of several groups, as Handler::OnPrimaries. A peer of a former
  // version that can't answer passes no hints.
  virtual void Primaries(const std::string& aAddress,
                         std::vector<std::string> aGroups,
                         TimePoint aDeadline,
                         std::function<void(std::optional<PrimaryHints>)> aDone) = 0;
  // Tells the peer of a new primary. The peer's answer is ignored.
  virtual void Announce(const std::string& aAddress,
                        const std::string& aGroup,
                        const PrimaryHint& aPrimary,
                        TimePoint aDeadline) = 0;
  // Passes true once the peer has confirmed, false without an answer by the deadline.
  virtual void StandDown(const std::string& aAddress,
                         const std::string& aGroup,
                         std::uint64_t aChange,
                         TimePoint aDeadline,
                         std::function<void(bool)> aDone) = 0;
  // Borrows a connection to a database from one of its homes. Passes no offer without
  // an answer by the deadline, or from a peer of a former version or that answers with
  // an error; a first batch may then have run.
  virtual void OpenLink(const std::string&,
                        LinkRequest,
                        TimePoint,
                        std::function<void(std::optional<LinkOffer>)> aDone)
  {
    aDone(std::nullopt);
  }
};

} // namespace sesameway::peer
