#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "absl/strings/str_cat.h"

namespace by {

/// What a caller requests of a queue or a job.
enum class JobCallKind : std::uint8_t
{
  Submit = 0,
  Show = 1,
  Cancel = 2,
  Count = 3,
};

/// Returns the text of a value in settings and messages.
/// @returns the text, or "unknown" if the enum declares no such value.
constexpr std::string_view
ToString(JobCallKind aValue)
{
  switch (aValue) {
    case JobCallKind::Submit:
      return "submit";
    case JobCallKind::Show:
      return "show";
    case JobCallKind::Cancel:
      return "cancel";
    case JobCallKind::Count:
      return "count";
  }
  return "unknown";
}

/// Parses the text of a value, as ToString() returns it.
/// @returns the value, or InvalidArgument if no value has this text.
inline absl::StatusOr<JobCallKind>
ParseJobCallKind(std::string_view aText)
{
  if (aText == "submit") {
    return JobCallKind::Submit;
  }
  if (aText == "show") {
    return JobCallKind::Show;
  }
  if (aText == "cancel") {
    return JobCallKind::Cancel;
  }
  if (aText == "count") {
    return JobCallKind::Count;
  }
  return absl::InvalidArgumentError(
    absl::StrCat("'", std::string(aText), "' is not one of submit, show, cancel, count"));
}

} // namespace by
