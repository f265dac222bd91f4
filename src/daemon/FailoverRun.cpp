#include "daemon/FailoverRun.h"

#include "daemon/Log.h"
#include "daemon/Metrics.h"

namespace sesameway::daemon {

namespace {

constexpr Duration kPeerTimeout = milliseconds(100);
constexpr Duration kAnnounceTimeout = milliseconds(500);
constexpr Duration kControlTimeout = milliseconds(300);

std::vector<std::string> AddressesOf(const Group& aGroup)
{
  std::vector<std::string> addresses;
  for (const auto& it : aGroup.mDatabases) {
    addresses.push_back(it.mAddress);
  }
  return addresses;
}

} // namespace

FailoverRun::FailoverRun(FailoverContext aContext, std::function<void()> aOnChange)
  : mContext(std::move(aContext))
  , mOnChange(std::move(aOnChange))
  , mMachine(AddressesOf(mContext.mGroup), FailoverLimits(), Clock::now())
{
}

void FailoverRun::SetRanking(HomeRanking aRanking)
{
  std::lock_guard lock(mMutex);
  mMachine.SetHomes(aRanking.mRank, aRanking.mOtherHomes.size());
  mRanking = std::move(aRanking);
}

void FailoverRun::Stop()
{
  std::lock_guard lock(mMutex);
  mStopped = true;
}

void FailoverRun::OnStatus(std::size_t aDatabase,
                           const std::optional<DatabaseStatus>& aStatus)
{
  FailoverActions actions;
  {
    std::lock_guard lock(mMutex);
    actions = mMachine.OnStatus(aDatabase, aStatus, Clock::now());
  }
  Perform(actions);
}

void FailoverRun::OnConnections(std::size_t aDatabase,
                                std::optional<TimePoint> aFailingSince)
{
  std::lock_guard lock(mMutex);
  mMachine.OnConnections(aDatabase, aFailingSince);
}

void FailoverRun::OnAnnounce(const peer::PrimaryHint& aHint)
{
  auto primary = IndexOf(aHint.mDatabase);
  if (!primary) {
    return;
  }
  FailoverActions actions;
  {
    std::lock_guard lock(mMutex);
    actions = mMachine.OnAnnounce(aHint.mTerm, *primary, Clock::now());
  }
  Perform(actions);
}

void FailoverRun::Tick()
{
  FailoverActions actions;
  {
    std::lock_guard lock(mMutex);
    actions = mMachine.Tick(Clock::now());
  }
  Perform(actions);
}

PrimaryState FailoverRun::State() const
{
  std::lock_guard lock(mMutex);
  auto now = Clock::now();
  return { mMachine.Term(),
           mMachine.Primary(),
           mMachine.ServingPrimary(now),
           mMachine.LacksMajority(now) };
}

Duration FailoverRun::SilenceOf(std::size_t aDatabase) const
{
  std::lock_guard lock(mMutex);
  return mMachine.SilenceOf(aDatabase, Clock::now());
}

peer::PrimaryHint FailoverRun::Hint() const
{
  std::lock_guard lock(mMutex);
  auto primary = mMachine.Primary();
  if (!primary) {
    return {};
  }
  return { mMachine.Term(),
           mContext.mGroup.mDatabases[*primary].mName,
           mMachine.SilenceOf(*primary, Clock::now()) };
}

void FailoverRun::Perform(const FailoverActions& aActions)
{
  if (aActions.empty()) {
    return;
  }
  {
    std::lock_guard lock(mMutex);
    if (mStopped) {
      return;
    }
  }
  for (const auto& it : aActions) {
    std::visit([this](const auto& aAction) { Do(aAction); }, it);
  }
  mOnChange();
}

void FailoverRun::Do(const AskPeers& aAction)
{
  for (const auto& it : OtherHomes()) {
    mContext.mPeers->Primary(
      it,
      mContext.mGroup.mName,
      Clock::now() + kPeerTimeout,
      [self = shared_from_this(), round = aAction.mRound](
        std::optional<peer::PrimaryHint> aHint) { self->OnHint(round, aHint); });
  }
}

void FailoverRun::Do(const SendFence& aAction)
{
  auto onResult = [self = shared_from_this(),
                   aAction](std::optional<FenceResult> aResult) {
    FailoverActions actions;
    {
      std::lock_guard lock(self->mMutex);
      actions =
        self->mMachine.OnFence(aAction.mDatabase, aAction.mTerm, aResult, Clock::now());
    }
    self->Perform(actions);
  };
  mContext.mDatabases[aAction.mDatabase]->Fence(
    aAction.mTerm, {}, Clock::now() + kControlTimeout, std::move(onResult));
}

void FailoverRun::Do(const SendPromote& aAction)
{
  auto onResult = [self = shared_from_this(),
                   aAction](std::optional<DatabaseStatus> aStatus) {
    FailoverActions actions;
    {
      std::lock_guard lock(self->mMutex);
      actions = self->mMachine.OnPromote(
        aAction.mDatabase, aAction.mTerm, aStatus, Clock::now());
    }
    self->Perform(actions);
  };
  mContext.mDatabases[aAction.mDatabase]->Promote(
    aAction.mTerm, Clock::now() + kControlTimeout, std::move(onResult));
}

void FailoverRun::Do(const SendFollow& aAction)
{
  const auto& databases = mContext.mGroup.mDatabases;
  LOG(INFO) << LogLine("failover_follow")
                 .With("group", mContext.mGroup.mName)
                 .With("term", aAction.mTerm)
                 .With("database", databases[aAction.mDatabase].mName)
                 .With("primary", databases[aAction.mPrimary].mName);
  auto onResult = [self = shared_from_this(), database = aAction.mDatabase](
                    std::optional<DatabaseStatus> aStatus) {
    self->OnStatus(database, aStatus);
  };
  mContext.mDatabases[aAction.mDatabase]->Follow(aAction.mTerm,
                                                 databases[aAction.mPrimary].mAddress,
                                                 Clock::now() + kControlTimeout,
                                                 std::move(onResult));
}

void FailoverRun::Do(const AnnouncePrimary& aAction)
{
  peer::PrimaryHint hint{ aAction.mTerm,
                          mContext.mGroup.mDatabases[aAction.mDatabase].mName,
                          {} };
  for (const auto& it : OtherHomes()) {
    mContext.mPeers->Announce(
      it, mContext.mGroup.mName, hint, Clock::now() + kAnnounceTimeout);
  }
}

void FailoverRun::Do(const StepReached& aAction)
{
  LogLine line("failover");
  line.With("group", mContext.mGroup.mName)
    .With("step", kFailoverStepNames.Name(aAction.mStep))
    .With("term", aAction.mTerm);
  if (aAction.mDatabase) {
    line.With("database", mContext.mGroup.mDatabases[*aAction.mDatabase].mName);
  }
  if (aAction.mCause) {
    line.With("cause", kSuspectCauseNames.Name(*aAction.mCause));
  }
  LOG(INFO) << line;
  mContext.mMetrics->Count("failover." +
                           std::string(kFailoverStepNames.Name(aAction.mStep)));
}

void FailoverRun::OnHint(std::uint64_t aRound,
                         const std::optional<peer::PrimaryHint>& aHint)
{
  std::optional<PeerOpinion> opinion;
  if (aHint) {
    opinion = PeerOpinion{ aHint->mTerm, IndexOf(aHint->mDatabase), aHint->mSeenAge };
  }
  FailoverActions actions;
  {
    std::lock_guard lock(mMutex);
    actions = mMachine.OnPeer(aRound, opinion, Clock::now());
  }
  Perform(actions);
}

std::optional<std::size_t> FailoverRun::IndexOf(const std::string& aName) const
{
  for (std::size_t n = 0; n < mContext.mGroup.mDatabases.size(); ++n) {
    if (mContext.mGroup.mDatabases[n].mName == aName) {
      return n;
    }
  }
  return std::nullopt;
}

std::vector<std::string> FailoverRun::OtherHomes() const
{
  std::lock_guard lock(mMutex);
  return mRanking.mOtherHomes;
}

} // namespace sesameway::daemon
