#pragma once

#include "sesameway/Time.h"

#include <deque>

namespace sesameway {

// Whether a database answers its statements, judged by their results alone: its health
// probe may say something else, either way. One that fails several of the last ones is
// given fewer reads for a while, longer each time, and is tried again after that.
class ResultHealth
{
public:
  void OnResult(bool aIsGood, TimePoint aNow);
  // Reads had better go elsewhere, if they can.
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
