#pragma once

#include "sesameway/Time.h"

#include <capnp/blob.h>

#include <cstdint>
#include <string>

// Conversions of single fields that the messages between peer daemons share.
namespace sesameway::peer {

inline kj::ArrayPtr<const kj::byte> Bytes(const std::string& aText)
{
  return { reinterpret_cast<const kj::byte*>(aText.data()), aText.size() };
}

inline std::string Text(capnp::Data::Reader aData)
{
  return { reinterpret_cast<const char*>(aData.begin()), aData.size() };
}

inline std::string Text(capnp::Text::Reader aText)
{
  return { aText.begin(), aText.size() };
}

inline std::uint64_t Micros(Duration aDuration)
{
  return std::chrono::duration_cast<microseconds>(aDuration).count();
}

} // namespace sesameway::peer
