#include "sesameway/SessionPlan.h"

namespace sesameway {

SessionStep SessionPlan::OnStatement(Statement aStatement,
                                     const RouteEntry& aRoute,
                                     const std::string& aOrganisation)
{
  if (!aStatement.mToken.IsEmpty()) {
    mToken.Merge(aStatement.mToken);
    mIsTokenGiven = true;
  }
  auto kind = aStatement.mKind;
  if (mIsTransactionLost) {
    mIsTransactionLost =
      kind == StatementKind::Execute || kind == StatementKind::Lookup;
    if (kind != StatementKind::Begin) {
      return RefuseStatement{ Reason::TransactionState };
    }
  }
  auto request = MakeRequest(std::move(aStatement), aRoute, aOrganisation);
  if (HasTransaction()) {
    bool isOutOfPlace = kind == StatementKind::Begin || kind == StatementKind::Lookup ||
                        request.mGroup != mTransactionGroup;
    if (isOutOfPlace) {
      return RefuseStatement{ Reason::TransactionState };
    }
    return RunInTransaction{ std::move(request) };
  }
  switch (kind) {
    case StatementKind::Begin:
      return BeginTransaction{ std::move(request) };
    case StatementKind::Commit:
    case StatementKind::Rollback:
      return RefuseStatement{ Reason::TransactionState };
    default:
      return RunStatement{ std::move(request) };
  }
}

GroupRequest SessionPlan::MakeRequest(Statement aStatement,
                                      const RouteEntry& aRoute,
                                      const std::string& aOrganisation) const
{
  GroupRequest request;
  request.mStatement = std::move(aStatement);
  request.mStatement.mToken = mToken;
  request.mGroup = aRoute.mGroup;
  request.mOrganisation = aOrganisation;
  request.mMaxAge = microseconds(aRoute.mMaxAgeUs);
  // Decided for each group separately: a session that resumed without its token may
  // have written to a group that it has not read here.
  bool isKnown = mIsTokenGiven || mToken.Find(aRoute.mGroup).has_value();
  request.mTokenKnown = isKnown && mUncertainGroups.count(aRoute.mGroup) == 0;
  return request;
}

void SessionPlan::OnBegun(const GroupRequest& aRequest, bool aIsOpen)
{
  if (aIsOpen) {
    mTransactionGroup = aRequest.mGroup;
  }
}

Answer SessionPlan::OnAnswer(const GroupRequest& aRequest, Answer aAnswer)
{
  aAnswer.mId = aRequest.mStatement.mId;
  bool fromPrimary = aAnswer.mToken.Find(aRequest.mGroup).has_value();
  if (aAnswer.mOutcome == Outcome::Done && fromPrimary) {
    mUncertainGroups.erase(aRequest.mGroup);
  }
  if (aAnswer.mOutcome == Outcome::Unknown) {
    mUncertainGroups.insert(aRequest.mGroup);
  }
  if (aAnswer.mReason == Reason::BadToken) {
    // No answer can have contained such a token. Without it the session reads at the
    // primary.
    mToken.Erase(aRequest.mGroup);
    mIsTokenGiven = false;
  }
  mToken.Merge(aAnswer.mToken);
  aAnswer.mToken = mToken;
  return aAnswer;
}

void SessionPlan::OnTransactionDropped()
{
  mIsTransactionLost = mIsTransactionLost || HasTransaction();
  mTransactionGroup.clear();
}

TransactionStep SessionPlan::OnTransactionAnswer(const GroupRequest& aRequest,
                                                 Answer aAnswer)
{
  const auto& statement = aRequest.mStatement;
  bool isRefused =
    aAnswer.mOutcome == Outcome::NotRun && aAnswer.mReason == Reason::TransactionState;
  bool staysOpen = statement.mKind == StatementKind::Execute &&
                   (aAnswer.mOutcome == Outcome::Done || isRefused);
  if (!staysOpen) {
    mTransactionGroup.clear();
    mIsTransactionLost = statement.mKind == StatementKind::Execute;
  }
  bool canBeLookedUp =
    aAnswer.mOutcome == Outcome::Unknown && !statement.mRequestId.empty();
  if (canBeLookedUp) {
    GroupRequest lookup = aRequest;
    lookup.mStatement.mKind = StatementKind::Lookup;
    lookup.mStatement.mOperations.clear();
    return ResolveCommit{ std::move(lookup) };
  }
  return DeliverAnswer{ OnAnswer(aRequest, std::move(aAnswer)), !staysOpen };
}

} // namespace sesameway
