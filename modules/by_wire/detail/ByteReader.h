#pragma once

#include <bit>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <cstring>
#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

#include <cereal/cereal.hpp>

#include "by_wire/detail/ByteWriter.h"

namespace by::detail {

/// A cereal archive that reads from bytes in memory, without a stream or a copy of them. It reads
/// what ByteWriter and cereal::PortableBinaryOutputArchive write on a little-endian machine.
class ByteReader : public cereal::InputArchive<ByteReader, cereal::AllowEmptyClassElision>
{
public:
  /// @param aBytes outlive the archive.
  explicit ByteReader(std::string_view aBytes)
    : InputArchive(this)
    , mBytes(aBytes)
  {
    static_assert(std::endian::native == std::endian::little);
    std::uint8_t isLittleEndian = 0;
    (*this)(isLittleEndian);
    if (isLittleEndian != 1) {
      throw cereal::Exception("bytes are not little-endian");
    }
  }

  void Read(void* aOut, std::size_t aSize)
  {
    if (aSize > mBytes.size()) {
      throw cereal::Exception("bytes end early");
    }
    if (aSize > 0) {
      std::memcpy(aOut, mBytes.data(), aSize);
      mBytes.remove_prefix(aSize);
    }
  }
  /// @returns the number of bytes that are left.
  std::size_t Left() const { return mBytes.size(); }
  /// @returns whether every byte was read.
  bool IsAtEnd() const { return mBytes.empty(); }

private:
  std::string_view mBytes;
};

template<class T>
requires std::is_arithmetic_v<T>
void
load(ByteReader& aArchive, T& aValue)
{
  if constexpr (std::is_same_v<T, bool>) {
    std::uint8_t byte = 0;
    aArchive.Read(&byte, sizeof(byte));
    if (byte > 1) {
      throw cereal::Exception("a truth value is neither 0 nor 1");
    }
    aValue = byte == 1;
    return;
  }
  aArchive.Read(&aValue, sizeof(aValue));
  if constexpr (std::is_floating_point_v<T>) {
    if (!std::isfinite(aValue)) {
      throw cereal::Exception("a number is not finite");
    }
  }
}

template<class T>
void
load(ByteReader& aArchive, cereal::SizeTag<T>& aValue)
{
  aArchive(aValue.size);
}

/// Reads a vector element by element, since the count comes from the bytes too: storage for all
/// elements that a damaged count names could exceed the memory of the process.
template<class T, class A>
void
load(ByteReader& aArchive, std::vector<T, A>& aValue)
{
  constexpr std::size_t kLeastSize = std::is_arithmetic_v<T> ? sizeof(T) : 1;
  cereal::size_type count = 0;
  aArchive(cereal::make_size_tag(count));
  if (count > aArchive.Left() / kLeastSize) {
    throw cereal::Exception("a count exceeds the bytes");
  }
  aValue.clear();
  for (cereal::size_type i = 0; i < count; ++i) {
    aArchive(aValue.emplace_back());
  }
}

/// Reads a text; its length comes from the bytes too.
inline void
load(ByteReader& aArchive, std::string& aValue)
{
  cereal::size_type size = 0;
  aArchive(cereal::make_size_tag(size));
  if (size > aArchive.Left()) {
    throw cereal::Exception("a length exceeds the bytes");
  }
  aValue.resize(static_cast<std::size_t>(size));
  aArchive.Read(aValue.data(), aValue.size());
}

template<class T>
void
load(ByteReader& aArchive, cereal::NameValuePair<T>& aValue)
{
  aArchive(aValue.value);
}

template<class T>
void
load(ByteReader& aArchive, cereal::BinaryData<T>& aValue)
{
  aArchive.Read(aValue.data, static_cast<std::size_t>(aValue.size));
}

} // namespace by::detail

CEREAL_SETUP_ARCHIVE_TRAITS(by::detail::ByteReader, by::detail::ByteWriter)
