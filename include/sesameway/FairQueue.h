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

// Queues of waiting statements, one per organisation, served by deficit round robin: in
// each turn an organisation is credited connection time in proportion to its weight and
// charged for the time that its statements used. Each queue is bounded, so that an
// organisation that sends too much fills only its own queue.
class FairQueue
{
public:
  explicit FairQueue(std::size_t aLimitPerOrganisation)
    : mLimit(aLimitPerOrganisation)
  {
  }

  // Adds a ticket. Returns false if the organisation's queue is full.
  bool Push(const std::string& aOrganisation,
            std::uint32_t aWeight,
            std::uint64_t aTicket,
            TimePoint aDeadline);
  // Removes and returns the next ticket to serve; std::nullopt if nothing waits.
  std::optional<std::uint64_t> Pop();
  // Charges the organisation for the connection time that a served ticket used.
  void Charge(const std::string& aOrganisation, Duration aUsed);
  // Removes and returns the tickets whose deadline has passed.
  std::vector<std::uint64_t> RemoveExpired(TimePoint aNow);
  std::size_t size() const { return mSize; }
  // Estimates how many tickets would be served before a new one of the organisation.
  std::size_t CountAhead(const std::string& aOrganisation, std::uint32_t aWeight) const;

private:
  struct Ticket
  {
    std::uint64_t mNumber;
    TimePoint mDeadline;
  };
  struct OrganisationQueue
  {
    std::deque<Ticket> mTickets;
    std::uint32_t mWeight = 1;
    // Connection time that the organisation may use in this turn; negative if it has
    // used more than it was credited.
    Duration mCredit{};
  };
  void GiveCredit();
  void ClearIfEmpty();

  std::size_t mLimit;
  std::size_t mSize = 0;
  std::map<std::string, OrganisationQueue> mQueues;
  // Organisations with waiting tickets in the order of their turns, the current one
  // first.
  std::deque<std::string> mTurns;
};

} // namespace sesameway
