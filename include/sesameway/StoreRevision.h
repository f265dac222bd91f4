#pragma once

#include <cstdint>

namespace sesameway {

// The store may return from an outage with a copy that is some seconds old. Changes
// that it had accepted since are then lost, and their revisions are given out again.
// The store counts these returns; the count is called its generation here. In this
// program a revision contains the generation in its upper bits, so that all revisions
// of a later generation are newer. A store that does not count has the generation 0.
inline constexpr int kRevisionBits = 48;
inline constexpr std::uint64_t kMaxGeneration = 0x7fff;

// Combines a generation with a revision as the store itself numbers it.
constexpr std::uint64_t MakeRevision(std::uint64_t aGeneration,
                                     std::uint64_t aRevisionInStore)
{
  return aGeneration << kRevisionBits | aRevisionInStore;
}

constexpr std::uint64_t GenerationOf(std::uint64_t aRevision)
{
  return aRevision >> kRevisionBits;
}

constexpr std::uint64_t RevisionInStore(std::uint64_t aRevision)
{
  return aRevision & ((std::uint64_t{ 1 } << kRevisionBits) - 1);
}

// Whether an object at the given revision was written in an earlier generation than the
// one that shows it. Later versions of it may have been lost. False for revision 0, at
// which there is no object.
constexpr bool IsOutdated(std::uint64_t aWrittenIn, std::uint64_t aRevision)
{
  return aRevision != 0 && aWrittenIn != GenerationOf(aRevision);
}

} // namespace sesameway
