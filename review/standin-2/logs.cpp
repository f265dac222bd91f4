// Fault: the reader of the daemons' standard output pauses.
#include "cases.h"

#include <thread>

namespace world {

namespace {

constexpr double kPausedFor = 50;
// The pipes have filled by then.
constexpr double kFillTime = 15;
constexpr int kSessions = 12;

struct Counts
{
  std::atomic<int> mSent{ 0 };
  std::atomic<int> mAnswered{ 0 };
  std::atomic<int> mOpened{ 0 };
  std::atomic<int> mRefused{ 0 };
};

enum class Phase
{
  Before,
  Filling,
  Paused,
  After,
};

void Call(const Address& aFront,
          std::atomic<Phase>& aPhase,
          Counts* aCounts,
          double aUntil)
{
  Session session;
  while (Now() < aUntil) {
    auto phase = aPhase.load();
    auto& counts = aCounts[static_cast<int>(phase)];
    if (!session.IsOpen()) {
      if (!session.Open(aFront, "registro-bounded", "u3f1")) {
        ++counts.mRefused;
        Sleep(0.3);
        continue;
      }
      ++counts.mOpened;
    }
    ++counts.mSent;
    // The time budget of a request is 20 s; a client that waits 4 s for an answer gives
    // up.
    auto answer = session.Query(NewId(), "READ 1a4", Now() + 4);
    if (answer.mIsComplete) {
      ++aCounts[static_cast<int>(aPhase.load())].mAnswered;
    } else {
      session.Close();
    }
    Sleep(0.1);
  }
}

} // namespace

int PlayLogs(bool aIsTroubled)
{
  auto* fleet = StartFleet({ 3, { "registro" }, true });
  if (fleet == nullptr) {
    return 2;
  }
  Sleep(3);
  std::atomic<Phase> phase{ Phase::Before };
  Counts counts[4];
  std::vector<std::thread> threads;
  auto until = Now() + 8 + kPausedFor + 15;
  for (auto& daemon : fleet->mDaemons) {
    for (int n = 0; n < kSessions; ++n) {
      threads.emplace_back(
        [&, front = daemon->mFront] { Call(front, phase, counts, until); });
    }
  }
  Sleep(8);
  Record::Line("the reader of the logs %s", aIsTroubled ? "pauses" : "goes on");
  phase = Phase::Filling;
  for (auto& it : fleet->mDaemons) {
    it->mIsRead = !aIsTroubled;
  }
  Sleep(kFillTime);
  phase = Phase::Paused;
  Sleep(kPausedFor - kFillTime - 2);
  int ready = 0;
  for (auto& it : fleet->mDaemons) {
    bool isReady = it->IsReady();
    ready += isReady ? 1 : 0;
    Record::Line(
      "GET /ready at %s: %s", it->mName.c_str(), isReady ? "200" : "no answer");
  }
  Sleep(2);
  Record::Line("the reader of the logs reads again");
  phase = Phase::After;
  for (auto& it : fleet->mDaemons) {
    it->mIsRead = true;
  }
  for (auto& it : threads) {
    it.join();
  }
  const char* names[] = { "before", "first 15 s", "rest of the pause", "after" };
  for (int n = 0; n < 4; ++n) {
    Record::Line(
      "%s: requests sent %d, answered %d, sessions opened %d, refused or unanswered %d",
      names[n],
      counts[n].mSent.load(),
      counts[n].mAnswered.load(),
      counts[n].mOpened.load(),
      counts[n].mRefused.load());
  }
  StopFleet(*fleet);
  if (counts[0].mAnswered == 0) {
    return 2;
  }
  bool isHung = counts[2].mAnswered == 0 && ready == 0;
  Record::Line(isHung
                 ? "Fault: no request was served by any daemon in the rest of the pause"
                 : "requests were served");
  return isHung ? 1 : 0;
}

} // namespace world
