#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_core/Time.h"
#include "by_schema/TeamConfig.h"

namespace by {

/// Content of one version of the configuration.
class ConfigDocument
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Shares and quotas of all teams.
    std::vector<TeamConfig> mTeams{};
    /// Placement policy: best_fit or first_fit.
    std::string mPlacementPolicy{ "best_fit" };
    /// Queueing policy: lanes or fifo.
    std::string mQueuePolicy{ "lanes" };
    /// Share of a VM's capacity that is reserved for short work at peak load.
    std::int64_t mShortReservePercent{ 25 };
    /// Work with an estimated run time below this limit is short.
    Time mShortLimit{ Time::FromMilliseconds(2000) };
    /// Maximum number of requests in a node's queue.
    std::int64_t mQueueLimit{ 20000 };

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  ConfigDocument() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<ConfigDocument> Create(Fields aFields);

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Shares and quotas of all teams.
  const std::vector<TeamConfig>& Teams() const { return mFields.mTeams; }
  /// @returns a copy of this value with another Teams.
  [[nodiscard]] ConfigDocument WithTeams(std::vector<TeamConfig> aValue) const
  {
    auto copy = *this;
    copy.mFields.mTeams = std::move(aValue);
    return copy;
  }

  /// Placement policy: best_fit or first_fit.
  const std::string& PlacementPolicy() const { return mFields.mPlacementPolicy; }
  /// @returns a copy of this value with another PlacementPolicy.
  [[nodiscard]] ConfigDocument WithPlacementPolicy(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mPlacementPolicy = std::move(aValue);
    return copy;
  }

  /// Queueing policy: lanes or fifo.
  const std::string& QueuePolicy() const { return mFields.mQueuePolicy; }
  /// @returns a copy of this value with another QueuePolicy.
  [[nodiscard]] ConfigDocument WithQueuePolicy(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mQueuePolicy = std::move(aValue);
    return copy;
  }

  /// Share of a VM's capacity that is reserved for short work at peak load.
  std::int64_t ShortReservePercent() const { return mFields.mShortReservePercent; }

  /// Work with an estimated run time below this limit is short.
  Time ShortLimit() const { return mFields.mShortLimit; }

  /// Maximum number of requests in a node's queue.
  std::int64_t QueueLimit() const { return mFields.mQueueLimit; }

  friend bool operator==(const ConfigDocument&, const ConfigDocument&) = default;
  friend auto operator<=>(const ConfigDocument&, const ConfigDocument&) = default;

private:
  explicit ConfigDocument(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
