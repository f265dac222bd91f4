#include "TestMain.h"
#include "sesameway/ForwardPlan.h"
#include "sesameway/SessionPlan.h"
#include "sesameway/TransactionPlan.h"

#include <cppunit/extensions/HelperMacros.h>
#include <toml++/toml.h>

#include <filesystem>
#include <memory>

using namespace sesameway;

namespace {

using Table = toml::table;

constexpr TimePoint kStart{ seconds(1000) };

std::string TextOf(const Table& aTable, const char* aKey, const char* aDefault = "")
{
  return aTable[aKey].value_or(std::string(aDefault));
}

LogPosition PositionOf(const Table& aTable, const char* aKey)
{
  const auto* array = aTable[aKey].as_array();
  if (!array) {
    return {};
  }
  return { static_cast<std::uint64_t>(array->get(0)->value_or(0)),
           static_cast<std::uint64_t>(array->get(1)->value_or(0)) };
}

template<typename Enum, std::size_t kCount>
Enum EnumOf(const NameTable<Enum, kCount>& aNames, const std::string& aName)
{
  for (std::size_t n = 0; n < kCount; ++n) {
    if (aNames.Name(static_cast<Enum>(n)) == aName) {
      return static_cast<Enum>(n);
    }
  }
  CPPUNIT_FAIL("no such name: " + aName);
  return {};
}

Statement StatementOf(const Table& aTable, TimePoint aNow)
{
  Statement statement;
  statement.mKind = EnumOf(kStatementKindNames, TextOf(aTable, "kind", "execute"));
  statement.mRoute = TextOf(aTable, "route", "r");
  statement.mRequestId = TextOf(aTable, "request_id");
  statement.mDeadline = aNow + milliseconds(aTable["timeout_ms"].value_or(5000));
  if (aTable.contains("operation")) {
    auto kind = EnumOf(kOperationKindNames, TextOf(aTable, "operation"));
    statement.mOperations.push_back({ kind, "k", "1" });
  }
  if (aTable.contains("token")) {
    statement.mToken.Raise("g", PositionOf(aTable, "token"));
  }
  return statement;
}

GroupRequest RequestOf(const Table& aTable, TimePoint aNow)
{
  GroupRequest request;
  request.mStatement = StatementOf(aTable, aNow);
  request.mGroup = std::string("g");
  request.mOrganisation = TextOf(aTable, "organisation", "studio");
  request.mMaxAge = milliseconds(aTable["max_age_ms"].value_or(0));
  request.mTokenKnown = aTable["token_known"].value_or(aTable.contains("token"));
  return request;
}

Answer AnswerOf(const Table& aTable, TimePoint aNow)
{
  Answer answer;
  answer.mOutcome = EnumOf(kOutcomeNames, TextOf(aTable, "outcome", "done"));
  answer.mReason = EnumOf(kReasonNames, TextOf(aTable, "reason", "none"));
  answer.mRetryAt = aNow;
  if (aTable.contains("token")) {
    answer.mToken.Raise("g", PositionOf(aTable, "token"));
  }
  return answer;
}

DatabaseReply ReplyOf(const Table& aTable)
{
  DatabaseReply reply;
  reply.mStatus = EnumOf(kReplyStatusNames, TextOf(aTable, "status", "ok"));
  reply.mPosition = PositionOf(aTable, "position");
  reply.mRecorded = aTable["recorded"].value_or(false);
  if (aTable.contains("row")) {
    reply.mRows.push_back({ TextOf(aTable, "row"), "0" });
  }
  if (aTable["cancelled"].value_or(false)) {
    reply.mRows.push_back({ std::string(kReservedKeyPrefix) + "cancelled", "0" });
  }
  return reply;
}

std::string TextOf(const Answer& aAnswer)
{
  std::string text(kOutcomeNames.Name(aAnswer.mOutcome));
  if (aAnswer.mReason != Reason::None) {
    text += ' ' + std::string(kReasonNames.Name(aAnswer.mReason));
  }
  if (auto it = aAnswer.mToken.Find("g")) {
    text += " token " + std::to_string(it->mTerm) + ' ' + std::to_string(it->mPosition);
  }
  return text;
}

// Replays one trace: applies its events to the plan under test and describes the plan's
// reaction as text.
class Replay
{
public:
  virtual ~Replay() = default;
  // Applies an event and returns the resulting state in the form of the trace's
  // `expect`.
  virtual std::string Apply(const Table& aEvent, TimePoint aNow) = 0;
};

// A home's view of the group, built from the reports in the trace.
struct Home
{
  void Apply(const Table& aEvent, TimePoint aNow)
  {
    if (const auto* report = aEvent["report"].as_table()) {
      auto n = (*report)["database"].value_or<std::size_t>(0);
      mView.mDatabases.resize(3);
      auto& it = mView.mDatabases[n];
      it.mGrantedTerm = (*report)["granted"].value_or<std::uint64_t>(0);
      it.mHead = PositionOf(*report, "head");
      it.mPrimary = (*report)["primary"].value_or(false);
      it.mReachable = (*report)["reachable"].value_or(true);
      it.mSeenAt = aNow;
      if (it.mPrimary && it.mGrantedTerm > mView.mTerm) {
        mView.mTerm = it.mGrantedTerm;
        mView.mPrimary = n;
      }
    }
    if (aEvent.contains("current")) {
      mHistory.Observe(PositionOf(aEvent, "current"), aNow);
    }
  }

  std::optional<WaitResult> EndOf(bool aIsReached,
                                  std::uint64_t aTerm,
                                  TimePoint aDeadline,
                                  TimePoint aNow) const
  {
    if (aIsReached) {
      return WaitResult::Reached;
    }
    if (mView.mTerm > aTerm) {
      return WaitResult::Overtaken;
    }
    return aDeadline <= aNow ? std::optional(WaitResult::Expired) : std::nullopt;
  }
  std::optional<WaitResult> EndOf(const AwaitSafe& aWait, TimePoint aNow) const
  {
    bool isSafe = IsSafe(mView, aWait.mEntry);
    return EndOf(isSafe, aWait.mEntry.mTerm, aWait.mDeadline, aNow);
  }
  std::optional<WaitResult> EndOf(const AwaitConfirmed& aWait, TimePoint aNow) const
  {
    bool isReached = IsConfirmed(mView, aWait.mEntry.mTerm, aWait.mSince) &&
                     IsSafe(mView, aWait.mEntry);
    return EndOf(isReached, aWait.mEntry.mTerm, aWait.mDeadline, aNow);
  }

  GroupView mView;
  HeadHistory mHistory;
};

class StatementReplay : public Replay
{
public:
  explicit StatementReplay(const Table& aTrace)
    : mRequest(RequestOf(*aTrace["request"].as_table(), kStart))
  {
  }

  std::string Apply(const Table& aEvent, TimePoint aNow) override
  {
    mHome.Apply(aEvent, aNow);
    mNow = aNow;
    if (aEvent["start"].value_or(false)) {
      mPlan.emplace(mRequest);
      mAction = mPlan->Start(aNow);
    }
    if (const auto* it = aEvent["reply"].as_table()) {
      CPPUNIT_ASSERT(std::holds_alternative<SendCommand>(mAction));
      auto reply = ReplyOf(*it);
      ReadRequirement requirement{ mRequest.mStatement.mToken.Find("g"),
                                   mRequest.mTokenKnown,
                                   mRequest.mMaxAge };
      bool meets = MeetsRequirement(requirement, mHome.mHistory, reply.mPosition, aNow);
      mAction = mPlan->OnReply(std::move(reply), meets, aNow);
    }
    if (!mPlan) {
      return "wait";
    }
    while (std::visit([this](auto& aIt) { return Do(aIt); }, mAction)) {
    }
    return mText;
  }

private:
  // Each overload carries out one action of the plan and returns whether that was
  // possible now; false means that the plan waits for an event or has ended.
  bool Do(const ChooseRoute& aAction)
  {
    ReadRequirement requirement{ mRequest.mStatement.mToken.Find("g"),
                                 mRequest.mTokenKnown,
                                 mRequest.mMaxAge };
    auto choice =
      aAction.mForRead
        ? ChooseForRead(mHome.mView, mHome.mHistory, requirement, "", mNow, 0)
        : ChooseForWrite(mHome.mView);
    mAction = mPlan->OnRoute(choice.mDecision, mHome.mView.mTerm, mNow);
    return true;
  }
  bool Do(const AcquireConnection& aAction)
  {
    mDatabase = aAction.mDatabase;
    mAction = mPlan->OnConnection(true, Reason::None, mNow);
    return true;
  }
  bool Do(const SendCommand&)
  {
    mText = "send " + std::to_string(mDatabase);
    return false;
  }
  bool Do(const AwaitPrimary& aAction)
  {
    mText = "wait primary";
    const auto& view = mHome.mView;
    bool isKnown = view.mPrimary && view.mTerm > aAction.mAfterTerm;
    auto end = mHome.EndOf(isKnown, view.mTerm, aAction.mDeadline, mNow);
    if (end) {
      mAction = mPlan->OnPrimary(*end, mNow);
    }
    return end.has_value();
  }
  bool Do(const AwaitSafe& aAction)
  {
    mText = "wait safe";
    auto end = mHome.EndOf(aAction, mNow);
    if (end) {
      mAction = mPlan->OnSafe(*end, mNow);
    }
    return end.has_value();
  }
  bool Do(const AwaitConfirmed& aAction)
  {
    mText = "wait confirmed";
    auto end = mHome.EndOf(aAction, mNow);
    if (end) {
      mAction = mPlan->OnConfirmed(*end, mNow);
    }
    return end.has_value();
  }
  bool Do(const AwaitRetry& aAction)
  {
    mText = "wait retry";
    if (aAction.mAt > mNow) {
      return false;
    }
    mAction = mPlan->OnRetry(mNow);
    return true;
  }
  bool Do(const FinishStatement& aAction)
  {
    mText = TextOf(aAction.mAnswer);
    return false;
  }

  GroupRequest mRequest;
  Home mHome;
  TimePoint mNow{};
  std::optional<StatementPlan> mPlan;
  PlanAction mAction = ChooseRoute{ false };
  std::size_t mDatabase = 0;
  std::string mText;
};

class TransactionReplay : public Replay
{
public:
  explicit TransactionReplay(const Table& aTrace)
    : mPlan(aTrace["term"].value_or<std::uint64_t>(1))
  {
  }

  std::string Apply(const Table& aEvent, TimePoint aNow) override
  {
    mHome.Apply(aEvent, aNow);
    if (const auto* it = aEvent["statement"].as_table()) {
      auto request = RequestOf(*it, aNow);
      bool isBegin = request.mStatement.mKind == StatementKind::Begin;
      mAction = isBegin ? mPlan.Begin(std::move(request), aNow)
                        : mPlan.OnStatement(std::move(request), aNow);
    }
    if (const auto* it = aEvent["reply"].as_table()) {
      mAction = mPlan.OnReply(ReplyOf(*it), aNow);
    }
    if (mPlan.OnIdle(aNow)) {
      return "idle";
    }
    if (const auto* wait = std::get_if<AwaitConfirmed>(&mAction)) {
      if (auto end = mHome.EndOf(*wait, aNow)) {
        mAction = mPlan.OnConfirmed(*end, aNow);
      }
    }
    if (const auto* wait = std::get_if<AwaitCommitSafe>(&mAction)) {
      if (auto end = mHome.EndOf(wait->mWait, aNow)) {
        mAction = mPlan.OnSafe(*end, aNow);
      }
    }
    return std::visit([](const auto& aIt) { return Describe(aIt); }, mAction);
  }

private:
  static std::string Describe(const SendCommand&) { return "send"; }
  static std::string Describe(const AwaitConfirmed&) { return "wait confirmed"; }
  static std::string Describe(const AwaitCommitSafe&) { return "wait safe"; }
  static std::string Describe(const KeepOpen& aIt)
  {
    return "open " + TextOf(aIt.mAnswer);
  }
  static std::string Describe(const FinishTransaction& aIt)
  {
    return (aIt.mIsClean ? "over clean " : "over ") + TextOf(aIt.mAnswer);
  }

  Home mHome;
  TransactionPlan mPlan;
  TransactionAction mAction = KeepOpen{};
};

class ForwardReplay : public Replay
{
public:
  explicit ForwardReplay(const Table& aTrace)
    : mPlan(RequestOf(*aTrace["request"].as_table(), kStart),
            aTrace["homes"].value_or<std::size_t>(2))
  {
  }

  std::string Apply(const Table& aEvent, TimePoint aNow) override
  {
    if (aEvent["start"].value_or(false)) {
      mAction = mPlan.Start(aNow);
    }
    if (const auto* it = aEvent["answer"].as_table()) {
      mAction = mPlan.OnAnswer(AnswerOf(*it, aNow), aNow);
    }
    if (const auto* it = std::get_if<ForwardPause>(&mAction); it && it->mAt <= aNow) {
      mAction = mPlan.OnRetry(aNow);
    }
    return std::visit([&](const auto& aIt) { return Describe(aIt, aNow); }, mAction);
  }

private:
  static std::string Describe(const ForwardAttempt& aIt, TimePoint aNow)
  {
    auto left = std::chrono::duration_cast<milliseconds>(aIt.mDeadline - aNow).count();
    return "home " + std::to_string(aIt.mHome) + " for " + std::to_string(left) + " ms";
  }
  static std::string Describe(const ForwardPause&, TimePoint) { return "pause"; }
  static std::string Describe(const ForwardEnd& aIt, TimePoint)
  {
    return TextOf(aIt.mAnswer);
  }

  ForwardPlan mPlan;
  ForwardAction mAction = ForwardPause{ TimePoint::max() };
};

class SessionReplay : public Replay
{
public:
  explicit SessionReplay(const Table& aTrace)
  {
    mRoute.mGroup = std::string("g");
    mRoute.mMaxAgeUs = aTrace["max_age_ms"].value_or<std::uint64_t>(0) * 1000;
  }

  std::string Apply(const Table& aEvent, TimePoint aNow) override
  {
    if (aEvent["key_withdrawn"].value_or(false)) {
      mPlan.OnTransactionDropped();
      return "dropped";
    }
    if (const auto* it = aEvent["statement"].as_table()) {
      auto route = mRoute;
      route.mGroup = TextOf(*it, "group", "g");
      auto step = mPlan.OnStatement(StatementOf(*it, aNow), route, "studio");
      return std::visit([this](auto& aIt) { return Describe(aIt); }, step);
    }
    auto answer = AnswerOf(*aEvent["answer"].as_table(), aNow);
    if (mIsInTransaction) {
      auto step = mPlan.OnTransactionAnswer(mRequest, std::move(answer));
      if (const auto* it = std::get_if<ResolveCommit>(&step)) {
        mIsInTransaction = false;
        mRequest = it->mLookup;
        return "settle " + mRequest.mStatement.mRequestId;
      }
      const auto& deliver = std::get<DeliverAnswer>(step);
      return (deliver.mIsTransactionOver ? "over " : "open ") + TextOf(deliver.mAnswer);
    }
    bool isBegin = mRequest.mStatement.mKind == StatementKind::Begin;
    mPlan.OnBegun(mRequest, isBegin && answer.mOutcome == Outcome::Done);
    return TextOf(mPlan.OnAnswer(mRequest, std::move(answer)));
  }

private:
  std::string Describe(const RefuseStatement& aIt)
  {
    return "refuse " + std::string(kReasonNames.Name(aIt.mReason));
  }
  std::string Describe(const RunStatement& aIt)
  {
    mRequest = aIt.mRequest;
    mIsInTransaction = false;
    return mRequest.mTokenKnown ? "run, token known" : "run, token not known";
  }
  std::string Describe(const BeginTransaction& aIt)
  {
    mRequest = aIt.mRequest;
    mIsInTransaction = false;
    return "begin";
  }
  std::string Describe(const RunInTransaction& aIt)
  {
    mRequest = aIt.mRequest;
    mIsInTransaction = true;
    return "run in transaction";
  }

  RouteEntry mRoute;
  SessionPlan mPlan;
  GroupRequest mRequest;
  bool mIsInTransaction = false;
};

std::unique_ptr<Replay> MakeReplay(const Table& aTrace)
{
  auto kind = TextOf(aTrace, "kind");
  if (kind == "statement") {
    return std::make_unique<StatementReplay>(aTrace);
  }
  if (kind == "transaction") {
    return std::make_unique<TransactionReplay>(aTrace);
  }
  if (kind == "forward") {
    return std::make_unique<ForwardReplay>(aTrace);
  }
  CPPUNIT_ASSERT_EQUAL(std::string("session"), kind);
  return std::make_unique<SessionReplay>(aTrace);
}

} // namespace

// Replays test/traces/*.trace. Each is a TOML file of events with the state expected
// after them.
class TraceTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(TraceTest);
  CPPUNIT_TEST(EveryTraceMatchesItsExpectations);
  CPPUNIT_TEST_SUITE_END();

  void EveryTraceMatchesItsExpectations()
  {
    std::size_t count = 0;
    for (const auto& file : std::filesystem::directory_iterator(test::gArgument)) {
      if (file.path().extension() != ".trace") {
        continue;
      }
      auto trace = toml::parse_file(file.path().string());
      auto replay = MakeReplay(trace);
      const auto* events = trace["event"].as_array();
      CPPUNIT_ASSERT(events);
      std::size_t number = 0;
      for (const auto& it : *events) {
        const auto& event = *it.as_table();
        auto now = kStart + milliseconds(event["at_ms"].value_or(0));
        auto told = replay->Apply(event, now);
        auto where =
          file.path().filename().string() + " event " + std::to_string(++number);
        if (event.contains("expect")) {
          CPPUNIT_ASSERT_EQUAL_MESSAGE(where, TextOf(event, "expect"), told);
        }
      }
      ++count;
    }
    CPPUNIT_ASSERT(count > 0);
    std::printf(" traces=%zu ", count);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TraceTest);
