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

/// Share and quotas of one team.
class TeamConfig
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Identifier of the team.
    TeamId mTeam{};
    /// Purchased share, as a weight relative to the other teams.
    std::int64_t mShare{ 1 };
    /// Maximum total resources of the tasks of its intents over all VMs; zero means no limit.
    Resources mQuota{};
    /// Maximum total resources of its requests over all VMs; zero means no limit.
    Resources mRequestQuota{};
    /// Bearer token of its callers.
    std::string mToken{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  TeamConfig() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<TeamConfig> Create(Fields aFields);

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Identifier of the team.
  const TeamId& Team() const { return mFields.mTeam; }

  /// Purchased share, as a weight relative to the other teams.
  std::int64_t Share() const { return mFields.mShare; }

  /// Maximum total resources of the tasks of its intents over all VMs; zero means no limit.
  const Resources& Quota() const { return mFields.mQuota; }
  /// @returns a copy of this value with another Quota.
  [[nodiscard]] TeamConfig WithQuota(Resources aValue) const
  {
    auto copy = *this;
    copy.mFields.mQuota = std::move(aValue);
    return copy;
  }

  /// Maximum total resources of its requests over all VMs; zero means no limit.
  const Resources& RequestQuota() const { return mFields.mRequestQuota; }
  /// @returns a copy of this value with another RequestQuota.
  [[nodiscard]] TeamConfig WithRequestQuota(Resources aValue) const
  {
    auto copy = *this;
    copy.mFields.mRequestQuota = std::move(aValue);
    return copy;
  }

  /// Bearer token of its callers.
  const std::string& Token() const { return mFields.mToken; }

  friend bool operator==(const TeamConfig&, const TeamConfig&) = default;
  friend auto operator<=>(const TeamConfig&, const TeamConfig&) = default;

private:
  explicit TeamConfig(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
