#pragma once

#include "sesameway/Time.h"

#include <cstdint>
#include <list>
#include <map>
#include <string>
#include <variant>
#include <vector>

namespace sesameway {

// Connection pool logic of one daemon for one database. Connections are few, each
// belongs to one organisation, and opening one costs the database working time. Decides
// which request is granted which connection, which connections are opened or closed to
// make room for another, and which requests wait.
class ConnectionPlan
{
public:
  // A statement or transaction of a caller that needs a connection.
  struct Request
  {
    std::uint64_t mTicket = 0;
    // Organisation whose connection is needed; empty if any connection will do.
    std::string mOrganisation;
    // Requests with a lower number are served first.
    std::uint32_t mPriority = 0;
    TimePoint mDeadline;
  };

  struct Grant
  {
    std::uint64_t mTicket = 0;
    std::uint64_t mConnection = 0;
  };
  // Open a connection and report the result by OnOpened or OnOpenFailed.
  struct Open
  {
    std::uint64_t mConnection = 0;
    std::string mOrganisation;
  };
  struct Close
  {
    std::uint64_t mConnection = 0;
  };
  // Refuse a request that can't be served in time; it has not been run.
  struct Refuse
  {
    std::uint64_t mTicket = 0;
    TimePoint mRetryAt;
  };
  using Action = std::variant<Grant, Open, Close, Refuse>;
  using Actions = std::vector<Action>;

  // Connections that belong to another daemon are not kept while they are idle.
  explicit ConnectionPlan(std::size_t aLimit, bool aKeepsIdle = true)
    : mLimit(aLimit)
    , mKeepsIdle(aKeepsIdle)
  {
  }

  // Changes the maximum number of connections. Under a lower limit idle connections are
  // closed at once and busy ones on release.
  Actions SetLimit(std::size_t aLimit, TimePoint aNow);
  Actions Add(Request aRequest, TimePoint aNow);
  // Removes a waiting request whose caller has disconnected or given up. Returns false
  // if the request was not waiting.
  bool Drop(std::uint64_t aTicket);
  Actions OnOpened(std::uint64_t aConnection, TimePoint aNow);
  // Handles a failure to open a connection; none is opened before `aRetryAt`.
  Actions OnOpenFailed(std::uint64_t aConnection, TimePoint aRetryAt, TimePoint aNow);
  // Takes the connection that has been idle longest, of any organisation, for a command
  // of the daemon itself; returns 0 if none is idle. End its use with OnReleased.
  std::uint64_t TakeIdle(TimePoint aNow);
  Actions OnReleased(std::uint64_t aConnection, TimePoint aNow);
  // Removes a connection that has broken or been closed, in any state.
  Actions OnGone(std::uint64_t aConnection, TimePoint aNow);
  // Refuses requests whose deadline has passed and, where connections are scarce,
  // closes those that have been idle for too long. Call it at NextTick().
  Actions OnTick(TimePoint aNow);
  // Time of the next OnTick call; TimePoint::max() if none is needed.
  TimePoint NextTick() const;
  // Refuses all waiting requests, because the database can't be reached or used.
  Actions RefuseAll(TimePoint aRetryAt);

  std::size_t Waiting() const { return mWaiters.size(); }
  std::size_t Connections() const { return mConnections.size(); }
  // Whether the database refuses connections: the last attempt to open one failed, and
  // none exists.
  bool IsRefusingConnections() const { return mIsRefused && mConnections.empty(); }
  // Estimated wait of a new request, based on how long connections have been held so
  // far.
  Duration ExpectedWait(const std::string& aOrganisation) const;

private:
  enum class State : std::uint8_t
  {
    Opening,
    Idle,
    Busy,
  };
  struct Connection
  {
    std::string mOrganisation;
    State mState = State::Opening;
    TimePoint mSince{};
  };
  struct Waiter
  {
    Request mRequest;
    TimePoint mSince;
  };
  using Waiters = std::list<Waiter>;

  void Dispatch(TimePoint aNow, Actions& aActions);
  void GrantMatching(TimePoint aNow, Actions& aActions);
  void OpenFor(const Waiter& aWaiter,
               std::size_t aAhead,
               TimePoint aNow,
               Actions& aActions);
  void GrantTo(Waiters::iterator aWaiter,
               std::uint64_t aConnection,
               TimePoint aNow,
               Actions& aActions);
  std::uint64_t FindIdle(const std::string& aOrganisation) const;
  std::uint64_t FindIdleLongest() const;
  std::size_t CountOf(const std::string& aOrganisation, State aState) const;
  bool IsStarving(TimePoint aNow) const;
  void CloseIdle(TimePoint aNow, Actions& aActions);

  std::size_t mLimit;
  bool mKeepsIdle;
  std::uint64_t mNextConnection = 1;
  std::map<std::uint64_t, Connection> mConnections;
  // Waiting requests by priority, then in order of arrival.
  Waiters mWaiters;
  TimePoint mNextOpenAt{};
  // Whether the last attempt to open a connection failed.
  bool mIsRefused = false;
  // Moving average of the time for which connections are held.
  Duration mAverageHold = milliseconds(40);
};

} // namespace sesameway
