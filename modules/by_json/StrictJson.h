#pragma once

#include <string_view>

#include <boost/json/value.hpp>

#include "absl/status/statusor.h"

#include "by_json/JsonText.h"

namespace by {

/// Parses JSON text of a caller outside our control. Beside what ParseJson() refuses, such as deep
/// nesting and text that is not UTF-8, it refuses an object with a repeated key: two readers of it
/// may take different values.
absl::StatusOr<boost::json::value>
ParseStrictJson(std::string_view aText);

/// Parses text of a caller outside our control and reads a value type from it.
/// @returns the value, or InvalidArgument with every finding and its place.
template<class T>
absl::StatusOr<T>
ReadStrictJsonText(std::string_view aText)
{
  return ReadParsedJson<T>(ParseStrictJson(aText));
}

} // namespace by
