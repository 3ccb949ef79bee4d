#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "absl/strings/str_cat.h"

namespace by {

/// Outcome of a call to the store.
enum class StoreOutcome : std::uint8_t
{
  Done = 0,
  Conflict = 1,
  Fenced = 2,
  Refused = 3,
  Unanswered = 4,
};

/// Returns the text of a value in settings and messages.
/// @returns the text, or "unknown" if the enum declares no such value.
constexpr std::string_view
ToString(StoreOutcome aValue)
{
  switch (aValue) {
    case StoreOutcome::Done:
      return "done";
    case StoreOutcome::Conflict:
      return "conflict";
    case StoreOutcome::Fenced:
      return "fenced";
    case StoreOutcome::Refused:
      return "refused";
    case StoreOutcome::Unanswered:
      return "unanswered";
  }
  return "unknown";
}

/// Parses the text of a value, as ToString() returns it.
/// @returns the value, or InvalidArgument if no value has this text.
inline absl::StatusOr<StoreOutcome>
ParseStoreOutcome(std::string_view aText)
{
  if (aText == "done") {
    return StoreOutcome::Done;
  }
  if (aText == "conflict") {
    return StoreOutcome::Conflict;
  }
  if (aText == "fenced") {
    return StoreOutcome::Fenced;
  }
  if (aText == "refused") {
    return StoreOutcome::Refused;
  }
  if (aText == "unanswered") {
    return StoreOutcome::Unanswered;
  }
  return absl::InvalidArgumentError(absl::StrCat(
    "'", std::string(aText), "' is not one of done, conflict, fenced, refused, unanswered"));
}

} // namespace by
