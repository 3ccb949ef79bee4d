#pragma once

#include <sstream>
#include <string>
#include <string_view>

#include <cereal/archives/portable_binary.hpp>

#include "absl/status/statusor.h"
#include "absl/strings/str_cat.h"

namespace by {

/// @returns a value's bytes; its cereal functions must be visible.
template<class T>
std::string
EncodeBinary(const T& aValue)
{
  std::ostringstream stream;
  {
    cereal::PortableBinaryOutputArchive archive(stream);
    archive(aValue);
  }
  return std::move(stream).str();
}

/// @returns the value, or InvalidArgument where the bytes are not one.
template<class T>
absl::StatusOr<T>
DecodeBinary(std::string_view aBytes)
{
  std::istringstream stream{ std::string(aBytes) };
  try {
    cereal::PortableBinaryInputArchive archive(stream);
    T value;
    archive(value);
    if (stream.peek() != std::istringstream::traits_type::eof()) {
      return absl::InvalidArgumentError("bytes are left over");
    }
    return value;
  } catch (const std::exception& error) {
    return absl::InvalidArgumentError(absl::StrCat("can't be decoded: ", error.what()));
  }
}

} // namespace by
