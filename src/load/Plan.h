#pragma once

#include "sesameway/Time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace sesameway::load {

// The settings of a load run.
struct Plan
{
  std::string mScenario;
  // Caller addresses of the daemons. Sessions are spread over them in turn, and a
  // session switches to the next one when its connection is lost or the daemon drains.
  std::vector<std::string> mDaemons;
  // Callers' keys, assigned to the sessions in turn.
  std::vector<std::string> mKeys;
  std::string mRoute;
  std::string mReadRoute;
  // IP:port of a database that the same mix is also sent to directly; empty for none.
  std::string mDirect;
  int mSessions = 8;
  int mSeconds = 5;
  // How long to wait at first until every daemon serves the route.
  int mReadySeconds = 0;
  // Statements per second of all sessions together. 0: each session sends a statement
  // as soon as the previous one is answered.
  double mRate = 0;
  int mReadPercent = 75;
  // Percentage of the writes that are run in a transaction.
  int mTransactionPercent = 0;
  // Size of a value that is written along with each write; 0 for none.
  std::size_t mValueBytes = 0;
  std::uint64_t mSeed = 1;
  // Only hold the sessions open, after one read in each.
  bool mIsIdle = false;
};

} // namespace sesameway::load
