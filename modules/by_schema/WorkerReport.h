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

/// A worker's report in answer to a poll.
class WorkerReport
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Time on the worker's own clock.
    Time mWorkerClock{};
    /// Start time of the worker's process, since 1970; zero if it does not say.
    Time mProcessStart{};
    /// Runs in progress.
    std::vector<RunningRun> mRunning{};
    /// Runs that ended and whose end is not acknowledged.
    std::vector<EndedRun> mEnded{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  WorkerReport() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<WorkerReport> Create(Fields aFields)
  {
    return WorkerReport(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Time on the worker's own clock.
  Time WorkerClock() const { return mFields.mWorkerClock; }
  /// @returns a copy of this value with another WorkerClock.
  [[nodiscard]] WorkerReport WithWorkerClock(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mWorkerClock = std::move(aValue);
    return copy;
  }

  /// Start time of the worker's process, since 1970; zero if it does not say.
  Time ProcessStart() const { return mFields.mProcessStart; }
  /// @returns a copy of this value with another ProcessStart.
  [[nodiscard]] WorkerReport WithProcessStart(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mProcessStart = std::move(aValue);
    return copy;
  }

  /// Runs in progress.
  const std::vector<RunningRun>& Running() const { return mFields.mRunning; }
  /// @returns a copy of this value with another Running.
  [[nodiscard]] WorkerReport WithRunning(std::vector<RunningRun> aValue) const
  {
    auto copy = *this;
    copy.mFields.mRunning = std::move(aValue);
    return copy;
  }

  /// Runs that ended and whose end is not acknowledged.
  const std::vector<EndedRun>& Ended() const { return mFields.mEnded; }
  /// @returns a copy of this value with another Ended.
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
