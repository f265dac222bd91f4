#pragma once

#include "world.h"

namespace world {

int PlayStop(bool aIsTroubled);
int PlayOrders(bool aIsTroubled);
int PlayLogs(bool aIsTroubled);
int PlayTarget(bool aIsTroubled);
int PlayTransactions(bool aIsTroubled);

struct Case
{
  const char* mName;
  int (*mRun)(bool);
};
inline constexpr Case kCases[] = {
  { "stop", PlayStop },
  { "orders", PlayOrders },
  { "logs", PlayLogs },
  { "target", PlayTarget },
  { "transactions", PlayTransactions },
};

} // namespace world
