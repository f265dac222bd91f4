#pragma once

#include "sesameway/Statement.h"

#include <memory>
#include <string>
#include <vector>

namespace sesameway::caller {

// Client side of a session, for programs and tests. Calls block, and one statement runs
// at a time. The client keeps the session token and continues the session at another
// daemon when the current one asks it to.
class SessionClient
{
public:
  SessionClient(std::string aAddress, std::string aKey);
  // The addresses (IP:port) of the daemons, used in this order and then again from the
  // first one.
  SessionClient(std::vector<std::string> aAddresses, std::string aKey);
  SessionClient(SessionClient&&) noexcept;
  SessionClient& operator=(SessionClient&&) noexcept;
  ~SessionClient();

  // Executes a statement. Outside of transactions, a statement that a draining daemon
  // did not run is sent to the next daemon, at most once to each. When the stream
  // breaks, the answer is Unknown or NotRun with the reason ConnectionLost; the next
  // call opens a stream to the next daemon and sends the session token with its first
  // statement.
  Answer Execute(Statement aStatement);
  // Replaces all addresses and closes the stream; an open transaction is lost.
  void MoveTo(std::string aAddress);
  const SessionToken& Token() const { return mToken; }
  // How many times the client switched to the next address, including failed attempts
  // to connect.
  std::size_t Moves() const { return mMoves; }

private:
  struct Stream;
  // Opens a stream to the first daemon that accepts a connection, trying each of them
  // once. Returns false if none does.
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
  // The daemon has asked the client to continue at another daemon.
  bool mIsAskedToMove = false;
  std::uint64_t mLastId = 0;
  std::size_t mMoves = 0;
  std::unique_ptr<Stream> mStream;
};

} // namespace sesameway::caller
