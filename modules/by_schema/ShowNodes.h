#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

namespace by {

/// Shows the entry nodes with their versions.
class ShowNodes
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Whether to include suspected nodes.
    bool mAll{ false };

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  ShowNodes() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<ShowNodes> Create(Fields aFields) { return ShowNodes(std::move(aFields)); }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Whether to include suspected nodes.
  bool All() const { return mFields.mAll; }
  /// @returns a copy of this value with another All.
  [[nodiscard]] ShowNodes WithAll(bool aValue) const
  {
    auto copy = *this;
    copy.mFields.mAll = std::move(aValue);
    return copy;
  }

  friend bool operator==(const ShowNodes&, const ShowNodes&) = default;
  friend auto operator<=>(const ShowNodes&, const ShowNodes&) = default;

private:
  explicit ShowNodes(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
