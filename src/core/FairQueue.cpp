#include "sesameway/FairQueue.h"

#include <algorithm>

namespace sesameway {

namespace {

// Connection time credited per turn and unit of weight.
constexpr Duration kCreditPerTurn = milliseconds(1);
// Charged when a ticket is served, so that an organisation can't be served repeatedly
// before its actual use is reported.
constexpr Duration kMinCharge = microseconds(100);
// Limits the debt per unit of weight, so that a single long transaction doesn't block
// its organisation for long.
constexpr Duration kMaxDebt = milliseconds(200);

} // namespace

bool FairQueue::Push(const std::string& aOrganisation,
                     std::uint32_t aWeight,
                     std::uint64_t aTicket,
                     TimePoint aDeadline)
{
  auto& queue = mQueues[aOrganisation];
  if (queue.mTickets.size() >= mLimit) {
    return false;
  }
  if (queue.mTickets.empty()) {
    mTurns.push_back(aOrganisation);
  }
  queue.mWeight = std::max<std::uint32_t>(1, aWeight);
  queue.mTickets.push_back({ aTicket, aDeadline });
  ++mSize;
  return true;
}

std::optional<std::uint64_t> FairQueue::Pop()
{
  if (mTurns.empty()) {
    return std::nullopt;
  }
  GiveCredit();
  while (mQueues[mTurns.front()].mCredit <= Duration{}) {
    mTurns.push_back(std::move(mTurns.front()));
    mTurns.pop_front();
  }
  auto& queue = mQueues[mTurns.front()];
  auto number = queue.mTickets.front().mNumber;
  queue.mTickets.pop_front();
  queue.mCredit -= kMinCharge;
  --mSize;
  bool isTurnOver = queue.mTickets.empty() || queue.mCredit <= Duration{};
  if (isTurnOver) {
    auto name = std::move(mTurns.front());
    mTurns.pop_front();
    if (queue.mTickets.empty()) {
      // An organisation without waiting tickets loses its credit but keeps its debt.
      queue.mCredit = std::min(queue.mCredit, Duration{});
    } else {
      mTurns.push_back(std::move(name));
    }
  }
  ClearIfEmpty();
  return number;
}

// Credits as many rounds at once as are needed until one organisation has credit.
void FairQueue::GiveCredit()
{
  auto rounds = Duration::max().count();
  for (const auto& it : mTurns) {
    const auto& queue = mQueues[it];
    if (queue.mCredit > Duration{}) {
      return;
    }
    rounds = std::min<Duration::rep>(
      rounds, -queue.mCredit / (kCreditPerTurn * queue.mWeight) + 1);
  }
  for (const auto& it : mTurns) {
    auto& queue = mQueues[it];
    queue.mCredit += kCreditPerTurn * queue.mWeight * rounds;
  }
}

void FairQueue::Charge(const std::string& aOrganisation, Duration aUsed)
{
  auto it = mQueues.find(aOrganisation);
  if (it == mQueues.end()) {
    return;
  }
  auto& queue = it->second;
  queue.mCredit -= std::max(Duration{}, aUsed - kMinCharge);
  queue.mCredit = std::max<Duration>(queue.mCredit, -kMaxDebt * queue.mWeight);
}

// Discards credits and debts while nothing waits: there is no competition to arbitrate.
void FairQueue::ClearIfEmpty()
{
  if (mSize == 0) {
    mQueues.clear();
  }
}

std::vector<std::uint64_t> FairQueue::RemoveExpired(TimePoint aNow)
{
  std::vector<std::uint64_t> expired;
  for (auto& it : mQueues) {
    auto& tickets = it.second.mTickets;
    if (tickets.empty()) {
      continue;
    }
    std::erase_if(tickets, [&](const Ticket& aTicket) {
      bool isExpired = aTicket.mDeadline <= aNow;
      if (isExpired) {
        expired.push_back(aTicket.mNumber);
      }
      return isExpired;
    });
    if (tickets.empty()) {
      std::erase(mTurns, it.first);
    }
  }
  mSize -= expired.size();
  ClearIfEmpty();
  return expired;
}

std::size_t FairQueue::CountAhead(const std::string& aOrganisation,
                                  std::uint32_t aWeight) const
{
  auto mine = mQueues.find(aOrganisation);
  std::size_t before = mine == mQueues.end() ? 0 : mine->second.mTickets.size();
  std::size_t ahead = before;
  auto weight = std::max<std::uint32_t>(1, aWeight);
  for (const auto& it : mQueues) {
    if (it.first != aOrganisation) {
      auto others = (before + 1) * it.second.mWeight / weight;
      ahead += std::min(it.second.mTickets.size(), others);
    }
  }
  return ahead;
}

} // namespace sesameway
