#pragma once

#include "sesameway/Time.h"

#include <cstdint>
#include <list>
#include <map>
#include <string>
#include <variant>
#include <vector>

namespace sesameway {

// One daemon's connections to one database. They are few, belong to one organisation
// each, and a new one costs the database working time. Decides who gets which
// connection, which is opened or given up for another, and who waits.
class ConnectionPlan
{
public:
  // A caller's statement or transaction that needs a connection.
  struct Request
  {
    std::uint64_t mTicket = 0;
    // Empty: any connection will do.
    std::string mOrganisation;
    // The lowest goes first.
    std::uint32_t mPriority = 0;
    TimePoint mDeadline;
  };

  struct Grant
  {
    std::uint64_t mTicket = 0;
    std::uint64_t mConnection = 0;
  };
  // Report by OnOpened or OnOpenFailed.
  struct Open
  {
    std::uint64_t mConnection = 0;
    std::string mOrganisation;
  };
  struct Close
  {
    std::uint64_t mConnection = 0;
  };
  // Not run, and can't be served in time.
  struct Refuse
  {
    std::uint64_t mTicket = 0;
    TimePoint mRetryAt;
  };
  using Action = std::variant<Grant, Open, Close, Refuse>;
  using Actions = std::vector<Action>;

  explicit ConnectionPlan(std::size_t aLimit)
    : mLimit(aLimit)
  {
  }

  // A lower limit gives idle connections up; busy ones go when they are released.
  Actions SetLimit(std::size_t aLimit, TimePoint aNow);
  Actions Add(Request aRequest, TimePoint aNow);
  // The caller has left, or gives up. False when it does not wait.
  bool Drop(std::uint64_t aTicket);
  Actions OnOpened(std::uint64_t aConnection, TimePoint aNow);
  // Nothing is opened before `aRetryAt`.
  Actions OnOpenFailed(std::uint64_t aConnection, TimePoint aRetryAt, TimePoint aNow);
  // Takes an idle connection, whoever's, for a command of this daemon's own; 0 if there
  // is none. To be released.
  std::uint64_t TakeIdle(TimePoint aNow);
  Actions OnReleased(std::uint64_t aConnection, TimePoint aNow);
  // Broken or closed, whatever it was doing.
  Actions OnGone(std::uint64_t aConnection, TimePoint aNow);
  // Refuses those whose deadline has passed and closes what has been idle for long
  // where connections are scarce; call at NextTick.
  Actions OnTick(TimePoint aNow);
  // TimePoint::max() when nothing waits.
  TimePoint NextTick() const;
  // Refuses all that wait: the database can't be reached or used.
  Actions RefuseAll(TimePoint aRetryAt);

  std::size_t Waiting() const { return mWaiters.size(); }
  std::size_t Connections() const { return mConnections.size(); }
  // The database takes no connection, and none stands.
  bool IsRefusingConnections() const { return mIsRefused && mConnections.empty(); }
  // When a new want would get a connection, judged by the ones served so far.
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

  void Settle(TimePoint aNow, Actions& aActions);
  void GiveToOwn(TimePoint aNow, Actions& aActions);
  void OpenFor(const Waiter& aWaiter,
               std::size_t aAhead,
               TimePoint aNow,
               Actions& aActions);
  void GiveTo(Waiters::iterator aWaiter,
              std::uint64_t aConnection,
              TimePoint aNow,
              Actions& aActions);
  std::uint64_t FindIdle(const std::string& aOrganisation) const;
  std::uint64_t FindIdleLongest() const;
  std::size_t CountOf(const std::string& aOrganisation, State aState) const;
  bool IsStarving(TimePoint aNow) const;
  void CloseIdle(TimePoint aNow, Actions& aActions);

  std::size_t mLimit;
  std::uint64_t mNextConnection = 1;
  std::map<std::uint64_t, Connection> mConnections;
  // By priority, then in order of arrival.
  Waiters mWaiters;
  TimePoint mOpenAgainAt{};
  // The last one could not be opened.
  bool mIsRefused = false;
  // How long connections are held, a moving average.
  Duration mHold = milliseconds(40);
};

} // namespace sesameway
