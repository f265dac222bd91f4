#pragma once

#include "peer/Link.h"
#include "peer/Peer.h"
#include "proxy/Loop.h"
#include "proxy/Transport.h"
#include "sesameway/HomeChoice.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace sesameway::proxy {

// Opens connections to databases that are borrowed from the databases' homes when they
// are used. While no home of a database responds, one connection to it is opened
// directly. Used on the event loop's thread only.
class LinkBorrower : public DatabaseConnector
{
public:
  using Counter = std::function<void(const std::string&)>;

  LinkBorrower(Loop& aLoop, DatabaseConnector& aDirect, Counter aCount);

  void SetPeers(peer::Peers* aPeers) { mPeers = aPeers; }
  // Sets the addresses of the peers by name.
  void SetAddresses(std::map<std::string, std::string> aAddresses);
  // Sets the homes of a database, in the order in which they are asked.
  void SetHomes(const std::string& aDatabase, std::vector<std::string> aHomes);
  void Forget(const std::string& aDatabase);
  // Expected wait of a new statement, from what the database's homes have reported.
  Duration ExpectedWait(const std::string& aDatabase, TimePoint aNow) const;
  // Whether the database's homes could not reach it a short time ago.
  bool IsUnreachable(const std::string& aDatabase, TimePoint aNow) const;

  // Passes a link at once; it asks a home with the first batch.
  void Open(const LinkTarget& aTarget,
            TimePoint aDeadline,
            OpenCallback aDone) override;

private:
  class BorrowedLink;
  struct Borrowing
  {
    std::vector<std::string> mHomes;
    // When the expected wait that a home reported will be over.
    TimePoint mWaitUntil{};
    TimePoint mUnreachableUntil{};
    // The direct connection, while it is open.
    std::weak_ptr<DatabaseLink> mDirect;
  };

  Borrowing& BorrowingOf(const std::string& aDatabase)
  {
    return mBorrowings[aDatabase];
  }
  void NoteWait(const std::string& aDatabase, Duration aWait);
  // Notes an answer of the home to a call, or that none came to one sent at `aSentAt`.
  void OnHeard(const std::string& aHome);
  void OnNotHeard(const std::string& aHome, TimePoint aSentAt);

  Loop& mLoop;
  DatabaseConnector& mDirect;
  Counter mCount;
  peer::Peers* mPeers = nullptr;
  std::map<std::string, std::string> mAddresses;
  std::map<std::string, Borrowing> mBorrowings;
  HomeChoice mChoice;
  // When each home last answered a call.
  std::map<std::string, TimePoint> mHeardAt;
};

} // namespace sesameway::proxy
