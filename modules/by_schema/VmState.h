#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "absl/strings/str_cat.h"

namespace by {

/// State of a VM in the platform's list.
enum class VmState : std::uint8_t
{
  Live = 0,
  Leaving = 1,
};

/// Returns the text of a value in settings and messages.
/// @returns the text, or "unknown" if the enum declares no such value.
constexpr std::string_view
ToString(VmState aValue)
{
  switch (aValue) {
    case VmState::Live:
      return "live";
    case VmState::Leaving:
      return "leaving";
  }
  return "unknown";
}

/// Parses the text of a value, as ToString() returns it.
/// @returns the value, or InvalidArgument if no value has this text.
inline absl::StatusOr<VmState>
ParseVmState(std::string_view aText)
{
  if (aText == "live") {
    return VmState::Live;
  }
  if (aText == "leaving") {
    return VmState::Leaving;
  }
  return absl::InvalidArgumentError(
    absl::StrCat("'", std::string(aText), "' is not one of live, leaving"));
}

} // namespace by
