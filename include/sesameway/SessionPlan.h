#pragma once

#include "sesameway/Catalogue.h"
#include "sesameway/GroupRequest.h"

#include <set>
#include <string>
#include <variant>

namespace sesameway {

// What becomes of an admitted statement.
struct RefuseStatement
{
  Reason mReason;
};
// Run it at the group; its answer goes to OnAnswer.
struct RunStatement
{
  GroupRequest mRequest;
};
// Begin at the group; then OnBegun.
struct BeginTransaction
{
  GroupRequest mRequest;
};
// Run it in the open transaction; its answer goes to OnTransactionAnswer.
struct RunInTransaction
{
  GroupRequest mRequest;
};
using SessionStep =
  std::variant<RefuseStatement, RunStatement, BeginTransaction, RunInTransaction>;

// Give the answer to the caller, and drop the transaction if it is over.
struct DeliverAnswer
{
  Answer mAnswer;
  bool mIsTransactionOver;
};
// Drop the transaction and run this lookup at the group; its answer goes to OnAnswer.
struct ResolveCommit
{
  GroupRequest mLookup;
};
using TransactionStep = std::variant<DeliverAnswer, ResolveCommit>;

// What a session must see and the transaction it has open. Passive: it neither sends
// nor waits.
class SessionPlan
{
public:
  SessionStep OnStatement(Statement aStatement,
                          const RouteEntry& aRoute,
                          const std::string& aOrganisation);
  void OnBegun(const GroupRequest& aRequest, bool aIsOpen);
  // Takes the answer's positions into the session's token and puts that in the answer.
  Answer OnAnswer(const GroupRequest& aRequest, Answer aAnswer);
  TransactionStep OnTransactionAnswer(const GroupRequest& aRequest, Answer aAnswer);
  // The transaction is gone, as when its key was withdrawn.
  void OnTransactionDropped();

  bool HasTransaction() const { return !mTransactionGroup.empty(); }
  const SessionToken& Token() const { return mToken; }

private:
  GroupRequest MakeRequest(Statement aStatement,
                           const RouteEntry& aRoute,
                           const std::string& aOrganisation) const;

  SessionToken mToken;
  // The caller handed a token in: of groups that it does not name, nothing was written.
  bool mIsTokenGiven = false;
  // Groups with a write of unknown outcome since the last answer from their primary.
  std::set<std::string, std::less<>> mUncertainGroups;
  std::string mTransactionGroup;
  // A transaction ended before its commit or rollback came. Until one of them comes, or
  // another begin, nothing runs: it was meant to run in the transaction.
  bool mIsTransactionLost = false;
};

} // namespace sesameway
