#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace sesameway {

struct Candidate
{
  std::string mName;
  std::string mZone;
};

// Chooses at most `aSlots` homes of a group, most preferred first. Homes are the
// daemons that hold connections to the group's databases. Uses rendezvous hashing over
// the candidates, and takes one daemon of each zone before a second one of any zone.
std::vector<std::string> ChooseHomes(std::string_view aGroup,
                                     const std::vector<Candidate>& aCandidates,
                                     std::size_t aSlots);

} // namespace sesameway
