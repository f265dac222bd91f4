#pragma once

#include "sesameway/SharedConnection.h"

#include <map>
#include <string>
#include <vector>

namespace sesameway {

// A borrower's session on a connection that is shared with others. The borrower sets
// and prepares what its session needs as on a new connection, because it does not know
// what is there; the home sends only what is missing. The
// home uses ToConnection and ToBorrower, the borrower Note and WithSetUp.
class LentSession
{
public:
  // Whether the commands are a batch as sessions send it: at least one, of which the
  // last does more than set up the session.
  static bool IsBatch(const std::vector<ConnectionCommand>& aCommands);

  // Returns the batch to send on the connection with this state. All commands but the
  // last one set up the session. Call ToBorrower with the replies before the next
  // batch.
  std::vector<ConnectionCommand> ToConnection(
    const std::vector<ConnectionCommand>& aBatch,
    SharedConnectionState& aState);
  // Returns the replies to the borrower's batch from those to the batch that was sent.
  std::vector<ConnectionReply> ToBorrower(std::vector<ConnectionReply> aReplies,
                                          SharedConnectionState& aState);
  // Returns a batch that sets up the session anew and then does the same.
  std::vector<ConnectionCommand> WithSetUp(
    const std::vector<ConnectionCommand>& aBatch) const;

  // Notes what the batch sets and prepares.
  void Note(const std::vector<ConnectionCommand>& aBatch);

private:
  SessionValues mValues;
  // Prepared statements by the names that the borrower uses.
  std::map<std::string, PreparedStatement> mPrepared;
  std::size_t mBatchSize = 0;
  ConnectionCommand mLast;
};

} // namespace sesameway
