#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

namespace by {

/// Bytes of the length that stands before a message or a record.
inline constexpr std::size_t kLengthSize = 4;

/// @returns bytes with their length before them, most significant byte first.
std::string
WithLength(const std::string& aBytes);

/// @tparam Bytes a string of characters or an array of bytes.
/// @returns the number that bytes stand for, most significant byte first.
template<class Bytes>
std::uint64_t
BigEndian(const Bytes& aBytes)
{
  constexpr unsigned kByteBits = 8;
  std::uint64_t n = 0;
  for (const auto byte : aBytes) {
    n = (n << kByteBits) | static_cast<unsigned char>(byte);
  }
  return n;
}

} // namespace by
