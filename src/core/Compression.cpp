#include "sesameway/Compression.h"

#include <zstd.h>

#include <new>

namespace sesameway {

namespace {

// The library's default: higher levels save little for catalogues and take much longer.
constexpr int kLevel = 3;

} // namespace

std::string Compress(std::string_view aText)
{
  std::string bytes(ZSTD_compressBound(aText.size()), '\0');
  auto n =
    ZSTD_compress(bytes.data(), bytes.size(), aText.data(), aText.size(), kLevel);
  if (ZSTD_isError(n) != 0) {
    // The buffer is large enough, so only a lack of memory is left.
    throw std::bad_alloc();
  }
  bytes.resize(n);
  return bytes;
}

std::optional<std::string> Decompress(std::string_view aBytes, std::size_t aMaxBytes)
{
  auto size = ZSTD_getFrameContentSize(aBytes.data(), aBytes.size());
  bool isKnown = size != ZSTD_CONTENTSIZE_UNKNOWN && size != ZSTD_CONTENTSIZE_ERROR;
  if (!isKnown || size > aMaxBytes) {
    return std::nullopt;
  }
  std::string text(size, '\0');
  auto n = ZSTD_decompress(text.data(), text.size(), aBytes.data(), aBytes.size());
  if (ZSTD_isError(n) != 0 || n != text.size()) {
    return std::nullopt;
  }
  return text;
}

} // namespace sesameway
