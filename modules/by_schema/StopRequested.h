#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_core/Time.h"

namespace by {

/// A planned stop was asked for.
class StopRequested
{
public:
  /// The fields by name, for Create().
  struct Fields
  {
    /// How long the process may take.
    Time mGrace{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// The value with every field at its default.
  StopRequested() = default;

  /// Builds a value from its fields.
  /// @returns the value, or InvalidArgument naming the field that is out of its bounds.
  static absl::StatusOr<StopRequested> Create(Fields aFields)
  {
    return StopRequested(std::move(aFields));
  }

  /// Copies the fields, to build a changed value from them.
  Fields ToFields() const { return mFields; }

  /// How long the process may take.
  Time Grace() const { return mFields.mGrace; }
  /// @returns this value with another Grace.
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
