#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "absl/strings/str_cat.h"

namespace by {

/// How a request relates to the claim on its team and label.
enum class ClaimVerdict : std::uint8_t
{
  Free = 0,
  Held = 1,
  Taken = 2,
  LabelReused = 3,
};

/// Returns the text of a value in settings and messages.
/// @returns the text, or "unknown" if the enum declares no such value.
constexpr std::string_view
ToString(ClaimVerdict aValue)
{
  switch (aValue) {
    case ClaimVerdict::Free:
      return "free";
    case ClaimVerdict::Held:
      return "held";
    case ClaimVerdict::Taken:
      return "taken";
    case ClaimVerdict::LabelReused:
      return "label_reused";
  }
  return "unknown";
}

/// Parses the text of a value, as ToString() returns it.
/// @returns the value, or InvalidArgument if no value has this text.
inline absl::StatusOr<ClaimVerdict>
ParseClaimVerdict(std::string_view aText)
{
  if (aText == "free") {
    return ClaimVerdict::Free;
  }
  if (aText == "held") {
    return ClaimVerdict::Held;
  }
  if (aText == "taken") {
    return ClaimVerdict::Taken;
  }
  if (aText == "label_reused") {
    return ClaimVerdict::LabelReused;
  }
  return absl::InvalidArgumentError(
    absl::StrCat("'", std::string(aText), "' is not one of free, held, taken, label_reused"));
}

} // namespace by
