#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_schema/JobTaskKey.h"
#include "by_schema/RunEnd.h"

namespace by {

/// A task that ended and was not acknowledged.
class EndedRun
{
public:
  /// The fields by name, for Create().
  struct Fields
  {
    /// Counts ends of one life of the worker, from 1.
    std::uint64_t mNumber{ 0 };
    /// The task.
    JobTaskKey mTask{};
    /// The number of the run.
    std::uint32_t mRun{ 0 };
    /// How it ended.
    RunEnd mEnd{};
    /// Its newest checkpoint.
    std::string mCheckpoint{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// The value with every field at its default.
  EndedRun() = default;

  /// Builds a value from its fields.
  /// @returns the value, or InvalidArgument naming the field that is out of its bounds.
  static absl::StatusOr<EndedRun> Create(Fields aFields) { return EndedRun(std::move(aFields)); }

  /// Copies the fields, to build a changed value from them.
  Fields ToFields() const { return mFields; }

  /// Counts ends of one life of the worker, from 1.
  std::uint64_t Number() const { return mFields.mNumber; }
  /// @returns this value with another Number.
  [[nodiscard]] EndedRun WithNumber(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mNumber = std::move(aValue);
    return copy;
  }

  /// The task.
  const JobTaskKey& Task() const { return mFields.mTask; }
  /// @returns this value with another Task.
  [[nodiscard]] EndedRun WithTask(JobTaskKey aValue) const
  {
    auto copy = *this;
    copy.mFields.mTask = std::move(aValue);
    return copy;
  }

  /// The number of the run.
  std::uint32_t Run() const { return mFields.mRun; }
  /// @returns this value with another Run.
  [[nodiscard]] EndedRun WithRun(std::uint32_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mRun = std::move(aValue);
    return copy;
  }

  /// How it ended.
  RunEnd End() const { return mFields.mEnd; }
  /// @returns this value with another End.
  [[nodiscard]] EndedRun WithEnd(RunEnd aValue) const
  {
    auto copy = *this;
    copy.mFields.mEnd = std::move(aValue);
    return copy;
  }

  /// Its newest checkpoint.
  const std::string& Checkpoint() const { return mFields.mCheckpoint; }
  /// @returns this value with another Checkpoint.
  [[nodiscard]] EndedRun WithCheckpoint(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mCheckpoint = std::move(aValue);
    return copy;
  }

  friend bool operator==(const EndedRun&, const EndedRun&) = default;
  friend auto operator<=>(const EndedRun&, const EndedRun&) = default;

private:
  explicit EndedRun(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
