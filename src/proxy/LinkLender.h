#pragma once

#include "peer/Link.h"
#include "proxy/DatabasePool.h"
#include "proxy/Loop.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace sesameway::proxy {

// Lends connections to the databases of which this daemon is a home to other daemons.
// Used on the event loop's thread only; the lent links are called on the peer thread
// and pass their work on.
class LinkLender
{
public:
  using PoolPtr = std::shared_ptr<DatabasePool>;
  // Returns the pool of a database that this daemon is a home of, or null.
  using PoolFinder = std::function<PoolPtr(const std::string&)>;
  using Counter = std::function<void(const std::string&)>;

  LinkLender(Loop& aLoop, PoolFinder aFindPool, Counter aCount);

  void Lend(const peer::LinkRequest& aRequest,
            const std::function<void(peer::LinkOffer)>& aDone);
  // Refuses new links from now on.
  void Stop() { mIsStopping = true; }
  // Takes back links whose borrower has sent nothing for `aLimit`.
  void TakeBackIdle(Duration aLimit);
  // Takes back all links. A batch that still waits for a slot is answered as not sent,
  // one in progress as lost.
  void TakeBackAll();
  std::size_t LentCount() const;

private:
  class Loan;
  class LentConnection;

  void OnGranted(const PoolPtr& aPool,
                 const peer::LinkRequest& aRequest,
                 LeasePtr aLease,
                 const std::function<void(peer::LinkOffer)>& aDone);
  // A connection that is taken back may be lent anew at once, which changes mLoans.
  std::vector<std::shared_ptr<Loan>> OpenLoans() const;
  void Refuse(peer::LinkRefusal aRefusal,
              TimePoint aRetryAt,
              Duration aWait,
              const std::function<void(peer::LinkOffer)>& aDone);

  Loop& mLoop;
  PoolFinder mFindPool;
  Counter mCount;
  bool mIsStopping = false;
  std::uint64_t mNextTicket;
  std::vector<std::weak_ptr<Loan>> mLoans;
};

} // namespace sesameway::proxy
