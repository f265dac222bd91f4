#pragma once

#include <cstdint>
#include <string_view>

namespace sesameway {

// Hash of a candidate's name for one key, uniform over all 64-bit numbers. Ranking the
// candidates of a key by it is rendezvous hashing. All daemons and versions must
// compute the same value.
std::uint64_t RendezvousHash(std::string_view aKey, std::string_view aCandidate);

} // namespace sesameway
