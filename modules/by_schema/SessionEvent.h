#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>
#include <variant>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_core/Time.h"
#include "by_schema/NodeEvent.h"
#include "by_schema/SessionChange.h"

namespace by {

/// An event at a given time.
class SessionEvent
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// When the event happens.
    Time mAt{};
    /// Node or VM that the event concerns; empty for the log.
    std::string mTarget{};
    /// The event.
    std::variant<NodeEvent, SessionChange> mBody{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  SessionEvent() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<SessionEvent> Create(Fields aFields);

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// When the event happens.
  Time At() const { return mFields.mAt; }

  /// Node or VM that the event concerns; empty for the log.
  const std::string& Target() const { return mFields.mTarget; }
  /// @returns a copy of this value with another Target.
  [[nodiscard]] SessionEvent WithTarget(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mTarget = std::move(aValue);
    return copy;
  }

  /// The event.
  const std::variant<NodeEvent, SessionChange>& Body() const { return mFields.mBody; }
  /// @returns a copy of this value with another Body.
  [[nodiscard]] SessionEvent WithBody(std::variant<NodeEvent, SessionChange> aValue) const
  {
    auto copy = *this;
    copy.mFields.mBody = std::move(aValue);
    return copy;
  }

  friend bool operator==(const SessionEvent&, const SessionEvent&) = default;
  friend auto operator<=>(const SessionEvent&, const SessionEvent&) = default;

private:
  explicit SessionEvent(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
