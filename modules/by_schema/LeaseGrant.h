#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_schema/Resources.h"
#include "by_schema/TaskStatus.h"

namespace by {

/// Answer of a backend server to a lease request.
class LeaseGrant
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Whether the lease was granted.
    bool mGranted{ false };
    /// Highest epoch that the server has received.
    std::uint64_t mEpoch{ 0 };
    /// Identifies the server's process; drawn at random at each start, so that a replaced VM is
    /// distinguished from its predecessor.
    std::uint64_t mIncarnation{ 0 };
    /// All tasks if the inventory was requested; otherwise the ended tasks whose end is not
    /// acknowledged.
    std::vector<TaskStatus> mTasks{};
    /// Resources that all running tasks use together; lags behind the actual use.
    Resources mUsed{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  LeaseGrant() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<LeaseGrant> Create(Fields aFields)
  {
    return LeaseGrant(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Whether the lease was granted.
  bool Granted() const { return mFields.mGranted; }
  /// @returns a copy of this value with another Granted.
  [[nodiscard]] LeaseGrant WithGranted(bool aValue) const
  {
    auto copy = *this;
    copy.mFields.mGranted = std::move(aValue);
    return copy;
  }

  /// Highest epoch that the server has received.
  std::uint64_t Epoch() const { return mFields.mEpoch; }
  /// @returns a copy of this value with another Epoch.
  [[nodiscard]] LeaseGrant WithEpoch(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mEpoch = std::move(aValue);
    return copy;
  }

  /// Identifies the server's process; drawn at random at each start, so that a replaced VM is
  /// distinguished from its predecessor.
  std::uint64_t Incarnation() const { return mFields.mIncarnation; }
  /// @returns a copy of this value with another Incarnation.
  [[nodiscard]] LeaseGrant WithIncarnation(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mIncarnation = std::move(aValue);
    return copy;
  }

  /// All tasks if the inventory was requested; otherwise the ended tasks whose end is not
  /// acknowledged.
  const std::vector<TaskStatus>& Tasks() const { return mFields.mTasks; }
  /// @returns a copy of this value with another Tasks.
  [[nodiscard]] LeaseGrant WithTasks(std::vector<TaskStatus> aValue) const
  {
    auto copy = *this;
    copy.mFields.mTasks = std::move(aValue);
    return copy;
  }

  /// Resources that all running tasks use together; lags behind the actual use.
  const Resources& Used() const { return mFields.mUsed; }
  /// @returns a copy of this value with another Used.
  [[nodiscard]] LeaseGrant WithUsed(Resources aValue) const
  {
    auto copy = *this;
    copy.mFields.mUsed = std::move(aValue);
    return copy;
  }

  friend bool operator==(const LeaseGrant&, const LeaseGrant&) = default;
  friend auto operator<=>(const LeaseGrant&, const LeaseGrant&) = default;

private:
  explicit LeaseGrant(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
