// A transaction that is open when its client's key is taken away.
#include "../standin/Case.h"

using namespace review;

namespace {

Verdict Play(const std::string& aProgram, const std::string& aFolder, bool aHasTrouble)
{
  // Never destroyed: other threads use it until the process ends.
  auto& deployment = *new Deployment(aProgram, aFolder);
  Configuration configuration;
  const std::string tenant = "wiro417";
  const std::string key = configuration.mKeys[tenant].front();
  if (!deployment.Start(configuration)) {
    deployment.mFleet.EndAll();
    return Verdict::NotRun;
  }
  auto& machines = deployment.mFleet.Machines();
  Client client("T");
  bool isOpen = client.Connect(machines[0].Front(), "booking-commit", key) &&
                client.Query("BEGIN").IsDone() && client.Query("READ 1a4").IsDone();
  if (!isOpen) {
    deployment.mFleet.EndAll();
    return Verdict::NotRun;
  }
  if (aHasTrouble) {
    configuration.mKeys.erase(tenant);
    configuration.mVersion += 3;
  }
  configuration.Put(deployment.mStore);
  auto acknowledgedAt = NowMs();
  // The rest of up to 12 statements, with pauses below txIdleMs.
  std::set<std::string> lateIds;
  bool isDenied = false;
  for (int n = 0; n < 7; ++n) {
    SleepMs(1500);
    bool isLate = NowMs() - acknowledgedAt > kApplyMs;
    bool isLast = n == 6;
    auto reply = client.Query(isLast ? "COMMIT" : "WRITE 1a4 late" + std::to_string(n));
    if (isLate) {
      lateIds.insert(client.LastId());
    }
    if (!reply.IsDone()) {
      break;
    }
    if (n == 3) {
      // The key is refused elsewhere by now: the configuration is in force.
      for (const auto& it : machines) {
        Client other("N");
        isDenied |= !other.Connect(it.Front(), "booking-commit", key);
        other.Close();
      }
    }
  }
  client.Close();
  deployment.mFleet.EndAll();
  NoteRuns(deployment.mService);
  std::size_t ran = 0;
  for (const auto& it : deployment.mService.Runs()) {
    if (lateIds.count(it.mId) > 0) {
      Note("run: ",
           it.mDatabase,
           " ran ",
           it.mId,
           ' ',
           it.mText,
           " for ",
           it.mTenant,
           ", ",
           it.mAt - acknowledgedAt,
           " ms after the acknowledgement");
      ++ran;
    }
  }
  auto kept = deployment.mService.Kept(deployment.mService.Primary());
  bool isKept = std::any_of(lateIds.begin(), lateIds.end(), [&](const auto& aIt) {
    return kept.count(aIt) > 0;
  });
  Note(ran,
       " requests ran that were sent later than applyMs after the acknowledgement",
       isKept ? ", their writes were committed" : "");
  if (!aHasTrouble) {
    return ran > 0 && isKept ? Verdict::Held : Verdict::NotRun;
  }
  if (!isDenied && ran > 0) {
    Note("the key was not refused anywhere");
  }
  return ran > 0 ? Verdict::Broken : Verdict::Held;
}

} // namespace

int main(int argc, char** argv)
{
  std::_Exit(RunCase(argc, argv, Play));
}
