#pragma once

#include "sesameway/Time.h"

#include <map>
#include <string>
#include <vector>

namespace sesameway {

// Spreads a coordinator's calls to all other daemons over time, so that it neither asks
// a large fleet about every group at once nor leaves a daemon unasked for long. All
// groups are covered by one call to a daemon.
class DaemonPoll
{
public:
  struct Call
  {
    std::string mDaemon;
    // The groups to ask about; empty to ask which primaries the daemon has lost.
    std::vector<std::string> mGroups;
  };

  // Asks every other daemon at once about a group whose primary may have failed.
  void AskAbout(const std::string& aGroup) { mAsked[aGroup] = 0; }
  // Returns the calls to make now. Call it every 50 to 100 ms with the other daemons.
  // Each of them is asked in rounds which primaries it has lost, also to learn whether
  // it runs.
  std::vector<Call> Next(const std::vector<std::string>& aDaemons, TimePoint aNow);

private:
  // How many daemons have been asked about each group since AskAbout was called for it.
  std::map<std::string, std::size_t> mAsked;
  std::size_t mNextAbout = 0;
  // How many daemons are left in the round of questions for losses.
  std::size_t mLossesLeft = 0;
  std::size_t mNextForLosses = 0;
  TimePoint mLossesAskedAt{};
};

} // namespace sesameway
