#include "caller/SessionClient.h"

#include "caller.grpc.pb.h"
#include "wire/Convert.h"
#include "wire/GrpcCall.h"

#include <cstdlib>

namespace sesameway::caller {

namespace {

constexpr Duration kConnectTimeout = milliseconds(500);

} // namespace

struct SessionClient::Stream
{
  std::unique_ptr<wire::Caller::Stub> mStub;
  grpc::ClientContext mContext;
  std::unique_ptr<grpc::ClientReaderWriter<wire::CallerRequest, wire::CallerAnswer>>
    mStream;
};

SessionClient::SessionClient(std::string aAddress, std::string aKey)
  : SessionClient(std::vector<std::string>{ std::move(aAddress) }, std::move(aKey))
{
}

SessionClient::SessionClient(std::vector<std::string> aAddresses, std::string aKey)
  : mAddresses(std::move(aAddresses))
  , mKey(std::move(aKey))
{
}

SessionClient::SessionClient(SessionClient&&) noexcept = default;
SessionClient& SessionClient::operator=(SessionClient&&) noexcept = default;

SessionClient::~SessionClient()
{
  if (mStream) {
    mStream->mContext.TryCancel();
  }
}

Answer SessionClient::Execute(Statement aStatement)
{
  if (mIsAskedToMove && !mInTransaction) {
    UseNextAddress();
  }
  auto answer = ExecuteOnce(aStatement);
  std::size_t tried = 1;
  while (answer.mOutcome == Outcome::NotRun && answer.mReason == Reason::Draining &&
         !mInTransaction && tried < mAddresses.size() &&
         Clock::now() < aStatement.mDeadline) {
    UseNextAddress();
    ++tried;
    answer = ExecuteOnce(aStatement);
  }
  TrackTransaction(aStatement, answer);
  return answer;
}

bool SessionClient::Open(TimePoint aDeadline)
{
  for (std::size_t n = 0; n < mAddresses.size(); ++n) {
    // Waiting for the connection here ensures that no part of the statement is sent if
    // the daemon can't be reached, so that NotRun is a safe answer.
    auto channel = wire::MakeChannel(mAddresses[mAddressIndex]);
    auto limit = std::min(aDeadline, Clock::now() + kConnectTimeout);
    if (!channel->WaitForConnected(wire::ToSystemDeadline(limit))) {
      UseNextAddress();
      continue;
    }
    mStream = std::make_unique<Stream>();
    mStream->mStub = wire::Caller::NewStub(channel);
    if (!mKey.empty()) {
      mStream->mContext.AddMetadata(wire::kKeyMetadata, mKey);
    }
    mStream->mStream = mStream->mStub->Session(&mStream->mContext);
    mSendToken = true;
    return true;
  }
  return false;
}

Answer SessionClient::ExecuteOnce(Statement aStatement)
{
  if (!mStream && !Open(aStatement.mDeadline)) {
    return NotRun(Reason::ConnectionLost, Clock::now() + kConnectTimeout);
  }
  aStatement.mId = ++mLastId;
  if (mSendToken) {
    aStatement.mToken.Merge(mToken);
  }
  wire::CallerAnswer incoming;
  bool isWritten =
    mStream->mStream->Write(wire::MakeCallerRequest(aStatement, Clock::now()));
  bool isRead = isWritten && mStream->mStream->Read(&incoming);
  while (isRead && incoming.id() != aStatement.mId) {
    mIsAskedToMove = mIsAskedToMove || incoming.move();
    isRead = mStream->mStream->Read(&incoming);
  }
  if (!isRead) {
    return OnStreamBroken(aStatement);
  }
  mSendToken = false;
  auto answer = wire::ReadCallerAnswer(incoming, Clock::now());
  mToken.Merge(answer.mToken);
  return answer;
}

Answer SessionClient::OnStreamBroken(const Statement& aStatement)
{
  // gRPC reports the end of the stream only after all messages have been read, so
  // remaining notices are read first.
  wire::CallerAnswer rest;
  while (mStream->mStream->Read(&rest)) {
  }
  mStream->mStream->Finish();
  const auto& trailers = mStream->mContext.GetServerTrailingMetadata();
  auto it = trailers.find(wire::kLastIdMetadata);
  bool isNotAccepted = false;
  if (it != trailers.end()) {
    std::string text(it->second.data(), it->second.size());
    isNotAccepted = std::strtoull(text.c_str(), nullptr, 10) < aStatement.mId;
  }
  bool wasInTransaction = mInTransaction;
  UseNextAddress();
  if (isNotAccepted && !wasInTransaction) {
    return NotRun(Reason::Draining, Clock::now());
  }
  bool mayHaveRun = !isNotAccepted && aStatement.MayHaveEffect();
  // The daemon rolls back an open transaction when the stream ends, so its writes had
  // no effect. The outcome of a commit remains unknown.
  bool isRolledBack = wasInTransaction && aStatement.mKind == StatementKind::Execute;
  return mayHaveRun && !isRolledBack ? Unknown(Reason::ConnectionLost)
                                     : NotRun(Reason::ConnectionLost);
}

void SessionClient::TrackTransaction(const Statement& aStatement, const Answer& aAnswer)
{
  bool isDone = aAnswer.mOutcome == Outcome::Done;
  if (aStatement.mKind == StatementKind::Begin) {
    mInTransaction = mInTransaction || isDone;
    return;
  }
  bool isEnd = aStatement.mKind == StatementKind::Commit ||
               aStatement.mKind == StatementKind::Rollback;
  bool isLost =
    aAnswer.mReason == Reason::ConnectionLost || aAnswer.mReason == Reason::Draining;
  if (isEnd || isLost) {
    mInTransaction = false;
  }
}

void SessionClient::UseNextAddress()
{
  if (mStream) {
    mStream->mContext.TryCancel();
    mStream.reset();
  }
  mIsAskedToMove = false;
  mAddressIndex = (mAddressIndex + 1) % mAddresses.size();
  ++mMoves;
}

void SessionClient::MoveTo(std::string aAddress)
{
  if (mStream) {
    mStream->mContext.TryCancel();
    mStream.reset();
  }
  mIsAskedToMove = false;
  mInTransaction = false;
  mAddresses = { std::move(aAddress) };
  mAddressIndex = 0;
}

} // namespace sesameway::caller
