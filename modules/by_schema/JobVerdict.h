#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "absl/strings/str_cat.h"

namespace by {

/// What a caller's request came to.
enum class JobVerdict : std::uint8_t
{
  Accepted = 0,
  Shown = 1,
  Cancelled = 2,
  Counted = 3,
  UnknownJob = 4,
  UnknownQueue = 5,
  Refused = 6,
  Uncertain = 7,
  Malformed = 8,
  TooLarge = 9,
};

/// Names a value as it stands in settings and messages.
/// @returns the name in lower case, or "unknown".
constexpr std::string_view
ToString(JobVerdict aValue)
{
  switch (aValue) {
    case JobVerdict::Accepted:
      return "accepted";
    case JobVerdict::Shown:
      return "shown";
    case JobVerdict::Cancelled:
      return "cancelled";
    case JobVerdict::Counted:
      return "counted";
    case JobVerdict::UnknownJob:
      return "unknown_job";
    case JobVerdict::UnknownQueue:
      return "unknown_queue";
    case JobVerdict::Refused:
      return "refused";
    case JobVerdict::Uncertain:
      return "uncertain";
    case JobVerdict::Malformed:
      return "malformed";
    case JobVerdict::TooLarge:
      return "too_large";
  }
  return "unknown";
}

/// Reads a value from its name.
/// @returns the value, or InvalidArgument for a name that is not one.
inline absl::StatusOr<JobVerdict>
ParseJobVerdict(std::string_view aText)
{
  if (aText == "accepted") {
    return JobVerdict::Accepted;
  }
  if (aText == "shown") {
    return JobVerdict::Shown;
  }
  if (aText == "cancelled") {
    return JobVerdict::Cancelled;
  }
  if (aText == "counted") {
    return JobVerdict::Counted;
  }
  if (aText == "unknown_job") {
    return JobVerdict::UnknownJob;
  }
  if (aText == "unknown_queue") {
    return JobVerdict::UnknownQueue;
  }
  if (aText == "refused") {
    return JobVerdict::Refused;
  }
  if (aText == "uncertain") {
    return JobVerdict::Uncertain;
  }
  if (aText == "malformed") {
    return JobVerdict::Malformed;
  }
  if (aText == "too_large") {
    return JobVerdict::TooLarge;
  }
  return absl::InvalidArgumentError(
    absl::StrCat("'",
                 std::string(aText),
                 "' is not one of accepted, shown, cancelled, counted, unknown_job, unknown_queue, "
                 "refused, uncertain, malformed, too_large"));
}

} // namespace by
