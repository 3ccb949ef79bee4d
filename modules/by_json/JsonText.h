#pragma once

#include <string>
#include <string_view>

#include <boost/json/value.hpp>

#include "absl/status/statusor.h"

#include "by_core/Findings.h"
#include "by_json/Secrets.h"
#include "by_json/TypeTag.h"

namespace by {

/// Parses JSON text; comments are allowed.
/// @returns the value, or InvalidArgument "line N, column N: problem".
absl::StatusOr<boost::json::value>
ParseJson(std::string_view aText);

/// Writes a value on one line.
std::string
WriteJson(const boost::json::value& aValue);

/// Reads a value type from parsed text.
/// @returns the value, or InvalidArgument with every finding and its place.
template<class T>
absl::StatusOr<T>
ReadParsedJson(const absl::StatusOr<boost::json::value>& aParsed)
{
  if (!aParsed.ok()) {
    return aParsed.status();
  }
  Findings findings;
  auto value = ReadJson(TypeTag<T>{}, *aParsed, "", findings);
  if (!findings.IsEmpty()) {
    return findings.ToStatus();
  }
  return value;
}

/// Parses text and reads a value type from it.
/// @param aText JSON, comments allowed.
/// @returns the value, or InvalidArgument with every finding and its place.
template<class T>
absl::StatusOr<T>
ReadJsonText(std::string_view aText)
{
  return ReadParsedJson<T>(ParseJson(aText));
}

/// Writes a value type on one line.
/// @param aSecrets whether secret fields are written.
template<class T>
std::string
WriteJsonText(const T& aValue, Secrets aSecrets = Secrets::Hidden)
{
  return WriteJson(ToJson(aValue, aSecrets));
}

} // namespace by
