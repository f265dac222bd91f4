#pragma once

#include "daemon/Metrics.h"
#include "peer/Peer.h"
#include "proxy/Loop.h"
#include "proxy/StoreSync.h"
#include "sesameway/ObjectTransfer.h"

#include <functional>
#include <set>
#include <string>
#include <vector>

namespace sesameway::proxy {

// Pulls changes of the store's objects from peer daemons into the local copy. Answers
// are limited in size; after one that left changes out, the same peer is asked again at
// once. At most one call to a peer is in progress. Used on the event loop's thread.
class PeerPulls
{
public:
  // Receives the ends of the groups' logs that a peer knows, and when it was asked.
  using OnHeads = std::function<void(const std::vector<peer::GroupHead>&, TimePoint)>;
  // Receives whether the peer answered and serves.
  using Done = std::function<void(bool)>;

  PeerPulls(Loop& aLoop, daemon::Metrics& aMetrics, StoreSync& aSync, OnHeads aOnHeads);
  void SetPeers(peer::Peers* aPeers) { mPeers = aPeers; }
  // Does nothing, and makes no call of `aDone`, while a call to the peer is in
  // progress.
  void Pull(const std::string& aAddress, Done aDone);

private:
  void Ask(const std::string& aAddress, ChangePull aPull, const Done& aDone);
  // Applies an answer. Returns whether the peer is to be asked again at once.
  bool Apply(const std::string& aAddress,
             peer::CatalogueDelta aDelta,
             TimePoint aAskedAt,
             ChangePull& aPull);
  // Adds a piece of an object, and merges the object once it is complete. Returns
  // whether the piece was new.
  bool AddPiece(const ObjectPiece& aPiece, ObjectSource aSource);
  void LogBegin(const ObjectPiece& aPiece, const ObjectSource& aSource);
  void LogFailure(const std::string& aAddress, TimePoint aAskedAt);

  Loop& mLoop;
  daemon::Metrics& mMetrics;
  StoreSync& mSync;
  OnHeads mOnHeads;
  peer::Peers* mPeers = nullptr;
  // Peers to which a call is in progress.
  std::set<std::string> mAsked;
  PieceReceiver mReceiver;
  TimePoint mNextFailureLogAt{};
  // Number of failed calls since the last one that was logged.
  int mFailures = 0;
};

} // namespace sesameway::proxy
