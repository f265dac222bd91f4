#pragma once

#include "caller/SessionFactory.h"
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

// Owns the parts of one daemon. Checks, admits and routes the statements of its
// callers, and serves the groups for which this daemon is a home. Lock order:
// Engine::mMutex, GroupHome::mMutex, ConnectionPool::mMutex. FailoverRun::mMutex is
// taken while no lock except Engine::mMutex is held. The mutexes of CatalogueSync,
// Admission, ShareKeeper and Distribution are taken while no lock of another class is
// held.
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

  // `aPeers` must outlive every call that the engine makes to it.
  void Start(peer::Peers* aPeers);
  // Refuses new statements from callers. Open transactions may continue; see
  // OpenWork().
  void Drain();
  // Releases this daemon's share of all limits. Call it once no work is open. Blocks
  // until the release is confirmed or the deadline passes.
  void ReleaseShares(TimePoint aDeadline);
  // Refuses new statements from other daemons as well, which then try another home.
  // Call it after Drain().
  void CloseHomes() { mHomesClosed = true; }
  // Number of open statements and transactions, including those of other daemons.
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
  peer::PrimaryHints OnPrimaries(const std::vector<std::string>& aGroups) override;
  void OnAnnounce(const std::string& aGroup,
                  const peer::PrimaryHint& aPrimary) override;
  void OnStandDown(const std::string& aGroup,
                   std::uint64_t aChange,
                   std::function<void()> aDone) override;

  // Executes an admitted statement here if this daemon is a home of the group,
  // otherwise forwards it to a home.
  void Execute(GroupRequest aRequest, peer::AnswerCallback aDone);
  void Begin(GroupRequest aRequest, peer::BeginCallback aDone);

  CataloguePtr CurrentCatalogue() const { return mCatalogue->Current(); }
  const CatalogueSync& Sync() const { return *mCatalogue; }
  Admission& AdmissionControl() { return *mAdmission; }
  Metrics& MetricsRegistry() { return mMetrics; }
  // The groups for which this daemon is currently a home.
  std::vector<GroupHomePtr> Homes() const;
  bool IsDraining() const { return mDraining; }
  std::atomic<std::size_t>& OpenWorkCount() { return mOpenWork; }

private:
  void OnCatalogueChange();
  // Returns the existing home of the group if the group's databases are unchanged,
  // otherwise creates a new one. Requires mMutex.
  GroupHomePtr FindOrCreateHome(const Group& aGroup);
  // Begins a transaction at the first of the homes. Tries the next one if a home is not
  // ready or the connection to it is lost.
  void BeginAtRemoteHome(std::vector<std::string> aAddresses,
                         GroupRequest aRequest,
                         peer::BeginCallback aDone);
  std::uint32_t WeightOf(const std::string& aOrganisation) const;
  GroupHomePtr LocalHome(const std::string& aGroup) const;
  // Peer addresses of the group's homes, in the order in which they are tried. Homes
  // that recently failed to answer come last.
  std::vector<std::string> HomeAddresses(const std::string& aGroup) const;
  void AvoidHome(const std::string& aAddress);

  Settings mSettings;
  peer::Member mSelf;
  Metrics mMetrics;
  Workers mWorkers;
  database::DatabaseFactory mFactory;
  std::shared_ptr<CatalogueSync> mCatalogue;
  // Both are null if the settings choose static limits.
  std::shared_ptr<FleetAdmission> mFleetAdmission;
  std::shared_ptr<ShareKeeper> mShareKeeper;
  std::shared_ptr<Admission> mAdmission;
  peer::Peers* mPeers = nullptr;
  mutable std::shared_mutex mMutex;
  std::map<std::string, GroupHomePtr, std::less<>> mHomes;
  // Peer addresses of the homes of each group, those in this daemon's availability zone
  // first.
  std::map<std::string, std::vector<std::string>, std::less<>> mHomeAddresses;
  // Addresses of homes that failed to answer, and the time until which other homes are
  // tried first.
  std::map<std::string, TimePoint, std::less<>> mAvoidUntil;
  std::atomic<std::size_t> mDaemons = 1;
  std::atomic<std::size_t> mOpenWork = 0;
  std::atomic<bool> mDraining = false;
  std::atomic<bool> mHomesClosed = false;
};

} // namespace sesameway::daemon
