#include "FakeGroup.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <random>
#include <utility>

using namespace sesameway;
using sesameway::test::FakeGroup;
using sesameway::test::FakeHome;

namespace {

constexpr std::size_t kSteps = 20000;
// Seeds of schedules that once failed in a long run.
constexpr std::array<std::uint64_t, 6> kRegressionSeeds{
  317011501901, 2549, 1043956929, 63301973662, 250048849685169237, 167476401951128960
};
constexpr std::size_t kHomes = 2;
constexpr std::size_t kSessions = 3;
constexpr Duration kTimeout = milliseconds(600);
constexpr Duration kMaxAge = milliseconds(200);

// One request of a caller, with the combined result of all attempts at all homes.
struct Request
{
  std::string mKey;
  std::string mId;
  bool mIsWrite = false;
  std::optional<Outcome> mOutcome;
  TimePoint mDoneAt{};
};

// For each session's key, the times at which a home acknowledged the writes to the key.
// CheckRead determines which of these writes a read must see.
using Acknowledged = std::vector<std::vector<TimePoint>>;

struct Session
{
  SessionPlan mPlan;
  SessionToken mCallerToken;
  std::size_t mHome = 0;
  // The statement in progress, if any: its plan, the plan's next action, and the index
  // of the request that it belongs to.
  std::optional<StatementPlan> mRun;
  PlanAction mAction = ChooseRoute{ false };
  std::size_t mRequest = 0;
  std::size_t mReadKey = 0;
  bool mIsStrict = false;
  std::size_t mMinimumSeen = 0;
  // When the home sent its answer; the caller handles it later.
  TimePoint mAnsweredAt{};
  std::size_t mDatabase = 0;
  int mRetries = 0;
};

struct InFlight
{
  std::size_t mDatabase;
  DatabaseCommand mCommand;
};

class Schedule
{
public:
  Schedule(std::uint64_t aSeed, std::size_t aSteps)
    : mRandom(aSeed)
    , mSteps(aSteps)
    , mHomes(kHomes)
    , mSessions(kSessions)
    , mAcknowledged(kSessions)
  {
    mRoute.mName = std::string("r");
    mRoute.mGroup = std::string("g");
  }

  void Run()
  {
    for (std::size_t n = 0; n < mSteps; ++n) {
      mNow += milliseconds(1 + Choose(6));
      Step();
    }
    Quiesce();
    CheckWrites();
  }

  // Counts over the schedule, by which a test checks that the relevant cases occurred.
  std::size_t mDone = 0;
  std::size_t mReplicaReads = 0;
  std::size_t mUnknown = 0;

private:
  std::size_t Choose(std::size_t aCount) { return mRandom() % aCount; }

  void Step()
  {
    std::size_t choice = Choose(96);
    if (choice == 0) {
      bool promotes = Choose(4) != 0;
      mGroup.Failover(Choose(3), promotes);
    } else if (choice == 1) {
      // An isolated home receives no reports and continues to serve.
      auto home = Choose(kHomes);
      mIsIsolated[home] = !mIsIsolated[home];
    } else if (choice == 2) {
      mNow += milliseconds(10 * Choose(12));
    } else if (choice < 20) {
      mGroup.Replicate(Choose(3));
    } else if (choice < 36) {
      Observe(Choose(kHomes));
    } else if (choice < 38) {
      Deliver();
    } else {
      Advance(Choose(kSessions));
    }
  }

  void Observe(std::size_t aHome)
  {
    if (mIsIsolated[aHome]) {
      return;
    }
    if (Choose(3) == 0) {
      mHomes[aHome].ObserveAll(mGroup, mNow);
    } else {
      mHomes[aHome].Observe(mGroup, Choose(3), mNow);
    }
  }

  void Deliver()
  {
    if (mInFlight.empty()) {
      return;
    }
    auto at = mInFlight.begin() + static_cast<long>(Choose(mInFlight.size()));
    mGroup.Run(at->mDatabase, at->mCommand);
    mInFlight.erase(at);
  }

  void Advance(std::size_t aSession)
  {
    auto& session = mSessions[aSession];
    if (!session.mRun) {
      Start(aSession);
      return;
    }
    std::visit([&](auto& aIt) { On(aSession, aIt); }, session.mAction);
    RecordAnswer(aSession);
  }

  // Records the time of an answer. A home sends its answer in the call that ends the
  // plan; the transmission to the caller does not count toward the route's maximum age.
  void RecordAnswer(std::size_t aSession)
  {
    auto& session = mSessions[aSession];
    const auto* end = std::get_if<FinishStatement>(&session.mAction);
    if (!session.mRun || !end) {
      return;
    }
    session.mAnsweredAt = mNow;
    bool isDone = end->mAnswer.mOutcome == Outcome::Done;
    if (isDone && mRequests[session.mRequest].mIsWrite) {
      mAcknowledged[aSession].push_back(mNow);
    }
  }

  void Start(std::size_t aSession)
  {
    auto& session = mSessions[aSession];
    if (Choose(4) == 0) {
      // The session moves to the other home, with or without its token.
      session.mHome = (session.mHome + 1) % kHomes;
      session.mPlan = SessionPlan();
      session.mCallerToken = Choose(3) == 0 ? SessionToken() : session.mCallerToken;
    }
    Request request;
    request.mIsWrite = Choose(2) == 0;
    session.mReadKey = request.mIsWrite ? aSession : Choose(kSessions);
    session.mIsStrict = Choose(2) == 0;
    session.mRetries = 0;
    request.mKey = "s" + std::to_string(session.mReadKey);
    bool hasId = request.mIsWrite && Choose(3) != 0;
    request.mId = hasId ? "id" + std::to_string(mRequests.size()) : "";
    session.mRequest = mRequests.size();
    mRequests.push_back(request);
    session.mMinimumSeen = mAcknowledged[session.mReadKey].size();
    Send(aSession, StatementKind::Execute);
  }

  void Send(std::size_t aSession, StatementKind aKind)
  {
    auto& session = mSessions[aSession];
    const auto& request = mRequests[session.mRequest];
    Statement statement;
    statement.mRoute = mRoute.mName;
    statement.mKind = aKind;
    statement.mRequestId = request.mId;
    statement.mDeadline = mNow + kTimeout;
    statement.mToken = session.mCallerToken;
    if (aKind == StatementKind::Execute && request.mIsWrite) {
      statement.mOperations.push_back({ OperationKind::Add, request.mKey, "1" });
      statement.mOperations.push_back(
        { OperationKind::Add, "q" + std::to_string(session.mRequest), "1" });
    } else if (aKind == StatementKind::Execute) {
      statement.mOperations.push_back({ OperationKind::Get, request.mKey, "" });
    }
    auto route = mRoute;
    route.mMaxAgeUs =
      session.mIsStrict ? 0 : std::chrono::duration_cast<microseconds>(kMaxAge).count();
    auto step = session.mPlan.OnStatement(std::move(statement), route, "o");
    session.mRun.emplace(std::get<RunStatement>(step).mRequest);
    session.mAction = session.mRun->Start(mNow);
  }

  void On(std::size_t aSession, const ChooseRoute& aAction)
  {
    auto& session = mSessions[aSession];
    auto& home = mHomes[session.mHome];
    const auto& request = session.mRun->Request();
    ReadRequirement requirement = RequirementOf(request);
    auto choice =
      aAction.mForRead
        ? ChooseForRead(home.mView, home.mHistory, requirement, "", mNow, Choose(2))
        : ChooseForWrite(home.mView);
    session.mAction = session.mRun->OnRoute(choice.mDecision, home.mView.mTerm, mNow);
  }

  static ReadRequirement RequirementOf(const GroupRequest& aRequest)
  {
    return { aRequest.mStatement.mToken.Find("g"),
             aRequest.mTokenKnown,
             aRequest.mMaxAge };
  }

  void On(std::size_t aSession, const AcquireConnection& aAction)
  {
    auto& session = mSessions[aSession];
    session.mDatabase = aAction.mDatabase;
    session.mAction = session.mRun->OnConnection(true, Reason::None, mNow);
  }

  void On(std::size_t aSession, const SendCommand& aAction)
  {
    auto& session = mSessions[aSession];
    auto command = aAction.mCommand;
    DatabaseReply reply;
    switch (Choose(12)) {
      case 0:
        // The answer is lost after the command took effect.
        mGroup.Run(session.mDatabase, command);
        break;
      case 1:
        // The home gives up on the command, but the database runs it later.
        mInFlight.push_back({ session.mDatabase, command });
        break;
      case 2:
        break;
      default:
        reply = mGroup.Run(session.mDatabase, command);
    }
    auto& home = mHomes[session.mHome];
    bool meets = MeetsRequirement(
      RequirementOf(session.mRun->Request()), home.mHistory, reply.mPosition, mNow);
    session.mAction = session.mRun->OnReply(std::move(reply), meets, mNow);
  }

  void On(std::size_t aSession, const AwaitPrimary& aAction)
  {
    auto& session = mSessions[aSession];
    const auto& view = mHomes[session.mHome].mView;
    bool isKnown = view.mPrimary && view.mTerm > aAction.mAfterTerm;
    if (isKnown || aAction.mDeadline <= mNow) {
      auto end = isKnown ? WaitResult::Reached : WaitResult::Expired;
      session.mAction = session.mRun->OnPrimary(end, mNow);
    }
  }

  std::optional<WaitResult> EndOf(const GroupView& aView,
                                  bool aIsReached,
                                  std::uint64_t aTerm,
                                  TimePoint aDeadline) const
  {
    if (aIsReached) {
      return WaitResult::Reached;
    }
    if (aView.mTerm > aTerm) {
      return WaitResult::Overtaken;
    }
    return aDeadline <= mNow ? std::optional(WaitResult::Expired) : std::nullopt;
  }

  void On(std::size_t aSession, const AwaitSafe& aAction)
  {
    auto& session = mSessions[aSession];
    const auto& view = mHomes[session.mHome].mView;
    auto end = EndOf(
      view, IsSafe(view, aAction.mEntry), aAction.mEntry.mTerm, aAction.mDeadline);
    if (end) {
      session.mAction = session.mRun->OnSafe(*end, mNow);
    }
  }

  void On(std::size_t aSession, const AwaitConfirmed& aAction)
  {
    auto& session = mSessions[aSession];
    const auto& view = mHomes[session.mHome].mView;
    const auto& entry = aAction.mEntry;
    bool isReached =
      IsConfirmed(view, entry.mTerm, aAction.mSince) && IsSafe(view, entry);
    auto end = EndOf(view, isReached, entry.mTerm, aAction.mDeadline);
    if (end) {
      session.mAction = session.mRun->OnConfirmed(*end, mNow);
    }
  }

  void On(std::size_t aSession, const AwaitRetry& aAction)
  {
    auto& session = mSessions[aSession];
    if (aAction.mAt <= mNow) {
      session.mAction = session.mRun->OnRetry(mNow);
    }
  }

  void On(std::size_t aSession, const FinishStatement& aAction)
  {
    auto& session = mSessions[aSession];
    auto run = session.mRun->Request();
    session.mRun.reset();
    auto answer = session.mPlan.OnAnswer(run, aAction.mAnswer);
    session.mCallerToken.Merge(answer.mToken);
    auto& request = mRequests[session.mRequest];
    bool isRetry = answer.mOutcome == Outcome::Unknown && !request.mId.empty();
    if (isRetry && session.mRetries++ < 3) {
      // The caller repeats the request at the other home, or looks up its outcome
      // there.
      session.mHome = (session.mHome + 1) % kHomes;
      session.mPlan = SessionPlan();
      Send(aSession, Choose(2) == 0 ? StatementKind::Execute : StatementKind::Lookup);
      return;
    }
    mUnknown += answer.mOutcome == Outcome::Unknown ? 1 : 0;
    if (answer.mOutcome == Outcome::NotRun && session.mRetries > 0 &&
        answer.mReason != Reason::NotRecorded) {
      // This answer concerns only the last attempt; an earlier one may have run.
      return;
    }
    request.mOutcome = answer.mOutcome;
    RC_ASSERT(answer.mReason != Reason::BadToken);
    if (answer.mOutcome != Outcome::Done) {
      return;
    }
    ++mDone;
    if (request.mIsWrite) {
      return;
    }
    CheckRead(aSession, answer, aAction.mAnswer.mToken.IsEmpty());
  }

  void CheckRead(std::size_t aSession, const Answer& aAnswer, bool aIsReplica)
  {
    const auto& session = mSessions[aSession];
    mReplicaReads += aIsReplica ? 1 : 0;
    auto seen = std::stoul(aAnswer.mRows.front().mValue);
    const auto& times = mAcknowledged[session.mReadKey];
    // A strict read, a read at the primary and a read of the session's own key must see
    // every write that was acknowledged before the read began. Other reads at a replica
    // may miss writes acknowledged less than kMaxAge before the answer.
    std::size_t minimumSeen = session.mMinimumSeen;
    bool isOwn = session.mReadKey == aSession;
    bool mayBeOld = aIsReplica && !session.mIsStrict && !isOwn;
    if (mayBeOld) {
      minimumSeen = std::count_if(times.begin(), times.end(), [&](TimePoint aIt) {
        return aIt < session.mAnsweredAt - kMaxAge;
      });
    }
    RC_LOG() << "strict=" << session.mIsStrict << " own=" << isOwn
             << " replica=" << aIsReplica << " by=" << aAnswer.mServedBy << '\n';
    RC_ASSERT(seen >= minimumSeen);
  }

  // Delivers all commands still in flight, then promotes a primary of a new term.
  void Quiesce()
  {
    while (!mInFlight.empty()) {
      mGroup.Run(mInFlight.back().mDatabase, mInFlight.back().mCommand);
      mInFlight.pop_back();
    }
    mGroup.Failover(Choose(3), true);
  }

  void CheckWrites()
  {
    const auto& node = mGroup.At(*mGroup.Primary());
    for (std::size_t n = 0; n < mRequests.size(); ++n) {
      const auto& request = mRequests[n];
      if (!request.mIsWrite) {
        continue;
      }
      long runs = FakeGroup::Sum(node, "q" + std::to_string(n));
      RC_ASSERT(runs <= 1);
      if (request.mOutcome == Outcome::Done) {
        RC_ASSERT(runs == 1);
      }
      if (request.mOutcome == Outcome::NotRun) {
        RC_ASSERT(runs == 0);
      }
    }
  }

  std::mt19937_64 mRandom;
  std::size_t mSteps;
  TimePoint mNow{ seconds(1000) };
  FakeGroup mGroup;
  std::vector<FakeHome> mHomes;
  std::vector<bool> mIsIsolated = std::vector<bool>(kHomes, false);
  std::vector<Session> mSessions;
  std::vector<Request> mRequests;
  std::vector<InFlight> mInFlight;
  Acknowledged mAcknowledged;
  RouteEntry mRoute;
};

} // namespace

class SessionPropertyTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(SessionPropertyTest);
  CPPUNIT_TEST(AnswersAreCorrectInAnyInterleaving);
  CPPUNIT_TEST(AnswersAreCorrectInSchedulesThatFailedBefore);
  CPPUNIT_TEST_SUITE_END();

  // Guards against two faults that these schedules once showed. An entry counted as
  // safe although it reached a majority only after that majority had granted a later
  // term; a log with a term in between then won the promotion, and the entry was lost.
  // And the age of a replica's answer was measured at the time at which the caller
  // handled it.
  void AnswersAreCorrectInSchedulesThatFailedBefore()
  {
    bool areRun = false;
    bool holds = rc::check("schedules that failed once", [&] {
      // The schedules depend only on their seeds, so one run of the property is enough.
      if (std::exchange(areRun, true)) {
        return;
      }
      for (auto seed : kRegressionSeeds) {
        Schedule schedule(seed, kSteps);
        schedule.Run();
      }
    });
    CPPUNIT_ASSERT(holds);
  }

  void AnswersAreCorrectInAnyInterleaving()
  {
    std::size_t done = 0;
    std::size_t replicaReads = 0;
    std::size_t unknown = 0;
    bool holds = rc::check("own writes seen, at most once, not run is true", [&] {
      auto seed = *rc::gen::noShrink(rc::gen::arbitrary<std::uint64_t>());
      Schedule schedule(seed, kSteps);
      schedule.Run();
      done += schedule.mDone;
      replicaReads += schedule.mReplicaReads;
      unknown += schedule.mUnknown;
    });
    std::printf(
      " done=%zu replica_reads=%zu unknown=%zu ", done, replicaReads, unknown);
    CPPUNIT_ASSERT(holds);
    CPPUNIT_ASSERT(done > 100);
    CPPUNIT_ASSERT(replicaReads > 10);
    CPPUNIT_ASSERT(unknown > 10);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SessionPropertyTest);
