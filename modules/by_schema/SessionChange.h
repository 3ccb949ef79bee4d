#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_schema/SessionFault.h"

namespace by {

/// A change of a node's environment.
class SessionChange
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Fault that is injected.
    SessionFault mFault{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  SessionChange() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<SessionChange> Create(Fields aFields)
  {
    return SessionChange(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Fault that is injected.
  SessionFault Fault() const { return mFields.mFault; }
  /// @returns a copy of this value with another Fault.
  [[nodiscard]] SessionChange WithFault(SessionFault aValue) const
  {
    auto copy = *this;
    copy.mFields.mFault = std::move(aValue);
    return copy;
  }

  friend bool operator==(const SessionChange&, const SessionChange&) = default;
  friend auto operator<=>(const SessionChange&, const SessionChange&) = default;

private:
  explicit SessionChange(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
