#include "sesameway/Token.h"

#include <algorithm>

namespace sesameway {

namespace {

bool BeforeGroup(const TokenEntry& aEntry, std::string_view aGroup)
{
  return aEntry.mGroup < aGroup;
}

} // namespace

void SessionToken::Raise(std::string_view aGroup, const LogPosition& aPosition)
{
  auto it = std::lower_bound(mEntries.begin(), mEntries.end(), aGroup, BeforeGroup);
  if (it == mEntries.end() || it->mGroup != aGroup) {
    mEntries.insert(it, TokenEntry{ std::string(aGroup), aPosition });
    return;
  }
  // Safe entries form a single history in which term and index only increase, so the
  // order of the pairs is the order of the entries.
  it->mPosition = std::max(it->mPosition, aPosition);
}

void SessionToken::Merge(const SessionToken& aOther)
{
  for (const auto& it : aOther.mEntries) {
    Raise(it.mGroup, it.mPosition);
  }
}

void SessionToken::Erase(std::string_view aGroup)
{
  std::erase_if(mEntries,
                [aGroup](const TokenEntry& aIt) { return aIt.mGroup == aGroup; });
}

std::optional<LogPosition> SessionToken::Find(std::string_view aGroup) const
{
  auto it = std::lower_bound(mEntries.begin(), mEntries.end(), aGroup, BeforeGroup);
  if (it == mEntries.end() || it->mGroup != aGroup) {
    return std::nullopt;
  }
  return it->mPosition;
}

} // namespace sesameway
