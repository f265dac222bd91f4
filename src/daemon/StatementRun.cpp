#include "daemon/StatementRun.h"

#include "daemon/Log.h"

namespace sesameway::daemon {

void StatementRun::Start(GroupHomePtr aHome,
                         GroupRequest aRequest,
                         peer::AnswerCallback aDone)
{
  auto run = std::make_shared<StatementRun>(
    std::move(aHome), std::move(aRequest), std::move(aDone));
  run->Do(run->mPlan.Start(Clock::now()));
}

StatementRun::StatementRun(GroupHomePtr aHome,
                           GroupRequest aRequest,
                           peer::AnswerCallback aDone)
  : mHome(std::move(aHome))
  , mPlan(std::move(aRequest))
  , mDone(std::move(aDone))
{
}

void StatementRun::Do(PlanAction aAction)
{
  std::visit([this](auto& aIt) { On(aIt); }, aAction);
}

void StatementRun::On(const ChooseRoute& aAction)
{
  const auto& request = mPlan.Request();
  std::uint64_t term = 0;
  auto choice = mHome->Choose(request, aAction.mForRead, &term);
  auto action = mPlan.OnRoute(choice.mDecision, term, Clock::now());
  LogLine line("route");
  line.With("group", request.mGroup)
    .With("route", request.mStatement.mRoute)
    .With("organisation", request.mOrganisation)
    .With("cause", kRouteCauseNames.Name(choice.mCause));
  if (const auto* it = std::get_if<AcquireConnection>(&action)) {
    mIsAtReplica = std::holds_alternative<ToReplica>(choice.mDecision);
    line.With("database", mHome->NameOf(it->mDatabase))
      .With("role", mIsAtReplica ? "replica" : "primary");
  }
  LogStatement(line);
  Do(std::move(action));
}

void StatementRun::On(const AcquireConnection& aAction)
{
  mDatabase = aAction.mDatabase;
  mHome->PoolOf(mDatabase).Acquire(
    mPlan.Request().mOrganisation,
    mHome->Context().mWeightOf(mPlan.Request().mOrganisation),
    aAction.mDeadline,
    [self = shared_from_this()](database::ConnectionPtr aConnection, Reason aReason) {
      self->OnConnection(std::move(aConnection), aReason);
    });
}

void StatementRun::OnConnection(database::ConnectionPtr aConnection, Reason aReason)
{
  mConnection = std::move(aConnection);
  auto action = mPlan.OnConnection(mConnection != nullptr, aReason, Clock::now());
  bool isUnused = mConnection && !std::holds_alternative<SendCommand>(action);
  if (isUnused) {
    mHome->PoolOf(mDatabase).Release(std::move(mConnection), true);
  }
  Do(std::move(action));
}

void StatementRun::On(SendCommand& aAction)
{
  auto connection = mConnection;
  connection->Send(std::move(aAction.mCommand),
                   aAction.mDeadline,
                   [self = shared_from_this()](DatabaseReply aReply) {
                     self->OnReply(std::move(aReply));
                   });
}

void StatementRun::OnReply(DatabaseReply aReply)
{
  bool isClean = aReply.mStatus != ReplyStatus::Lost;
  mHome->PoolOf(mDatabase).Release(std::move(mConnection), isClean);
  if (!isClean) {
    LOG(INFO) << LogLine("connection_lost")
                   .With("group", mPlan.Request().mGroup)
                   .With("database", mHome->NameOf(mDatabase));
  }
  bool meetsNeed = mHome->Meets(mPlan.Request(), aReply.mPosition);
  Do(mPlan.OnReply(std::move(aReply), meetsNeed, Clock::now()));
}

void StatementRun::On(const AwaitPrimary& aAction)
{
  mHome->WaitForPrimary(aAction.mAfterTerm,
                        aAction.mDeadline,
                        [self = shared_from_this()](WaitResult aEnd) {
                          self->Do(self->mPlan.OnPrimary(aEnd, Clock::now()));
                        });
}

void StatementRun::On(const AwaitSafe& aAction)
{
  mHome->WaitUntilSafe(
    aAction.mEntry, aAction.mDeadline, [self = shared_from_this()](WaitResult aEnd) {
      self->Do(self->mPlan.OnSafe(aEnd, Clock::now()));
    });
}

void StatementRun::On(const AwaitConfirmed& aAction)
{
  mHome->WaitUntilConfirmed(aAction.mEntry,
                            aAction.mSince,
                            aAction.mDeadline,
                            [self = shared_from_this()](WaitResult aEnd) {
                              self->Do(self->mPlan.OnConfirmed(aEnd, Clock::now()));
                            });
}

void StatementRun::On(const AwaitRetry& aAction)
{
  mHome->Context().mWorkers->RunAt(aAction.mAt, [self = shared_from_this()] {
    self->Do(self->mPlan.OnRetry(Clock::now()));
  });
}

void StatementRun::On(FinishStatement& aAction)
{
  auto answer = std::move(aAction.mAnswer);
  answer.mId = mPlan.Request().mStatement.mId;
  if (aAction.mDatabase) {
    answer.mServedBy = mHome->NameOf(*aAction.mDatabase);
  }
  CountAnswer(answer);
  mDone(std::move(answer));
}

void StatementRun::CountAnswer(const Answer& aAnswer) const
{
  auto& metrics = *mHome->Context().mMetrics;
  metrics.Count("home.statements");
  const auto& statement = mPlan.Request().mStatement;
  bool isRead = statement.mKind == StatementKind::Execute && !statement.Writes();
  if (isRead && aAnswer.mOutcome == Outcome::Done) {
    metrics.Count(mIsAtReplica ? "reads.replica" : "reads.primary");
  }
}

} // namespace sesameway::daemon
