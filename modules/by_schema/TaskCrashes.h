#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_core/Time.h"

namespace by {

/// Crashes of workers under one task. A record of its own, since few tasks have one.
class TaskCrashes
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Name of the job.
    std::string mJob{};
    /// Index of the occurrence, from 0.
    std::uint32_t mOccurrence{ 0 };
    /// Index of the task among the tasks of all steps, in the order of the steps.
    std::uint32_t mIndex{ 0 };
    /// Numbers of the runs whose worker crashed, each once.
    std::vector<std::uint32_t> mRuns{};
    /// Weight of the evidence that the task caused the crashes.
    std::uint32_t mBlame{ 0 };
    /// When the last crash was noticed, since 1970.
    Time mLastCrash{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  TaskCrashes() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<TaskCrashes> Create(Fields aFields)
  {
    return TaskCrashes(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Name of the job.
  const std::string& Job() const { return mFields.mJob; }
  /// @returns a copy of this value with another Job.
  [[nodiscard]] TaskCrashes WithJob(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mJob = std::move(aValue);
    return copy;
  }

  /// Index of the occurrence, from 0.
  std::uint32_t Occurrence() const { return mFields.mOccurrence; }
  /// @returns a copy of this value with another Occurrence.
  [[nodiscard]] TaskCrashes WithOccurrence(std::uint32_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mOccurrence = std::move(aValue);
    return copy;
  }

  /// Index of the task among the tasks of all steps, in the order of the steps.
  std::uint32_t Index() const { return mFields.mIndex; }
  /// @returns a copy of this value with another Index.
  [[nodiscard]] TaskCrashes WithIndex(std::uint32_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mIndex = std::move(aValue);
    return copy;
  }

  /// Numbers of the runs whose worker crashed, each once.
  const std::vector<std::uint32_t>& Runs() const { return mFields.mRuns; }
  /// @returns a copy of this value with another Runs.
  [[nodiscard]] TaskCrashes WithRuns(std::vector<std::uint32_t> aValue) const
  {
    auto copy = *this;
    copy.mFields.mRuns = std::move(aValue);
    return copy;
  }

  /// Weight of the evidence that the task caused the crashes.
  std::uint32_t Blame() const { return mFields.mBlame; }
  /// @returns a copy of this value with another Blame.
  [[nodiscard]] TaskCrashes WithBlame(std::uint32_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mBlame = std::move(aValue);
    return copy;
  }

  /// When the last crash was noticed, since 1970.
  Time LastCrash() const { return mFields.mLastCrash; }
  /// @returns a copy of this value with another LastCrash.
  [[nodiscard]] TaskCrashes WithLastCrash(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mLastCrash = std::move(aValue);
    return copy;
  }

  friend bool operator==(const TaskCrashes&, const TaskCrashes&) = default;
  friend auto operator<=>(const TaskCrashes&, const TaskCrashes&) = default;

private:
  explicit TaskCrashes(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
