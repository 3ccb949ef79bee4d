#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "absl/strings/str_cat.h"

namespace by {

/// Result of an operator's call.
enum class ReplyCode : std::uint8_t
{
  Ok = 0,
  NotFound = 1,
  Conflict = 2,
  Invalid = 3,
  Unavailable = 4,
  Unknown = 5,
  Forbidden = 6,
};

/// Returns the text of a value in settings and messages.
/// @returns the text, or "unknown" if the enum declares no such value.
constexpr std::string_view
ToString(ReplyCode aValue)
{
  switch (aValue) {
    case ReplyCode::Ok:
      return "ok";
    case ReplyCode::NotFound:
      return "not_found";
    case ReplyCode::Conflict:
      return "conflict";
    case ReplyCode::Invalid:
      return "invalid";
    case ReplyCode::Unavailable:
      return "unavailable";
    case ReplyCode::Unknown:
      return "unknown";
    case ReplyCode::Forbidden:
      return "forbidden";
  }
  return "unknown";
}

/// Parses the text of a value, as ToString() returns it.
/// @returns the value, or InvalidArgument if no value has this text.
inline absl::StatusOr<ReplyCode>
ParseReplyCode(std::string_view aText)
{
  if (aText == "ok") {
    return ReplyCode::Ok;
  }
  if (aText == "not_found") {
    return ReplyCode::NotFound;
  }
  if (aText == "conflict") {
    return ReplyCode::Conflict;
  }
  if (aText == "invalid") {
    return ReplyCode::Invalid;
  }
  if (aText == "unavailable") {
    return ReplyCode::Unavailable;
  }
  if (aText == "unknown") {
    return ReplyCode::Unknown;
  }
  if (aText == "forbidden") {
    return ReplyCode::Forbidden;
  }
  return absl::InvalidArgumentError(absl::StrCat(
    "'",
    std::string(aText),
    "' is not one of ok, not_found, conflict, invalid, unavailable, unknown, forbidden"));
}

} // namespace by
