#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_core/Identifier.h"
#include "by_schema/Resources.h"

namespace by {

/// Policy of one team.
class TeamPolicy
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Identifier of the team.
    TeamId mName{};
    /// Keys of its callers.
    std::vector<std::string> mKeys{};
    /// Share of the team relative to the other teams when capacity is short; also the number of
    /// jobs that it may submit each second.
    std::int64_t mWeight{ 1 };
    /// Maximum total resources of its tasks over all workers; an amount of zero is no limit.
    Resources mQuota{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  TeamPolicy() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<TeamPolicy> Create(Fields aFields)
  {
    return TeamPolicy(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Identifier of the team.
  const TeamId& Name() const { return mFields.mName; }
  /// @returns a copy of this value with another Name.
  [[nodiscard]] TeamPolicy WithName(TeamId aValue) const
  {
    auto copy = *this;
    copy.mFields.mName = std::move(aValue);
    return copy;
  }

  /// Keys of its callers.
  const std::vector<std::string>& Keys() const { return mFields.mKeys; }
  /// @returns a copy of this value with another Keys.
  [[nodiscard]] TeamPolicy WithKeys(std::vector<std::string> aValue) const
  {
    auto copy = *this;
    copy.mFields.mKeys = std::move(aValue);
    return copy;
  }

  /// Share of the team relative to the other teams when capacity is short; also the number of jobs
  /// that it may submit each second.
  std::int64_t Weight() const { return mFields.mWeight; }
  /// @returns a copy of this value with another Weight.
  [[nodiscard]] TeamPolicy WithWeight(std::int64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mWeight = std::move(aValue);
    return copy;
  }

  /// Maximum total resources of its tasks over all workers; an amount of zero is no limit.
  const Resources& Quota() const { return mFields.mQuota; }
  /// @returns a copy of this value with another Quota.
  [[nodiscard]] TeamPolicy WithQuota(Resources aValue) const
  {
    auto copy = *this;
    copy.mFields.mQuota = std::move(aValue);
    return copy;
  }

  friend bool operator==(const TeamPolicy&, const TeamPolicy&) = default;
  friend auto operator<=>(const TeamPolicy&, const TeamPolicy&) = default;

private:
  explicit TeamPolicy(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
