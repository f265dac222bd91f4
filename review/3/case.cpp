// Acknowledged commits after a primary's crash, where commits wait for one replica.
#include "../standin/Case.h"

using namespace review;

namespace {

Verdict Play(const std::string& aProgram, const std::string& aFolder, bool aHasTrouble)
{
  constexpr const char* kPrimary = "i-7f3a91c2";
  constexpr const char* kLeaving = "i-20bd6e10";
  constexpr const char* kDeaf = "i-c94401fa";
  ServiceOptions options;
  options.mSyncReplicas = 1;
  // Never destroyed: other threads use it until the process ends.
  auto& deployment = *new Deployment(aProgram, aFolder, options);
  Configuration configuration;
  configuration.mSyncReplicas = 1;
  if (!deployment.Start(configuration)) {
    deployment.mFleet.EndAll();
    return Verdict::NotRun;
  }
  auto& service = deployment.mService;
  // Three clients write, each at a machine of its own.
  std::atomic<bool> isOver{ false };
  std::mutex mutex;
  std::set<std::string> acknowledged;
  std::vector<std::thread> threads;
  for (std::size_t n = 0; n < 3; ++n) {
    threads.emplace_back([&, n] {
      auto address = deployment.mFleet.Machines()[n].Front();
      for (int count = 0; !isOver;) {
        Client client(std::to_string(n + 1));
        bool isOpen = client.Connect(address, "booking-commit", "u6wsjnbanfqasnmgkcuy");
        while (isOpen && !isOver) {
          auto reply = client.Query("WRITE a" + std::to_string(n) + " v" +
                                    std::to_string(count++));
          isOpen = !reply.mIsClosed;
          if (reply.IsDone()) {
            std::lock_guard lock(mutex);
            acknowledged.insert(client.LastId());
          }
          SleepMs(200);
        }
        client.Close();
        SleepMs(200);
      }
    });
  }
  SleepMs(1000);
  service.Drain(kLeaving);
  if (aHasTrouble) {
    SleepMs(500);
    service.SetDeaf(kDeaf, true);
    SleepMs(1500);
    service.Crash(kPrimary);
    SleepMs(3600);
    service.RemoveEntry(kPrimary);
    SleepMs(900);
    // The replica receives again before the length of the disruption, 7 s, has passed.
    service.SetDeaf(kDeaf, false);
    auto until = NowMs() + 12000;
    while (service.Term() < 2 && NowMs() < until) {
      SleepMs(50);
    }
    SleepMs(1500);
  } else {
    SleepMs(6000);
  }
  isOver = true;
  for (auto& it : threads) {
    it.join();
  }
  deployment.mFleet.EndAll();
  NoteRuns(service);
  auto primary = service.Primary();
  Note("the primary is now ",
       primary.empty() ? "none" : primary,
       ", term ",
       service.Term());
  if (primary.empty() || acknowledged.empty()) {
    return primary.empty() && aHasTrouble ? Verdict::Held : Verdict::NotRun;
  }
  auto kept = service.Kept(primary);
  std::size_t lost = 0;
  for (const auto& it : acknowledged) {
    if (kept.count(it) == 0) {
      Note("LOST: the commit of ",
           it,
           " was acknowledged and isn't in the log of ",
           primary);
      ++lost;
    }
  }
  Note(acknowledged.size(), " commits acknowledged, ", lost, " of them lost");
  return lost > 0 ? Verdict::Broken : Verdict::Held;
}

} // namespace

int main(int argc, char** argv)
{
  std::_Exit(RunCase(argc, argv, Play));
}
