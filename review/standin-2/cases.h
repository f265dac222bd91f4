#pragma once

#include "world.h"

namespace world {

int PlayStop(bool aIsTroubled);
int PlayTarget(bool aIsTroubled);

struct Case
{
  const char* mName;
  int (*mRun)(bool);
};
inline constexpr Case kCases[] = {
  { "stop", PlayStop },
  { "target", PlayTarget },
};

} // namespace world
