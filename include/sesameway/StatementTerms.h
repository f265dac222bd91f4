#pragma once

#include "sesameway/Time.h"

#include <cstdint>
#include <string>

namespace sesameway {

// What a statement needs of the database that runs it: how urgent it is, until when its
// answer is of use, and what it is expected to cost.
struct StatementTerms
{
  // Statements with a lower number are more urgent.
  std::uint32_t mPriority = 0;
  // An answer after this time counts as late. TimePoint::max() if there is no target.
  TimePoint mGoalAt = TimePoint::max();
  // An answer after this time is of no use.
  TimePoint mDeadline = TimePoint::max();
  // The statement belongs to a transaction that the database has begun.
  bool mIsInTransaction = false;
  std::string mOrganisation;
  // Statements of the same class are expected to take the same time.
  std::string mCostClass;
};

} // namespace sesameway
