#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "absl/strings/str_cat.h"

namespace by {

/// Why a request was refused, or why its outcome is unknown.
enum class Reason : std::uint8_t
{
  None = 0,
  NeverFits = 1,
  MaxWaitExceeded = 2,
  QueueFull = 3,
  Quota = 4,
  LogUnavailable = 5,
  NotReady = 6,
  Cancelled = 7,
  Lost = 8,
  Refused = 9,
  LabelReused = 10,
  TooOld = 11,
  Invalid = 12,
  TaskFailed = 13,
};

/// Returns the text of a value in settings and messages.
/// @returns the text, or "unknown" if the enum declares no such value.
constexpr std::string_view
ToString(Reason aValue)
{
  switch (aValue) {
    case Reason::None:
      return "none";
    case Reason::NeverFits:
      return "never_fits";
    case Reason::MaxWaitExceeded:
      return "patience";
    case Reason::QueueFull:
      return "queue_full";
    case Reason::Quota:
      return "quota";
    case Reason::LogUnavailable:
      return "log_unavailable";
    case Reason::NotReady:
      return "not_ready";
    case Reason::Cancelled:
      return "cancelled";
    case Reason::Lost:
      return "lost";
    case Reason::Refused:
      return "refused";
    case Reason::LabelReused:
      return "label_reused";
    case Reason::TooOld:
      return "too_old";
    case Reason::Invalid:
      return "invalid";
    case Reason::TaskFailed:
      return "task_failed";
  }
  return "unknown";
}

/// Parses the text of a value, as ToString() returns it.
/// @returns the value, or InvalidArgument if no value has this text.
inline absl::StatusOr<Reason>
ParseReason(std::string_view aText)
{
  if (aText == "none") {
    return Reason::None;
  }
  if (aText == "never_fits") {
    return Reason::NeverFits;
  }
  if (aText == "patience") {
    return Reason::MaxWaitExceeded;
  }
  if (aText == "queue_full") {
    return Reason::QueueFull;
  }
  if (aText == "quota") {
    return Reason::Quota;
  }
  if (aText == "log_unavailable") {
    return Reason::LogUnavailable;
  }
  if (aText == "not_ready") {
    return Reason::NotReady;
  }
  if (aText == "cancelled") {
    return Reason::Cancelled;
  }
  if (aText == "lost") {
    return Reason::Lost;
  }
  if (aText == "refused") {
    return Reason::Refused;
  }
  if (aText == "label_reused") {
    return Reason::LabelReused;
  }
  if (aText == "too_old") {
    return Reason::TooOld;
  }
  if (aText == "invalid") {
    return Reason::Invalid;
  }
  if (aText == "task_failed") {
    return Reason::TaskFailed;
  }
  return absl::InvalidArgumentError(absl::StrCat(
    "'",
    std::string(aText),
    "' is not one of none, never_fits, patience, queue_full, quota, log_unavailable, not_ready, "
    "cancelled, lost, refused, label_reused, too_old, invalid, task_failed"));
}

} // namespace by
