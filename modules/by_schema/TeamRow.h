#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_core/Identifier.h"
#include "by_schema/Resources.h"

namespace by {

/// Row of the table of teams.
class TeamRow
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Identifier of the team.
    TeamId mTeam{};
    /// Purchased share, as a weight relative to the other teams.
    std::int64_t mShare{ 1 };
    /// This node's part of the team's request quota; a very large amount if there is no limit.
    Resources mAllotment{};
    /// Resources that all tasks of the team hold on this node.
    Resources mUsed{};
    /// Resources that the team's requests hold on this node.
    Resources mUsedByRequests{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  TeamRow() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<TeamRow> Create(Fields aFields) { return TeamRow(std::move(aFields)); }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Identifier of the team.
  const TeamId& Team() const { return mFields.mTeam; }
  /// @returns a copy of this value with another Team.
  [[nodiscard]] TeamRow WithTeam(TeamId aValue) const
  {
    auto copy = *this;
    copy.mFields.mTeam = std::move(aValue);
    return copy;
  }

  /// Purchased share, as a weight relative to the other teams.
  std::int64_t Share() const { return mFields.mShare; }
  /// @returns a copy of this value with another Share.
  [[nodiscard]] TeamRow WithShare(std::int64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mShare = std::move(aValue);
    return copy;
  }

  /// This node's part of the team's request quota; a very large amount if there is no limit.
  const Resources& Allotment() const { return mFields.mAllotment; }
  /// @returns a copy of this value with another Allotment.
  [[nodiscard]] TeamRow WithAllotment(Resources aValue) const
  {
    auto copy = *this;
    copy.mFields.mAllotment = std::move(aValue);
    return copy;
  }

  /// Resources that all tasks of the team hold on this node.
  const Resources& Used() const { return mFields.mUsed; }
  /// @returns a copy of this value with another Used.
  [[nodiscard]] TeamRow WithUsed(Resources aValue) const
  {
    auto copy = *this;
    copy.mFields.mUsed = std::move(aValue);
    return copy;
  }

  /// Resources that the team's requests hold on this node.
  const Resources& UsedByRequests() const { return mFields.mUsedByRequests; }
  /// @returns a copy of this value with another UsedByRequests.
  [[nodiscard]] TeamRow WithUsedByRequests(Resources aValue) const
  {
    auto copy = *this;
    copy.mFields.mUsedByRequests = std::move(aValue);
    return copy;
  }

  friend bool operator==(const TeamRow&, const TeamRow&) = default;
  friend auto operator<=>(const TeamRow&, const TeamRow&) = default;

private:
  explicit TeamRow(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
