#include "sesameway/FairQueue.h"

#include <algorithm>

namespace sesameway {

namespace {

// Credit of one turn for each unit of weight.
constexpr Duration kTurn = milliseconds(1);
// Charged at once, so that an organisation can't be served again and again before its
// first use is known.
constexpr Duration kLeastUse = microseconds(100);
// So that a single long transaction doesn't keep its organisation out for long.
constexpr Duration kMostDebt = milliseconds(200);

} // namespace

bool FairQueue::Push(const std::string& aOrganisation,
                     std::uint32_t aWeight,
                     std::uint64_t aTicket,
                     TimePoint aDeadline)
{
  auto& line = mLines[aOrganisation];
  if (line.mTickets.size() >= mLimit) {
    return false;
  }
  if (line.mTickets.empty()) {
    mTurns.push_back(aOrganisation);
  }
  line.mWeight = std::max<std::uint32_t>(1, aWeight);
  line.mTickets.push_back({ aTicket, aDeadline });
  ++mSize;
  return true;
}

std::optional<std::uint64_t> FairQueue::Pop()
{
  if (mTurns.empty()) {
    return std::nullopt;
  }
  GiveCredit();
  while (mLines[mTurns.front()].mCredit <= Duration{}) {
    mTurns.push_back(std::move(mTurns.front()));
    mTurns.pop_front();
  }
  auto& line = mLines[mTurns.front()];
  auto number = line.mTickets.front().mNumber;
  line.mTickets.pop_front();
  line.mCredit -= kLeastUse;
  --mSize;
  bool isTurnOver = line.mTickets.empty() || line.mCredit <= Duration{};
  if (isTurnOver) {
    auto name = std::move(mTurns.front());
    mTurns.pop_front();
    if (line.mTickets.empty()) {
      // Credit isn't saved up for later, debt is.
      line.mCredit = std::min(line.mCredit, Duration{});
    } else {
      mTurns.push_back(std::move(name));
    }
  }
  Forget();
  return number;
}

// As many rounds of turns at once as it takes until somebody has credit.
void FairQueue::GiveCredit()
{
  auto rounds = Duration::max().count();
  for (const auto& it : mTurns) {
    const auto& line = mLines[it];
    if (line.mCredit > Duration{}) {
      return;
    }
    rounds =
      std::min<Duration::rep>(rounds, -line.mCredit / (kTurn * line.mWeight) + 1);
  }
  for (const auto& it : mTurns) {
    auto& line = mLines[it];
    line.mCredit += kTurn * line.mWeight * rounds;
  }
}

void FairQueue::Charge(const std::string& aOrganisation, Duration aUsed)
{
  auto it = mLines.find(aOrganisation);
  if (it == mLines.end()) {
    return;
  }
  auto& line = it->second;
  line.mCredit -= std::max(Duration{}, aUsed - kLeastUse);
  line.mCredit = std::max<Duration>(line.mCredit, -kMostDebt * line.mWeight);
}

// Where nobody waits there is nothing to be fair about.
void FairQueue::Forget()
{
  if (mSize == 0) {
    mLines.clear();
  }
}

std::vector<std::uint64_t> FairQueue::RemoveExpired(TimePoint aNow)
{
  std::vector<std::uint64_t> expired;
  for (auto& it : mLines) {
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
  Forget();
  return expired;
}

std::size_t FairQueue::CountAhead(const std::string& aOrganisation,
                                  std::uint32_t aWeight) const
{
  auto mine = mLines.find(aOrganisation);
  std::size_t before = mine == mLines.end() ? 0 : mine->second.mTickets.size();
  std::size_t ahead = before;
  auto weight = std::max<std::uint32_t>(1, aWeight);
  for (const auto& it : mLines) {
    if (it.first != aOrganisation) {
      auto others = (before + 1) * it.second.mWeight / weight;
      ahead += std::min(it.second.mTickets.size(), others);
    }
  }
  return ahead;
}

} // namespace sesameway
