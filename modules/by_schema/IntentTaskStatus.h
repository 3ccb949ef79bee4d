#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_core/Identifier.h"
#include "by_core/Time.h"
#include "by_schema/TaskState.h"

namespace by {

/// Status of one task of an intent, as operators see it.
class IntentTaskStatus
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Index of the task in the intent, from 0.
    std::int64_t mIndex{ 0 };
    /// Last generation of its assignment; zero before the first.
    std::uint64_t mGeneration{ 0 };
    /// State of the task.
    TaskState mState{};
    /// Whether its resources are reserved, so that a task of a gang waits for the rest of its gang,
    /// or a task that is not idempotent may now start.
    bool mReserved{ false };
    /// Rack that it is assigned to.
    RackId mRack{};
    /// VM that it was last started on.
    VmId mVm{};
    /// One sentence if it did not succeed.
    std::string mDetail{};
    /// Whether its last generation is assigned to a rack and not yet ended, released or lost.
    bool mAssigned{ false };
    /// Number of attempts that failed or were lost.
    std::int64_t mFailures{ 0 };
    /// Number of generations that were released before they started, since the task last ran.
    std::int64_t mReleases{ 0 };
    /// When the task entered its current state.
    Time mSince{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  IntentTaskStatus() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<IntentTaskStatus> Create(Fields aFields)
  {
    return IntentTaskStatus(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Index of the task in the intent, from 0.
  std::int64_t Index() const { return mFields.mIndex; }
  /// @returns a copy of this value with another Index.
  [[nodiscard]] IntentTaskStatus WithIndex(std::int64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mIndex = std::move(aValue);
    return copy;
  }

  /// Last generation of its assignment; zero before the first.
  std::uint64_t Generation() const { return mFields.mGeneration; }
  /// @returns a copy of this value with another Generation.
  [[nodiscard]] IntentTaskStatus WithGeneration(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mGeneration = std::move(aValue);
    return copy;
  }

  /// State of the task.
  TaskState State() const { return mFields.mState; }
  /// @returns a copy of this value with another State.
  [[nodiscard]] IntentTaskStatus WithState(TaskState aValue) const
  {
    auto copy = *this;
    copy.mFields.mState = std::move(aValue);
    return copy;
  }

  /// Whether its resources are reserved, so that a task of a gang waits for the rest of its gang,
  /// or a task that is not idempotent may now start.
  bool Reserved() const { return mFields.mReserved; }
  /// @returns a copy of this value with another Reserved.
  [[nodiscard]] IntentTaskStatus WithReserved(bool aValue) const
  {
    auto copy = *this;
    copy.mFields.mReserved = std::move(aValue);
    return copy;
  }

  /// Rack that it is assigned to.
  const RackId& Rack() const { return mFields.mRack; }
  /// @returns a copy of this value with another Rack.
  [[nodiscard]] IntentTaskStatus WithRack(RackId aValue) const
  {
    auto copy = *this;
    copy.mFields.mRack = std::move(aValue);
    return copy;
  }

  /// VM that it was last started on.
  const VmId& Vm() const { return mFields.mVm; }
  /// @returns a copy of this value with another Vm.
  [[nodiscard]] IntentTaskStatus WithVm(VmId aValue) const
  {
    auto copy = *this;
    copy.mFields.mVm = std::move(aValue);
    return copy;
  }

  /// One sentence if it did not succeed.
  const std::string& Detail() const { return mFields.mDetail; }
  /// @returns a copy of this value with another Detail.
  [[nodiscard]] IntentTaskStatus WithDetail(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mDetail = std::move(aValue);
    return copy;
  }

  /// Whether its last generation is assigned to a rack and not yet ended, released or lost.
  bool Assigned() const { return mFields.mAssigned; }
  /// @returns a copy of this value with another Assigned.
  [[nodiscard]] IntentTaskStatus WithAssigned(bool aValue) const
  {
    auto copy = *this;
    copy.mFields.mAssigned = std::move(aValue);
    return copy;
  }

  /// Number of attempts that failed or were lost.
  std::int64_t Failures() const { return mFields.mFailures; }
  /// @returns a copy of this value with another Failures.
  [[nodiscard]] IntentTaskStatus WithFailures(std::int64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mFailures = std::move(aValue);
    return copy;
  }

  /// Number of generations that were released before they started, since the task last ran.
  std::int64_t Releases() const { return mFields.mReleases; }
  /// @returns a copy of this value with another Releases.
  [[nodiscard]] IntentTaskStatus WithReleases(std::int64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mReleases = std::move(aValue);
    return copy;
  }

  /// When the task entered its current state.
  Time Since() const { return mFields.mSince; }
  /// @returns a copy of this value with another Since.
  [[nodiscard]] IntentTaskStatus WithSince(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mSince = std::move(aValue);
    return copy;
  }

  friend bool operator==(const IntentTaskStatus&, const IntentTaskStatus&) = default;
  friend auto operator<=>(const IntentTaskStatus&, const IntentTaskStatus&) = default;

private:
  explicit IntentTaskStatus(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
