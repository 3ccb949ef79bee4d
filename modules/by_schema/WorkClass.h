#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "absl/strings/str_cat.h"

namespace by {

/// Class of work that a task belongs to.
enum class WorkClass : std::uint8_t
{
  Request = 0,
  Service = 1,
  Batch = 2,
  Gang = 3,
};

/// Returns the text of a value in settings and messages.
/// @returns the text, or "unknown" if the enum declares no such value.
constexpr std::string_view
ToString(WorkClass aValue)
{
  switch (aValue) {
    case WorkClass::Request:
      return "request";
    case WorkClass::Service:
      return "service";
    case WorkClass::Batch:
      return "batch";
    case WorkClass::Gang:
      return "gang";
  }
  return "unknown";
}

/// Parses the text of a value, as ToString() returns it.
/// @returns the value, or InvalidArgument if no value has this text.
inline absl::StatusOr<WorkClass>
ParseWorkClass(std::string_view aText)
{
  if (aText == "request") {
    return WorkClass::Request;
  }
  if (aText == "service") {
    return WorkClass::Service;
  }
  if (aText == "batch") {
    return WorkClass::Batch;
  }
  if (aText == "gang") {
    return WorkClass::Gang;
  }
  return absl::InvalidArgumentError(
    absl::StrCat("'", std::string(aText), "' is not one of request, service, batch, gang"));
}

} // namespace by
