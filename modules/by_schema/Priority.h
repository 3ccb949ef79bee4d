#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "absl/strings/str_cat.h"

namespace by {

/// How work is treated when capacity is short.
enum class Priority : std::uint8_t
{
  Normal = 0,
  Urgent = 1,
  Deferrable = 2,
};

/// Returns the text of a value in settings and messages.
/// @returns the text, or "unknown" if the enum declares no such value.
constexpr std::string_view
ToString(Priority aValue)
{
  switch (aValue) {
    case Priority::Normal:
      return "normal";
    case Priority::Urgent:
      return "urgent";
    case Priority::Deferrable:
      return "deferrable";
  }
  return "unknown";
}

/// Parses the text of a value, as ToString() returns it.
/// @returns the value, or InvalidArgument if no value has this text.
inline absl::StatusOr<Priority>
ParsePriority(std::string_view aText)
{
  if (aText == "normal") {
    return Priority::Normal;
  }
  if (aText == "urgent") {
    return Priority::Urgent;
  }
  if (aText == "deferrable") {
    return Priority::Deferrable;
  }
  return absl::InvalidArgumentError(
    absl::StrCat("'", std::string(aText), "' is not one of normal, urgent, deferrable"));
}

} // namespace by
