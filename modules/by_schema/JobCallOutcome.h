#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "absl/strings/str_cat.h"

namespace by {

/// Outcome of a caller's request.
enum class JobCallOutcome : std::uint8_t
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
  Unauthorized = 10,
  Throttled = 11,
};

/// Returns the text of a value in settings and messages.
/// @returns the text, or "unknown" if the enum declares no such value.
constexpr std::string_view
ToString(JobCallOutcome aValue)
{
  switch (aValue) {
    case JobCallOutcome::Accepted:
      return "accepted";
    case JobCallOutcome::Shown:
      return "shown";
    case JobCallOutcome::Cancelled:
      return "cancelled";
    case JobCallOutcome::Counted:
      return "counted";
    case JobCallOutcome::UnknownJob:
      return "unknown_job";
    case JobCallOutcome::UnknownQueue:
      return "unknown_queue";
    case JobCallOutcome::Refused:
      return "refused";
    case JobCallOutcome::Uncertain:
      return "uncertain";
    case JobCallOutcome::Malformed:
      return "malformed";
    case JobCallOutcome::TooLarge:
      return "too_large";
    case JobCallOutcome::Unauthorized:
      return "unauthorized";
    case JobCallOutcome::Throttled:
      return "throttled";
  }
  return "unknown";
}

/// Parses the text of a value, as ToString() returns it.
/// @returns the value, or InvalidArgument if no value has this text.
inline absl::StatusOr<JobCallOutcome>
ParseJobCallOutcome(std::string_view aText)
{
  if (aText == "accepted") {
    return JobCallOutcome::Accepted;
  }
  if (aText == "shown") {
    return JobCallOutcome::Shown;
  }
  if (aText == "cancelled") {
    return JobCallOutcome::Cancelled;
  }
  if (aText == "counted") {
    return JobCallOutcome::Counted;
  }
  if (aText == "unknown_job") {
    return JobCallOutcome::UnknownJob;
  }
  if (aText == "unknown_queue") {
    return JobCallOutcome::UnknownQueue;
  }
  if (aText == "refused") {
    return JobCallOutcome::Refused;
  }
  if (aText == "uncertain") {
    return JobCallOutcome::Uncertain;
  }
  if (aText == "malformed") {
    return JobCallOutcome::Malformed;
  }
  if (aText == "too_large") {
    return JobCallOutcome::TooLarge;
  }
  if (aText == "unauthorized") {
    return JobCallOutcome::Unauthorized;
  }
  if (aText == "throttled") {
    return JobCallOutcome::Throttled;
  }
  return absl::InvalidArgumentError(
    absl::StrCat("'",
                 std::string(aText),
                 "' is not one of accepted, shown, cancelled, counted, unknown_job, unknown_queue, "
                 "refused, uncertain, malformed, too_large, unauthorized, throttled"));
}

} // namespace by
