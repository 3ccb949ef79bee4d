#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_core/Time.h"
#include "by_schema/EndedRun.h"
#include "by_schema/RunningRun.h"

namespace by {

/// What a worker lists when it is looked at.
class WorkerReport
{
public:
  /// The fields by name, for Create().
  struct Fields
  {
    /// The worker's own clock.
    Time mWorkerClock{};
    /// When its process started, since 1970; zero where it does not tell.
    Time mProcessStart{};
    /// What runs.
    std::vector<RunningRun> mRunning{};
    /// What ended and was not acknowledged.
    std::vector<EndedRun> mEnded{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// The value with every field at its default.
  WorkerReport() = default;

  /// Builds a value from its fields.
  /// @returns the value, or InvalidArgument naming the field that is out of its bounds.
  static absl::StatusOr<WorkerReport> Create(Fields aFields)
  {
    return WorkerReport(std::move(aFields));
  }

  /// Copies the fields, to build a changed value from them.
  Fields ToFields() const { return mFields; }

  /// The worker's own clock.
  Time WorkerClock() const { return mFields.mWorkerClock; }
  /// @returns this value with another WorkerClock.
  [[nodiscard]] WorkerReport WithWorkerClock(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mWorkerClock = std::move(aValue);
    return copy;
  }

  /// When its process started, since 1970; zero where it does not tell.
  Time ProcessStart() const { return mFields.mProcessStart; }
  /// @returns this value with another ProcessStart.
  [[nodiscard]] WorkerReport WithProcessStart(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mProcessStart = std::move(aValue);
    return copy;
  }

  /// What runs.
  const std::vector<RunningRun>& Running() const { return mFields.mRunning; }
  /// @returns this value with another Running.
  [[nodiscard]] WorkerReport WithRunning(std::vector<RunningRun> aValue) const
  {
    auto copy = *this;
    copy.mFields.mRunning = std::move(aValue);
    return copy;
  }

  /// What ended and was not acknowledged.
  const std::vector<EndedRun>& Ended() const { return mFields.mEnded; }
  /// @returns this value with another Ended.
  [[nodiscard]] WorkerReport WithEnded(std::vector<EndedRun> aValue) const
  {
    auto copy = *this;
    copy.mFields.mEnded = std::move(aValue);
    return copy;
  }

  friend bool operator==(const WorkerReport&, const WorkerReport&) = default;
  friend auto operator<=>(const WorkerReport&, const WorkerReport&) = default;

private:
  explicit WorkerReport(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
