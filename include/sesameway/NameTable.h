#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace sesameway {

// Maps the values of an enum class, which count up from 0, to names and back.
template<typename Enum, std::size_t N>
struct NameTable
{
  std::array<std::string_view, N> mNames;

  constexpr std::string_view Name(Enum aValue) const
  {
    auto n = static_cast<std::size_t>(aValue);
    return n < N ? mNames[n] : std::string_view("invalid");
  }

  constexpr std::optional<Enum> Find(std::string_view aName) const
  {
    for (std::size_t n = 0; n < N; ++n) {
      if (mNames[n] == aName) {
        return static_cast<Enum>(n);
      }
    }
    return std::nullopt;
  }

  constexpr bool Holds(std::size_t aNumber) const { return aNumber < N; }
};

} // namespace sesameway
