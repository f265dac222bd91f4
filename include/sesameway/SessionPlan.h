#pragma once

#include "sesameway/Catalogue.h"
#include "sesameway/GroupRequest.h"

#include <set>
#include <string>
#include <variant>

namespace sesameway {

// The steps that SessionPlan::OnStatement can return for an admitted statement.
struct RefuseStatement
{
  Reason mReason;
};
// Run the statement at its group and pass the answer to OnAnswer.
struct RunStatement
{
  GroupRequest mRequest;
};
// Begin a transaction at the group, then call OnBegun.
struct BeginTransaction
{
  GroupRequest mRequest;
};
// Run the statement in the open transaction and pass the answer to OnTransactionAnswer.
struct RunInTransaction
{
  GroupRequest mRequest;
};
using SessionStep =
  std::variant<RefuseStatement, RunStatement, BeginTransaction, RunInTransaction>;

// Send the answer to the caller, and drop the transaction if it is over.
struct DeliverAnswer
{
  Answer mAnswer;
  bool mIsTransactionOver;
};
// The outcome of the commit is unknown: drop the transaction, run this lookup at the
// group and pass the answer to OnAnswer.
struct ResolveCommit
{
  GroupRequest mLookup;
};
using TransactionStep = std::variant<DeliverAnswer, ResolveCommit>;

// Tracks the log positions that a session must see and its open transaction. Passive:
// it neither sends nor waits.
class SessionPlan
{
public:
  SessionStep OnStatement(Statement aStatement,
                          const RouteEntry& aRoute,
                          const std::string& aOrganisation);
  void OnBegun(const GroupRequest& aRequest, bool aIsOpen);
  // Adds the answer's positions to the session's token and returns the answer with that
  // token.
  Answer OnAnswer(const GroupRequest& aRequest, Answer aAnswer);
  TransactionStep OnTransactionAnswer(const GroupRequest& aRequest, Answer aAnswer);
  // Call when the transaction was dropped, for instance because the caller's API key
  // was withdrawn.
  void OnTransactionDropped();

  bool HasTransaction() const { return !mTransactionGroup.empty(); }
  const SessionToken& Token() const { return mToken; }

private:
  GroupRequest MakeRequest(Statement aStatement,
                           const RouteEntry& aRoute,
                           const std::string& aOrganisation) const;

  SessionToken mToken;
  // Whether the caller has passed a token. If so, the session has not written to any
  // group that the token does not name.
  bool mIsTokenGiven = false;
  // Groups with a write of unknown outcome since the last answer from their primary.
  std::set<std::string, std::less<>> mUncertainGroups;
  std::string mTransactionGroup;
  // Whether a transaction ended before its commit or rollback arrived. Statements are
  // refused up to and including that commit or rollback, or until another begin
  // arrives, as they were meant to run in that transaction.
  bool mIsTransactionLost = false;
};

} // namespace sesameway
