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
class WorkerLists
{
public:
  /// The fields by name, for Create().
  struct Fields
  {
    /// The worker's own clock.
    Time mClock{};
    /// When its process started, since 1970; zero where it does not tell.
    Time mBorn{};
    /// What runs.
    std::vector<RunningRun> mRunning{};
    /// What ended and was not acknowledged.
    std::vector<EndedRun> mEnded{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// The value with every field at its default.
  WorkerLists() = default;

  /// Builds a value from its fields.
  /// @returns the value, or InvalidArgument naming the field that is out of its bounds.
  static absl::StatusOr<WorkerLists> Create(Fields aFields)
  {
    return WorkerLists(std::move(aFields));
  }

  /// Copies the fields, to build a changed value from them.
  Fields ToFields() const { return mFields; }

  /// The worker's own clock.
  Time Clock() const { return mFields.mClock; }
  /// @returns this value with another Clock.
  [[nodiscard]] WorkerLists WithClock(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mClock = std::move(aValue);
    return copy;
  }

  /// When its process started, since 1970; zero where it does not tell.
  Time Born() const { return mFields.mBorn; }
  /// @returns this value with another Born.
  [[nodiscard]] WorkerLists WithBorn(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mBorn = std::move(aValue);
    return copy;
  }

  /// What runs.
  const std::vector<RunningRun>& Running() const { return mFields.mRunning; }
  /// @returns this value with another Running.
  [[nodiscard]] WorkerLists WithRunning(std::vector<RunningRun> aValue) const
  {
    auto copy = *this;
    copy.mFields.mRunning = std::move(aValue);
    return copy;
  }

  /// What ended and was not acknowledged.
  const std::vector<EndedRun>& Ended() const { return mFields.mEnded; }
  /// @returns this value with another Ended.
  [[nodiscard]] WorkerLists WithEnded(std::vector<EndedRun> aValue) const
  {
    auto copy = *this;
    copy.mFields.mEnded = std::move(aValue);
    return copy;
  }

  friend bool operator==(const WorkerLists&, const WorkerLists&) = default;
  friend auto operator<=>(const WorkerLists&, const WorkerLists&) = default;

private:
  explicit WorkerLists(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
