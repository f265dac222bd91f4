// LOST: daemons are stopped in turn with SIGTERM while a primary is replaced.
#include "cases.h"

#include <csignal>
#include <thread>

namespace world {

namespace {

constexpr double kGrace = 6;
constexpr double kSlack = 0.2;
// Of the route.
constexpr double kTimeout = 2;
constexpr double kWork = 0.04;
constexpr double kPromoteTime = 1;
constexpr double kPause = 0.02;
constexpr double kWarmUp = 2;
// The primary says drain this long after the SIGTERM.
constexpr double kDrainAt = 3.86;
constexpr int kSessions = 10;

struct Request
{
  std::string mId;
  std::string mText;
  double mSentAt = 0;
  Answer mAnswer;
};

struct Caller
{
  std::vector<Request> mRequests;
  std::thread mThread;
};

// Transactions of one read each, one after the other, until the connection ends.
void Play(Caller& aCaller, const Address& aFront, double aUntil)
{
  Session session;
  if (!session.Open(aFront, "registro-bounded", "u3f1")) {
    return;
  }
  auto run = [&](const std::string& aText) {
    Request request{ NewId(), aText, Now(), {} };
    request.mAnswer = session.Query(request.mId, aText, Now() + 20);
    bool isDone = request.mAnswer.mIsComplete && request.mAnswer.mWord == "COMPLETE";
    aCaller.mRequests.push_back(std::move(request));
    return isDone;
  };
  while (session.IsOpen() && Now() < aUntil) {
    bool isDone = run("BEGIN") && run("READ 1a4") && run("COMMIT");
    if (!isDone && session.IsOpen() && aCaller.mRequests.back().mAnswer.mState != "I") {
      run("ROLLBACK");
    }
    Sleep(kPause);
  }
}

} // namespace

int PlayStop(bool aIsTroubled)
{
  auto* fleet = StartFleet({ 3, { "registro" }, false });
  if (fleet == nullptr) {
    return 2;
  }
  auto& databases = *fleet->mDatabases;
  databases.mWork = [](const std::string&) { return kWork; };
  databases.mPromoteTime = kPromoteTime;
  Sleep(2);
  int broken = 0;
  std::size_t sent = 0;
  std::size_t answered = 0;
  for (auto& daemon : fleet->mDaemons) {
    std::vector<Caller> callers(kSessions);
    auto until = Now() + kWarmUp + kGrace + 2;
    for (auto& it : callers) {
      it.mThread = std::thread([&] { Play(it, daemon->mFront, until); });
    }
    Sleep(kWarmUp);
    double stoppedAt = Now();
    if (aIsTroubled) {
      Record::Line("SIGTERM: %s", daemon->mName.c_str());
      daemon->Signal(SIGTERM);
    }
    SleepUntil(stoppedAt + kDrainAt);
    databases.DrainPrimary("registro");
    if (aIsTroubled) {
      daemon->WaitOrKill(stoppedAt + kGrace);
      Record::Line(
        "ended: %s %.3f s after SIGTERM", daemon->mName.c_str(), Now() - stoppedAt);
    }
    for (auto& it : callers) {
      it.mThread.join();
    }
    for (const auto& caller : callers) {
      for (const auto& it : caller.mRequests) {
        ++sent;
        answered += it.mAnswer.mIsComplete ? 1 : 0;
        if (it.mAnswer.mIsComplete) {
          continue;
        }
        auto run = databases.FindRun(it.mId);
        double age = it.mAnswer.mAt - it.mSentAt;
        Record::Line("request %s %s sent %+.3f s after SIGTERM, no answer, connection "
                     "ended %+.3f s, "
                     "%s",
                     it.mId.c_str(),
                     it.mText.c_str(),
                     it.mSentAt - stoppedAt,
                     it.mAnswer.mAt - stoppedAt,
                     run ? ("ran at " + run->mDatabase).c_str() : "not at a database");
        bool isInPlan = it.mSentAt <= stoppedAt + kGrace + 1;
        // The excuses: the route's timeout, and a database still at work in the last
        // sixth of graceS on a request that was sent no later than 3 s after the
        // SIGTERM.
        bool isExcused = age >= kTimeout || (run && it.mSentAt <= stoppedAt + 3);
        bool isLost = aIsTroubled && isInPlan && !isExcused && (run || age > kSlack);
        broken += isLost ? 1 : 0;
        if (isLost) {
          Record::Line("LOST broken: %s got no answer, %.3f s after it was sent (its "
                       "timeout is %.0f s)",
                       it.mId.c_str(),
                       age,
                       kTimeout);
        }
      }
    }
    if (aIsTroubled) {
      Sleep(0.5);
      daemon->Start();
    }
    Sleep(4);
    databases.Return();
    Sleep(2);
  }
  Record::Line("requests sent %zu, answered in full %zu, LOST broken %d times",
               sent,
               answered,
               broken);
  StopFleet(*fleet);
  if (answered == 0) {
    return 2;
  }
  return broken > 0 ? 1 : 0;
}

} // namespace world
