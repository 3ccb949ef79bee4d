#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_schema/PoolPolicy.h"
#include "by_schema/QueuePolicy.h"

namespace by {

/// The configuration that operators publish.
class ClusterConfig
{
public:
  /// The fields by name, for Create().
  struct Fields
  {
    /// Higher is newer.
    std::uint64_t mVersion{ 0 };
    /// The queues.
    std::vector<QueuePolicy> mQueues{};
    /// The pools.
    std::vector<PoolPolicy> mPools{};
    /// Largest body of a caller's request.
    std::int64_t mBodyLimit{ 0 };

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// The value with every field at its default.
  ClusterConfig() = default;

  /// Builds a value from its fields.
  /// @returns the value, or InvalidArgument naming the field that is out of its bounds.
  static absl::StatusOr<ClusterConfig> Create(Fields aFields)
  {
    return ClusterConfig(std::move(aFields));
  }

  /// Copies the fields, to build a changed value from them.
  Fields ToFields() const { return mFields; }

  /// Higher is newer.
  std::uint64_t Version() const { return mFields.mVersion; }
  /// @returns this value with another Version.
  [[nodiscard]] ClusterConfig WithVersion(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mVersion = std::move(aValue);
    return copy;
  }

  /// The queues.
  const std::vector<QueuePolicy>& Queues() const { return mFields.mQueues; }
  /// @returns this value with another Queues.
  [[nodiscard]] ClusterConfig WithQueues(std::vector<QueuePolicy> aValue) const
  {
    auto copy = *this;
    copy.mFields.mQueues = std::move(aValue);
    return copy;
  }

  /// The pools.
  const std::vector<PoolPolicy>& Pools() const { return mFields.mPools; }
  /// @returns this value with another Pools.
  [[nodiscard]] ClusterConfig WithPools(std::vector<PoolPolicy> aValue) const
  {
    auto copy = *this;
    copy.mFields.mPools = std::move(aValue);
    return copy;
  }

  /// Largest body of a caller's request.
  std::int64_t BodyLimit() const { return mFields.mBodyLimit; }
  /// @returns this value with another BodyLimit.
  [[nodiscard]] ClusterConfig WithBodyLimit(std::int64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mBodyLimit = std::move(aValue);
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
