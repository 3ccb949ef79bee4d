#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_core/Identifier.h"
#include "by_schema/Reason.h"

namespace by {

/// A task that will not be started.
class RefusedWork
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Identifier of the task.
    TaskId mTask{};
    /// Why the task was refused.
    by::Reason mReason{};
    /// One sentence with the relevant amounts.
    std::string mDetail{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  RefusedWork() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<RefusedWork> Create(Fields aFields)
  {
    return RefusedWork(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Identifier of the task.
  const TaskId& Task() const { return mFields.mTask; }
  /// @returns a copy of this value with another Task.
  [[nodiscard]] RefusedWork WithTask(TaskId aValue) const
  {
    auto copy = *this;
    copy.mFields.mTask = std::move(aValue);
    return copy;
  }

  /// Why the task was refused.
  by::Reason Reason() const { return mFields.mReason; }
  /// @returns a copy of this value with another Reason.
  [[nodiscard]] RefusedWork WithReason(by::Reason aValue) const
  {
    auto copy = *this;
    copy.mFields.mReason = std::move(aValue);
    return copy;
  }

  /// One sentence with the relevant amounts.
  const std::string& Detail() const { return mFields.mDetail; }
  /// @returns a copy of this value with another Detail.
  [[nodiscard]] RefusedWork WithDetail(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mDetail = std::move(aValue);
    return copy;
  }

  friend bool operator==(const RefusedWork&, const RefusedWork&) = default;
  friend auto operator<=>(const RefusedWork&, const RefusedWork&) = default;

private:
  explicit RefusedWork(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
