#pragma once

#include "sesameway/SharedConnection.h"
#include "sesameway/StatementTerms.h"
#include "sesameway/Time.h"

#include <functional>
#include <memory>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace sesameway::proxy {

// A connection to a database. All calls and callbacks are made on the event loop's
// thread.
class DatabaseLink
{
public:
  using Replies = std::function<void(std::vector<ConnectionReply>)>;

  virtual ~DatabaseLink() = default;
  // Sends a batch of commands; only one batch may be in progress. All replies are
  // passed together and in order. Replies that had not arrived when the connection
  // broke are Lost.
  virtual void Send(std::vector<ConnectionCommand> aCommands, Replies aDone) = 0;
  // Whether the connection has been closed or has broken.
  virtual bool IsClosed() const = 0;
  // Says how urgent the batches that follow are. A connection without a queue before
  // the database ignores it.
  virtual void SetTerms(const StatementTerms&) {}
  // Closes the connection, upon which the database rolls back an open transaction. A
  // batch in progress ends with Lost; the OnBroken callback is not called.
  virtual void Close() = 0;
  // Sets the callback that is called once if the connection breaks while no batch is in
  // progress.
  virtual void OnBroken(std::function<void()> aCallback) = 0;
};
using DatabaseLinkPtr = std::shared_ptr<DatabaseLink>;

struct LinkTarget
{
  // In the form IP:port.
  std::string mAddress;
  std::string mGroup;
  // The organisation for which statements run. The caller's key is never sent to the
  // database.
  std::string mOrganisation;
  // The expected name of the database, because the address may belong to another one by
  // now.
  std::string mDatabase;
};

class DatabaseConnector
{
public:
  using OpenCallback = std::function<void(tl::expected<DatabaseLinkPtr, ReplyCode>)>;
  virtual ~DatabaseConnector() = default;
  virtual void Open(const LinkTarget& aTarget,
                    TimePoint aDeadline,
                    OpenCallback aDone) = 0;
};

enum class RequestKind : std::uint8_t
{
  Begin,
  BeginRead,
  Commit,
  Rollback,
  Read,
  Write,
  Set,
  Prepare,
  Execute,
  // Discards a prepared statement.
  Drop,
  Malformed,
  TooLarge,
};
inline constexpr NameTable<RequestKind, 12> kRequestKindNames{ { "begin",
                                                                 "begin_read",
                                                                 "commit",
                                                                 "rollback",
                                                                 "read",
                                                                 "write",
                                                                 "set",
                                                                 "prepare",
                                                                 "execute",
                                                                 "drop",
                                                                 "malformed",
                                                                 "too_large" } };

struct CallerRequest
{
  RequestKind mKind = RequestKind::Malformed;
  std::string mId;
  // The statement's text as the caller sent it.
  std::string mText;
  // The name of the session value or prepared statement.
  std::string mName;
  // For Set the value, for Prepare the statement's shape, for Execute the text after
  // the name.
  std::string mArgument;
  bool mPreparesWrite = false;
};

// The session's side of the connection to its caller.
class CallerStream
{
public:
  virtual ~CallerStream() = default;
  virtual void Accept() = 0;
  // Sends the reason and closes the connection, also if no request is pending.
  virtual void Refuse(ReplyCode aCode, const std::string& aDetail) = 0;
  // Answers the latest request.
  virtual void Answer(const ConnectionReply& aReply) = 0;
  // Closes the connection once all answers have been sent.
  virtual void Close() = 0;
};

// A caller's session. It receives one request at a time: the next one follows only
// after the answer.
class CallerSession
{
public:
  virtual ~CallerSession() = default;
  // `aKey` is empty if the caller presented none.
  virtual void OnConnect(const std::string& aRoute, const std::string& aKey) = 0;
  virtual void OnRequest(CallerRequest aRequest) = 0;
  // Called when the caller has disconnected or its connection broke.
  virtual void OnDisconnect() = 0;
};
using CallerSessionPtr = std::shared_ptr<CallerSession>;

class CallerSessions
{
public:
  virtual ~CallerSessions() = default;
  // The stream must stay valid until the session has made its last call to it, which
  // may come after OnDisconnect.
  virtual CallerSessionPtr Open(std::shared_ptr<CallerStream> aStream) = 0;
};

// Asks the platform to promote a database to primary for the next term of its group.
class PromotionClient
{
public:
  virtual ~PromotionClient() = default;
  // Calls back with true if the order was accepted, with false if it was refused, for
  // example because the database is not running, and with none if its outcome is
  // unknown: no answer came by the deadline, or the answer was another error.
  virtual void Promote(const std::string& aGroup,
                       const std::string& aDatabase,
                       const std::string& aHolder,
                       std::uint64_t aFence,
                       TimePoint aDeadline,
                       std::function<void(std::optional<bool>)> aDone) = 0;
};

} // namespace sesameway::proxy
