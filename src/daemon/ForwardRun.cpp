#include "daemon/ForwardRun.h"

#include "daemon/Log.h"

namespace sesameway::daemon {

void ForwardRun::Start(Workers& aWorkers,
                       peer::Peers& aPeers,
                       std::vector<std::string> aHomes,
                       GroupRequest aRequest,
                       OnLost aOnLost,
                       peer::AnswerCallback aDone)
{
  auto run = std::make_shared<ForwardRun>(aWorkers,
                                          aPeers,
                                          std::move(aHomes),
                                          std::move(aRequest),
                                          std::move(aOnLost),
                                          std::move(aDone));
  run->Do(run->mPlan.Start(Clock::now()));
}

ForwardRun::ForwardRun(Workers& aWorkers,
                       peer::Peers& aPeers,
                       std::vector<std::string> aHomes,
                       GroupRequest aRequest,
                       OnLost aOnLost,
                       peer::AnswerCallback aDone)
  : mWorkers(aWorkers)
  , mPeers(aPeers)
  , mHomes(std::move(aHomes))
  , mRequest(std::move(aRequest))
  , mPlan(mRequest, mHomes.size())
  , mOnLost(std::move(aOnLost))
  , mDone(std::move(aDone))
{
}

void ForwardRun::Do(ForwardAction aAction)
{
  std::visit([this](auto& aIt) { On(aIt); }, aAction);
}

void ForwardRun::On(const ForwardAttempt& aAction)
{
  const auto& address = mHomes[aAction.mHome];
  LogStatement(LogLine("forward")
                 .With("group", mRequest.mGroup)
                 .With("route", mRequest.mStatement.mRoute)
                 .With("organisation", mRequest.mOrganisation)
                 .With("home", address));
  auto request = mRequest;
  request.mStatement.mDeadline = aAction.mDeadline;
  mPeers.Execute(
    address, std::move(request), [self = shared_from_this(), address](Answer aAnswer) {
      if (aAnswer.mReason == Reason::ConnectionLost) {
        self->mOnLost(address);
      }
      self->Do(self->mPlan.OnAnswer(std::move(aAnswer), Clock::now()));
    });
}

void ForwardRun::On(const ForwardPause& aAction)
{
  mWorkers.RunAt(aAction.mAt, [self = shared_from_this()] {
    self->Do(self->mPlan.OnRetry(Clock::now()));
  });
}

void ForwardRun::On(ForwardEnd& aAction)
{
  mDone(std::move(aAction.mAnswer));
}

} // namespace sesameway::daemon
