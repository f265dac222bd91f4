#pragma once

#include "peer/Link.h"
#include "peer/Peer.h"
#include "proxy/Loop.h"
#include "proxy/Transport.h"
#include "sesameway/HomeChoice.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace sesameway::proxy {

// Opens connections to databases by borrowing them from the databases' homes. While no
// home of a database responds, opens one connection to it directly. Used on the event
// loop's thread only.
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

  void Open(const LinkTarget& aTarget,
            TimePoint aDeadline,
            OpenCallback aDone) override;

private:
  class BorrowedLink;
  struct Request;
  struct Borrowing
  {
    std::vector<std::string> mHomes;
    // When the expected wait that a home reported will be over.
    TimePoint mWaitUntil{};
    std::weak_ptr<DatabaseLink> mDirect;
    bool mIsOpeningDirect = false;
  };

  void AskNextHome(const std::shared_ptr<Request>& aRequest);
  void OnOffer(const std::shared_ptr<Request>& aRequest,
               const std::string& aHome,
               std::optional<peer::LinkOffer> aOffer);
  void OpenDirect(const std::shared_ptr<Request>& aRequest);
  void NoteWait(const std::string& aDatabase, Duration aWait);

  Loop& mLoop;
  DatabaseConnector& mDirect;
  Counter mCount;
  peer::Peers* mPeers = nullptr;
  std::map<std::string, std::string> mAddresses;
  std::map<std::string, Borrowing> mBorrowings;
  HomeChoice mChoice;
};

} // namespace sesameway::proxy
