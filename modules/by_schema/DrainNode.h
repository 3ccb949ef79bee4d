#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

namespace by {

/// Starts the planned stop of this node.
class DrainNode
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Operator who requested the stop.
    std::string mOperatorName{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  DrainNode() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<DrainNode> Create(Fields aFields) { return DrainNode(std::move(aFields)); }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Operator who requested the stop.
  const std::string& OperatorName() const { return mFields.mOperatorName; }
  /// @returns a copy of this value with another OperatorName.
  [[nodiscard]] DrainNode WithOperatorName(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mOperatorName = std::move(aValue);
    return copy;
  }

  friend bool operator==(const DrainNode&, const DrainNode&) = default;
  friend auto operator<=>(const DrainNode&, const DrainNode&) = default;

private:
  explicit DrainNode(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
