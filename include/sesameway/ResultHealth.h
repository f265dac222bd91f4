#pragma once

#include "sesameway/Time.h"

#include <deque>

namespace sesameway {

// Tracks whether a database answers its statements. Only their results count, as the
// health probe may disagree in either direction. A database that failed several of its
// last statements is ejected: reads avoid it for a time that grows with each ejection,
// and then try it again.
class ResultHealth
{
public:
  void OnResult(bool aIsGood, TimePoint aNow);
  // Whether reads should go to other databases where possible.
  bool IsEjected(TimePoint aNow) const { return aNow < mEjectedUntil; }

private:
  struct Result
  {
    bool mIsGood = false;
    TimePoint mAt;
  };
  std::deque<Result> mLast;
  TimePoint mEjectedUntil{};
  int mEjections = 0;
};

} // namespace sesameway
