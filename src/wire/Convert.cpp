#include "wire/Convert.h"

namespace sesameway::wire {

namespace {

// Timeout of a statement whose request has none, and the upper limit of all timeouts.
constexpr std::uint32_t kDefaultTimeoutMs = 5'000;
constexpr std::uint32_t kMaxTimeoutMs = 60'000;

// Numbers outside the range of a byte become 255, which is no enumerator. CheckForm
// refuses values that are no enumerators.
template<typename Enum>
Enum ToEnum(int aNumber)
{
  constexpr int kInvalid = 255;
  return static_cast<Enum>(aNumber < 0 || aNumber > kInvalid ? kInvalid : aNumber);
}

} // namespace

void FillOperations(const std::vector<sesameway::Operation>& aFrom,
                    google::protobuf::RepeatedPtrField<Operation>* aTo)
{
  for (const auto& it : aFrom) {
    auto* to = aTo->Add();
    to->set_kind(static_cast<Operation::Kind>(it.mKind));
    to->set_key(it.mKey);
    to->set_value(it.mValue);
  }
}

std::vector<sesameway::Operation> ReadOperations(
  const google::protobuf::RepeatedPtrField<Operation>& aFrom)
{
  std::vector<sesameway::Operation> to;
  to.reserve(aFrom.size());
  for (const auto& it : aFrom) {
    to.push_back({ ToEnum<OperationKind>(it.kind()), it.key(), it.value() });
  }
  return to;
}

void FillRows(const std::vector<sesameway::Row>& aFrom,
              google::protobuf::RepeatedPtrField<Row>* aTo)
{
  for (const auto& it : aFrom) {
    auto* to = aTo->Add();
    to->set_key(it.mKey);
    to->set_value(it.mValue);
  }
}

std::vector<sesameway::Row> ReadRows(
  const google::protobuf::RepeatedPtrField<Row>& aFrom)
{
  std::vector<sesameway::Row> to;
  to.reserve(aFrom.size());
  for (const auto& it : aFrom) {
    to.push_back({ it.key(), it.value() });
  }
  return to;
}

void FillToken(const SessionToken& aFrom,
               google::protobuf::RepeatedPtrField<TokenEntry>* aTo)
{
  for (const auto& it : aFrom.Entries()) {
    auto* to = aTo->Add();
    to->set_group(it.mGroup);
    FillPosition(it.mPosition, to->mutable_position());
  }
}

SessionToken ReadToken(const google::protobuf::RepeatedPtrField<TokenEntry>& aFrom)
{
  SessionToken to;
  for (const auto& it : aFrom) {
    if (to.Entries().size() > kMaxTokenEntries) {
      // The token is already too large, and CheckForm will refuse it.
      break;
    }
    to.Raise(it.group(), ReadPosition(it.position()));
  }
  return to;
}

void FillPosition(const sesameway::LogPosition& aFrom, LogPosition* aTo)
{
  aTo->set_term(aFrom.mTerm);
  aTo->set_position(aFrom.mPosition);
}

sesameway::LogPosition ReadPosition(const LogPosition& aFrom)
{
  return { aFrom.term(), aFrom.position() };
}

sesameway::Statement ReadCallerRequest(const CallerRequest& aFrom, TimePoint aNow)
{
  sesameway::Statement to;
  to.mId = aFrom.id();
  to.mRoute = aFrom.route();
  to.mKind = ToEnum<sesameway::StatementKind>(aFrom.kind());
  to.mOperations = ReadOperations(aFrom.operations());
  to.mRequestId = aFrom.request_id();
  to.mToken = ReadToken(aFrom.token());
  std::uint32_t ms = aFrom.timeout_ms() == 0 ? kDefaultTimeoutMs : aFrom.timeout_ms();
  to.mDeadline = aNow + milliseconds(std::min(ms, kMaxTimeoutMs));
  return to;
}

CallerRequest MakeCallerRequest(const sesameway::Statement& aFrom, TimePoint aNow)
{
  CallerRequest to;
  to.set_id(aFrom.mId);
  to.set_route(aFrom.mRoute);
  to.set_kind(static_cast<StatementKind>(aFrom.mKind));
  FillOperations(aFrom.mOperations, to.mutable_operations());
  to.set_request_id(aFrom.mRequestId);
  FillToken(aFrom.mToken, to.mutable_token());
  to.set_timeout_ms(MicrosUntil(aFrom.mDeadline, aNow) / 1000 + 1);
  return to;
}

CallerAnswer MakeCallerAnswer(const Answer& aFrom, TimePoint aNow)
{
  CallerAnswer to;
  to.set_id(aFrom.mId);
  to.set_outcome(static_cast<std::uint32_t>(aFrom.mOutcome));
  to.set_reason(static_cast<std::uint32_t>(aFrom.mReason));
  to.set_detail(aFrom.mDetail);
  FillRows(aFrom.mRows, to.mutable_rows());
  FillToken(aFrom.mToken, to.mutable_token());
  if (aFrom.mRetryAt != TimePoint{}) {
    to.set_retry_after_ms(MicrosUntil(aFrom.mRetryAt, aNow) / 1000 + 1);
  }
  to.set_served_by(aFrom.mServedBy);
  to.set_move(aFrom.mReason == Reason::Draining);
  return to;
}

Answer ReadCallerAnswer(const CallerAnswer& aFrom, TimePoint aNow)
{
  Answer to;
  to.mId = aFrom.id();
  to.mOutcome = ToEnum<Outcome>(static_cast<int>(aFrom.outcome()));
  to.mReason = ToEnum<Reason>(static_cast<int>(aFrom.reason()));
  to.mDetail = aFrom.detail();
  to.mRows = ReadRows(aFrom.rows());
  to.mToken = ReadToken(aFrom.token());
  if (aFrom.retry_after_ms() > 0) {
    to.mRetryAt = aNow + milliseconds(aFrom.retry_after_ms());
  }
  to.mServedBy = aFrom.served_by();
  return to;
}

DatabaseCommand MakeDatabaseCommand(const sesameway::DatabaseCommand& aFrom)
{
  DatabaseCommand to;
  to.set_id(aFrom.mId);
  to.set_kind(static_cast<StatementKind>(aFrom.mKind));
  FillOperations(aFrom.mOperations, to.mutable_operations());
  to.set_request_id(aFrom.mRequestId);
  to.set_term(aFrom.mTerm);
  return to;
}

sesameway::DatabaseCommand ReadDatabaseCommand(const DatabaseCommand& aFrom)
{
  return { aFrom.id(),
           ToEnum<sesameway::StatementKind>(aFrom.kind()),
           ReadOperations(aFrom.operations()),
           aFrom.request_id(),
           aFrom.term() };
}

DatabaseReply MakeDatabaseReply(const sesameway::DatabaseReply& aFrom)
{
  DatabaseReply to;
  to.set_id(aFrom.mId);
  to.set_status(static_cast<DatabaseReply::Status>(aFrom.mStatus));
  FillRows(aFrom.mRows, to.mutable_rows());
  FillPosition(aFrom.mPosition, to.mutable_position());
  to.set_recorded(aFrom.mRecorded);
  return to;
}

sesameway::DatabaseReply ReadDatabaseReply(const DatabaseReply& aFrom)
{
  return { aFrom.id(),
           ToEnum<ReplyStatus>(aFrom.status()),
           ReadRows(aFrom.rows()),
           ReadPosition(aFrom.position()),
           aFrom.recorded() };
}

sesameway::DatabaseStatus ReadDatabaseStatus(const DatabaseStatus& aFrom)
{
  return { aFrom.name(),         aFrom.role() == PRIMARY,
           aFrom.granted_term(), ReadPosition(aFrom.head()),
           aFrom.follows(),      aFrom.leaving() };
}

DatabaseStatus MakeDatabaseStatus(const sesameway::DatabaseStatus& aFrom)
{
  DatabaseStatus to;
  to.set_name(aFrom.mName);
  to.set_role(aFrom.mPrimary ? PRIMARY : REPLICA);
  to.set_granted_term(aFrom.mGrantedTerm);
  FillPosition(aFrom.mHead, to.mutable_head());
  to.set_follows(aFrom.mFollows);
  to.set_leaving(aFrom.mLeaving);
  return to;
}

} // namespace sesameway::wire
