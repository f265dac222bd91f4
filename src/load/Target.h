#pragma once

#include "caller/SessionClient.h"
#include "database/Database.h"

#include <memory>
#include <string>
#include <vector>

namespace sesameway::load {

// Executes the statements of a load session. Calls block.
class Target
{
public:
  virtual ~Target() = default;
  virtual Answer Execute(Statement aStatement) = 0;
};

// Sends statements to a daemon. Switches to the next daemon when the connection is lost
// or the daemon drains.
class DaemonTarget : public Target
{
public:
  DaemonTarget(std::vector<std::string> aDaemons, std::size_t aFirst, std::string aKey);
  Answer Execute(Statement aStatement) override;

private:
  std::vector<std::string> mDaemons;
  std::size_t mDaemonIndex;
  caller::SessionClient mSession;
};

// Sends statements directly to a primary over a connection of its own, with the same
// client that daemons use: the baseline for the latency that daemons add. It does not
// wait until a write has reached a replica.
class DirectTarget : public Target
{
public:
  explicit DirectTarget(const std::string& aAddress);
  Answer Execute(Statement aStatement) override;

private:
  std::shared_ptr<database::Database> mDatabase;
  database::ConnectionPtr mConnection;
  std::uint64_t mTerm = 0;
};

} // namespace sesameway::load
