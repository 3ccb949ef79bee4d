#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_core/Identifier.h"

namespace by {

/// Bearer token of one team.
class TeamToken
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Identifier of the team.
    TeamId mTeam{};
    /// The token.
    std::string mToken{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  TeamToken() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<TeamToken> Create(Fields aFields) { return TeamToken(std::move(aFields)); }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Identifier of the team.
  const TeamId& Team() const { return mFields.mTeam; }
  /// @returns a copy of this value with another Team.
  [[nodiscard]] TeamToken WithTeam(TeamId aValue) const
  {
    auto copy = *this;
    copy.mFields.mTeam = std::move(aValue);
    return copy;
  }

  /// The token.
  const std::string& Token() const { return mFields.mToken; }
  /// @returns a copy of this value with another Token.
  [[nodiscard]] TeamToken WithToken(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mToken = std::move(aValue);
    return copy;
  }

  friend bool operator==(const TeamToken&, const TeamToken&) = default;
  friend auto operator<=>(const TeamToken&, const TeamToken&) = default;

private:
  explicit TeamToken(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
