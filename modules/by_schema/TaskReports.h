#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_core/Identifier.h"
#include "by_schema/TaskReport.h"

namespace by {

/// Reports of one rack's owner; valid only under the rack's current epoch.
class TaskReports
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Identifier of the rack.
    RackId mRack{};
    /// Epoch of the rack's owner.
    std::uint64_t mEpoch{ 0 };
    /// The reports.
    std::vector<TaskReport> mReports{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  TaskReports() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<TaskReports> Create(Fields aFields)
  {
    return TaskReports(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Identifier of the rack.
  const RackId& Rack() const { return mFields.mRack; }
  /// @returns a copy of this value with another Rack.
  [[nodiscard]] TaskReports WithRack(RackId aValue) const
  {
    auto copy = *this;
    copy.mFields.mRack = std::move(aValue);
    return copy;
  }

  /// Epoch of the rack's owner.
  std::uint64_t Epoch() const { return mFields.mEpoch; }
  /// @returns a copy of this value with another Epoch.
  [[nodiscard]] TaskReports WithEpoch(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mEpoch = std::move(aValue);
    return copy;
  }

  /// The reports.
  const std::vector<TaskReport>& Reports() const { return mFields.mReports; }
  /// @returns a copy of this value with another Reports.
  [[nodiscard]] TaskReports WithReports(std::vector<TaskReport> aValue) const
  {
    auto copy = *this;
    copy.mFields.mReports = std::move(aValue);
    return copy;
  }

  friend bool operator==(const TaskReports&, const TaskReports&) = default;
  friend auto operator<=>(const TaskReports&, const TaskReports&) = default;

private:
  explicit TaskReports(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
