#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

namespace by {

/// Shows the complete state of this node.
class ShowState
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Whether to truncate long tables.
    bool mBrief{ false };

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  ShowState() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<ShowState> Create(Fields aFields) { return ShowState(std::move(aFields)); }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Whether to truncate long tables.
  bool Brief() const { return mFields.mBrief; }
  /// @returns a copy of this value with another Brief.
  [[nodiscard]] ShowState WithBrief(bool aValue) const
  {
    auto copy = *this;
    copy.mFields.mBrief = std::move(aValue);
    return copy;
  }

  friend bool operator==(const ShowState&, const ShowState&) = default;
  friend auto operator<=>(const ShowState&, const ShowState&) = default;

private:
  explicit ShowState(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
