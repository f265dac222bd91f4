#pragma once

#include "sesameway/GroupRequest.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace sesameway::peer {

// A daemon, as the platform lists it or as it says itself.
struct Member
{
  std::string mName;
  std::string mZone;
  // Of its peer port, IP:port.
  std::string mAddress;
  // Differs at each start of the daemon.
  std::uint64_t mIncarnation = 0;
  bool mLeaving = false;
  bool operator==(const Member&) const = default;
};

struct CatalogueChange
{
  std::string mName;
  std::uint64_t mVersion = 0;
  std::uint64_t mRevision = 0;
  std::string mBody;
  bool mDeleted = false;
};

// What a daemon that asks for changes has.
struct CatalogueQuery
{
  std::uint64_t mRevision = 0;
  Duration mContactAge{};
  std::uint64_t mMembersHash = 0;
};

// The primary's log had this head when the sender asked it, `mAge` ago, or later.
struct GroupHead
{
  std::string mGroup;
  LogPosition mHead;
  Duration mAge{};
};

struct CatalogueDelta
{
  // False while the sender does not know enough to serve; the rest then says nothing.
  bool mIsServing = false;
  std::uint64_t mRevision = 0;
  // How long ago the sender last knew, from the store or by others, that this revision
  // was the newest.
  Duration mContactAge{};
  std::vector<CatalogueChange> mChanges;
  // Empty if the asker has the same list.
  std::vector<Member> mMembers;
  // How long ago the sender's list was asked of the platform, at most.
  Duration mMembersAge{};
  std::vector<GroupHead> mHeads;
};

struct PrimaryHint
{
  std::uint64_t mTerm = 0;
  std::string mDatabase;
  // How long ago the sender last heard from that database.
  Duration mSeenAge{};
};

using AnswerCallback = std::function<void(Answer)>;

// A transaction held open at a home daemon. Dropping it rolls back.
class Transaction
{
public:
  virtual ~Transaction() = default;
  virtual void Execute(GroupRequest aRequest, AnswerCallback aDone) = 0;
};
using TransactionPtr = std::shared_ptr<Transaction>;
// The transaction is null unless the answer is done.
using BeginCallback = std::function<void(Answer, TransactionPtr)>;

// An answer to a question for tokens.
struct TokenGrant
{
  double mTokens = 0;
  // If there are none: how long until there may be one.
  Duration mNext{};
};

// What a daemon does for its fellows. Calls come on the peer thread and may not block.
class Handler
{
public:
  virtual ~Handler() = default;
  virtual Member OnHello(const Member& aFrom, bool* aReady) = 0;
  virtual void OnExecute(GroupRequest aRequest, AnswerCallback aDone) = 0;
  virtual void OnBegin(GroupRequest aRequest, BeginCallback aDone) = 0;
  virtual CatalogueDelta OnCatalogue(const CatalogueQuery& aQuery) = 0;
  virtual TokenGrant OnTakeTokens(const std::string& aOrganisation,
                                  std::uint64_t aIncarnation,
                                  double aWanted) = 0;
  virtual PrimaryHint OnPrimary(const std::string& aGroup) = 0;
  virtual void OnAnnounce(const std::string& aGroup, const PrimaryHint& aPrimary) = 0;
  // Sends nothing more to the group's primary until a record of that change, or a later
  // one, says that it is over. `aDone` may be called on any thread.
  virtual void OnStandDown(const std::string& aGroup,
                           std::uint64_t aChange,
                           std::function<void()> aDone) = 0;
};

struct HelloReply
{
  Member mMember;
  bool mReady = false;
};

// Calls to fellow daemons, at IP:port. Callbacks come on the peer thread and may not
// block. None means no answer by the deadline; the call may have had its effect.
class Peers
{
public:
  virtual ~Peers() = default;
  virtual void Hello(const std::string& aAddress,
                     const Member& aSelf,
                     TimePoint aDeadline,
                     std::function<void(std::optional<HelloReply>)> aDone) = 0;
  // No answer becomes Unknown for a write and NotRun for a read, ConnectionLost both.
  virtual void Execute(const std::string& aAddress,
                       GroupRequest aRequest,
                       AnswerCallback aDone) = 0;
  virtual void Begin(const std::string& aAddress,
                     GroupRequest aRequest,
                     BeginCallback aDone) = 0;
  virtual void Catalogue(const std::string& aAddress,
                         const CatalogueQuery& aQuery,
                         TimePoint aDeadline,
                         std::function<void(std::optional<CatalogueDelta>)> aDone) = 0;
  // No tokens when no answer came.
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
  // No answer is waited for.
  virtual void Announce(const std::string& aAddress,
                        const std::string& aGroup,
                        const PrimaryHint& aPrimary,
                        TimePoint aDeadline) = 0;
  // False without an answer.
  virtual void StandDown(const std::string& aAddress,
                         const std::string& aGroup,
                         std::uint64_t aChange,
                         TimePoint aDeadline,
                         std::function<void(bool)> aDone) = 0;
};

} // namespace sesameway::peer
