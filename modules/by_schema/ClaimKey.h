#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_core/Identifier.h"

namespace by {

/// Key under which a non-idempotent request is claimed.
class ClaimKey
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Team that sent the request.
    TeamId mTeam{};
    /// Caller's label for the request.
    std::string mLabel{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  ClaimKey() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<ClaimKey> Create(Fields aFields) { return ClaimKey(std::move(aFields)); }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Team that sent the request.
  const TeamId& Team() const { return mFields.mTeam; }
  /// @returns a copy of this value with another Team.
  [[nodiscard]] ClaimKey WithTeam(TeamId aValue) const
  {
    auto copy = *this;
    copy.mFields.mTeam = std::move(aValue);
    return copy;
  }

  /// Caller's label for the request.
  const std::string& Label() const { return mFields.mLabel; }
  /// @returns a copy of this value with another Label.
  [[nodiscard]] ClaimKey WithLabel(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mLabel = std::move(aValue);
    return copy;
  }

  friend bool operator==(const ClaimKey&, const ClaimKey&) = default;
  friend auto operator<=>(const ClaimKey&, const ClaimKey&) = default;

private:
  explicit ClaimKey(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
