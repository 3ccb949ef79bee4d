#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "absl/strings/str_cat.h"

namespace by {

/// How an entry node stands with this one.
enum class MemberStatus : std::uint8_t
{
  Alive = 0,
  Suspected = 1,
  Leaving = 2,
};

/// Names a value as it stands in settings and messages.
/// @returns the name in lower case, or "unknown".
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

/// Reads a value from its name.
/// @returns the value, or InvalidArgument for a name that is not one.
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
