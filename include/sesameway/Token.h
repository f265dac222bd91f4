#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sesameway {

// Identifies an entry of a log, usually the last one, by the term that wrote it and its
// index, counted from 1.
struct LogPosition
{
  std::uint64_t mTerm = 0;
  std::uint64_t mPosition = 0;

  // Whether a log that ends with this entry holds the safe entry `aOther`. An entry
  // that is safe in its term is in every log of a later term, at the same index.
  bool Covers(const LogPosition& aOther) const
  {
    return mTerm >= aOther.mTerm && mPosition >= aOther.mPosition;
  }
  bool operator==(const LogPosition&) const = default;
  bool operator<(const LogPosition& aOther) const
  {
    return mTerm != aOther.mTerm ? mTerm < aOther.mTerm : mPosition < aOther.mPosition;
  }
};

struct TokenEntry
{
  std::string mGroup;
  LogPosition mPosition;
};

// The data that a session must see: a log position for each group that it has written,
// or read at the primary, ordered by group.
class SessionToken
{
public:
  // Raises the position of a group; never lowers it.
  void Raise(std::string_view aGroup, const LogPosition& aPosition);
  void Merge(const SessionToken& aOther);
  void Erase(std::string_view aGroup);
  std::optional<LogPosition> Find(std::string_view aGroup) const;
  const std::vector<TokenEntry>& Entries() const { return mEntries; }
  bool IsEmpty() const { return mEntries.empty(); }

private:
  std::vector<TokenEntry> mEntries;
};

} // namespace sesameway
