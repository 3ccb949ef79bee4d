#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "absl/strings/str_cat.h"

namespace by {

/// How the previous owner of a rack is prevented from acting after its authority has ended.
enum class Fencing : std::uint8_t
{
  Epoch = 0,
  LeaseTimeout = 1,
};

/// Returns the text of a value in settings and messages.
/// @returns the text, or "unknown" if the enum declares no such value.
constexpr std::string_view
ToString(Fencing aValue)
{
  switch (aValue) {
    case Fencing::Epoch:
      return "epoch";
    case Fencing::LeaseTimeout:
      return "lease_timeout";
  }
  return "unknown";
}

/// Parses the text of a value, as ToString() returns it.
/// @returns the value, or InvalidArgument if no value has this text.
inline absl::StatusOr<Fencing>
ParseFencing(std::string_view aText)
{
  if (aText == "epoch") {
    return Fencing::Epoch;
  }
  if (aText == "lease_timeout") {
    return Fencing::LeaseTimeout;
  }
  return absl::InvalidArgumentError(
    absl::StrCat("'", std::string(aText), "' is not one of epoch, lease_timeout"));
}

} // namespace by
