#pragma once

#include "sesameway/Time.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sesameway {

// Waiting statements by organisation, served by deficit round robin: at each turn an
// organisation gets connection time by its weight, and pays with what it has used.
// Bounded for each organisation, so that one that floods fills only its own queue.
class FairQueue
{
public:
  explicit FairQueue(std::size_t aLimitPerOrganisation)
    : mLimit(aLimitPerOrganisation)
  {
  }

  // False when the organisation's queue is full.
  bool Push(const std::string& aOrganisation,
            std::uint32_t aWeight,
            std::uint64_t aTicket,
            TimePoint aDeadline);
  // The next ticket to serve, none when empty.
  std::optional<std::uint64_t> Pop();
  // What a served ticket has used, when that is known.
  void Charge(const std::string& aOrganisation, Duration aUsed);
  // Takes out the tickets whose deadline has passed.
  std::vector<std::uint64_t> RemoveExpired(TimePoint aNow);
  std::size_t size() const { return mSize; }
  // How many tickets are served before a new one of the organisation would be.
  std::size_t CountAhead(const std::string& aOrganisation, std::uint32_t aWeight) const;

private:
  struct Ticket
  {
    std::uint64_t mNumber;
    TimePoint mDeadline;
  };
  struct Line
  {
    std::deque<Ticket> mTickets;
    std::uint32_t mWeight = 1;
    // Time that it may use before others have a turn; below zero when it has used more.
    Duration mCredit{};
  };
  void GiveCredit();
  void Forget();

  std::size_t mLimit;
  std::size_t mSize = 0;
  std::map<std::string, Line> mLines;
  // Organisations with waiting tickets, the one whose turn it is in front.
  std::deque<std::string> mTurns;
};

} // namespace sesameway
