#include "sesameway/Rendezvous.h"

#include <xxhash.h>

namespace sesameway {

std::uint64_t RendezvousHash(std::string_view aKey, std::string_view aCandidate)
{
  auto seed = XXH3_64bits(aKey.data(), aKey.size());
  return XXH3_64bits_withSeed(aCandidate.data(), aCandidate.size(), seed);
}

} // namespace sesameway
