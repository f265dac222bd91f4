// LOST: the database that is to take over restarts, without its log, before it does.
#include "cases.h"

#include <mutex>
#include <thread>

namespace world {

namespace {

constexpr double kWriteTime = 5;
constexpr double kDownFor = 1;
// The first part: the platform's promotion call answers, and a promote takes its time.
constexpr double kPromoteTime = 1;
constexpr double kCrashAfterOrder = 0.3;
// The second part, after the crash of the primary: the promotion call is down for a
// while.
constexpr double kRestartAt = 4;
constexpr double kCloudBackAt = 8;
constexpr double kEndAt = 16;
constexpr double kLastOrderAt = 10;
constexpr int kSessions = 6;
constexpr double kPause = 0.03;

enum class Part
{
  // Two databases crash within 2 s, and one of them starts again.
  CrashAfterOrder,
  // The same some seconds apart, while the platform's promotion call is down.
  CrashWhileDown,
};

enum class Outcome
{
  Kept,
  Lost,
  NotRun,
};

struct Acknowledged
{
  std::mutex mMutex;
  std::set<std::string> mIds;
};

void Write(const Address& aFront,
           std::atomic<bool>& aIsOver,
           Acknowledged& aAcknowledged)
{
  Session session;
  while (!aIsOver) {
    if (!session.IsOpen() && !session.Open(aFront, "registro-primary", "u3f1")) {
      Sleep(0.2);
      continue;
    }
    auto id = NewId();
    auto answer = session.Query(id, "WRITE 1a4 x" + id, Now() + 3);
    if (answer.mIsComplete && answer.mWord == "COMPLETE") {
      std::lock_guard lock(aAcknowledged.mMutex);
      aAcknowledged.mIds.insert(id);
    } else if (!answer.mIsComplete) {
      session.Close();
    }
    Sleep(kPause);
  }
}

void CrashReplica(Databases& aDatabases)
{
  aDatabases.Crash("i-registro1");
  Sleep(kDownFor);
  aDatabases.RestartEmpty("i-registro1");
}

Outcome PlayPart(Part aPart, bool aIsTroubled)
{
  auto* fleet = StartFleet({ 3, { "registro" }, false, 1 });
  if (fleet == nullptr) {
    return Outcome::NotRun;
  }
  auto& databases = *fleet->mDatabases;
  auto& cloud = *fleet->mCloud;
  Acknowledged acknowledged;
  std::atomic<bool> isOver{ false };
  std::atomic<int> promotions{ 0 };
  std::atomic<std::size_t> lost{ 0 };
  databases.mOnPromoted = [&](const std::string& aId,
                              const std::set<std::string>& aHeld) {
    std::lock_guard lock(acknowledged.mMutex);
    ++promotions;
    std::size_t missing = 0;
    for (const auto& it : acknowledged.mIds) {
      missing += aHeld.count(it) == 0 ? 1 : 0;
    }
    Record::Line("of %zu acknowledged commits, %zu are not in the log of %s",
                 acknowledged.mIds.size(),
                 missing,
                 aId.c_str());
    lost += missing;
  };
  std::vector<std::thread> threads;
  for (int n = 0; n < kSessions; ++n) {
    const auto& front = fleet->mDaemons[n % fleet->mDaemons.size()]->mFront;
    threads.emplace_back([&, front] { Write(front, isOver, acknowledged); });
  }
  Sleep(kWriteTime);
  auto crashedAt = Now();
  databases.Crash("i-registro0");
  if (aPart == Part::CrashAfterOrder) {
    databases.mPromoteTime = kPromoteTime;
    while (cloud.Orders().empty() && Now() < crashedAt + kLastOrderAt) {
      Sleep(0.01);
    }
    if (aIsTroubled) {
      Sleep(kCrashAfterOrder);
      CrashReplica(databases);
    }
  } else if (aIsTroubled) {
    cloud.mIsDown = true;
    Record::Line("platform: the promotion call is down");
    SleepUntil(crashedAt + kRestartAt);
    CrashReplica(databases);
    SleepUntil(crashedAt + kCloudBackAt);
    cloud.mIsDown = false;
    Record::Line("platform: the promotion call is up");
  }
  SleepUntil(crashedAt + kEndAt);
  isOver = true;
  for (auto& it : threads) {
    it.join();
  }
  StopFleet(*fleet);
  if (promotions == 0 || acknowledged.mIds.empty()) {
    return Outcome::NotRun;
  }
  return lost > 0 ? Outcome::Lost : Outcome::Kept;
}

} // namespace

int PlayTarget(bool aIsTroubled)
{
  int broken = 0;
  for (auto part : { Part::CrashAfterOrder, Part::CrashWhileDown }) {
    const char* name = part == Part::CrashAfterOrder
                         ? "the promotion call answers"
                         : "the promotion call is down for a while";
    Record::Line("part: %s", name);
    auto outcome = PlayPart(part, aIsTroubled);
    Record::Line("part: %s: LOST %s",
                 name,
                 outcome == Outcome::Lost   ? "broken"
                 : outcome == Outcome::Kept ? "held"
                                            : "not judged, the part could not run");
    if (outcome == Outcome::NotRun) {
      return 2;
    }
    broken += outcome == Outcome::Lost ? 1 : 0;
  }
  return broken > 0 ? 1 : 0;
}

} // namespace world
