#include "standin/StandinDatabase.h"

#include "wire/Convert.h"
#include "wire/GrpcCall.h"

namespace sesameway::standin {

namespace {

// Pause before replication starts again after its stream has ended.
constexpr auto kPullPause = milliseconds(20);
constexpr auto kEntryWait = milliseconds(100);
constexpr auto kFreezePoll = milliseconds(2);
constexpr std::size_t kEntriesPerReply = 512;

std::int64_t NowMs()
{
  return std::chrono::duration_cast<milliseconds>(Clock::now().time_since_epoch())
    .count();
}

bool IsWrite(OperationKind aKind)
{
  return aKind == OperationKind::Put || aKind == OperationKind::Add;
}

// Returns the first position of each term in the log.
std::vector<LogPosition> TermStarts(const std::vector<LogEntry>& aLog)
{
  std::vector<LogPosition> starts;
  for (const auto& it : aLog) {
    if (starts.empty() || starts.back().mTerm != it.mAt.mTerm) {
      starts.push_back(it.mAt);
    }
  }
  return starts;
}

} // namespace

StandinDatabase::StandinDatabase(DatabaseOptions aOptions)
  : mOptions(std::move(aOptions))
  , mPrimary(mOptions.mPrimary)
  , mFollows(mOptions.mFollows)
  , mPullThread([this] { Pull(); })
{
  if (mPrimary) {
    std::lock_guard lock(mMutex);
    AppendWrites({}, {}, {});
  }
}

StandinDatabase::~StandinDatabase()
{
  mStopping = true;
  {
    std::lock_guard lock(mMutex);
    if (mPullContext) {
      mPullContext->TryCancel();
    }
  }
  NotifyChanged();
  mPullThread.join();
}

DatabaseReply StandinDatabase::Run(Session& aSession, const DatabaseCommand& aCommand)
{
  SleepWhileFrozen();
  SimulateDistance(kRoundTrip);
  std::this_thread::sleep_for(milliseconds(mFaults.mDelayMs.load()));
  DatabaseReply reply;
  {
    std::lock_guard lock(mMutex);
    reply = RunLocked(aSession, aCommand);
  }
  reply.mId = aCommand.mId;
  return reply;
}

DatabaseReply StandinDatabase::RunLocked(Session& aSession,
                                         const DatabaseCommand& aCommand)
{
  DatabaseReply reply;
  reply.mStatus = ReplyStatus::Ok;
  reply.mPosition = mRecords.Head();
  switch (aCommand.mKind) {
    case StatementKind::Execute:
      return Execute(aSession, aCommand);
    case StatementKind::Begin:
      if (!IsPrimaryOf(aCommand.mTerm)) {
        reply.mStatus = ReplyStatus::NotPrimary;
        return reply;
      }
      aSession = Session();
      aSession.mInTransaction = true;
      aSession.mBeginPosition = mRecords.Head().mPosition;
      return reply;
    case StatementKind::Commit:
      return Commit(aSession, aCommand);
    case StatementKind::Rollback:
      aSession = Session();
      return reply;
    case StatementKind::Lookup: {
      const auto* recorded = mRecords.FindRecorded(aCommand.mRequestId);
      if (!IsPrimaryOf(aCommand.mTerm)) {
        reply.mStatus = ReplyStatus::NotPrimary;
      } else if (!recorded) {
        reply.mStatus = ReplyStatus::NotFound;
      } else {
        reply.mRows = recorded->mResult;
        reply.mPosition = recorded->mAt;
        reply.mRecorded = true;
      }
      return reply;
    }
  }
  reply.mStatus = ReplyStatus::Malformed;
  return reply;
}

DatabaseReply StandinDatabase::Execute(Session& aSession,
                                       const DatabaseCommand& aCommand)
{
  DatabaseReply reply;
  reply.mStatus = ReplyStatus::Ok;
  bool writes = std::any_of(aCommand.mOperations.begin(),
                            aCommand.mOperations.end(),
                            [](const Operation& aIt) { return IsWrite(aIt.mKind); });
  if (aSession.mInTransaction) {
    for (const auto& it : aCommand.mOperations) {
      ApplyInTransaction(aSession, it, &reply.mRows);
    }
    reply.mPosition = mRecords.Head();
    return reply;
  }
  if (!writes) {
    for (const auto& it : aCommand.mOperations) {
      auto rows = mRecords.Read(it);
      reply.mRows.insert(reply.mRows.end(), rows.begin(), rows.end());
    }
    reply.mPosition = mRecords.Head();
    return reply;
  }
  Session single;
  single.mInTransaction = true;
  single.mBeginPosition = mRecords.Head().mPosition;
  for (const auto& it : aCommand.mOperations) {
    ApplyInTransaction(single, it, &single.mResult);
  }
  return Commit(single, aCommand);
}

void StandinDatabase::ApplyInTransaction(Session& aSession,
                                         const Operation& aOperation,
                                         std::vector<Row>* aRows)
{
  aSession.mAccessedKeys.insert(aOperation.mKey);
  switch (aOperation.mKind) {
    case OperationKind::Get: {
      auto value = ValueFor(aSession, aOperation.mKey);
      if (!value.empty()) {
        aRows->push_back({ aOperation.mKey, value });
      }
      return;
    }
    case OperationKind::Scan: {
      for (auto& it : mRecords.Read(aOperation)) {
        auto own = aSession.mOwnValues.find(it.mKey);
        aRows->push_back(
          { it.mKey, own == aSession.mOwnValues.end() ? it.mValue : own->second });
      }
      return;
    }
    case OperationKind::Put:
      aSession.mOwnValues[aOperation.mKey] = aOperation.mValue;
      aSession.mWrites.push_back(aOperation);
      return;
    case OperationKind::Add: {
      long long sum = std::atoll(ValueFor(aSession, aOperation.mKey).c_str()) +
                      std::atoll(aOperation.mValue.c_str());
      Operation put{ OperationKind::Put, aOperation.mKey, std::to_string(sum) };
      aSession.mOwnValues[put.mKey] = put.mValue;
      aRows->push_back({ put.mKey, put.mValue });
      aSession.mWrites.push_back(std::move(put));
      return;
    }
  }
}

DatabaseReply StandinDatabase::Commit(Session& aSession,
                                      const DatabaseCommand& aCommand)
{
  Session session = std::move(aSession);
  aSession = Session();
  DatabaseReply reply;
  if (!IsPrimaryOf(aCommand.mTerm)) {
    reply.mStatus = ReplyStatus::NotPrimary;
    return reply;
  }
  if (!aCommand.mRequestId.empty()) {
    if (const auto* recorded = mRecords.FindRecorded(aCommand.mRequestId)) {
      return { 0, ReplyStatus::Ok, recorded->mResult, recorded->mAt, true };
    }
  }
  for (const auto& it : session.mAccessedKeys) {
    if (mRecords.ChangedAt(it) > session.mBeginPosition) {
      reply.mStatus = ReplyStatus::Conflict;
      return reply;
    }
  }
  return AppendWrites(
    std::move(session.mWrites), aCommand.mRequestId, std::move(session.mResult));
}

DatabaseReply StandinDatabase::AppendWrites(std::vector<Operation> aWrites,
                                            const std::string& aRequestId,
                                            std::vector<Row> aResult)
{
  LogPosition at{ mGrantedTerm, mRecords.Head().mPosition + 1 };
  DatabaseReply reply{ 0, ReplyStatus::Ok, aResult, at, false };
  mRecords.Append({ at, std::move(aWrites), aRequestId, std::move(aResult) });
  ++mVersion;
  mChangedCondition.notify_all();
  return reply;
}

std::string StandinDatabase::ValueFor(const Session& aSession,
                                      const std::string& aKey) const
{
  auto own = aSession.mOwnValues.find(aKey);
  if (own != aSession.mOwnValues.end()) {
    return own->second;
  }
  auto rows = mRecords.Read({ OperationKind::Get, aKey, {} });
  return rows.empty() ? std::string() : rows.front().mValue;
}

bool StandinDatabase::IsPrimaryOf(std::uint64_t aTerm) const
{
  return mPrimary && aTerm == mGrantedTerm;
}

bool StandinDatabase::ReserveConnection()
{
  std::this_thread::sleep_for(milliseconds(mOptions.mConnectMs));
  std::lock_guard lock(mMutex);
  if (mConnections >= mOptions.mConnections) {
    return false;
  }
  ++mConnections;
  return true;
}

void StandinDatabase::ReleaseConnection()
{
  std::lock_guard lock(mMutex);
  --mConnections;
}

DatabaseStatus StandinDatabase::Status() const
{
  std::lock_guard lock(mMutex);
  return {
    mOptions.mName, mPrimary, mGrantedTerm, mRecords.Head(), mFollows, mLeaving
  };
}

bool StandinDatabase::Fence(std::uint64_t aTerm)
{
  std::lock_guard lock(mMutex);
  if (aTerm <= mGrantedTerm) {
    return false;
  }
  mGrantedTerm = aTerm;
  mPrimary = false;
  mFollows.clear();
  if (mPullContext) {
    mPullContext->TryCancel();
  }
  ++mVersion;
  mChangedCondition.notify_all();
  return true;
}

bool StandinDatabase::Promote(std::uint64_t aTerm)
{
  std::lock_guard lock(mMutex);
  if (aTerm != mGrantedTerm) {
    return false;
  }
  if (!mPrimary) {
    mPrimary = true;
    mFollows.clear();
    // Writes a first entry of the new term. Once it is safe, all entries of earlier
    // terms in the log are safe too.
    AppendWrites({}, {}, {});
  }
  return true;
}

bool StandinDatabase::Follow(std::uint64_t aTerm, const std::string& aAddress)
{
  std::lock_guard lock(mMutex);
  if (aTerm < mGrantedTerm || (mPrimary && aTerm == mGrantedTerm)) {
    return false;
  }
  mGrantedTerm = aTerm;
  mPrimary = false;
  mFollows = aAddress;
  mFollowTerm = aTerm;
  if (mPullContext) {
    mPullContext->TryCancel();
  }
  ++mVersion;
  mChangedCondition.notify_all();
  return true;
}

void StandinDatabase::SetLeaving(bool aIsLeaving)
{
  {
    std::lock_guard lock(mMutex);
    mLeaving = aIsLeaving;
  }
  NotifyChanged();
}

bool StandinDatabase::EntriesAfter(std::uint64_t aTerm,
                                   std::uint64_t aPosition,
                                   std::vector<LogEntry>* aTo)
{
  std::unique_lock lock(mMutex);
  if (mRecords.Log().size() <= aPosition) {
    mChangedCondition.wait_for(lock, kEntryWait);
  }
  if (!IsPrimaryOf(aTerm)) {
    return false;
  }
  const auto& log = mRecords.Log();
  for (std::size_t n = aPosition; n < log.size() && aTo->size() < kEntriesPerReply;
       ++n) {
    aTo->push_back(log[n]);
  }
  return true;
}

std::uint64_t StandinDatabase::CommonPosition(const std::vector<LogPosition>& aTerms,
                                              std::uint64_t aPosition) const
{
  std::lock_guard lock(mMutex);
  const auto& log = mRecords.Log();
  std::uint64_t common = 0;
  for (std::size_t n = 0; n < aTerms.size(); ++n) {
    std::uint64_t start = aTerms[n].mPosition;
    std::uint64_t end = n + 1 < aTerms.size() ? aTerms[n + 1].mPosition - 1 : aPosition;
    for (std::uint64_t at = start; at <= end; ++at) {
      if (at > log.size() || log[at - 1].mAt.mTerm != aTerms[n].mTerm) {
        return common;
      }
      common = at;
    }
  }
  return common;
}

std::uint64_t StandinDatabase::WaitForChange(std::uint64_t aSeen, milliseconds aAtMost)
{
  std::unique_lock lock(mMutex);
  mChangedCondition.wait_for(
    lock, aAtMost, [&] { return mVersion != aSeen || mStopping; });
  return mVersion;
}

void StandinDatabase::Freeze(milliseconds aFor)
{
  mFaults.mFrozenUntilMs = NowMs() + aFor.count();
}

void StandinDatabase::SleepWhileFrozen() const
{
  while (NowMs() < mFaults.mFrozenUntilMs && !mStopping) {
    std::this_thread::sleep_for(kFreezePoll);
  }
}

void StandinDatabase::SimulateDistance(unsigned aOneWayTrips) const
{
  std::this_thread::sleep_for(milliseconds(aOneWayTrips * mFaults.mDistanceMs.load()));
}

void StandinDatabase::NotifyChanged()
{
  std::lock_guard lock(mMutex);
  ++mVersion;
  mChangedCondition.notify_all();
}

void StandinDatabase::Pull()
{
  while (!mStopping) {
    std::string address;
    std::uint64_t term = 0;
    {
      std::lock_guard lock(mMutex);
      address = mFollows;
      term = mFollowTerm;
    }
    if (!address.empty() && !mFaults.mCutReplication) {
      PullOnce(term, address);
    }
    std::this_thread::sleep_for(kPullPause);
  }
}

void StandinDatabase::PullOnce(std::uint64_t aTerm, const std::string& aAddress)
{
  auto stub = wire::Database::NewStub(wire::MakeChannel(aAddress));
  grpc::ClientContext context;
  wire::ReplicateRequest request;
  request.set_term(aTerm);
  {
    std::lock_guard lock(mMutex);
    if (mFollows != aAddress || mFollowTerm != aTerm) {
      return;
    }
    mPullContext = &context;
    for (const auto& it : TermStarts(mRecords.Log())) {
      auto* start = request.add_terms();
      start->set_term(it.mTerm);
      start->set_position(it.mPosition);
    }
    request.set_position(mRecords.Head().mPosition);
  }
  auto reader = stub->Replicate(&context, request);
  wire::ReplicateReply reply;
  while (reader->Read(&reply)) {
    SleepWhileFrozen();
    SimulateDistance(kOneWay);
    std::this_thread::sleep_for(milliseconds(mFaults.mReplicationDelayMs.load()));
    std::lock_guard lock(mMutex);
    bool isStale =
      mFollowTerm != aTerm || mGrantedTerm != aTerm || mFollows != aAddress;
    if (isStale || mStopping || mFaults.mCutReplication) {
      break;
    }
    if (reply.truncate()) {
      mRecords.TruncateTo(reply.truncate_to());
    }
    for (const auto& it : reply.entries()) {
      mRecords.Append({ wire::ReadPosition(it.at()),
                        wire::ReadOperations(it.writes()),
                        it.request_id(),
                        wire::ReadRows(it.result()) });
    }
    ++mVersion;
    mChangedCondition.notify_all();
  }
  context.TryCancel();
  reader->Finish();
  std::lock_guard lock(mMutex);
  mPullContext = nullptr;
}

} // namespace sesameway::standin
