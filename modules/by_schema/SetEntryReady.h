#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

namespace by {

/// Sets whether load balancers should route new connections to this node.
class SetEntryReady
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Whether the node accepts new connections.
    bool mReady{ false };

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  SetEntryReady() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<SetEntryReady> Create(Fields aFields)
  {
    return SetEntryReady(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Whether the node accepts new connections.
  bool Ready() const { return mFields.mReady; }
  /// @returns a copy of this value with another Ready.
  [[nodiscard]] SetEntryReady WithReady(bool aValue) const
  {
    auto copy = *this;
    copy.mFields.mReady = std::move(aValue);
    return copy;
  }

  friend bool operator==(const SetEntryReady&, const SetEntryReady&) = default;
  friend auto operator<=>(const SetEntryReady&, const SetEntryReady&) = default;

private:
  explicit SetEntryReady(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
