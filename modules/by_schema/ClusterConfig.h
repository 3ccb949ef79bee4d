#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_schema/ConnectionLimits.h"
#include "by_schema/PoolPolicy.h"
#include "by_schema/QueueAddress.h"
#include "by_schema/QueuePolicy.h"
#include "by_schema/TeamPolicy.h"

namespace by {

/// Cluster configuration that operators publish.
class ClusterConfig
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Version of the configuration; a higher one is newer.
    std::uint64_t mVersion{ 0 };
    /// Policies of all queues.
    std::vector<QueuePolicy> mQueues{};
    /// Policies of all pools.
    std::vector<PoolPolicy> mPools{};
    /// Largest accepted body of a caller's request.
    std::int64_t mBodyLimit{ 0 };
    /// Policies of all teams; without any, callers need no keys.
    std::vector<TeamPolicy> mTeams{};
    /// Limits of the connections of callers.
    by::ConnectionLimits mConnectionLimits{};
    /// Queues whose callers need no key. Not part of QueuePolicy, since stored jobs contain one and
    /// nodes of an earlier version read them.
    std::vector<QueueAddress> mOpenQueues{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  ClusterConfig() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<ClusterConfig> Create(Fields aFields)
  {
    return ClusterConfig(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Version of the configuration; a higher one is newer.
  std::uint64_t Version() const { return mFields.mVersion; }
  /// @returns a copy of this value with another Version.
  [[nodiscard]] ClusterConfig WithVersion(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mVersion = std::move(aValue);
    return copy;
  }

  /// Policies of all queues.
  const std::vector<QueuePolicy>& Queues() const { return mFields.mQueues; }
  /// @returns a copy of this value with another Queues.
  [[nodiscard]] ClusterConfig WithQueues(std::vector<QueuePolicy> aValue) const
  {
    auto copy = *this;
    copy.mFields.mQueues = std::move(aValue);
    return copy;
  }

  /// Policies of all pools.
  const std::vector<PoolPolicy>& Pools() const { return mFields.mPools; }
  /// @returns a copy of this value with another Pools.
  [[nodiscard]] ClusterConfig WithPools(std::vector<PoolPolicy> aValue) const
  {
    auto copy = *this;
    copy.mFields.mPools = std::move(aValue);
    return copy;
  }

  /// Largest accepted body of a caller's request.
  std::int64_t BodyLimit() const { return mFields.mBodyLimit; }
  /// @returns a copy of this value with another BodyLimit.
  [[nodiscard]] ClusterConfig WithBodyLimit(std::int64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mBodyLimit = std::move(aValue);
    return copy;
  }

  /// Policies of all teams; without any, callers need no keys.
  const std::vector<TeamPolicy>& Teams() const { return mFields.mTeams; }
  /// @returns a copy of this value with another Teams.
  [[nodiscard]] ClusterConfig WithTeams(std::vector<TeamPolicy> aValue) const
  {
    auto copy = *this;
    copy.mFields.mTeams = std::move(aValue);
    return copy;
  }

  /// Limits of the connections of callers.
  const by::ConnectionLimits& ConnectionLimits() const { return mFields.mConnectionLimits; }
  /// @returns a copy of this value with another ConnectionLimits.
  [[nodiscard]] ClusterConfig WithConnectionLimits(by::ConnectionLimits aValue) const
  {
    auto copy = *this;
    copy.mFields.mConnectionLimits = std::move(aValue);
    return copy;
  }

  /// Queues whose callers need no key. Not part of QueuePolicy, since stored jobs contain one and
  /// nodes of an earlier version read them.
  const std::vector<QueueAddress>& OpenQueues() const { return mFields.mOpenQueues; }
  /// @returns a copy of this value with another OpenQueues.
  [[nodiscard]] ClusterConfig WithOpenQueues(std::vector<QueueAddress> aValue) const
  {
    auto copy = *this;
    copy.mFields.mOpenQueues = std::move(aValue);
    return copy;
  }

  friend bool operator==(const ClusterConfig&, const ClusterConfig&) = default;
  friend auto operator<=>(const ClusterConfig&, const ClusterConfig&) = default;

private:
  explicit ClusterConfig(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
