#pragma once

#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "absl/strings/str_cat.h"

#include "by_wire/detail/ByteReader.h"
#include "by_wire/detail/ByteWriter.h"

namespace by {

/// @returns a value's bytes; its cereal functions must be visible.
template<class T>
std::string
EncodeBinary(const T& aValue)
{
  detail::ByteWriter archive;
  archive(aValue);
  return archive.Take();
}

/// @returns the value, or InvalidArgument where the bytes are not one.
template<class T>
absl::StatusOr<T>
DecodeBinary(std::string_view aBytes)
{
  try {
    detail::ByteReader archive(aBytes);
    T value;
    archive(value);
    if (!archive.IsAtEnd()) {
      return absl::InvalidArgumentError("bytes are left over");
    }
    return value;
  } catch (const std::exception& error) {
    return absl::InvalidArgumentError(absl::StrCat("can't be decoded: ", error.what()));
  }
}

} // namespace by
