#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

namespace by {

/// Shows the teams of the configuration in force, from the metrics of a node.
class TeamsCommand
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Team to show; empty for all.
    std::string mTeam{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  TeamsCommand() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<TeamsCommand> Create(Fields aFields)
  {
    return TeamsCommand(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Team to show; empty for all.
  const std::string& Team() const { return mFields.mTeam; }
  /// @returns a copy of this value with another Team.
  [[nodiscard]] TeamsCommand WithTeam(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mTeam = std::move(aValue);
    return copy;
  }

  friend bool operator==(const TeamsCommand&, const TeamsCommand&) = default;
  friend auto operator<=>(const TeamsCommand&, const TeamsCommand&) = default;

private:
  explicit TeamsCommand(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
