#pragma once

#include "sesameway/SharedConnection.h"
#include "sesameway/Time.h"

#include <functional>
#include <memory>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace sesameway::proxy {

// A connection to a database. All calls and callbacks on the loop's thread.
class DatabaseLink
{
public:
  using Replies = std::function<void(std::vector<ConnectionReply>)>;

  virtual ~DatabaseLink() = default;
  // One batch at a time. The replies come together and in order; those that did not
  // come before the connection broke are Lost.
  virtual void Send(std::vector<ConnectionCommand> aCommands, Replies aDone) = 0;
  // The database rolls back. A batch under way ends with Lost; OnBroken is not called.
  virtual void Close() = 0;
  // Called once, when the connection breaks while no batch is under way.
  virtual void OnBroken(std::function<void()> aCallback) = 0;
};
using DatabaseLinkPtr = std::shared_ptr<DatabaseLink>;

struct LinkTarget
{
  // IP:port.
  std::string mAddress;
  std::string mGroup;
  // For whom statements run; the caller's key never gets there.
  std::string mOrganisation;
  // The address may belong to another database by now.
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
  // Drops a prepared statement.
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
  // As the caller sent it.
  std::string mText;
  // Of the session value or the prepared statement.
  std::string mName;
  // Set: the value. Prepare: the shape. Execute: what follows the name.
  std::string mArgument;
  bool mPreparesWrite = false;
};

// What a session may do with its caller's connection.
class CallerStream
{
public:
  virtual ~CallerStream() = default;
  virtual void Accept() = 0;
  // Says why, and closes. Also when the caller has asked nothing.
  virtual void Refuse(ReplyCode aCode, const std::string& aDetail) = 0;
  // To the request that came last.
  virtual void Answer(const ConnectionReply& aReply) = 0;
  // Once all answers have been sent.
  virtual void Close() = 0;
};

// A caller's session. One request comes at a time; the next one after its answer.
class CallerSession
{
public:
  virtual ~CallerSession() = default;
  // `aKey` is empty if the caller showed none.
  virtual void OnConnect(const std::string& aRoute, const std::string& aKey) = 0;
  virtual void OnRequest(CallerRequest aRequest) = 0;
  // The caller has left or its connection broke.
  virtual void OnDisconnect() = 0;
};
using CallerSessionPtr = std::shared_ptr<CallerSession>;

class CallerSessions
{
public:
  virtual ~CallerSessions() = default;
  // The stream outlives the session's last call to it after OnDisconnect.
  virtual CallerSessionPtr Open(std::shared_ptr<CallerStream> aStream) = 0;
};

// Asks the platform to make a database the primary of its group's next term.
class PromotionClient
{
public:
  virtual ~PromotionClient() = default;
  // True: taken. False: refused, the database does not run. None: no answer.
  virtual void Promote(const std::string& aGroup,
                       const std::string& aDatabase,
                       const std::string& aHolder,
                       std::uint64_t aFence,
                       TimePoint aDeadline,
                       std::function<void(std::optional<bool>)> aDone) = 0;
};

} // namespace sesameway::proxy
