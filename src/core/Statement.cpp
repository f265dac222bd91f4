#include "sesameway/Statement.h"

#include <algorithm>

namespace sesameway {

namespace {

bool IsWrite(const Operation& aOperation)
{
  return aOperation.mKind == OperationKind::Put ||
         aOperation.mKind == OperationKind::Add;
}

Answer Refusal(Outcome aOutcome,
               Reason aReason,
               TimePoint aRetryAt,
               std::string aDetail)
{
  Answer answer;
  answer.mOutcome = aOutcome;
  answer.mReason = aReason;
  answer.mRetryAt = aRetryAt;
  answer.mDetail = std::move(aDetail);
  return answer;
}

bool IsTokenWellFormed(const SessionToken& aToken)
{
  return std::all_of(
    aToken.Entries().begin(), aToken.Entries().end(), [](const TokenEntry& aEntry) {
      bool isNamed = !aEntry.mGroup.empty() && aEntry.mGroup.size() <= kMaxNameBytes;
      return isNamed && aEntry.mPosition.mTerm > 0 && aEntry.mPosition.mPosition > 0;
    });
}

} // namespace

bool Statement::Writes() const
{
  return std::any_of(mOperations.begin(), mOperations.end(), IsWrite);
}

bool Statement::MayHaveEffect() const
{
  return Writes() || mKind == StatementKind::Commit || mKind == StatementKind::Lookup;
}

Answer NotRun(Reason aReason, TimePoint aRetryAt, std::string aDetail)
{
  return Refusal(Outcome::NotRun, aReason, aRetryAt, std::move(aDetail));
}

Answer Unknown(Reason aReason, TimePoint aRetryAt, std::string aDetail)
{
  return Refusal(Outcome::Unknown, aReason, aRetryAt, std::move(aDetail));
}

Reason CheckForm(const Statement& aStatement)
{
  bool isKindKnown =
    kStatementKindNames.Holds(static_cast<std::size_t>(aStatement.mKind));
  if (aStatement.mRoute.empty() || !isKindKnown) {
    return Reason::Malformed;
  }
  if (aStatement.mOperations.size() > kMaxOperations ||
      aStatement.mRoute.size() > kMaxNameBytes ||
      aStatement.mRequestId.size() > kMaxRequestIdBytes ||
      aStatement.mToken.Entries().size() > kMaxTokenEntries) {
    return Reason::TooLarge;
  }
  if (!IsTokenWellFormed(aStatement.mToken)) {
    return Reason::BadToken;
  }
  bool wantsOperations = aStatement.mKind == StatementKind::Execute;
  if (wantsOperations == aStatement.mOperations.empty()) {
    return Reason::Malformed;
  }
  if (aStatement.mKind == StatementKind::Lookup && aStatement.mRequestId.empty()) {
    return Reason::Malformed;
  }
  for (const auto& it : aStatement.mOperations) {
    bool isKnown = kOperationKindNames.Holds(static_cast<std::size_t>(it.mKind));
    bool isReserved = it.mKey.starts_with(kReservedKeyPrefix);
    if (it.mKey.empty() || !isKnown || isReserved) {
      return Reason::Malformed;
    }
    if (it.mKey.size() > kMaxKeyBytes || it.mValue.size() > kMaxValueBytes) {
      return Reason::TooLarge;
    }
  }
  return Reason::None;
}

} // namespace sesameway
