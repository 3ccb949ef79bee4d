#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

namespace by {

/// Sets whether the node accepts new work.
class SetReady
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Whether it accepts new work.
    bool mReady{ false };
    /// Whether the node is stopping, so that it accepts no new connections.
    bool mStopping{ false };

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  SetReady() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<SetReady> Create(Fields aFields) { return SetReady(std::move(aFields)); }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Whether it accepts new work.
  bool Ready() const { return mFields.mReady; }
  /// @returns a copy of this value with another Ready.
  [[nodiscard]] SetReady WithReady(bool aValue) const
  {
    auto copy = *this;
    copy.mFields.mReady = std::move(aValue);
    return copy;
  }

  /// Whether the node is stopping, so that it accepts no new connections.
  bool Stopping() const { return mFields.mStopping; }
  /// @returns a copy of this value with another Stopping.
  [[nodiscard]] SetReady WithStopping(bool aValue) const
  {
    auto copy = *this;
    copy.mFields.mStopping = std::move(aValue);
    return copy;
  }

  friend bool operator==(const SetReady&, const SetReady&) = default;
  friend auto operator<=>(const SetReady&, const SetReady&) = default;

private:
  explicit SetReady(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
