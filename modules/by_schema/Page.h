#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "absl/strings/str_cat.h"

namespace by {

/// Pages that the HTTP interface serves without the control thread.
enum class Page : std::uint8_t
{
  Metrics = 0,
  Health = 1,
  Readiness = 2,
};

/// Returns the text of a value in settings and messages.
/// @returns the text, or "unknown" if the enum declares no such value.
constexpr std::string_view
ToString(Page aValue)
{
  switch (aValue) {
    case Page::Metrics:
      return "metrics";
    case Page::Health:
      return "health";
    case Page::Readiness:
      return "readiness";
  }
  return "unknown";
}

/// Parses the text of a value, as ToString() returns it.
/// @returns the value, or InvalidArgument if no value has this text.
inline absl::StatusOr<Page>
ParsePage(std::string_view aText)
{
  if (aText == "metrics") {
    return Page::Metrics;
  }
  if (aText == "health") {
    return Page::Health;
  }
  if (aText == "readiness") {
    return Page::Readiness;
  }
  return absl::InvalidArgumentError(
    absl::StrCat("'", std::string(aText), "' is not one of metrics, health, readiness"));
}

} // namespace by
