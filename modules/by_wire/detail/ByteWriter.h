#pragma once

#include <bit>
#include <cstddef>
#include <cstdint>
#include <string>
#include <type_traits>
#include <utility>

#include <cereal/cereal.hpp>

namespace by::detail {

/// A cereal archive that appends to a string, without a stream. Its bytes are those of
/// cereal::PortableBinaryOutputArchive.
class ByteWriter : public cereal::OutputArchive<ByteWriter, cereal::AllowEmptyClassElision>
{
public:
  ByteWriter()
    : OutputArchive(this)
  {
    static_assert(std::endian::native == std::endian::little);
    (*this)(std::uint8_t{ 1 });
  }

  void Append(const void* aBytes, std::size_t aSize)
  {
    mBytes.append(static_cast<const char*>(aBytes), aSize);
  }
  /// @returns the bytes that were written; the archive is not used afterwards.
  std::string Take() { return std::move(mBytes); }

private:
  std::string mBytes;
};

template<class T>
requires std::is_arithmetic_v<T>
void
save(ByteWriter& aArchive, const T& aValue)
{
  aArchive.Append(&aValue, sizeof(aValue));
}

template<class T>
void
save(ByteWriter& aArchive, const cereal::SizeTag<T>& aValue)
{
  aArchive(aValue.size);
}

template<class T>
void
save(ByteWriter& aArchive, const cereal::NameValuePair<T>& aValue)
{
  aArchive(aValue.value);
}

template<class T>
void
save(ByteWriter& aArchive, const cereal::BinaryData<T>& aValue)
{
  aArchive.Append(aValue.data, static_cast<std::size_t>(aValue.size));
}

} // namespace by::detail
