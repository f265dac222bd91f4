#pragma once

#include "daemon/Admission.h"
#include "daemon/Metrics.h"
#include "daemon/ShareKeeper.h"
#include "daemon/Workers.h"
#include "peer/Peer.h"
#include "platform/Platform.h"
#include "proxy/CallerRun.h"
#include "proxy/CoordinatorRun.h"
#include "proxy/DatabaseFleet.h"
#include "proxy/Loop.h"
#include "proxy/PeerPulls.h"
#include "proxy/Settings.h"
#include "proxy/StoreSync.h"
#include "sesameway/DrainPlan.h"
#include "sesameway/LinkedPeers.h"
#include "sesameway/Membership.h"
#include "sesameway/PeerPullSchedule.h"
#include "sesameway/StoreWatchers.h"

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <set>

namespace sesameway::proxy {

// One proxy daemon. It runs callers' sessions over a small number of connections to
// databases whose primaries are changed by the fleet's coordinator. Sessions, databases
// and the copy of the store are used on the event loop's thread; calls from peers
// arrive on the peer thread; shares and tokens are handled by worker threads. Locks:
// mMutex guards the members declared after it, which the peer thread and worker threads
// read; StoreSync has its own mutex; neither is locked while the other is held.
// ProxyStore.cpp handles changes of the store, ProxyPeers.cpp the communication with
// peers.
class Proxy
  : public SessionEnvironment
  , public CallerSessions
  , public peer::Handler
{
public:
  // Clients of the external systems, and parsers for the objects read from them.
  struct Adapters
  {
    std::shared_ptr<platform::Platform> mStore;
    platform::ChangeFeed* mFeed = nullptr;
    DatabaseConnector* mDatabases = nullptr;
    PromotionClient* mPromotionClient = nullptr;
    std::string mConfigurationObject;
    std::string mDatabaseKind;
    // Kind of the objects that ask for the evacuation of a zone; empty if it is not
    // followed.
    std::string mEvacuationKind;
    std::function<tl::expected<Catalogue, std::string>(const StoredObject&)>
      mReadConfiguration;
    std::function<tl::expected<ListedDatabase, std::string>(const StoredObject&)>
      mReadDatabase;
    // Returns the zone.
    std::function<tl::expected<std::string, std::string>(const StoredObject&)>
      mReadEvacuation;
    std::function<std::optional<DatabaseReport>(const std::string&)> mReadStatus;
  };

  Proxy(Loop& aLoop,
        Settings aSettings,
        Adapters aAdapters,
        std::uint64_t aIncarnation);
  ~Proxy() noexcept override;

  void Start(peer::Peers* aPeers);
  // Whether load balancers should send new connections to this daemon.
  bool IsReady() const { return mIsInitialized && !mIsDraining; }
  // Closes sessions as they become idle. Calls back when all have ended, or shortly
  // before `aKillAt`.
  void Drain(TimePoint aKillAt, std::function<void()> aDone);
  void SetSeedPeerAddresses(std::vector<std::string> aAddresses);
  daemon::Metrics& MetricsRegistry() { return mMetrics; }
  // Gauges that are computed on demand.
  std::vector<daemon::MetricValue> Gauges() const;

  TimePoint Now() const override { return Clock::now(); }
  std::unique_ptr<OneShotTimer> NewOneShotTimer() override;
  CataloguePtr Current() const override { return mCatalogue; }
  void Admit(const Organisation& aOrganisation,
             TimePoint aDeadline,
             std::function<void(bool, TimePoint)> aVerdict) override;
  bool EndsSessions() const override;
  void OnStatement(const std::string& aRoute,
                   ReplyCode aCode,
                   Duration aLatency) override;

  CallerSessionPtr Open(std::shared_ptr<CallerStream> aStream) override;

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
  void OnOpenLink(peer::LinkRequest aRequest,
                  std::function<void(peer::LinkOffer)> aDone) override;

private:
  void OnChange(const StoredObject& aObject, const ObjectSource& aSource);
  void OnConfiguration(const StoredObject& aObject, const ObjectSource& aSource);
  void OnDatabase(const StoredObject& aObject);
  void OnEvacuation(const StoredObject& aObject);
  void OnOwnObject(const StoredObject& aObject);
  void OnMember(const StoredObject& aObject);
  void OnInitialSync();
  void Tick();
  void Register(TimePoint aNow);
  void WriteLostRecords(TimePoint aNow);
  void WriteLostEvacuations(TimePoint aNow);
  void EndEvacuatedTransactions();
  // Ends what sessions were granted and the catalogue in force takes back.
  void EndWithdrawnGrants();
  // Decides whether to follow the store's changes, and polls a peer in the same region
  // for them if one precedes this daemon by name; see StoreWatchers.
  void FollowStore(TimePoint aNow);
  // Pulls changes from peers in any region while neither the store nor the peer in the
  // same region answers.
  void PullFromPeers(TimePoint aNow);
  void ConnectToOnePeer();
  void OnPeerHeads(const std::vector<peer::GroupHead>& aHeads, TimePoint aAskedAt);
  void UpdatePrimaryHints(TimePoint aNow);
  peer::PrimaryHint HintOf(const std::string& aGroup) const;
  void LogTotals(TimePoint aNow);
  void DrainSessions();
  // Answers all statements in progress.
  void EndStatements();
  // Returns the sessions that are still open. A session that is answered may be closed
  // and opened anew at once, which changes mSessions.
  std::vector<std::shared_ptr<CallerRun>> OpenSessions() const;
  // Handles all changes of member records since the last call.
  void ApplyMemberChanges();
  bool IsOwnRegion(const std::string& aZone) const;
  void OnOwnRecord(const MemberRecord* aRecord);
  void OnContact(TimePoint aContact);
  std::vector<MemberRecord> Records() const;
  std::vector<peer::Member> Members() const;

  Loop& mLoop;
  Settings mSettings;
  Adapters mAdapters;
  peer::Member mSelf;
  // This daemon's member record, in the form in which it is stored.
  const std::string mOwnRecord;
  daemon::Metrics mMetrics;
  // The store's generation at the latest contact with it.
  std::optional<std::uint64_t> mGeneration;
  daemon::Workers mWorkers;
  std::shared_ptr<daemon::FleetAdmission> mAdmission;
  std::shared_ptr<daemon::ShareKeeper> mShareKeeper;
  StoreSync mSync;
  DatabaseFleet mFleet;
  std::shared_ptr<CoordinatorRun> mCoordinator;
  peer::Peers* mPeers = nullptr;
  Registration mRegistration;
  StoreWatchers mWatchers;
  Timer mTick;
  CataloguePtr mCatalogue;
  std::set<std::weak_ptr<CallerRun>, std::owner_less<>> mSessions;
  TimePoint mStartedAt = Clock::now();
  bool mIsInitialized = false;
  bool mIsDraining = false;
  std::optional<DrainPlan> mDrainPlan;
  std::function<void()> mOnDrained;
  // Number of member records that have changed since ApplyMemberChanges was called.
  std::size_t mMemberChanges = 0;
  // Peers to which this daemon opens a connection before it needs one.
  LinkedPeers mLinkedPeers;
  bool mIsRegistering = false;
  TimePoint mRegisterAgainAt{};
  PeerPullSchedule mPullSchedule;
  PeerPulls mPulls;
  TimePoint mNextRelayPullAt{};
  TimePoint mNextWriteBackAt{};
  TimePoint mNextEvacuationWriteAt{};
  TimePoint mNextTotalsAt{};
  std::vector<std::string> mSeedPeerAddresses;

  mutable std::mutex mMutex;
  std::map<std::string, MemberRecord> mMembers;
  std::map<std::string, peer::PrimaryHint> mHints;
  std::map<std::string, HeadHistory::Sample> mHeads;
};

} // namespace sesameway::proxy
