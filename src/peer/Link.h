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

// The way of a statement: the session at the borrower sends its batch on a BorrowedLink
// (proxy), which asks the home by Peers::OpenLink or sends on a LentLink. At the home a
// Loan (proxy) passes the batch to the DatabaseLink of the leased connection, which
// waits in the database's queue for a slot.
//
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
  // Returns the connection in a clean state. No batch may be in progress, and none may
  // follow.
  virtual void Return() = 0;
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
  // The first batch; empty to get the link alone.
  std::vector<ConnectionCommand> mCommands{};
};

// The answer to a request for a connection.
struct LinkOffer
{
  // Null if refused. Also null after a first batch that left no transaction open, if
  // the home has taken the connection back.
  std::shared_ptr<LentLink> mLink;
  LinkRefusal mRefusal = LinkRefusal::None;
  // When a refused request may be tried again; TimePoint{} if the home names no time.
  TimePoint mRetryAt{};
  // Expected wait of a new statement at the database.
  Duration mExpectedWait{};
  // The replies to the first batch: as many as commands, or a single one with mRetryAt
  // if the whole batch was refused before it was sent.
  std::vector<ConnectionReply> mReplies{};
};

} // namespace sesameway::peer
