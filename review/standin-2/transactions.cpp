// DRAIN: transactions that are open at the SIGTERM and end within the first half of
// graceS.
#include "cases.h"

#include <csignal>
#include <thread>

namespace world {

namespace {

constexpr double kGrace = 6;
constexpr int kSessions = 5;
constexpr double kStep = 0.25;
// The COMMIT is sent this long after the SIGTERM, inside the first half of graceS.
constexpr double kCommitAt = 2.85;
constexpr double kLeadTime = 0.4;

struct Caller
{
  bool mIsOpen = false;
  bool mIsCommitted = false;
  // The first statement that failed, and when it was answered.
  std::string mWord;
  double mFailedAt = 0;
  std::thread mThread;
};

// A transaction of a write, reads with short pauses, and its COMMIT.
void Play(Caller& aCaller, const Address& aFront, const std::atomic<double>& aStoppedAt)
{
  Session session;
  if (!session.Open(aFront, "registro-primary", "u3f1")) {
    return;
  }
  auto run = [&](const std::string& aText) {
    auto answer = session.Query(NewId(), aText, Now() + 3);
    bool isDone = answer.mIsComplete && answer.mWord == "COMPLETE";
    if (!isDone && aCaller.mFailedAt == 0) {
      aCaller.mWord =
        (answer.mIsComplete ? answer.mWord : "no answer") + ' ' + answer.mDetail;
      aCaller.mFailedAt = answer.mAt;
    }
    return isDone;
  };
  if (!run("BEGIN") || !run("WRITE 1a4 x")) {
    return;
  }
  aCaller.mIsOpen = true;
  while (aStoppedAt == 0 || Now() < aStoppedAt + kCommitAt - kStep) {
    Sleep(kStep);
    if (!run("READ 1a4")) {
      return;
    }
  }
  SleepUntil(aStoppedAt + kCommitAt);
  aCaller.mIsCommitted = run("COMMIT");
}

} // namespace

int PlayTransactions(bool aIsTroubled)
{
  auto* fleet = StartFleet({ 3, { "registro" }, false });
  if (fleet == nullptr) {
    return 2;
  }
  Sleep(2);
  int open = 0;
  int broken = 0;
  int committed = 0;
  for (auto& daemon : fleet->mDaemons) {
    std::atomic<double> stoppedAt{ 0 };
    std::vector<Caller> callers(kSessions);
    for (auto& it : callers) {
      it.mThread = std::thread([&] { Play(it, daemon->mFront, stoppedAt); });
    }
    Sleep(kLeadTime);
    stoppedAt = Now();
    if (aIsTroubled) {
      Record::Line("SIGTERM: %s", daemon->mName.c_str());
      daemon->Signal(SIGTERM);
      daemon->WaitOrKill(stoppedAt + kGrace);
    }
    for (auto& it : callers) {
      it.mThread.join();
      open += it.mIsOpen ? 1 : 0;
      committed += it.mIsCommitted ? 1 : 0;
      bool isEarly =
        it.mIsOpen && it.mFailedAt > 0 && it.mFailedAt < stoppedAt + kGrace / 2;
      broken += isEarly ? 1 : 0;
      if (it.mFailedAt > 0) {
        Record::Line("transaction open at the SIGTERM: a statement was answered %s, "
                     "%.3f s after it",
                     it.mWord.c_str(),
                     it.mFailedAt - stoppedAt);
      }
    }
    Sleep(1);
  }
  Record::Line("transactions open at the SIGTERM %d, committed %d, ended by the daemon "
               "before half of "
               "graceS %d",
               open,
               committed,
               broken);
  StopFleet(*fleet);
  if (open == 0) {
    return 2;
  }
  return broken > 0 ? 1 : 0;
}

} // namespace world
