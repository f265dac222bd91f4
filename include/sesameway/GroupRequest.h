#pragma once

#include "sesameway/Statement.h"

#include <string>

namespace sesameway {

// A statement that has been admitted and routed to a group. Contains no API key.
struct GroupRequest
{
  Statement mStatement;
  std::string mGroup;
  std::string mOrganisation;
  Duration mMaxAge{};
  // False if the session may have written to the group beyond what its token names: it
  // resumed without its token, or the outcome of a write is unknown. It then reads at
  // the primary.
  bool mTokenKnown = false;
};

} // namespace sesameway
