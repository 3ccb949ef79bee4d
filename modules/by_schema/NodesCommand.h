#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

namespace by {

/// Shows the members.
class NodesCommand
{
public:
  /// The fields by name, for Create().
  struct Fields
  {
    /// Whether suspected members are shown.
    bool mAll{ false };

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// The value with every field at its default.
  NodesCommand() = default;

  /// Builds a value from its fields.
  /// @returns the value, or InvalidArgument naming the field that is out of its bounds.
  static absl::StatusOr<NodesCommand> Create(Fields aFields)
  {
    return NodesCommand(std::move(aFields));
  }

  /// Copies the fields, to build a changed value from them.
  Fields ToFields() const { return mFields; }

  /// Whether suspected members are shown.
  bool All() const { return mFields.mAll; }
  /// @returns this value with another All.
  [[nodiscard]] NodesCommand WithAll(bool aValue) const
  {
    auto copy = *this;
    copy.mFields.mAll = std::move(aValue);
    return copy;
  }

  friend bool operator==(const NodesCommand&, const NodesCommand&) = default;
  friend auto operator<=>(const NodesCommand&, const NodesCommand&) = default;

private:
  explicit NodesCommand(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
