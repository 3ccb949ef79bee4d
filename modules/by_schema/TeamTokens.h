#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_schema/TeamToken.h"

namespace by {

/// Bearer tokens of all teams in the configuration in force.
class TeamTokens
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// The tokens.
    std::vector<TeamToken> mTokens{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  TeamTokens() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<TeamTokens> Create(Fields aFields)
  {
    return TeamTokens(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// The tokens.
  const std::vector<TeamToken>& Tokens() const { return mFields.mTokens; }
  /// @returns a copy of this value with another Tokens.
  [[nodiscard]] TeamTokens WithTokens(std::vector<TeamToken> aValue) const
  {
    auto copy = *this;
    copy.mFields.mTokens = std::move(aValue);
    return copy;
  }

  friend bool operator==(const TeamTokens&, const TeamTokens&) = default;
  friend auto operator<=>(const TeamTokens&, const TeamTokens&) = default;

private:
  explicit TeamTokens(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
