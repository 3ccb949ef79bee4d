#pragma once

#include <bit>
#include <cstddef>
#include <cstdint>
#include <cstring>
#include <string_view>
#include <type_traits>

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
  aArchive.Read(&aValue, sizeof(aValue));
}

template<class T>
void
load(ByteReader& aArchive, cereal::SizeTag<T>& aValue)
{
  aArchive(aValue.size);
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
