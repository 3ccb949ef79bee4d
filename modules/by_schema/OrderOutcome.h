#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "absl/strings/str_cat.h"

namespace by {

/// Outcome of an order to a worker.
enum class OrderOutcome : std::uint8_t
{
  Accepted = 0,
  Fenced = 1,
  Obsolete = 2,
  LeaseExpired = 3,
  NoCapacity = 4,
  NoTicket = 5,
  Unhealthy = 6,
  Malformed = 7,
  WrongWorker = 8,
  NotSent = 9,
  Unanswered = 10,
  OtherProcess = 11,
};

/// Returns the text of a value in settings and messages.
/// @returns the text, or "unknown" if the enum declares no such value.
constexpr std::string_view
ToString(OrderOutcome aValue)
{
  switch (aValue) {
    case OrderOutcome::Accepted:
      return "accepted";
    case OrderOutcome::Fenced:
      return "fenced";
    case OrderOutcome::Obsolete:
      return "obsolete";
    case OrderOutcome::LeaseExpired:
      return "late";
    case OrderOutcome::NoCapacity:
      return "no_room";
    case OrderOutcome::NoTicket:
      return "no_ticket";
    case OrderOutcome::Unhealthy:
      return "unhealthy";
    case OrderOutcome::Malformed:
      return "malformed";
    case OrderOutcome::WrongWorker:
      return "wrong_worker";
    case OrderOutcome::NotSent:
      return "not_sent";
    case OrderOutcome::Unanswered:
      return "unanswered";
    case OrderOutcome::OtherProcess:
      return "other_process";
  }
  return "unknown";
}

/// Parses the text of a value, as ToString() returns it.
/// @returns the value, or InvalidArgument if no value has this text.
inline absl::StatusOr<OrderOutcome>
ParseOrderOutcome(std::string_view aText)
{
  if (aText == "accepted") {
    return OrderOutcome::Accepted;
  }
  if (aText == "fenced") {
    return OrderOutcome::Fenced;
  }
  if (aText == "obsolete") {
    return OrderOutcome::Obsolete;
  }
  if (aText == "late") {
    return OrderOutcome::LeaseExpired;
  }
  if (aText == "no_room") {
    return OrderOutcome::NoCapacity;
  }
  if (aText == "no_ticket") {
    return OrderOutcome::NoTicket;
  }
  if (aText == "unhealthy") {
    return OrderOutcome::Unhealthy;
  }
  if (aText == "malformed") {
    return OrderOutcome::Malformed;
  }
  if (aText == "wrong_worker") {
    return OrderOutcome::WrongWorker;
  }
  if (aText == "not_sent") {
    return OrderOutcome::NotSent;
  }
  if (aText == "unanswered") {
    return OrderOutcome::Unanswered;
  }
  if (aText == "other_process") {
    return OrderOutcome::OtherProcess;
  }
  return absl::InvalidArgumentError(
    absl::StrCat("'",
                 std::string(aText),
                 "' is not one of accepted, fenced, obsolete, late, no_room, no_ticket, unhealthy, "
                 "malformed, wrong_worker, not_sent, unanswered, other_process"));
}

} // namespace by
