#include "proxy/DatabaseFleet.h"

#include "daemon/Log.h"

#include <algorithm>

namespace sesameway::proxy {

namespace {

// Bounds the connections that one daemon borrows to one database at a time; more
// statements wait here.
constexpr std::size_t kBorrowedLimit = 64;
// Parts of a cold database's rate of statements that its homes may start. The second
// home takes statements only while the first one does not respond.
constexpr double kFirstColdShare = 0.75;
constexpr double kSecondColdShare = 0.25;
constexpr Duration kPrimaryCheckInterval = seconds(1);
constexpr Duration kPrimaryCheckTimeout = milliseconds(600);

} // namespace

HomePlan DatabaseFleet::PlanFor(const ListedDatabase& aDatabase) const
{
  bool isKnown = mCatalogue && mCatalogue->FindGroup(aDatabase.mGroup) != nullptr;
  return PlanHomes(
    { mName, aDatabase.mName, aDatabase.mZone, isKnown ? ConnectionsOf(aDatabase) : 0 },
    mHomeFleet);
}

void DatabaseFleet::AssignRoles()
{
  for (const auto& it : mList.Names()) {
    AssignRole(*mList.Find(it));
  }
}

void DatabaseFleet::AssignRole(const ListedDatabase& aDatabase)
{
  const auto& name = aDatabase.mName;
  auto plan = PlanFor(aDatabase);
  auto& pool = mPools[name];
  auto& home = mHomePools[name];
  bool isFirst = plan.mRole == HomeRole::FirstHome;
  bool isHome = isFirst || plan.mRole == HomeRole::SecondHome;
  MovePools(pool, home, isHome, isFirst);
  NoteHomeRole(name, plan.mRole);
  if (plan.mRole == HomeRole::Direct) {
    SetPoolKind(pool, aDatabase, PoolKind::Direct);
    pool->SetLimit(LimitOf(aDatabase));
    mHomePools.erase(name);
    return;
  }
  mBorrower.SetHomes(name, plan.mHomes);
  SetPoolKind(pool, aDatabase, isFirst ? PoolKind::Home : PoolKind::Borrowing);
  if (!isFirst) {
    pool->SetLimit(kBorrowedLimit);
  }
  if (!isHome) {
    mHomePools.erase(name);
    return;
  }
  if (isFirst) {
    home = pool;
  } else {
    SetPoolKind(home, aDatabase, PoolKind::Home);
  }
  home->SetSlots(std::max<std::uint32_t>(1, aDatabase.mSlots));
  home->SetLimit(HomeConnections(ConnectionsOf(aDatabase), isFirst ? 0 : 1));
}

// The home's pool keeps its connections and what it has learned when the daemon's rank
// among the homes changes.
void DatabaseFleet::MovePools(PoolPtr& aPool,
                              PoolPtr& aHome,
                              bool aIsHome,
                              bool aIsFirst)
{
  if (!aHome) {
    return;
  }
  bool wasFirst = aHome == aPool;
  if (wasFirst && !aIsFirst) {
    // Waiting requests are placed again, in the pool that borrows.
    aPool = nullptr;
    aHome->RefuseWaiting();
  }
  if (!aIsHome) {
    Retire(std::exchange(aHome, nullptr));
  } else if (aIsFirst && !wasFirst) {
    if (aPool) {
      Retire(std::move(aPool));
    }
    aPool = aHome;
  }
}

void DatabaseFleet::SetPoolKind(PoolPtr& aPool,
                                const ListedDatabase& aDatabase,
                                PoolKind aKind)
{
  if (aPool && aPool->Kind() != aKind) {
    Retire(std::exchange(aPool, nullptr));
  }
  if (!aPool) {
    auto& connector = aKind == PoolKind::Borrowing
                        ? static_cast<DatabaseConnector&>(mBorrower)
                        : mDatabases;
    aPool = std::make_shared<DatabasePool>(mLoop, connector, aDatabase, aKind, mCount);
  }
  aPool->SetListed(aDatabase);
}

void DatabaseFleet::RemovePools(const std::string& aName)
{
  for (auto* it : { &mPools, &mHomePools }) {
    auto node = it->extract(aName);
    if (!node.empty() && node.mapped()) {
      Retire(std::move(node.mapped()));
    }
  }
}

void DatabaseFleet::NoteHomeRole(const std::string& aDatabase, HomeRole aRole)
{
  auto& role = mHomeRoles[aDatabase];
  auto isHome = [](HomeRole aIt) {
    return aIt == HomeRole::FirstHome || aIt == HomeRole::SecondHome;
  };
  if (role != aRole && (isHome(role) || isHome(aRole))) {
    LOG(INFO) << daemon::LogLine("home_role")
                   .With("database", aDatabase)
                   .With("from", kHomeRoleNames.Name(role))
                   .With("to", kHomeRoleNames.Name(aRole))
                   .With("daemons", mDaemons);
  }
  role = aRole;
}

DatabaseFleet::PoolPtr DatabaseFleet::FindHomePool(const std::string& aName) const
{
  auto it = mHomePools.find(aName);
  return it == mHomePools.end() ? nullptr : it->second;
}

DatabaseFleet::PoolPtr DatabaseFleet::FindLendingPool(const std::string& aName) const
{
  auto pool = FindHomePool(aName);
  return pool && mEvacuations.Contains(pool->Listed().mZone) ? nullptr : pool;
}

Duration DatabaseFleet::ExpectedWaitAt(const DatabasePool& aPool,
                                       const StatementTerms& aTerms,
                                       TimePoint aNow) const
{
  auto wait = aPool.ExpectedWait(aTerms);
  if (aPool.Kind() == PoolKind::Borrowing) {
    wait = std::max(wait, mBorrower.ExpectedWait(aPool.Listed().mName, aNow));
  }
  return wait;
}

bool DatabaseFleet::IsSuspect(const DatabasePool& aPool, TimePoint aNow) const
{
  bool isBorrowing = aPool.Kind() == PoolKind::Borrowing;
  return aPool.IsSuspect(aNow) ||
         (isBorrowing && mBorrower.IsUnreachable(aPool.Listed().mName, aNow));
}

void DatabaseFleet::CheckPrimaries(TimePoint aNow)
{
  if (aNow < mNextPrimaryCheckAt) {
    return;
  }
  mNextPrimaryCheckAt = aNow + kPrimaryCheckInterval;
  ConnectionCommand status;
  status.mKind = CommandKind::Status;
  for (const auto& it : mHomePools) {
    if (it.second && MustCheck(it.first, *it.second, aNow)) {
      it.second->Ask(
        status, aNow + kPrimaryCheckTimeout, [](const std::optional<ConnectionReply>&) {
          // The pool notes that the database has answered.
        });
    }
  }
}

// A home lends no connection to a silent database, so it would not learn that the
// database answers again.
bool DatabaseFleet::MustCheck(const std::string& aDatabase,
                              const DatabasePool& aPool,
                              TimePoint aNow) const
{
  const auto* leadership = FindLeadership(aPool.Listed().mGroup);
  bool isPrimary = leadership != nullptr && leadership->Record().mPrimary == aDatabase;
  auto role = mHomeRoles.find(aDatabase);
  bool isSecond = role != mHomeRoles.end() && role->second == HomeRole::SecondHome;
  auto silence = aPool.Silence(aNow);
  bool isSilent = silence && *silence > kPrimaryCheckTimeout;
  return (isPrimary && isSecond) || isSilent;
}

void DatabaseFleet::StopStarting()
{
  for (const auto& it : mHomePools) {
    if (it.second) {
      it.second->StopStarting();
    }
  }
}

void DatabaseFleet::ApplyColdRates(TimePoint aNow)
{
  for (const auto& it : mHomePools) {
    if (!it.second) {
      continue;
    }
    auto rate = ColdRate(it.second->Listed(), aNow);
    if (rate) {
      bool isFirst = mHomeRoles[it.first] == HomeRole::FirstHome;
      *rate *= isFirst ? kFirstColdShare : kSecondColdShare;
    }
    it.second->SetStartRate(rate);
  }
}

DatabaseFleet::HomeLoad DatabaseFleet::Load() const
{
  HomeLoad load;
  for (const auto& it : mHomePools) {
    const auto* queue = it.second ? it.second->Queue() : nullptr;
    if (queue != nullptr) {
      ++load.mHomes;
      load.mWaiting += queue->Waiting();
      load.mRunning += queue->Running();
    }
  }
  return load;
}

} // namespace sesameway::proxy
