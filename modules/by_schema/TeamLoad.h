#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_core/Identifier.h"

namespace by {

/// How much of a team's new submissions nodes forward to the owner; of the rest they tell the
/// callers to come back.
class TeamLoad
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Identifier of the team.
    TeamId mTeam{};
    /// Share of its submissions that nodes forward.
    std::int64_t mAdmittedPermille{ 1000 };

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  TeamLoad() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<TeamLoad> Create(Fields aFields);

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Identifier of the team.
  const TeamId& Team() const { return mFields.mTeam; }
  /// @returns a copy of this value with another Team.
  [[nodiscard]] TeamLoad WithTeam(TeamId aValue) const
  {
    auto copy = *this;
    copy.mFields.mTeam = std::move(aValue);
    return copy;
  }

  /// Share of its submissions that nodes forward.
  std::int64_t AdmittedPermille() const { return mFields.mAdmittedPermille; }

  friend bool operator==(const TeamLoad&, const TeamLoad&) = default;
  friend auto operator<=>(const TeamLoad&, const TeamLoad&) = default;

private:
  explicit TeamLoad(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
