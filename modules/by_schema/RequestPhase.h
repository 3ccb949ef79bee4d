#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "absl/strings/str_cat.h"

namespace by {

/// Phase of a request between its arrival and its one answer.
enum class RequestPhase : std::uint8_t
{
  Claiming = 0,
  Querying = 1,
  Queued = 2,
  Forwarded = 3,
  Running = 4,
};

/// Returns the text of a value in settings and messages.
/// @returns the text, or "unknown" if the enum declares no such value.
constexpr std::string_view
ToString(RequestPhase aValue)
{
  switch (aValue) {
    case RequestPhase::Claiming:
      return "claiming";
    case RequestPhase::Querying:
      return "querying";
    case RequestPhase::Queued:
      return "queued";
    case RequestPhase::Forwarded:
      return "forwarded";
    case RequestPhase::Running:
      return "running";
  }
  return "unknown";
}

/// Parses the text of a value, as ToString() returns it.
/// @returns the value, or InvalidArgument if no value has this text.
inline absl::StatusOr<RequestPhase>
ParseRequestPhase(std::string_view aText)
{
  if (aText == "claiming") {
    return RequestPhase::Claiming;
  }
  if (aText == "querying") {
    return RequestPhase::Querying;
  }
  if (aText == "queued") {
    return RequestPhase::Queued;
  }
  if (aText == "forwarded") {
    return RequestPhase::Forwarded;
  }
  if (aText == "running") {
    return RequestPhase::Running;
  }
  return absl::InvalidArgumentError(absl::StrCat(
    "'", std::string(aText), "' is not one of claiming, querying, queued, forwarded, running"));
}

} // namespace by
