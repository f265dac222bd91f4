#pragma once

#include "sesameway/NameTable.h"
#include "sesameway/Time.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace sesameway {

// The number of statements that a database server gets at once, learned from how it
// answers. Begins at 1 and doubles while the server answers well and the limit is in
// use; only answers raise it. docs/design/pace.md gives the reasons.
class ConcurrencyLimit
{
public:
  enum class Outcome : std::uint8_t
  {
    // The server has run the statement, even if the statement's own result is an error.
    Good,
    // The server is busy or not ready, and has not run it.
    Refused,
    // The server could not run it, or the connection broke.
    Failed,
    // There was no answer in time.
    NoAnswer,
  };

  explicit ConcurrencyLimit(std::size_t aMaximum);
  // A higher maximum does not raise the limit by itself.
  void SetMaximum(std::size_t aMaximum);
  // The server has restarted or is used again after an outage: the limit begins at 1
  // again. What statements usually take stays known.
  void Restart(TimePoint aNow);
  // A statement ended `aTook` after it was sent. `aRunning` were running once it was
  // sent, itself included.
  void OnResult(std::string_view aCostClass,
                Duration aTook,
                Outcome aOutcome,
                std::size_t aRunning,
                TimePoint aNow);
  std::size_t Limit() const { return mLimit; }
  // Whether the server takes much longer than usual for most cost classes.
  bool IsSlow() const { return mIsSlow; }
  // The median time of the class; zero if it is not known yet.
  Duration UsualTime(std::string_view aCostClass) const;
  std::size_t CostClasses() const { return mClasses.size(); }

private:
  using Seconds = std::chrono::duration<double>;
  struct CostClass
  {
    // The first times; empty once the usual time is known.
    std::vector<Duration> mFirstTimes;
    Seconds mUsual{};
    // Moving average of the time between two answers.
    Seconds mGap{};
    TimePoint mLastAt{};
    std::uint64_t mLastUse = 0;
    // Answers and slow answers of this class in the episode.
    std::uint64_t mEpisode = 0;
    int mAnswers = 0;
    int mSlowAnswers = 0;
  };

  CostClass& Use(std::string_view aName, TimePoint aNow);
  bool ObserveTime(CostClass& aClass, Duration aTook, TimePoint aNow);
  void LearnTime(CostClass& aClass, Duration aTook);
  void CountTime(CostClass& aClass, bool aIsSlow);
  bool AreOtherClassesSlow() const;
  std::size_t SlowLimit() const { return (mMaximum + 1) / 2; }
  void LowerTo(std::size_t aLimit, TimePoint aNow);
  void CountGood(std::size_t aRunning);

  std::size_t mMaximum;
  std::size_t mLimit = 1;
  // Statements sent before this time tell nothing about the present limit.
  TimePoint mLoweredAt{};
  // Good answers of the current round, and whether one of its statements was sent with
  // the limit reached.
  std::size_t mGood = 0;
  bool mIsInUse = false;

  // Goes up with each slow answer and down with each other one. An episode lasts while
  // it is above 0.
  int mSlowScore = 0;
  bool mIsSlow = false;
  std::uint64_t mEpisode = 0;
  std::uint64_t mUses = 0;
  std::map<std::string, CostClass, std::less<>> mClasses;
};

inline constexpr NameTable<ConcurrencyLimit::Outcome, 4> kLimitOutcomeNames{ {
  "good",
  "refused",
  "failed",
  "no answer",
} };

} // namespace sesameway
