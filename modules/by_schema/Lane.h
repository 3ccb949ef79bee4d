#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "absl/strings/str_cat.h"

namespace by {

/// Queue that a task waits in, by class of work.
enum class Lane : std::uint8_t
{
  Urgent = 0,
  Short = 1,
  Long = 2,
  Deferrable = 3,
};

/// Returns the text of a value in settings and messages.
/// @returns the text, or "unknown" if the enum declares no such value.
constexpr std::string_view
ToString(Lane aValue)
{
  switch (aValue) {
    case Lane::Urgent:
      return "urgent";
    case Lane::Short:
      return "short";
    case Lane::Long:
      return "long";
    case Lane::Deferrable:
      return "deferrable";
  }
  return "unknown";
}

/// Parses the text of a value, as ToString() returns it.
/// @returns the value, or InvalidArgument if no value has this text.
inline absl::StatusOr<Lane>
ParseLane(std::string_view aText)
{
  if (aText == "urgent") {
    return Lane::Urgent;
  }
  if (aText == "short") {
    return Lane::Short;
  }
  if (aText == "long") {
    return Lane::Long;
  }
  if (aText == "deferrable") {
    return Lane::Deferrable;
  }
  return absl::InvalidArgumentError(
    absl::StrCat("'", std::string(aText), "' is not one of urgent, short, long, deferrable"));
}

} // namespace by
