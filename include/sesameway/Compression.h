#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace sesameway {

// Compresses a text as one frame of the Zstandard format.
std::string Compress(std::string_view aText);
// Returns no value if the bytes are not one whole frame, or if the text is longer than
// `aMaxBytes`.
std::optional<std::string> Decompress(std::string_view aBytes, std::size_t aMaxBytes);

} // namespace sesameway
