#include "peer/Convert.h"

#include "peer/WireText.h"

namespace sesameway::peer {

namespace {

template<typename List>
void FillToken(const SessionToken& aFrom, List aTo)
{
  unsigned n = 0;
  for (const auto& it : aFrom.Entries()) {
    auto to = aTo[n++];
    to.setGroup(it.mGroup);
    to.setTerm(it.mPosition.mTerm);
    to.setPosition(it.mPosition.mPosition);
  }
}

SessionToken ReadToken(capnp::List<wire::TokenEntry>::Reader aFrom)
{
  SessionToken to;
  for (auto it : aFrom) {
    to.Raise(Text(it.getGroup()), { it.getTerm(), it.getPosition() });
  }
  return to;
}

} // namespace

void Fill(const GroupRequest& aFrom, TimePoint aNow, wire::Statement::Builder aTo)
{
  const auto& statement = aFrom.mStatement;
  aTo.setId(statement.mId);
  aTo.setGroup(aFrom.mGroup);
  aTo.setRoute(statement.mRoute);
  aTo.setOrganisation(aFrom.mOrganisation);
  aTo.setKind(static_cast<std::uint8_t>(statement.mKind));
  auto operations = aTo.initOperations(statement.mOperations.size());
  unsigned n = 0;
  for (const auto& it : statement.mOperations) {
    auto to = operations[n++];
    to.setKind(static_cast<std::uint8_t>(it.mKind));
    to.setKey(it.mKey);
    to.setValue(Bytes(it.mValue));
  }
  aTo.setRequestId(statement.mRequestId);
  FillToken(statement.mToken, aTo.initToken(statement.mToken.Entries().size()));
  aTo.setTimeoutUs(MicrosUntil(statement.mDeadline, aNow));
  aTo.setMaxAgeUs(Micros(aFrom.mMaxAge));
  aTo.setTokenKnown(aFrom.mTokenKnown);
}

GroupRequest Read(wire::Statement::Reader aFrom, TimePoint aNow)
{
  GroupRequest to;
  to.mStatement.mId = aFrom.getId();
  to.mGroup = Text(aFrom.getGroup());
  to.mStatement.mRoute = Text(aFrom.getRoute());
  to.mOrganisation = Text(aFrom.getOrganisation());
  to.mStatement.mKind = static_cast<StatementKind>(aFrom.getKind());
  for (auto it : aFrom.getOperations()) {
    to.mStatement.mOperations.push_back({ static_cast<OperationKind>(it.getKind()),
                                          Text(it.getKey()),
                                          Text(it.getValue()) });
  }
  to.mStatement.mRequestId = Text(aFrom.getRequestId());
  to.mStatement.mToken = ReadToken(aFrom.getToken());
  to.mStatement.mDeadline = aNow + microseconds(aFrom.getTimeoutUs());
  to.mMaxAge = microseconds(aFrom.getMaxAgeUs());
  to.mTokenKnown = aFrom.getTokenKnown();
  return to;
}

void Fill(const Answer& aFrom, TimePoint aNow, wire::Answer::Builder aTo)
{
  aTo.setId(aFrom.mId);
  aTo.setOutcome(static_cast<std::uint8_t>(aFrom.mOutcome));
  aTo.setReason(static_cast<std::uint8_t>(aFrom.mReason));
  aTo.setDetail(aFrom.mDetail);
  auto rows = aTo.initRows(aFrom.mRows.size());
  unsigned n = 0;
  for (const auto& it : aFrom.mRows) {
    auto to = rows[n++];
    to.setKey(it.mKey);
    to.setValue(Bytes(it.mValue));
  }
  FillToken(aFrom.mToken, aTo.initToken(aFrom.mToken.Entries().size()));
  // 0 would mean that a retry is of no use, so a time that has passed becomes 1.
  if (aFrom.mRetryAt != TimePoint{}) {
    aTo.setRetryAfterUs(MicrosUntil(aFrom.mRetryAt, aNow) + 1);
  }
  aTo.setServedBy(aFrom.mServedBy);
}

Answer Read(wire::Answer::Reader aFrom, TimePoint aNow)
{
  Answer to;
  to.mId = aFrom.getId();
  to.mOutcome = static_cast<Outcome>(aFrom.getOutcome());
  to.mReason = static_cast<Reason>(aFrom.getReason());
  to.mDetail = Text(aFrom.getDetail());
  for (auto it : aFrom.getRows()) {
    to.mRows.push_back({ Text(it.getKey()), Text(it.getValue()) });
  }
  to.mToken = ReadToken(aFrom.getToken());
  if (aFrom.getRetryAfterUs() > 0) {
    to.mRetryAt = aNow + microseconds(aFrom.getRetryAfterUs());
  }
  to.mServedBy = Text(aFrom.getServedBy());
  return to;
}

void Fill(const Member& aFrom, wire::MemberInfo::Builder aTo)
{
  aTo.setName(aFrom.mName);
  aTo.setZone(aFrom.mZone);
  aTo.setAddress(aFrom.mAddress);
  aTo.setIncarnation(aFrom.mIncarnation);
  aTo.setLeaving(aFrom.mLeaving);
}

Member Read(wire::MemberInfo::Reader aFrom)
{
  return { Text(aFrom.getName()),
           Text(aFrom.getZone()),
           Text(aFrom.getAddress()),
           aFrom.getIncarnation(),
           aFrom.getLeaving() };
}

} // namespace sesameway::peer
