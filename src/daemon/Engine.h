#pragma once

#include "caller/SessionHost.h"
#include "daemon/Admission.h"
#include "daemon/CatalogueSync.h"
#include "daemon/GroupHome.h"
#include "daemon/Settings.h"
#include "daemon/ShareKeeper.h"
#include "peer/Peer.h"

#include <map>
#include <memory>
#include <mutex>
#include <shared_mutex>

namespace sesameway::daemon {

// What one daemon is put together from: it checks, admits and routes its callers'
// statements, and serves the groups that it is a home of.
// Locks, in the order they may be taken: Engine::mMutex, GroupHome::mMutex,
// ConnectionPool::mMutex. CatalogueSync's, Admission's and Metrics's are taken alone.
class Engine
  : public caller::SessionFactory
  , public peer::Handler
{
public:
  Engine(Settings aSettings,
         std::uint64_t aIncarnation,
         std::shared_ptr<platform::Platform> aPlatform,
         database::DatabaseFactory aFactory);
  ~Engine() noexcept override;

  // The peers must outlive the engine's last call.
  void Start(peer::Peers* aPeers);
  // Refuses new statements of callers, lets open transactions go on; see OpenWork.
  void Drain();
  // Gives this daemon's part of all limits back, when its work is over.
  void HandBackShares(TimePoint aDeadline);
  // Then refuses new statements of fellow daemons too, which try another home.
  void CloseHomes() { mHomesClosed = true; }
  // Statements and transactions that are not over, those of fellow daemons included.
  std::size_t OpenWork() const { return mOpenWork; }

  std::shared_ptr<caller::Session> Open(const std::string& aKey) override;

  peer::Member OnHello(const peer::Member& aFrom, bool* aReady) override;
  void OnExecute(GroupRequest aRequest, peer::AnswerCallback aDone) override;
  void OnBegin(GroupRequest aRequest, peer::BeginCallback aDone) override;
  peer::CatalogueDelta OnCatalogue(const peer::CatalogueQuery& aQuery) override;
  peer::TokenGrant OnTakeTokens(const std::string& aOrganisation,
                                std::uint64_t aIncarnation,
                                double aWanted) override;
  peer::PrimaryHint OnPrimary(const std::string& aGroup) override;
  void OnAnnounce(const std::string& aGroup,
                  const peer::PrimaryHint& aPrimary) override;
  void OnStandDown(const std::string& aGroup,
                   std::uint64_t aChange,
                   std::function<void()> aDone) override;

  // Sends an admitted statement to the group: here if this is a home, else to one.
  void Execute(GroupRequest aRequest, peer::AnswerCallback aDone);
  void Begin(GroupRequest aRequest, peer::BeginCallback aDone);

  CataloguePtr CurrentCatalogue() const { return mCatalogue->Current(); }
  const CatalogueSync& Sync() const { return *mCatalogue; }
  Admission& Limits() { return *mAdmission; }
  Metrics& Numbers() { return mMetrics; }
  // The groups that this daemon is a home of at present.
  std::vector<GroupHomePtr> Homes() const;
  bool IsDraining() const { return mDraining; }
  std::atomic<std::size_t>& OpenWorkCount() { return mOpenWork; }

private:
  void OnCatalogueChange();
  // Under mMutex: the present home of the group if it may stay, else a new one.
  GroupHomePtr KeepOrMakeHome(const Group& aGroup);
  // Tries the homes one after the other.
  void BeginAtHome(std::vector<std::string> aAddresses,
                   GroupRequest aRequest,
                   peer::BeginCallback aDone);
  std::uint32_t WeightOf(const std::string& aOrganisation) const;
  GroupHomePtr LocalHome(const std::string& aGroup) const;
  // Where to send statements for a group that this daemon is no home of; those that
  // gave no answer lately come last.
  std::vector<std::string> HomeAddresses(const std::string& aGroup) const;
  void AvoidHome(const std::string& aAddress);

  Settings mSettings;
  peer::Member mSelf;
  Metrics mMetrics;
  Workers mWorkers;
  database::DatabaseFactory mFactory;
  std::shared_ptr<CatalogueSync> mCatalogue;
  // Null where limits are static.
  std::shared_ptr<FleetAdmission> mFleetAdmission;
  std::shared_ptr<ShareKeeper> mShares;
  std::shared_ptr<Admission> mAdmission;
  peer::Peers* mPeers = nullptr;
  mutable std::shared_mutex mMutex;
  std::map<std::string, GroupHomePtr, std::less<>> mHomes;
  // For each group, the peer addresses of its homes, nearest zone first.
  std::map<std::string, std::vector<std::string>, std::less<>> mHomeAddresses;
  // Homes that gave no answer, and until when others are asked first.
  std::map<std::string, TimePoint, std::less<>> mAvoidUntil;
  std::atomic<std::size_t> mDaemons = 1;
  std::atomic<std::size_t> mOpenWork = 0;
  std::atomic<bool> mDraining = false;
  std::atomic<bool> mHomesClosed = false;
};

} // namespace sesameway::daemon
