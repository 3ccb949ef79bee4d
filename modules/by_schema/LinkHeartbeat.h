#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_core/Time.h"
#include "by_schema/TeamLoad.h"

namespace by {

/// Keepalive on a link, sent in both directions.
class LinkHeartbeat
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Highest epoch that the sender knows.
    std::uint64_t mEpoch{ 0 };
    /// Whether the sender acts as the owner of the cell.
    bool mOwner{ false };
    /// Whether the sender owns the cell and cannot write to the store.
    bool mStoreLost{ false };
    /// Whether the sender owns the cell and is too far behind to take new jobs.
    bool mOverloaded{ false };
    /// The largest processor share of the nodes that are linked to the owner; zero if it is
    /// unknown.
    std::uint32_t mLargestShare{ 0 };
    /// Version of the configuration in force at the sender; zero before its first one with teams.
    std::uint64_t mConfigVersion{ 0 };
    /// From the owner: teams whose submissions nodes forward only in part.
    std::vector<TeamLoad> mTeamLoads{};
    /// Time since that version of the configuration was last confirmed to the sender as the newest
    /// one.
    Time mConfigAge{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  LinkHeartbeat() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<LinkHeartbeat> Create(Fields aFields)
  {
    return LinkHeartbeat(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Highest epoch that the sender knows.
  std::uint64_t Epoch() const { return mFields.mEpoch; }
  /// @returns a copy of this value with another Epoch.
  [[nodiscard]] LinkHeartbeat WithEpoch(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mEpoch = std::move(aValue);
    return copy;
  }

  /// Whether the sender acts as the owner of the cell.
  bool Owner() const { return mFields.mOwner; }
  /// @returns a copy of this value with another Owner.
  [[nodiscard]] LinkHeartbeat WithOwner(bool aValue) const
  {
    auto copy = *this;
    copy.mFields.mOwner = std::move(aValue);
    return copy;
  }

  /// Whether the sender owns the cell and cannot write to the store.
  bool StoreLost() const { return mFields.mStoreLost; }
  /// @returns a copy of this value with another StoreLost.
  [[nodiscard]] LinkHeartbeat WithStoreLost(bool aValue) const
  {
    auto copy = *this;
    copy.mFields.mStoreLost = std::move(aValue);
    return copy;
  }

  /// Whether the sender owns the cell and is too far behind to take new jobs.
  bool Overloaded() const { return mFields.mOverloaded; }
  /// @returns a copy of this value with another Overloaded.
  [[nodiscard]] LinkHeartbeat WithOverloaded(bool aValue) const
  {
    auto copy = *this;
    copy.mFields.mOverloaded = std::move(aValue);
    return copy;
  }

  /// The largest processor share of the nodes that are linked to the owner; zero if it is unknown.
  std::uint32_t LargestShare() const { return mFields.mLargestShare; }
  /// @returns a copy of this value with another LargestShare.
  [[nodiscard]] LinkHeartbeat WithLargestShare(std::uint32_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mLargestShare = std::move(aValue);
    return copy;
  }

  /// Version of the configuration in force at the sender; zero before its first one with teams.
  std::uint64_t ConfigVersion() const { return mFields.mConfigVersion; }
  /// @returns a copy of this value with another ConfigVersion.
  [[nodiscard]] LinkHeartbeat WithConfigVersion(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mConfigVersion = std::move(aValue);
    return copy;
  }

  /// From the owner: teams whose submissions nodes forward only in part.
  const std::vector<TeamLoad>& TeamLoads() const { return mFields.mTeamLoads; }
  /// @returns a copy of this value with another TeamLoads.
  [[nodiscard]] LinkHeartbeat WithTeamLoads(std::vector<TeamLoad> aValue) const
  {
    auto copy = *this;
    copy.mFields.mTeamLoads = std::move(aValue);
    return copy;
  }

  /// Time since that version of the configuration was last confirmed to the sender as the newest
  /// one.
  Time ConfigAge() const { return mFields.mConfigAge; }
  /// @returns a copy of this value with another ConfigAge.
  [[nodiscard]] LinkHeartbeat WithConfigAge(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mConfigAge = std::move(aValue);
    return copy;
  }

  friend bool operator==(const LinkHeartbeat&, const LinkHeartbeat&) = default;
  friend auto operator<=>(const LinkHeartbeat&, const LinkHeartbeat&) = default;

private:
  explicit LinkHeartbeat(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
