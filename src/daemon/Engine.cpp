#include "daemon/Engine.h"

#include "daemon/ForwardRun.h"
#include "daemon/Log.h"
#include "daemon/SessionRun.h"
#include "sesameway/Homes.h"

#include <algorithm>

namespace sesameway::daemon {

namespace {

constexpr Duration kRetryAfter = milliseconds(200);
// How long a home that failed to answer is tried only after the other homes.
constexpr Duration kAvoidTime = seconds(2);

// A transaction that another daemon has opened here. It counts as open work, for which
// a drain waits.
class CountedTransaction : public peer::Transaction
{
public:
  CountedTransaction(std::atomic<std::size_t>& aCount, peer::TransactionPtr aInner)
    : mCount(aCount)
    , mInner(std::move(aInner))
  {
    ++mCount;
  }
  CountedTransaction(const CountedTransaction&) = delete;
  CountedTransaction& operator=(const CountedTransaction&) = delete;
  ~CountedTransaction() override { --mCount; }
  void Execute(GroupRequest aRequest, peer::AnswerCallback aDone) override
  {
    mInner->Execute(std::move(aRequest), std::move(aDone));
  }

private:
  std::atomic<std::size_t>& mCount;
  peer::TransactionPtr mInner;
};

} // namespace

Engine::Engine(Settings aSettings,
               std::uint64_t aIncarnation,
               std::shared_ptr<platform::Platform> aPlatform,
               database::DatabaseFactory aFactory)
  : mSettings(std::move(aSettings))
  , mSelf{ mSettings.mName,
           mSettings.mZone,
           mSettings.mPeerAddress,
           aIncarnation,
           false }
  , mWorkers(mSettings.mWorkers)
  , mFactory(std::move(aFactory))
  , mCatalogue(std::make_shared<CatalogueSync>(mWorkers, aPlatform, mSelf, mSettings))
{
  if (mSettings.mStaticLimits) {
    mAdmission = std::make_shared<StaticAdmission>([this] { return mDaemons.load(); });
    return;
  }
  mFleetAdmission = std::make_shared<FleetAdmission>(mWorkers, mMetrics, mSelf);
  mAdmission = mFleetAdmission;
  mShareKeeper =
    std::make_shared<ShareKeeper>(mWorkers, mMetrics, std::move(aPlatform), mSelf);
}

Engine::~Engine() noexcept
{
  std::lock_guard lock(mMutex);
  for (const auto& it : mHomes) {
    it.second->Stop();
  }
}

void Engine::Start(peer::Peers* aPeers)
{
  mPeers = aPeers;
  if (mShareKeeper) {
    mFleetAdmission->Start(aPeers);
    mShareKeeper->Start([this] { return mCatalogue->Members(); },
                        [this](ShareSnapshotPtr aSnapshot) {
                          mFleetAdmission->OnShareSnapshot(std::move(aSnapshot));
                        });
  }
  mCatalogue->Start(aPeers, [this] { OnCatalogueChange(); });
}

void Engine::Drain()
{
  mDraining = true;
  LOG(INFO) << LogLine("drain").With("open_work", mOpenWork.load());
}

void Engine::ReleaseShares(TimePoint aDeadline)
{
  if (mShareKeeper) {
    mShareKeeper->ReleaseSlots(aDeadline);
  }
}

std::shared_ptr<caller::Session> Engine::Open(const std::string& aKey)
{
  return std::make_shared<SessionRun>(*this, aKey);
}

peer::Member Engine::OnHello(const peer::Member&, bool* aReady)
{
  *aReady = mCatalogue->Current() != nullptr;
  return mSelf;
}

void Engine::OnExecute(GroupRequest aRequest, peer::AnswerCallback aDone)
{
  auto home = mHomesClosed ? nullptr : LocalHome(aRequest.mGroup);
  if (!home) {
    aDone(NotRun(Reason::NotReady,
                 Clock::now() + kRetryAfter,
                 "this daemon is not a home of the group"));
    return;
  }
  ++mOpenWork;
  home->Execute(std::move(aRequest), [this, done = std::move(aDone)](Answer aAnswer) {
    done(std::move(aAnswer));
    --mOpenWork;
  });
}

void Engine::OnBegin(GroupRequest aRequest, peer::BeginCallback aDone)
{
  auto home = mHomesClosed ? nullptr : LocalHome(aRequest.mGroup);
  if (!home) {
    aDone(NotRun(Reason::NotReady,
                 Clock::now() + kRetryAfter,
                 "this daemon is not a home of the group"),
          nullptr);
    return;
  }
  ++mOpenWork;
  home->Begin(
    std::move(aRequest),
    [this, done = std::move(aDone)](Answer aAnswer, peer::TransactionPtr aTransaction) {
      if (aTransaction) {
        aTransaction = std::make_shared<CountedTransaction>(mOpenWork, aTransaction);
      }
      done(std::move(aAnswer), std::move(aTransaction));
      --mOpenWork;
    });
}

peer::CatalogueDelta Engine::OnCatalogue(const peer::CatalogueQuery& aQuery)
{
  return mCatalogue->Delta(aQuery);
}

peer::TokenGrant Engine::OnTakeTokens(const std::string& aOrganisation,
                                      std::uint64_t aIncarnation,
                                      double aWanted)
{
  return mAdmission->LendTokens(aOrganisation, aIncarnation, aWanted);
}

peer::PrimaryHint Engine::OnPrimary(const std::string& aGroup)
{
  auto home = LocalHome(aGroup);
  if (!home) {
    return {};
  }
  return home->Hint();
}

peer::PrimaryHints Engine::OnPrimaries(const std::vector<std::string>& aGroups)
{
  peer::PrimaryHints hints;
  for (const auto& it : aGroups) {
    hints[it] = OnPrimary(it);
  }
  return hints;
}

void Engine::OnAnnounce(const std::string& aGroup, const peer::PrimaryHint& aPrimary)
{
  LOG(INFO)
    << LogLine("primary_announced").With("group", aGroup).With("term", aPrimary.mTerm);
  if (auto home = LocalHome(aGroup)) {
    home->OnAnnounce(aPrimary);
  }
}

// Nothing to do: this daemon fences former primaries by their term, and it keeps no
// records of primary changes.
void Engine::OnStandDown(const std::string&, std::uint64_t, std::function<void()> aDone)
{
  aDone();
}

void Engine::Execute(GroupRequest aRequest, peer::AnswerCallback aDone)
{
  if (auto home = LocalHome(aRequest.mGroup)) {
    home->Execute(std::move(aRequest), std::move(aDone));
    return;
  }
  auto homes = HomeAddresses(aRequest.mGroup);
  ForwardRun::Start(
    mWorkers,
    *mPeers,
    std::move(homes),
    std::move(aRequest),
    [this](const std::string& aAddress) { AvoidHome(aAddress); },
    std::move(aDone));
}

void Engine::Begin(GroupRequest aRequest, peer::BeginCallback aDone)
{
  if (auto home = LocalHome(aRequest.mGroup)) {
    home->Begin(std::move(aRequest), std::move(aDone));
    return;
  }
  auto addresses = HomeAddresses(aRequest.mGroup);
  BeginAtRemoteHome(std::move(addresses), std::move(aRequest), std::move(aDone));
}

void Engine::BeginAtRemoteHome(std::vector<std::string> aAddresses,
                               GroupRequest aRequest,
                               peer::BeginCallback aDone)
{
  if (aAddresses.empty()) {
    aDone(NotRun(Reason::NotReady,
                 Clock::now() + kRetryAfter,
                 "no home of the group is known"),
          nullptr);
    return;
  }
  auto address = aAddresses.front();
  aAddresses.erase(aAddresses.begin());
  auto attempt = aRequest;
  auto onBegun = [this,
                  address,
                  addresses = std::move(aAddresses),
                  request = std::move(aRequest),
                  done = std::move(aDone)](Answer aAnswer,
                                           peer::TransactionPtr aTransaction) {
    // If the connection is lost, the transaction is rolled back, so another home may be
    // tried.
    bool isWorthAnother =
      aAnswer.mReason == Reason::NotReady || aAnswer.mReason == Reason::ConnectionLost;
    if (isWorthAnother && !addresses.empty()) {
      BeginAtRemoteHome(addresses, request, done);
      return;
    }
    done(std::move(aAnswer), std::move(aTransaction));
  };
  mPeers->Begin(address, std::move(attempt), std::move(onBegun));
}

void Engine::OnCatalogueChange()
{
  auto catalogue = mCatalogue->Current();
  if (!catalogue) {
    return;
  }
  mAdmission->OnCatalogue(*catalogue);
  auto members = mCatalogue->Members();
  std::vector<Candidate> candidates;
  std::map<std::string, peer::Member> byName;
  for (const auto& it : members) {
    if (!it.mLeaving) {
      candidates.push_back({ it.mName, it.mZone });
    }
    byName[it.mName] = it;
  }
  mDaemons = std::max<std::size_t>(1, members.size());
  std::lock_guard lock(mMutex);
  std::map<std::string, GroupHomePtr, std::less<>> homes;
  mHomeAddresses.clear();
  for (const auto& service : catalogue->mServices) {
    for (const auto& group : service.second.mGroups) {
      auto names = ChooseHomes(group.mName, candidates, group.mSlots);
      HomeRanking ranking;
      for (const auto& it : names) {
        if (it != mSelf.mName) {
          ranking.mOtherHomes.push_back(byName[it].mAddress);
        }
      }
      auto self = std::find(names.begin(), names.end(), mSelf.mName);
      ranking.mRank = static_cast<std::size_t>(self - names.begin());
      std::stable_partition(names.begin(), names.end(), [&](const std::string& aName) {
        return byName[aName].mZone == mSelf.mZone;
      });
      auto& addresses = mHomeAddresses[group.mName];
      for (const auto& it : names) {
        addresses.push_back(byName[it].mAddress);
      }
      bool isHome = std::find(names.begin(), names.end(), mSelf.mName) != names.end();
      if (!isHome) {
        continue;
      }
      auto home = FindOrCreateHome(group);
      home->SetRanking(std::move(ranking));
      homes[group.mName] = std::move(home);
    }
  }
  for (const auto& it : mHomes) {
    it.second->Retire();
  }
  mHomes = std::move(homes);
}

GroupHomePtr Engine::FindOrCreateHome(const Group& aGroup)
{
  int connections =
    std::max(1, static_cast<int>(aGroup.mConnections / std::max(1u, aGroup.mSlots)));
  auto it = mHomes.find(aGroup.mName);
  if (it != mHomes.end() && it->second->HasDatabasesOf(aGroup)) {
    auto kept = mHomes.extract(it).mapped();
    kept->SetConnectionLimit(connections);
    return kept;
  }
  HomeContext context{ &mWorkers,
                       &mMetrics,
                       mFactory,
                       mPeers,
                       mSelf.mName,
                       mSelf.mZone,
                       [this](const std::string& aName) { return WeightOf(aName); } };
  auto home = std::make_shared<GroupHome>(context, aGroup, connections);
  home->Start();
  LOG(INFO)
    << LogLine("home").With("group", aGroup.mName).With("connections", connections);
  return home;
}

std::vector<GroupHomePtr> Engine::Homes() const
{
  std::shared_lock lock(mMutex);
  std::vector<GroupHomePtr> homes;
  for (const auto& it : mHomes) {
    homes.push_back(it.second);
  }
  return homes;
}

std::uint32_t Engine::WeightOf(const std::string& aOrganisation) const
{
  auto catalogue = mCatalogue->Current();
  const auto* it = catalogue ? catalogue->FindOrganisation(aOrganisation) : nullptr;
  return it ? it->mWeight : 1;
}

GroupHomePtr Engine::LocalHome(const std::string& aGroup) const
{
  std::shared_lock lock(mMutex);
  auto it = mHomes.find(aGroup);
  return it == mHomes.end() ? nullptr : it->second;
}

std::vector<std::string> Engine::HomeAddresses(const std::string& aGroup) const
{
  std::shared_lock lock(mMutex);
  auto it = mHomeAddresses.find(aGroup);
  if (it == mHomeAddresses.end()) {
    return {};
  }
  auto addresses = it->second;
  if (mAvoidUntil.empty()) {
    return addresses;
  }
  std::stable_partition(addresses.begin(),
                        addresses.end(),
                        [this, now = Clock::now()](const std::string& aAddress) {
                          auto avoid = mAvoidUntil.find(aAddress);
                          return avoid == mAvoidUntil.end() || avoid->second <= now;
                        });
  return addresses;
}

void Engine::AvoidHome(const std::string& aAddress)
{
  LOG(INFO) << LogLine("home_avoided").With("home", aAddress);
  std::lock_guard lock(mMutex);
  auto now = Clock::now();
  std::erase_if(mAvoidUntil, [now](const auto& aIt) { return aIt.second <= now; });
  mAvoidUntil[aAddress] = now + kAvoidTime;
}

} // namespace sesameway::daemon
