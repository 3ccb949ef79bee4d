#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_core/Identifier.h"

namespace by {

/// Lists intents without their tasks.
class ListIntents
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Team whose intents are listed; empty for all that the caller may see.
    TeamId mTeam{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  ListIntents() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<ListIntents> Create(Fields aFields)
  {
    return ListIntents(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Team whose intents are listed; empty for all that the caller may see.
  const TeamId& Team() const { return mFields.mTeam; }
  /// @returns a copy of this value with another Team.
  [[nodiscard]] ListIntents WithTeam(TeamId aValue) const
  {
    auto copy = *this;
    copy.mFields.mTeam = std::move(aValue);
    return copy;
  }

  friend bool operator==(const ListIntents&, const ListIntents&) = default;
  friend auto operator<=>(const ListIntents&, const ListIntents&) = default;

private:
  explicit ListIntents(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
