#include "daemon/TransactionRun.h"

#include "daemon/Log.h"

namespace sesameway::daemon {

namespace {

constexpr Duration kRetryAfter = milliseconds(200);

Answer WithId(Answer aAnswer, std::uint64_t aId)
{
  aAnswer.mId = aId;
  return aAnswer;
}

} // namespace

void TransactionRun::Begin(GroupHomePtr aHome,
                           GroupRequest aRequest,
                           peer::BeginCallback aDone)
{
  auto request = std::make_shared<GroupRequest>(std::move(aRequest));
  std::uint64_t term = 0;
  auto choice = aHome->Choose(*request, false, &term);
  if (const auto* to = std::get_if<ToPrimary>(&choice.mDecision)) {
    LogStatement(LogLine("route")
                   .With("group", request->mGroup)
                   .With("route", request->mStatement.mRoute)
                   .With("organisation", request->mOrganisation)
                   .With("cause", "transaction")
                   .With("database", aHome->NameOf(to->mDatabase))
                   .With("role", "primary"));
    BeginAt(std::move(aHome), to->mDatabase, term, request, std::move(aDone));
    return;
  }
  aHome->WaitForPrimary(
    0,
    request->mStatement.mDeadline,
    [aHome, request, done = std::move(aDone)](WaitResult aEnd) {
      if (aEnd != WaitResult::Reached) {
        done(WithId(NotRun(Reason::NoPrimary, Clock::now() + kRetryAfter),
                    request->mStatement.mId),
             nullptr);
        return;
      }
      Begin(aHome, std::move(*request), done);
    });
}

void TransactionRun::BeginAt(GroupHomePtr aHome,
                             std::size_t aDatabase,
                             std::uint64_t aTerm,
                             std::shared_ptr<GroupRequest> aRequest,
                             peer::BeginCallback aDone)
{
  auto onConnection = [aHome, aDatabase, aTerm, aRequest, done = std::move(aDone)](
                        database::ConnectionPtr aConnection, Reason aReason) {
    auto id = aRequest->mStatement.mId;
    if (!aConnection) {
      done(WithId(NotRun(aReason, Clock::now() + kRetryAfter), id), nullptr);
      return;
    }
    auto run =
      std::make_shared<TransactionRun>(aHome, aDatabase, aTerm, std::move(aConnection));
    run->Do(run->Decide([&](TransactionPlan& aPlan) {
      return aPlan.Begin(std::move(*aRequest), Clock::now());
    }),
            [run, done](Answer aAnswer) {
              bool isOpen = aAnswer.mOutcome == Outcome::Done;
              done(std::move(aAnswer), isOpen ? run : nullptr);
            });
  };
  const auto& statement = aRequest->mStatement;
  aHome->PoolOf(aDatabase).Acquire(aRequest->mOrganisation,
                                   aHome->Context().mWeightOf(aRequest->mOrganisation),
                                   statement.mDeadline,
                                   std::move(onConnection));
}

TransactionRun::TransactionRun(GroupHomePtr aHome,
                               std::size_t aDatabase,
                               std::uint64_t aTerm,
                               database::ConnectionPtr aConnection)
  : mHome(std::move(aHome))
  , mDatabase(aDatabase)
  , mPlan(aTerm)
  , mConnection(std::move(aConnection))
{
  mHome->BeginWork();
}

TransactionRun::~TransactionRun()
{
  Close(false);
  mHome->EndWork();
}

template<typename Event>
TransactionAction TransactionRun::Decide(Event aEvent)
{
  std::lock_guard lock(mMutex);
  return aEvent(mPlan);
}

void TransactionRun::Execute(GroupRequest aRequest, peer::AnswerCallback aDone)
{
  Do(Decide([&](TransactionPlan& aPlan) {
       return aPlan.OnStatement(std::move(aRequest), Clock::now());
     }),
     aDone);
}

void TransactionRun::Do(TransactionAction aAction, const peer::AnswerCallback& aDone)
{
  std::visit([&](auto& aIt) { On(aIt, aDone); }, aAction);
}

void TransactionRun::On(SendCommand& aAction, const peer::AnswerCallback& aDone)
{
  database::ConnectionPtr connection;
  {
    std::lock_guard lock(mMutex);
    connection = mConnection;
  }
  connection->Send(std::move(aAction.mCommand),
                   aAction.mDeadline,
                   [self = shared_from_this(), aDone](DatabaseReply aReply) {
                     self->Do(self->Decide([&](TransactionPlan& aPlan) {
                       return aPlan.OnReply(std::move(aReply), Clock::now());
                     }),
                              aDone);
                   });
}

void TransactionRun::On(const AwaitConfirmed& aAction,
                        const peer::AnswerCallback& aDone)
{
  mHome->WaitUntilConfirmed(aAction.mEntry,
                            aAction.mSince,
                            aAction.mDeadline,
                            [self = shared_from_this(), aDone](WaitResult aEnd) {
                              self->Do(self->Decide([&](TransactionPlan& aPlan) {
                                return aPlan.OnConfirmed(aEnd, Clock::now());
                              }),
                                       aDone);
                            });
}

void TransactionRun::On(const AwaitCommitSafe& aAction,
                        const peer::AnswerCallback& aDone)
{
  Close(true);
  mHome->WaitUntilSafe(aAction.mWait.mEntry,
                       aAction.mWait.mDeadline,
                       [self = shared_from_this(), aDone](WaitResult aEnd) {
                         self->Do(self->Decide([&](TransactionPlan& aPlan) {
                           return aPlan.OnSafe(aEnd, Clock::now());
                         }),
                                  aDone);
                       });
}

void TransactionRun::On(KeepOpen& aAction, const peer::AnswerCallback& aDone)
{
  StartIdleTimer();
  aAction.mAnswer.mServedBy = mHome->NameOf(mDatabase);
  aDone(std::move(aAction.mAnswer));
}

void TransactionRun::On(FinishTransaction& aAction, const peer::AnswerCallback& aDone)
{
  Close(aAction.mIsClean);
  aAction.mAnswer.mServedBy = mHome->NameOf(mDatabase);
  aDone(std::move(aAction.mAnswer));
}

void TransactionRun::StartIdleTimer()
{
  std::lock_guard lock(mMutex);
  auto deadline = mPlan.IdleDeadline();
  if (!deadline) {
    return;
  }
  mHome->Context().mWorkers->RunAt(*deadline, [weak = weak_from_this()] {
    auto self = weak.lock();
    if (!self) {
      return;
    }
    bool isOver = false;
    {
      std::lock_guard lock(self->mMutex);
      isOver = self->mPlan.OnIdle(Clock::now());
    }
    if (isOver) {
      LOG(INFO) << LogLine("transaction_idle").With("group", self->mHome->View().mName);
      self->Close(false);
    }
  });
}

void TransactionRun::Close(bool aIsClean)
{
  database::ConnectionPtr connection;
  {
    std::lock_guard lock(mMutex);
    connection = std::exchange(mConnection, nullptr);
  }
  if (connection) {
    mHome->PoolOf(mDatabase).Release(std::move(connection), aIsClean);
  }
}

} // namespace sesameway::daemon
