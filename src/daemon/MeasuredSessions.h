#pragma once

#include "caller/SessionHost.h"
#include "daemon/Metrics.h"
#include "sesameway/Statement.h"

#include <array>
#include <memory>
#include <string>

namespace sesameway::daemon {

// The counters of statements as callers see them, registered once.
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

// Hands out another host's sessions, and measures what they answer: "sessions.open",
// "statements.OUTCOME.REASON" and "latency_us.ROUTE" of the entry daemon.
class MeasuredSessions : public caller::SessionFactory
{
public:
  MeasuredSessions(caller::SessionFactory& aHost, Metrics& aMetrics);
  std::shared_ptr<caller::Session> Open(const std::string& aKey) override;

private:
  caller::SessionFactory& mHost;
  StatementMetrics mMetrics;
};

} // namespace sesameway::daemon
