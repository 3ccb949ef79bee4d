#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "absl/strings/str_cat.h"

namespace by {

/// Status of another entry node, as this node sees it.
enum class MemberStatus : std::uint8_t
{
  Alive = 0,
  Suspected = 1,
  Leaving = 2,
};

/// Returns the text of a value in settings and messages.
/// @returns the text, or "unknown" if the enum declares no such value.
constexpr std::string_view
ToString(MemberStatus aValue)
{
  switch (aValue) {
    case MemberStatus::Alive:
      return "alive";
    case MemberStatus::Suspected:
      return "suspected";
    case MemberStatus::Leaving:
      return "leaving";
  }
  return "unknown";
}

/// Parses the text of a value, as ToString() returns it.
/// @returns the value, or InvalidArgument if no value has this text.
inline absl::StatusOr<MemberStatus>
ParseMemberStatus(std::string_view aText)
{
  if (aText == "alive") {
    return MemberStatus::Alive;
  }
  if (aText == "suspected") {
    return MemberStatus::Suspected;
  }
  if (aText == "leaving") {
    return MemberStatus::Leaving;
  }
  return absl::InvalidArgumentError(
    absl::StrCat("'", std::string(aText), "' is not one of alive, suspected, leaving"));
}

} // namespace by
