#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_core/Identifier.h"
#include "by_core/Time.h"
#include "by_schema/ClaimRow.h"
#include "by_schema/ConfigRow.h"
#include "by_schema/IntentRow.h"
#include "by_schema/RackOwner.h"
#include "by_schema/TeamVersion.h"

namespace by {

/// Rows of the folded state: all of them, or one piece of a snapshot.
class LogStateImage
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Owners of racks.
    std::vector<RackOwner> mOwners{};
    /// Claims of non-idempotent requests.
    std::vector<ClaimRow> mClaims{};
    /// Configuration in force.
    ConfigRow mConfig{};
    /// Intents.
    std::vector<IntentRow> mIntents{};
    /// Versions of the teams' intents.
    std::vector<TeamVersion> mTeamVersions{};
    /// Identifiers of records that may still be appended a second time, in log order.
    std::vector<RecordId> mRecentRecords{};
    /// Latest time of a folded record.
    Time mLogTime{};
    /// Log time of the newest complete snapshot in the log.
    Time mSnapshotTime{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  LogStateImage() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<LogStateImage> Create(Fields aFields)
  {
    return LogStateImage(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Owners of racks.
  const std::vector<RackOwner>& Owners() const { return mFields.mOwners; }
  /// @returns a copy of this value with another Owners.
  [[nodiscard]] LogStateImage WithOwners(std::vector<RackOwner> aValue) const
  {
    auto copy = *this;
    copy.mFields.mOwners = std::move(aValue);
    return copy;
  }

  /// Claims of non-idempotent requests.
  const std::vector<ClaimRow>& Claims() const { return mFields.mClaims; }
  /// @returns a copy of this value with another Claims.
  [[nodiscard]] LogStateImage WithClaims(std::vector<ClaimRow> aValue) const
  {
    auto copy = *this;
    copy.mFields.mClaims = std::move(aValue);
    return copy;
  }

  /// Configuration in force.
  const ConfigRow& Config() const { return mFields.mConfig; }
  /// @returns a copy of this value with another Config.
  [[nodiscard]] LogStateImage WithConfig(ConfigRow aValue) const
  {
    auto copy = *this;
    copy.mFields.mConfig = std::move(aValue);
    return copy;
  }

  /// Intents.
  const std::vector<IntentRow>& Intents() const { return mFields.mIntents; }
  /// @returns a copy of this value with another Intents.
  [[nodiscard]] LogStateImage WithIntents(std::vector<IntentRow> aValue) const
  {
    auto copy = *this;
    copy.mFields.mIntents = std::move(aValue);
    return copy;
  }

  /// Versions of the teams' intents.
  const std::vector<TeamVersion>& TeamVersions() const { return mFields.mTeamVersions; }
  /// @returns a copy of this value with another TeamVersions.
  [[nodiscard]] LogStateImage WithTeamVersions(std::vector<TeamVersion> aValue) const
  {
    auto copy = *this;
    copy.mFields.mTeamVersions = std::move(aValue);
    return copy;
  }

  /// Identifiers of records that may still be appended a second time, in log order.
  const std::vector<RecordId>& RecentRecords() const { return mFields.mRecentRecords; }
  /// @returns a copy of this value with another RecentRecords.
  [[nodiscard]] LogStateImage WithRecentRecords(std::vector<RecordId> aValue) const
  {
    auto copy = *this;
    copy.mFields.mRecentRecords = std::move(aValue);
    return copy;
  }

  /// Latest time of a folded record.
  Time LogTime() const { return mFields.mLogTime; }
  /// @returns a copy of this value with another LogTime.
  [[nodiscard]] LogStateImage WithLogTime(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mLogTime = std::move(aValue);
    return copy;
  }

  /// Log time of the newest complete snapshot in the log.
  Time SnapshotTime() const { return mFields.mSnapshotTime; }
  /// @returns a copy of this value with another SnapshotTime.
  [[nodiscard]] LogStateImage WithSnapshotTime(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mSnapshotTime = std::move(aValue);
    return copy;
  }

  friend bool operator==(const LogStateImage&, const LogStateImage&) = default;
  friend auto operator<=>(const LogStateImage&, const LogStateImage&) = default;

private:
  explicit LogStateImage(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
