#include "daemon/MeasuredSessions.h"

#include <algorithm>

namespace sesameway::daemon {

namespace {

// A session executes one statement at a time, so the class needs no lock.
class MeasuredSession
  : public caller::Session
  , public std::enable_shared_from_this<MeasuredSession>
{
public:
  MeasuredSession(std::shared_ptr<caller::Session> aSession, StatementMetrics& aMetrics)
    : mSession(std::move(aSession))
    , mMetrics(aMetrics)
  {
    mMetrics.OpenSessions().Add();
  }
  MeasuredSession(const MeasuredSession&) = delete;
  MeasuredSession& operator=(const MeasuredSession&) = delete;
  ~MeasuredSession() override { mMetrics.OpenSessions().Add(-1); }

  void Execute(Statement aStatement, std::function<void(Answer)> aDone) override
  {
    mRoute = aStatement.mRoute;
    mBegin = Clock::now();
    mSession->Execute(
      std::move(aStatement),
      [self = shared_from_this(), done = std::move(aDone)](Answer aAnswer) {
        self->OnAnswer(aAnswer);
        done(std::move(aAnswer));
      });
  }

private:
  void OnAnswer(const Answer& aAnswer)
  {
    mMetrics.OnAnswer(aAnswer.mOutcome, aAnswer.mReason);
    // A refused statement may name a route that does not exist. Recording such names
    // would make the table of metrics grow without bound.
    if (aAnswer.mOutcome == Outcome::Done && !mRoute.empty()) {
      auto latency = Clock::now() - mBegin;
      mMetrics.LatencyOf(mRoute).Record(
        std::chrono::duration<double, std::micro>(latency).count());
    }
  }

  std::shared_ptr<caller::Session> mSession;
  StatementMetrics& mMetrics;
  std::string mRoute;
  TimePoint mBegin{};
};

} // namespace

StatementMetrics::StatementMetrics(Metrics& aMetrics)
  : mMetrics(aMetrics)
  , mOpenSessions(aMetrics.CounterOf("sessions.open"))
{
  for (std::size_t outcome = 0; outcome < mAnswers.size(); ++outcome) {
    for (std::size_t reason = 0; reason < mAnswers[outcome].size(); ++reason) {
      auto name = "statements." + std::string(kOutcomeNames.mNames[outcome]) + '.' +
                  std::string(kReasonNames.mNames[reason]);
      mAnswers[outcome][reason] = &aMetrics.CounterOf(name);
    }
  }
}

Distribution& StatementMetrics::LatencyOf(std::string_view aRoute)
{
  constexpr std::size_t kMaxName = 128;
  constexpr std::string_view kPrefix = "latency_us.";
  std::array<char, kMaxName> name{};
  auto end = std::copy(kPrefix.begin(), kPrefix.end(), name.begin());
  auto rest = aRoute.substr(0, name.end() - end);
  end = std::copy(rest.begin(), rest.end(), end);
  return mMetrics.DistributionOf(std::string_view(name.data(), end - name.begin()));
}

MeasuredSessions::MeasuredSessions(caller::SessionFactory& aFactory, Metrics& aMetrics)
  : mFactory(aFactory)
  , mMetrics(aMetrics)
{
}

std::shared_ptr<caller::Session> MeasuredSessions::Open(const std::string& aKey)
{
  return std::make_shared<MeasuredSession>(mFactory.Open(aKey), mMetrics);
}

} // namespace sesameway::daemon
