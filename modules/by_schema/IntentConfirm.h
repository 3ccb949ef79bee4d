#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_core/Identifier.h"

namespace by {

/// Confirms a plan that the log holds; valid only while the plan's base version is current for the
/// team.
class IntentConfirm
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Identifier of the planned intent.
    IntentId mIntent{};
    /// Team that owns the intent.
    TeamId mTeam{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  IntentConfirm() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<IntentConfirm> Create(Fields aFields)
  {
    return IntentConfirm(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Identifier of the planned intent.
  const IntentId& Intent() const { return mFields.mIntent; }
  /// @returns a copy of this value with another Intent.
  [[nodiscard]] IntentConfirm WithIntent(IntentId aValue) const
  {
    auto copy = *this;
    copy.mFields.mIntent = std::move(aValue);
    return copy;
  }

  /// Team that owns the intent.
  const TeamId& Team() const { return mFields.mTeam; }
  /// @returns a copy of this value with another Team.
  [[nodiscard]] IntentConfirm WithTeam(TeamId aValue) const
  {
    auto copy = *this;
    copy.mFields.mTeam = std::move(aValue);
    return copy;
  }

  friend bool operator==(const IntentConfirm&, const IntentConfirm&) = default;
  friend auto operator<=>(const IntentConfirm&, const IntentConfirm&) = default;

private:
  explicit IntentConfirm(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
