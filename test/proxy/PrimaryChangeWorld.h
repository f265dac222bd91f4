#pragma once

#include "FakeBackend.h"
#include "ModelDatabases.h"
#include "proxy/DatabaseFleet.h"

#include <algorithm>
#include <array>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <ostream>
#include <string>
#include <utility>
#include <vector>

namespace sesameway::test {

enum class ChangeStepKind : std::uint8_t
{
  // A caller sends a request.
  Ask,
  // A database accepts a connection.
  Accept,
  // A database runs a batch of commands. Answer sends its replies later.
  Run,
  Answer,
  // The coordinator writes the record that announces a change of primary.
  BeginChange,
  // The coordinator asks the daemon to stand down from the current primary.
  StandDown,
  Promote,
  // The coordinator writes the record that names the new primary.
  Finish,
  // The daemon receives the next record of the group, or the latest one only.
  Deliver,
  // The daemon learns that it has seen all records written so far.
  GainContact,
  // A database that isn't the primary is told the current term.
  Demote,
  // A database is listed again at another address.
  List,
  // A database connection breaks.
  Break,
  // A caller disconnects, and another one connects.
  Leave,
  // The clock of the sessions advances.
  Pass,
  // An idle transaction is ended by the daemon.
  EndTransaction,
  // The event loop runs until the daemon has stood down, or for 500 ms.
  WaitForStandingDown,
};
inline constexpr NameTable<ChangeStepKind, 17> kChangeStepNames{ {
  "ask",
  "accept",
  "run",
  "answer",
  "begin_change",
  "stand_down",
  "promote",
  "finish",
  "deliver",
  "gain_contact",
  "demote",
  "list",
  "break",
  "leave",
  "pass",
  "end_transaction",
  "wait_for_standing_down",
} };

struct ChangeStep
{
  ChangeStepKind mKind = ChangeStepKind::Ask;
  // Selects the caller, connection or database to which the step applies.
  std::size_t mPick = 0;
};
inline std::ostream& operator<<(std::ostream& aOut, const ChangeStep& aStep)
{
  return aOut << kChangeStepNames.Name(aStep.mKind) << ' ' << aStep.mPick;
}

// Model of one daemon with its sessions and connection pools, a group of three
// databases, and a coordinator that changes the primary once the rules about the
// daemon's contact with the store allow it. Records each violation of an invariant that
// a caller or a database could observe.
class PrimaryChangeWorld
{
public:
  PrimaryChangeWorld(bool aHasContact, std::uint32_t aConnections)
    : mFleet(mLoop, mDatabases, proxy::Settings(), ReadStatusRow)
    , mHasContact(aHasContact)
  {
    // DatabaseFleet reads the real clock, so the sessions start at the same time.
    mEnvironment.mNow = Clock::now();
    auto catalogue = std::make_shared<Catalogue>(*mEnvironment.mCatalogue);
    catalogue->mServices["s"] = { "s", {}, { { "g", {}, 3, aConnections } } };
    mEnvironment.mCatalogue = catalogue;
    mFleet.SetCatalogue(catalogue);
    for (const char* it : kDatabaseNames) {
      List(it);
      mModels[it];
    }
    mModels[mPrimary].mIsPrimary = true;
    if (aHasContact) {
      mFleet.SetContact(Clock::now());
    }
    mFleet.OnRecord({ "g", GroupPhase::Serving, 1, 1, mPrimary, {} }, 1);
    for (const char* it : { "strict", "strict", "aged", "aged" }) {
      Connect(it);
    }
  }

  // A step that isn't possible in the current state does nothing.
  void Apply(const ChangeStep& aStep)
  {
    using Kind = ChangeStepKind;
    auto pick = aStep.mPick;
    switch (aStep.mKind) {
      case Kind::Ask:
        return Ask(*mCallers[pick % mCallers.size()], pick / mCallers.size());
      case Kind::Accept:
        return Accept(pick);
      case Kind::Run:
        return RunOne(pick);
      case Kind::Answer:
        return AnswerOne(pick);
      case Kind::BeginChange:
        return BeginChange(pick);
      case Kind::StandDown:
        return RequestStandDown();
      case Kind::Promote:
        return Promote();
      case Kind::Finish:
        return Finish();
      case Kind::Deliver:
        return Deliver(pick % 2 == 0);
      case Kind::GainContact:
        return GainContact();
      case Kind::Demote:
        return Demote(pick);
      case Kind::List:
        return List(kDatabaseNames[pick % kDatabaseNames.size()]);
      case Kind::Break:
        return BreakOne(pick);
      case Kind::Leave:
        return Leave(pick);
      case Kind::Pass:
        return mEnvironment.AdvanceTime(milliseconds(20));
      case Kind::EndTransaction:
        return mCallers[pick % mCallers.size()]->mSession->EndTransaction(
          "idle_too_long");
      case Kind::WaitForStandingDown:
        return WaitForStandingDown();
    }
  }
  void Tick()
  {
    mFleet.Tick();
    mLoop.Io().restart();
    mLoop.Io().poll();
  }

  const std::vector<std::string>& Violations() const { return mViolations; }
  int DoneCount() const { return mDoneCount; }
  int Promotions() const { return mPromotions; }

private:
  static constexpr std::array<const char*, 3> kDatabaseNames{
    { "old", "new", "third" }
  };

  struct Request
  {
    proxy::RequestKind mKind = proxy::RequestKind::Read;
    bool mIsInTransaction = false;
    // Whether the request was a write outside of a transaction, or a commit of writes,
    // and a database has applied it.
    bool mHasTakenEffect = false;
    std::optional<ReplyCode> mOutcome;
  };
  // One execution of a statement at a database. Its index in mExecutions is returned as
  // the statement's row.
  struct Execution
  {
    std::string mRequest;
    std::string mDatabase;
    // Whether another database was the primary when the statement ran.
    bool mIsAtReplacedPrimary = false;
    // Whether the statement was sent without a log position to reach, which is how
    // statements are sent to a primary.
    bool mExpectsPrimary = false;
  };
  struct Caller : FakeStream
  {
    explicit Caller(PrimaryChangeWorld& aWorld)
      : mWorld(aWorld)
    {
    }
    void Answer(const ConnectionReply& aReply) override
    {
      mWorld.OnAnswer(*this, aReply);
    }

    PrimaryChangeWorld& mWorld;
    std::string mName;
    std::shared_ptr<proxy::CallerRun> mSession;
    // The id of the request in progress; empty between requests.
    std::string mRequest;
    TransactionState mTransaction = TransactionState::None;
    bool mOnlyReads = false;
  };

  void ReportViolation(const std::string& aText) { mViolations.push_back(aText); }

  // Callers.

  void Connect(const std::string& aRoute)
  {
    auto caller = std::make_shared<Caller>(*this);
    caller->mName = "c" + std::to_string(++mCallerCount);
    caller->mSession = std::make_shared<proxy::CallerRun>(caller, mEnvironment, mFleet);
    caller->mSession->OnConnect(aRoute, "key");
    mCallers.push_back(caller);
  }
  void Leave(std::size_t aPick)
  {
    auto n = aPick % mCallers.size();
    mCallers[n]->mSession->OnDisconnect();
    mDisconnectedCallers.push_back(mCallers[n]);
    mCallers.erase(mCallers.begin() + static_cast<std::ptrdiff_t>(n));
    Connect(aPick % 2 == 0 ? "strict" : "aged");
  }
  static proxy::RequestKind ChooseRequest(const Caller& aCaller, std::size_t aPick)
  {
    using Kind = proxy::RequestKind;
    if (aCaller.mTransaction == TransactionState::None) {
      return std::array{
        Kind::Read, Kind::Write, Kind::Write, Kind::Begin, Kind::BeginRead
      }[aPick % 5];
    }
    if (aCaller.mTransaction == TransactionState::Failed) {
      return Kind::Rollback;
    }
    auto write = aCaller.mOnlyReads ? Kind::Read : Kind::Write;
    return std::array{ Kind::Read,   write,        write,
                       Kind::Commit, Kind::Commit, Kind::Rollback }[aPick % 6];
  }
  void Ask(Caller& aCaller, std::size_t aPick)
  {
    if (!aCaller.mRequest.empty()) {
      return;
    }
    proxy::CallerRequest request;
    request.mKind = ChooseRequest(aCaller, aPick);
    request.mId = aCaller.mName + "." + std::to_string(++mRequestCount);
    request.mText = std::string(proxy::kRequestKindNames.Name(request.mKind));
    bool isInTransaction = aCaller.mTransaction != TransactionState::None;
    mRequests[request.mId] = { request.mKind, isInTransaction, false, {} };
    aCaller.mOnlyReads = isInTransaction
                           ? aCaller.mOnlyReads
                           : request.mKind == proxy::RequestKind::BeginRead;
    aCaller.mRequest = request.mId;
    aCaller.mSession->OnRequest(std::move(request));
  }
  void OnAnswer(Caller& aCaller, const ConnectionReply& aReply)
  {
    auto id = std::exchange(aCaller.mRequest, {});
    aCaller.mTransaction = aReply.mTransaction;
    auto& request = mRequests[id];
    if (request.mOutcome) {
      ReportViolation(id + " was answered twice");
    }
    request.mOutcome = aReply.mCode;
    if (request.mHasTakenEffect && IsNotRun(aReply.mCode)) {
      ReportViolation(id + " took effect but was answered as not run");
    }
    if (aReply.mCode == ReplyCode::Done && !aReply.mRows.empty()) {
      ++mDoneCount;
      CheckDone(id, mExecutions[std::stoul(aReply.mRows.front())]);
    }
  }
  void CheckDone(const std::string& aId, const Execution& aExecution)
  {
    if (aExecution.mRequest != aId) {
      ReportViolation(aId + " received the answer to " + aExecution.mRequest);
    }
    bool isWrite = mRequests[aId].mKind == proxy::RequestKind::Write;
    bool needsPrimary = isWrite || aExecution.mExpectsPrimary;
    if (aExecution.mIsAtReplacedPrimary && needsPrimary) {
      ReportViolation(aId + " was answered as done at " + aExecution.mDatabase +
                      ", which had been replaced as the primary");
    }
  }

  // Databases.

  void List(const std::string& aName)
  {
    auto address = "10.0.0.1:" + std::to_string(++mListingCount);
    mFleet.OnListed({ aName, "g", "z", address, 3, false, DatabaseRole::Unknown, 0 });
  }
  void Accept(std::size_t aPick)
  {
    auto& openings = mDatabases.mOpenings;
    if (openings.empty()) {
      return;
    }
    auto it = openings.begin() + static_cast<std::ptrdiff_t>(aPick % openings.size());
    auto opening = std::move(*it);
    openings.erase(it);
    auto link = std::make_shared<ModelLink>(
      opening.first, [this](const std::string& aText) { ReportViolation(aText); });
    mDatabases.mLinks.push_back(link);
    opening.second(proxy::DatabaseLinkPtr(link));
  }
  template<class Condition>
  std::shared_ptr<ModelLink> FindLink(std::size_t aPick, Condition aMatches) const
  {
    std::vector<std::shared_ptr<ModelLink>> found;
    for (const auto& it : mDatabases.mLinks) {
      if (aMatches(*it)) {
        found.push_back(it);
      }
    }
    return found.empty() ? nullptr : found[aPick % found.size()];
  }
  void RunOne(std::size_t aPick)
  {
    if (auto link = FindLink(aPick, [](const auto& aIt) { return aIt.CanRun(); })) {
      auto commands = link->mSent;
      for (const auto& it : commands) {
        link->mReplies.push_back(RunCommand(*link, it));
      }
      if (link->mIsClosed) {
        link->mSent.clear();
      }
    }
  }
  void AnswerOne(std::size_t aPick)
  {
    if (auto link = FindLink(aPick, [](const auto& aIt) { return aIt.CanAnswer(); })) {
      link->mSent.clear();
      link->Answer();
    }
  }
  void BreakOne(std::size_t aPick)
  {
    if (auto link = FindLink(aPick, [](const auto& aIt) { return !aIt.mIsClosed; })) {
      link->Break();
    }
  }
  ConnectionReply RunCommand(ModelLink& aLink, const ConnectionCommand& aCommand)
  {
    auto& model = mModels[aLink.mDatabase];
    ConnectionReply reply;
    reply.mCode = ReplyCode::Done;
    switch (aCommand.mKind) {
      case CommandKind::Begin:
      case CommandKind::BeginRead:
        if (aCommand.mKind == CommandKind::Begin && !model.mIsPrimary) {
          reply.mCode = ReplyCode::ReadOnly;
          break;
        }
        if (aLink.mTransaction != TransactionState::None) {
          ReportViolation("a transaction was begun inside another one");
        }
        aLink.mTransaction = TransactionState::Open;
        aLink.mExpectsPrimary = !aCommand.mAfter;
        aLink.mHasWritten = false;
        aLink.mOwner.clear();
        break;
      case CommandKind::Rollback:
        aLink.mTransaction = TransactionState::None;
        break;
      case CommandKind::Status:
        reply.mRows.push_back((model.mIsPrimary ? "primary " : "replica ") +
                              std::to_string(model.mTerm));
        break;
      case CommandKind::Read:
      case CommandKind::Write:
      case CommandKind::Commit:
        reply.mCode = RunStatement(aLink, aCommand, model);
        reply.mRows.push_back(std::to_string(mExecutions.size() - 1));
        break;
      default:
        break;
    }
    reply.mTransaction = aLink.mTransaction;
    reply.mPosition = LogPosition{ model.mTerm, model.mPosition };
    return reply;
  }
  ReplyCode RunStatement(ModelLink& aLink,
                         const ConnectionCommand& aCommand,
                         ModelDatabase& aModel)
  {
    bool isInside = aLink.mTransaction != TransactionState::None;
    mExecutions.push_back({ aCommand.mId,
                            aLink.mDatabase,
                            aLink.mDatabase != mPrimary,
                            isInside ? aLink.mExpectsPrimary : !aCommand.mAfter });
    CheckTransaction(aLink, aCommand.mId, isInside);
    if (IsWrite(aCommand.mKind) && !aModel.mIsPrimary) {
      aLink.mTransaction = isInside ? TransactionState::Failed : TransactionState::None;
      return ReplyCode::ReadOnly;
    }
    if (aCommand.mKind == CommandKind::Commit) {
      return RunCommit(aLink, aCommand.mId, aModel);
    }
    if (IsWrite(aCommand.mKind)) {
      aLink.mHasWritten = isInside;
      if (!isInside) {
        TakeEffect(aCommand.mId, aModel);
      }
    }
    return ReplyCode::Done;
  }
  ReplyCode RunCommit(ModelLink& aLink, const std::string& aId, ModelDatabase& aModel)
  {
    bool isGood = aLink.mTransaction == TransactionState::Open &&
                  (aModel.mIsPrimary || !aLink.mHasWritten);
    aLink.mTransaction = TransactionState::None;
    if (isGood && aLink.mHasWritten) {
      TakeEffect(aId, aModel);
    }
    return isGood ? ReplyCode::Done : ReplyCode::Aborted;
  }
  void CheckTransaction(ModelLink& aLink, const std::string& aId, bool aIsInside)
  {
    auto owner = aId.substr(0, aId.find('.'));
    if (mRequests[aId].mIsInTransaction != aIsInside) {
      ReportViolation(aId + (aIsInside ? " ran inside" : " ran outside") +
                      " a transaction");
    }
    if (aIsInside && aLink.mOwner.empty()) {
      aLink.mOwner = owner;
    }
    if (aIsInside && aLink.mOwner != owner) {
      ReportViolation(aId + " ran in the transaction of " + aLink.mOwner);
    }
  }
  void TakeEffect(const std::string& aId, ModelDatabase& aModel)
  {
    auto& request = mRequests[aId];
    request.mHasTakenEffect = true;
    ++aModel.mPosition;
    if (request.mOutcome && IsNotRun(*request.mOutcome)) {
      ReportViolation(aId + " took effect after it was answered as not run");
    }
  }

  // The coordinator.

  void BeginChange(std::size_t aPick)
  {
    if (mIsChanging) {
      return;
    }
    mIsChanging = true;
    mIsPromoted = false;
    mHasStoodDown = false;
    mIsStandDownRequested = false;
    mTarget = kDatabaseNames[aPick % kDatabaseNames.size()];
    if (mTarget == mPrimary) {
      mTarget = kDatabaseNames[(aPick + 1) % kDatabaseNames.size()];
    }
    ++mChange;
    Write(GroupPhase::Changing, mPrimary);
  }
  void Write(GroupPhase aPhase, const std::string& aPrimary)
  {
    mRecords.push_back({ "g", aPhase, mChange, mModels[aPrimary].mTerm, aPrimary, {} });
  }
  void RequestStandDown()
  {
    if (!mIsChanging || mIsPromoted || std::exchange(mIsStandDownRequested, true)) {
      return;
    }
    mFleet.StandDown(
      "g", mChange, [this, change = mChange] { mHasStoodDown |= change == mChange; });
  }
  // The coordinator promotes a database only once the daemon has stood down from the
  // old primary, has no contact with the store, or has received all records.
  bool MayPromote() const
  {
    return mHasStoodDown || !mHasContact || mDelivered == mRecords.size();
  }
  void Promote()
  {
    if (!mIsChanging || mIsPromoted || !MayPromote()) {
      return;
    }
    mIsPromoted = true;
    ++mPromotions;
    auto& target = mModels[mTarget];
    target.mTerm = mModels[mPrimary].mTerm + 1;
    target.mPosition = mModels[mPrimary].mPosition;
    target.mIsPrimary = true;
    mPrimary = mTarget;
  }
  void Finish()
  {
    if (mIsChanging && mIsPromoted) {
      mIsChanging = false;
      Write(GroupPhase::Serving, mPrimary);
    }
  }
  void Deliver(bool aIsLastOnly)
  {
    if (mDelivered == mRecords.size()) {
      return;
    }
    mDelivered = aIsLastOnly ? mRecords.size() : mDelivered + 1;
    // The constructor has delivered the record of revision 1; mRecords starts at
    // revision 2.
    mFleet.OnRecord(mRecords[mDelivered - 1], mDelivered + 1);
  }
  void GainContact()
  {
    if (mDelivered == mRecords.size()) {
      mHasContact = true;
      mFleet.SetContact(Clock::now());
    }
  }
  // A database that isn't the primary, such as a former primary, learns the current
  // term. Its open transactions fail.
  void Demote(std::size_t aPick)
  {
    std::string name = kDatabaseNames[aPick % kDatabaseNames.size()];
    if (name == mPrimary) {
      return;
    }
    mModels[name] = { false, mModels[mPrimary].mTerm, mModels[mPrimary].mPosition };
    for (const auto& it : mDatabases.mLinks) {
      if (it->mDatabase == name && it->mTransaction == TransactionState::Open) {
        it->mTransaction = TransactionState::Failed;
      }
    }
  }
  void WaitForStandingDown()
  {
    if (!mIsStandDownRequested || mHasStoodDown || !mIsChanging) {
      return;
    }
    auto until = Clock::now() + milliseconds(500);
    mLoop.Io().restart();
    while (!mHasStoodDown && Clock::now() < until) {
      mLoop.Io().run_one_for(milliseconds(20));
    }
  }

  proxy::Loop mLoop;
  FakeSessionEnvironment mEnvironment;
  ModelDatabases mDatabases;
  proxy::DatabaseFleet mFleet;
  std::map<std::string, ModelDatabase> mModels;
  std::vector<std::shared_ptr<Caller>> mCallers;
  std::vector<std::shared_ptr<Caller>> mDisconnectedCallers;
  std::map<std::string, Request> mRequests;
  std::vector<Execution> mExecutions;
  std::vector<std::string> mViolations;
  int mCallerCount = 0;
  int mRequestCount = 0;
  int mListingCount = 0;
  int mDoneCount = 0;
  int mPromotions = 0;

  // The actual state of the group and its change of primary.
  std::string mPrimary = "old";
  std::uint64_t mChange = 1;
  bool mIsChanging = false;
  bool mIsPromoted = false;
  std::string mTarget;
  // What the daemon has been told or asked, which may lag behind the actual state.
  bool mHasContact;
  bool mIsStandDownRequested = false;
  bool mHasStoodDown = false;
  std::vector<GroupRecord> mRecords;
  std::size_t mDelivered = 0;
};

} // namespace sesameway::test
