#pragma once

#include "sesameway/SessionPlan.h"
#include "sesameway/StatementPlan.h"

#include <map>
#include <string>
#include <vector>

namespace sesameway::test {

// Three databases in memory with logs, granted terms, asynchronous replication and
// recorded results.
class FakeGroup
{
public:
  struct Entry
  {
    std::uint64_t mTerm;
    std::vector<Operation> mWrites;
    std::string mRequestId;
    std::vector<Row> mResult;
  };
  struct Node
  {
    std::vector<Entry> mLog;
    std::uint64_t mGranted = 1;
    bool mPrimary = false;
    LogPosition Head() const;
  };

  FakeGroup();
  DatabaseReply Run(std::size_t aNode, const DatabaseCommand& aCommand);
  // Fences node `aFirst` and the next one in a new term. If `aPromote`, promotes the
  // one of the two with the greater log.
  void Failover(std::size_t aFirst, bool aPromote);
  // Drops the node's entries that the newest primary does not have, then copies the
  // next one from it.
  void Replicate(std::size_t aNode);
  // Returns the primary of the newest term, or nullopt if no node is primary.
  std::optional<std::size_t> Primary() const;
  const Node& At(std::size_t aNode) const { return mNodes[aNode]; }
  static long Sum(const Node& aNode, const std::string& aKey);

private:
  std::vector<Node> mNodes;
};

// One home's view of the group, built from status reports as the product does.
struct FakeHome
{
  FakeHome();
  // Updates the view with the report of one database that was requested at `aNow`.
  void Observe(const FakeGroup& aGroup, std::size_t aNode, TimePoint aNow);
  void ObserveAll(const FakeGroup& aGroup, TimePoint aNow);
  GroupView mView;
  HeadHistory mHistory;
};

} // namespace sesameway::test
