#pragma once

#include "sesameway/NameTable.h"
#include "sesameway/SharedConnection.h"
#include "sesameway/StatementTerms.h"
#include "sesameway/Time.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace sesameway::peer {

// The replies to a batch. There are as many as commands, or there is a single one: with
// mRetryAt if the whole batch was refused, or else Lost. A link whose batch was Lost is
// of no further use.
struct LinkReplies
{
  std::vector<ConnectionReply> mReplies;
  // Expected wait of a new statement at the database.
  Duration mExpectedWait{};
};

// A connection to a database that its home lends to another daemon. Dropping the object
// without Return closes the connection, which rolls back its transaction.
//
// At the home, the functions and the destructor are called on the peer thread. At the
// borrower, they may be called on any thread; a batch that is in progress when the
// object is dropped ends with Lost.
class LentLink
{
public:
  // Called once, on any thread.
  using Replies = std::function<void(LinkReplies)>;

  virtual ~LentLink() = default;
  // Runs a batch. Only one may be in progress.
  virtual void Send(std::vector<ConnectionCommand> aCommands,
                    StatementTerms aTerms,
                    Replies aDone) = 0;
  // Returns the connection in a clean state, with what is set and prepared on it. No
  // batch may be in progress, and none may follow.
  virtual void Return(SharedConnectionState aContents) = 0;
};

// Why a daemon does not lend a connection.
enum class LinkRefusal : std::uint8_t
{
  None,
  // The daemon does not know the database or does not count itself among its homes.
  NotAHome,
  Leaving,
  Overloaded,
  // The database does not answer the home.
  Unreachable,
};
inline constexpr NameTable<LinkRefusal, 5> kLinkRefusalNames{
  { "none", "not_a_home", "leaving", "overloaded", "unreachable" }
};

struct LinkRequest
{
  std::string mDatabase;
  std::string mGroup;
  std::string mOrganisation;
  StatementTerms mTerms;
};

// The answer to a request for a connection.
struct LinkOffer
{
  // Null if refused.
  std::shared_ptr<LentLink> mLink;
  // What is set and prepared on the connection.
  SharedConnectionState mContents;
  LinkRefusal mRefusal = LinkRefusal::None;
  // When a refused request may be tried again; TimePoint{} if the home names no time.
  TimePoint mRetryAt{};
  // Expected wait of a new statement at the database.
  Duration mExpectedWait{};
};

} // namespace sesameway::peer
