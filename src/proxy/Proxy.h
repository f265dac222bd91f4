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
#include "proxy/Settings.h"
#include "proxy/StoreSync.h"
#include "sesameway/DrainPlan.h"
#include "sesameway/Membership.h"
#include "sesameway/StoreWatchers.h"

#include <atomic>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <set>

namespace sesameway::proxy {

// One daemon: sessions of callers over few connections to databases whose primaries the
// fleet's coordinator changes. Sessions, databases and the store live on the loop's
// thread; fellows' calls come on the peer thread, shares and tokens on the workers.
// Locks: mMutex for what fellows ask, StoreSync's; neither under another.
// ProxyStore.cpp holds what the store's changes do, ProxyFellows.cpp the talk with
// fellows.
class Proxy
  : public SessionEnvironment
  , public CallerSessions
  , public peer::Handler
{
public:
  // How the outside world is spoken to and its objects are read.
  struct Adapters
  {
    std::shared_ptr<platform::Platform> mStore;
    platform::ChangeFeed* mFeed = nullptr;
    DatabaseConnector* mDatabases = nullptr;
    PromotionClient* mOrders = nullptr;
    std::string mConfigurationObject;
    std::string mDatabaseKind;
    std::function<tl::expected<Catalogue, std::string>(const StoredObject&)>
      mReadConfiguration;
    std::function<tl::expected<ListedDatabase, std::string>(const StoredObject&)>
      mReadDatabase;
    std::function<std::optional<DatabaseReport>(const std::string&)> mReadStatus;
  };

  Proxy(Loop& aLoop,
        Settings aSettings,
        Adapters aAdapters,
        std::uint64_t aIncarnation);
  ~Proxy() noexcept override;

  void Start(peer::Peers* aPeers);
  // Whether new connections should come here.
  bool IsReady() const { return mIsKnown && !mIsDraining; }
  // Ends sessions as they become idle; calls back when all have ended, or at the limit.
  void Drain(TimePoint aLimit, std::function<void()> aDone);
  void SetSeedPeerAddresses(std::vector<std::string> aAddresses);
  daemon::Metrics& MetricsRegistry() { return mMetrics; }
  // Gauges that are worked out when they are asked for.
  std::vector<daemon::MetricValue> Gauges() const;

  TimePoint Now() const override { return Clock::now(); }
  std::unique_ptr<OneShotTimer> NewOneShotTimer() override;
  CataloguePtr Current() const override { return mCatalogue; }
  void Admit(const Organisation& aOrganisation,
             TimePoint aDeadline,
             std::function<void(bool, TimePoint)> aVerdict) override;
  bool ClosesWithAnswer() const override;
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
  void OnAnnounce(const std::string& aGroup,
                  const peer::PrimaryHint& aPrimary) override;
  void OnStandDown(const std::string& aGroup,
                   std::uint64_t aChange,
                   std::function<void()> aDone) override;

private:
  void OnChange(const StoredObject& aObject);
  void OnConfiguration(const StoredObject& aObject);
  void OnDatabase(const StoredObject& aObject);
  void OnOwnObject(const StoredObject& aObject);
  void OnMember(const StoredObject& aObject);
  void OnKnown();
  void Tick();
  void Register(TimePoint aNow);
  // Follows the store, or asks the fellow of the region that does.
  void FollowStore(TimePoint aNow);
  // Asks fellows anywhere while neither the store nor the region's fellow answers.
  void PullFromFellows(TimePoint aNow);
  void GreetOneFellow();
  void PullFrom(const std::string& aAddress, std::function<void(bool)> aDone);
  void OnDelta(const peer::CatalogueDelta& aDelta, TimePoint aAskedAt);
  void UpdateHints(TimePoint aNow);
  void LogTotals(TimePoint aNow);
  void DrainSessions();
  // The daemons that have not been called missing.
  void OnFleet(const std::vector<peer::Member>& aMembers);
  bool IsOwnRegion(const std::string& aZone) const;
  void OnOwnRecord(const MemberRecord* aRecord);
  void OnContact(TimePoint aContact);
  std::vector<MemberRecord> Records() const;
  std::vector<peer::Member> Members() const;

  Loop& mLoop;
  Settings mSettings;
  Adapters mAdapters;
  peer::Member mSelf;
  // As it stands in the store.
  const std::string mOwnRecord;
  daemon::Metrics mMetrics;
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
  bool mIsKnown = false;
  bool mIsDraining = false;
  std::optional<DrainPlan> mDrainPlan;
  std::function<void()> mOnDrained;
  // Incarnations by name.
  std::map<std::string, std::uint64_t> mGreeted;
  // Near ones first.
  std::deque<peer::Member> mToGreet;
  bool mIsRegistering = false;
  TimePoint mRegisterAgainAt{};
  TimePoint mPullAgainAt{};
  TimePoint mRelayAt{};
  TimePoint mTotalsAt{};
  std::size_t mPullTurn = 0;
  std::vector<std::string> mSeedPeerAddresses;

  mutable std::mutex mMutex;
  std::map<std::string, MemberRecord> mMembers;
  std::map<std::string, peer::PrimaryHint> mHints;
  std::map<std::string, HeadHistory::Sample> mHeads;
};

} // namespace sesameway::proxy
