#pragma once

#include "sesameway/Statement.h"

#include <memory>
#include <string>
#include <vector>

namespace sesameway::caller {

// A caller's end of a session, for programs and tests; blocking, one statement at a
// time. It keeps the token and goes on at another daemon when told to.
class SessionClient
{
public:
  SessionClient(std::string aAddress, std::string aKey);
  // The daemons to use, in this order; each IP:port.
  SessionClient(std::vector<std::string> aAddresses, std::string aKey);
  SessionClient(SessionClient&&) noexcept;
  SessionClient& operator=(SessionClient&&) noexcept;
  ~SessionClient();

  // A statement that was refused with a request to move is sent to the next daemon.
  // Unknown or NotRun with ConnectionLost when the stream breaks; the next call opens
  // one at the next daemon and sends the token along.
  Answer Execute(Statement aStatement);
  void MoveTo(std::string aAddress);
  const SessionToken& Token() const { return mToken; }
  // How often it went on at another daemon.
  std::size_t Moves() const { return mMoves; }

private:
  struct Stream;
  // Whether a stream is open; tries each daemon once.
  bool Open(TimePoint aDeadline);
  Answer ExecuteOnce(Statement aStatement);
  Answer OnStreamBroken(const Statement& aStatement);
  void TrackTransaction(const Statement& aStatement, const Answer& aAnswer);
  void UseNextAddress();

  std::vector<std::string> mAddresses;
  std::size_t mAddressIndex = 0;
  std::string mKey;
  SessionToken mToken;
  bool mSendToken = false;
  bool mInTransaction = false;
  // The daemon wants the session to go on elsewhere.
  bool mIsAskedToMove = false;
  std::uint64_t mLastId = 0;
  std::size_t mMoves = 0;
  std::unique_ptr<Stream> mStream;
};

} // namespace sesameway::caller
