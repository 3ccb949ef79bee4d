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

/// A run that ended and whose end the owner has not acknowledged.
class EndedRun
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Sequence number of the end within one process of the worker, from 1.
    std::uint64_t mNumber{ 0 };
    /// Task that ran.
    JobTaskKey mTask{};
    /// Number of the run.
    std::uint32_t mRun{ 0 };
    /// How it ended.
    RunEnd mEnd{};
    /// Newest checkpoint; empty for none.
    std::string mCheckpoint{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  EndedRun() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<EndedRun> Create(Fields aFields) { return EndedRun(std::move(aFields)); }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Sequence number of the end within one process of the worker, from 1.
  std::uint64_t Number() const { return mFields.mNumber; }
  /// @returns a copy of this value with another Number.
  [[nodiscard]] EndedRun WithNumber(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mNumber = std::move(aValue);
    return copy;
  }

  /// Task that ran.
  const JobTaskKey& Task() const { return mFields.mTask; }
  /// @returns a copy of this value with another Task.
  [[nodiscard]] EndedRun WithTask(JobTaskKey aValue) const
  {
    auto copy = *this;
    copy.mFields.mTask = std::move(aValue);
    return copy;
  }

  /// Number of the run.
  std::uint32_t Run() const { return mFields.mRun; }
  /// @returns a copy of this value with another Run.
  [[nodiscard]] EndedRun WithRun(std::uint32_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mRun = std::move(aValue);
    return copy;
  }

  /// How it ended.
  RunEnd End() const { return mFields.mEnd; }
  /// @returns a copy of this value with another End.
  [[nodiscard]] EndedRun WithEnd(RunEnd aValue) const
  {
    auto copy = *this;
    copy.mFields.mEnd = std::move(aValue);
    return copy;
  }

  /// Newest checkpoint; empty for none.
  const std::string& Checkpoint() const { return mFields.mCheckpoint; }
  /// @returns a copy of this value with another Checkpoint.
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
