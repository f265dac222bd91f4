#include "load/Target.h"

#include <future>

namespace sesameway::load {

namespace {

constexpr Duration kConnectTimeout = seconds(5);

// Starts a call and blocks until its result arrives. The callback shares ownership of
// the promise, because set_value may still be running when the waiting thread
// continues.
template<typename Result, typename Start>
Result Await(Start aStart)
{
  auto promise = std::make_shared<std::promise<Result>>();
  auto result = promise->get_future();
  aStart([promise](Result aResult) { promise->set_value(std::move(aResult)); });
  return result.get();
}

} // namespace

DaemonTarget::DaemonTarget(std::vector<std::string> aDaemons,
                           std::size_t aFirst,
                           std::string aKey)
  : mDaemons(std::move(aDaemons))
  , mDaemonIndex(aFirst % mDaemons.size())
  , mSession(mDaemons[mDaemonIndex], std::move(aKey))
{
}

Answer DaemonTarget::Execute(Statement aStatement)
{
  auto answer = mSession.Execute(std::move(aStatement));
  bool moves =
    answer.mReason == Reason::ConnectionLost || answer.mReason == Reason::Draining;
  if (moves) {
    mDaemonIndex = (mDaemonIndex + 1) % mDaemons.size();
    mSession.MoveTo(mDaemons[mDaemonIndex]);
  }
  return answer;
}

DirectTarget::DirectTarget(const std::string& aAddress)
  : mDatabase(database::MakeGrpcDatabaseFactory()("direct", aAddress))
{
  auto status = Await<std::optional<DatabaseStatus>>([&](auto aSet) {
    mDatabase->Status(Clock::now() + kConnectTimeout, std::move(aSet));
  });
  mTerm = status ? status->mGrantedTerm : 0;
  mConnection = Await<database::ConnectionPtr>([&](auto aSet) {
    mDatabase->Connect(Clock::now() + kConnectTimeout, std::move(aSet));
  });
}

Answer DirectTarget::Execute(Statement aStatement)
{
  if (!mConnection) {
    return NotRun(Reason::NoConnection);
  }
  DatabaseCommand command;
  command.mKind = aStatement.mKind;
  command.mOperations = std::move(aStatement.mOperations);
  command.mRequestId = std::move(aStatement.mRequestId);
  command.mTerm = mTerm;
  auto reply = Await<DatabaseReply>([&](auto aSet) {
    mConnection->Send(std::move(command), aStatement.mDeadline, std::move(aSet));
  });
  if (reply.mStatus != ReplyStatus::Ok) {
    return NotRun(Reason::NoPrimary);
  }
  Answer answer;
  answer.mOutcome = Outcome::Done;
  answer.mRows = std::move(reply.mRows);
  return answer;
}

} // namespace sesameway::load
