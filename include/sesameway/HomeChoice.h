#pragma once

#include "sesameway/Time.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sesameway {

// Which home a daemon asks for a connection, based on how the homes have answered it.
class HomeChoice
{
public:
  // The first of `aHomes` that is not avoided; std::nullopt if all are.
  std::optional<std::string> Choose(const std::vector<std::string>& aHomes,
                                    TimePoint aNow) const;
  // The home is no longer avoided. Call it for answers to openLink other than a refusal
  // because the home is leaving.
  void OnAnswer(const std::string& aHome);
  // No answer in time, or connection refused: avoided for 1 s, doubling up to 8 s while
  // this continues.
  void OnNoAnswer(const std::string& aHome, TimePoint aNow);
  // The home is shutting down: avoided for 3 s.
  void OnLeaving(const std::string& aHome, TimePoint aNow);

private:
  struct Avoided
  {
    TimePoint mUntil{};
    // Number of times that the home was silent since its last answer.
    int mSilences = 0;
  };

  bool IsAvoided(const std::string& aHome, TimePoint aNow) const;
  void Forget(TimePoint aNow);

  std::map<std::string, Avoided> mAvoided;
};

} // namespace sesameway
