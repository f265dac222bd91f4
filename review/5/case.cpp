// Requests that a machine reads while it stops, and that take a while at a database.
#include "../standin/Case.h"

using namespace review;

namespace {

// Within the timeout of the route, 2,000 ms.
constexpr long kWorkMs = 1700;
// Clients with long reads. They begin one after the other, and each sends its next
// request with the answer to the one before.
constexpr int kClients = 2;
constexpr long kOffsetMs = 120;
// Clients with short reads beside them, with a pause after each.
constexpr int kLightClients = 2;
constexpr long kPauseMs = 40;
// When the sixth long read of the first client is sent, counted from the SIGTERM.
constexpr long kLastSentMs = 3700;

struct Sent
{
  std::string mId;
  long mAt = 0;
  long mEndedAt = 0;
  bool mIsAnswered = false;
};

Verdict Play(const std::string& aProgram, const std::string& aFolder, bool aHasTrouble)
{
  // Never destroyed: other threads use it until the process ends.
  auto& deployment = *new Deployment(aProgram, aFolder);
  std::mutex mutex;
  // When a database began to work on a request, by its item. Called with the service's
  // lock held.
  std::map<std::string, long> begunAt;
  deployment.mService.mWork = [&](const std::string& aText) {
    bool isLong = aText.starts_with("READ report-");
    std::lock_guard lock(mutex);
    if (isLong) {
      begunAt[aText] = NowMs();
    }
    return isLong ? kWorkMs : 8;
  };
  Configuration configuration;
  if (!deployment.Start(configuration)) {
    deployment.mFleet.EndAll();
    return Verdict::NotRun;
  }
  auto& machine = deployment.mFleet.Machines()[0];
  std::atomic<bool> isOver{ false };
  std::atomic<long> thirdSentAt{ 0 };
  std::map<std::string, Sent> sent;
  std::vector<std::thread> threads;
  for (int n = 0; n < kClients + kLightClients; ++n) {
    threads.emplace_back([&, n] {
      bool isLight = n >= kClients;
      SleepMs(isLight ? 0 : n * kOffsetMs);
      Client client(std::to_string(n + 1), isLight);
      bool isOpen =
        client.Connect(machine.Front(), "slot-browse", "u6wsjnbanfqasnmgkcuy");
      for (int count = 0; isOpen && !isOver; ++count) {
        auto text = (isLight ? "READ slot-" : "READ report-") + std::to_string(n) +
                    '-' + std::to_string(count);
        auto at = NowMs();
        if (n == 0 && count == 2) {
          thirdSentAt = at;
        }
        auto reply = client.Query(text);
        isOpen = !reply.mIsClosed;
        {
          std::lock_guard lock(mutex);
          bool isAnswered = !reply.mCode.empty() && !reply.mState.empty();
          sent[text] = { client.LastId(), at, NowMs(), isAnswered };
        }
        SleepMs(isLight ? kPauseMs : 0);
      }
      client.Close();
    });
  }
  while (thirdSentAt == 0 && NowMs() < 60000) {
    SleepMs(5);
  }
  SleepMs(std::max(0L, thirdSentAt + 3 * (kWorkMs + 3) - kLastSentMs - NowMs()));
  auto stoppedAt = NowMs();
  bool hasEnded = true;
  if (aHasTrouble) {
    deployment.mFleet.Signal(machine, SIGTERM, "SIGTERM");
    hasEnded = deployment.mFleet.WaitForEnd(machine, kGraceMs);
    Note("the process ",
         hasEnded ? "ended " : "still ran ",
         NowMs() - stoppedAt,
         " ms after SIGTERM");
  } else {
    SleepMs(kGraceMs);
  }
  isOver = true;
  for (auto& it : threads) {
    it.join();
  }
  deployment.mFleet.EndAll();
  std::size_t cut = 0;
  std::size_t answered = 0;
  for (const auto& [text, it] : sent) {
    answered += it.mIsAnswered ? 1 : 0;
    if (it.mIsAnswered) {
      continue;
    }
    auto since = it.mAt - stoppedAt;
    auto begun = begunAt.find(text);
    bool isPassedOn = begun != begunAt.end();
    // Not counted: a request sent up to 3 s after the SIGTERM on which a database still
    // worked in the last sixth of graceS, and one whose route's timeout was reached.
    bool isExcused = since <= 3000 && it.mEndedAt - stoppedAt >= kGraceMs * 5 / 6;
    bool hasTimedOut = it.mEndedAt - it.mAt >= configuration.mBoundedTimeoutMs;
    bool isCut = isPassedOn && !isExcused && !hasTimedOut;
    Note(isCut ? "LOST: " : "not counted: ",
         it.mId,
         ' ',
         text,
         " sent ",
         since,
         " ms after SIGTERM, ",
         isPassedOn ? "passed on, " : "",
         "connection ended ",
         it.mEndedAt - stoppedAt,
         " ms after it, no answer");
    cut += isCut ? 1 : 0;
  }
  Note(answered, " requests answered, ", cut, " cut that count");
  if (answered == 0 || (aHasTrouble && !hasEnded)) {
    return Verdict::NotRun;
  }
  return cut > 0 ? Verdict::Broken : Verdict::Held;
}

} // namespace

int main(int argc, char** argv)
{
  std::_Exit(RunCase(argc, argv, Play));
}
