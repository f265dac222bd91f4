#pragma once

#include "sesameway/Database.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace sesameway::database {

using ReplyCallback = std::function<void(DatabaseReply)>;

// A connection to a database, used by one statement or transaction at a time.
class Connection
{
public:
  virtual ~Connection() = default;
  // Sends a command and sets its id. The callback runs exactly once, with
  // ReplyStatus::Lost if the connection broke or the deadline passed. A connection that
  // has returned Lost can't be used again.
  virtual void Send(DatabaseCommand aCommand,
                    TimePoint aDeadline,
                    ReplyCallback aDone) = 0;
  virtual bool IsBroken() const = 0;
  // Breaks the connection. A command that waits for its reply gets ReplyStatus::Lost.
  virtual void Abandon() {}
};

using ConnectionPtr = std::shared_ptr<Connection>;
using StatusCallback = std::function<void(std::optional<DatabaseStatus>)>;
using FenceCallback = std::function<void(std::optional<FenceResult>)>;

// Client of one database. Callbacks run on threads of the transport and must not block.
// A callback that receives no value got no answer by the deadline.
class Database
{
public:
  virtual ~Database() = default;
  // Passes null if no connection can be opened by the deadline.
  virtual void Connect(TimePoint aDeadline,
                       std::function<void(ConnectionPtr)> aDone) = 0;
  virtual void Status(TimePoint aDeadline, StatusCallback aDone) = 0;
  // Reports each change of the status until the returned handle is dropped. Passes no
  // value when the stream ends; the caller must then call Watch again for further
  // changes.
  virtual std::shared_ptr<void> Watch(StatusCallback aOnStatus) = 0;
  // Asks the database to grant the term to the candidate. Once it has, it accepts
  // nothing of an older term.
  virtual void Fence(std::uint64_t aTerm,
                     const std::string& aCandidate,
                     TimePoint aDeadline,
                     FenceCallback aDone) = 0;
  // Promotes the database to primary of a term that it has granted. Passes no value if
  // there is no answer or the database refuses; Status tells which role it has then.
  virtual void Promote(std::uint64_t aTerm,
                       TimePoint aDeadline,
                       StatusCallback aDone) = 0;
  // Makes the database a replica of the term's primary at IP:port. Passes no value if
  // there is no answer or the database refuses.
  virtual void Follow(std::uint64_t aTerm,
                      const std::string& aAddress,
                      TimePoint aDeadline,
                      StatusCallback aDone) = 0;
};

// Creates a client for the database at IP:port.
using DatabaseFactory =
  std::function<std::shared_ptr<Database>(const std::string& aName,
                                          const std::string& aAddress)>;

DatabaseFactory MakeGrpcDatabaseFactory();

} // namespace sesameway::database
