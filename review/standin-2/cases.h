#pragma once

#include "world.h"

namespace world {

int PlayTarget(bool aIsTroubled);

struct Case
{
  const char* mName;
  int (*mRun)(bool);
};
inline constexpr Case kCases[] = {
  { "target", PlayTarget },
};

} // namespace world
