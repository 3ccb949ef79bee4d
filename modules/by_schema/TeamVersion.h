#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_core/Identifier.h"

namespace by {

/// Version of one team's intents.
class TeamVersion
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Identifier of the team.
    TeamId mTeam{};
    /// Version; increases by one with each confirmed or cancelled intent.
    std::uint64_t mVersion{ 0 };

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  TeamVersion() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<TeamVersion> Create(Fields aFields)
  {
    return TeamVersion(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Identifier of the team.
  const TeamId& Team() const { return mFields.mTeam; }
  /// @returns a copy of this value with another Team.
  [[nodiscard]] TeamVersion WithTeam(TeamId aValue) const
  {
    auto copy = *this;
    copy.mFields.mTeam = std::move(aValue);
    return copy;
  }

  /// Version; increases by one with each confirmed or cancelled intent.
  std::uint64_t Version() const { return mFields.mVersion; }
  /// @returns a copy of this value with another Version.
  [[nodiscard]] TeamVersion WithVersion(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mVersion = std::move(aValue);
    return copy;
  }

  friend bool operator==(const TeamVersion&, const TeamVersion&) = default;
  friend auto operator<=>(const TeamVersion&, const TeamVersion&) = default;

private:
  explicit TeamVersion(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
