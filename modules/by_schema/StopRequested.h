#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_core/Time.h"

namespace by {

/// A planned stop of the process was requested.
class StopRequested
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Time until the process must have ended.
    Time mGrace{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  StopRequested() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<StopRequested> Create(Fields aFields)
  {
    return StopRequested(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Time until the process must have ended.
  Time Grace() const { return mFields.mGrace; }
  /// @returns a copy of this value with another Grace.
  [[nodiscard]] StopRequested WithGrace(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mGrace = std::move(aValue);
    return copy;
  }

  friend bool operator==(const StopRequested&, const StopRequested&) = default;
  friend auto operator<=>(const StopRequested&, const StopRequested&) = default;

private:
  explicit StopRequested(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
