#pragma once

#include "caller/SessionFactory.h"
#include "daemon/Metrics.h"
#include "sesameway/Statement.h"

#include <array>
#include <memory>
#include <string>

namespace sesameway::daemon {

// Metrics of statements as callers see them. The counters are looked up once, at
// construction.
class StatementMetrics
{
public:
  explicit StatementMetrics(Metrics& aMetrics);
  void OnAnswer(Outcome aOutcome, Reason aReason)
  {
    mAnswers[static_cast<std::size_t>(aOutcome)][static_cast<std::size_t>(aReason)]
      ->Add();
  }
  Distribution& LatencyOf(std::string_view aRoute);
  Counter& OpenSessions() { return mOpenSessions; }

private:
  using ByReason = std::array<Counter*, kReasonNames.mNames.size()>;
  Metrics& mMetrics;
  Counter& mOpenSessions;
  std::array<ByReason, kOutcomeNames.mNames.size()> mAnswers;
};

// Wraps the sessions of another SessionFactory and measures their answers. At the
// daemon to which the caller is connected it updates the metrics "sessions.open",
// "statements.OUTCOME.REASON" and "latency_us.ROUTE".
class MeasuredSessions : public caller::SessionFactory
{
public:
  MeasuredSessions(caller::SessionFactory& aFactory, Metrics& aMetrics);
  std::shared_ptr<caller::Session> Open(const std::string& aKey) override;

private:
  caller::SessionFactory& mFactory;
  StatementMetrics mMetrics;
};

} // namespace sesameway::daemon
