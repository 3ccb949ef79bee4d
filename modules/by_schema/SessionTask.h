#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_core/Time.h"
#include "by_schema/TaskState.h"

namespace by {

/// Behaviour of the tasks with one label.
class SessionTask
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Label of the request, or the intent.
    std::string mLabel{};
    /// Duration of each run; zero for runs that never end.
    Time mRunTime{ Time::FromMilliseconds(100) };
    /// Final state of each run.
    TaskState mEnd{ TaskState::Succeeded };
    /// Result of each run.
    std::string mPayload{};
    /// Delay of the answer after the end of a run.
    Time mAnswerDelay{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  SessionTask() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<SessionTask> Create(Fields aFields);

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Label of the request, or the intent.
  const std::string& Label() const { return mFields.mLabel; }

  /// Duration of each run; zero for runs that never end.
  Time RunTime() const { return mFields.mRunTime; }

  /// Final state of each run.
  TaskState End() const { return mFields.mEnd; }
  /// @returns a copy of this value with another End.
  [[nodiscard]] SessionTask WithEnd(TaskState aValue) const
  {
    auto copy = *this;
    copy.mFields.mEnd = std::move(aValue);
    return copy;
  }

  /// Result of each run.
  const std::string& Payload() const { return mFields.mPayload; }
  /// @returns a copy of this value with another Payload.
  [[nodiscard]] SessionTask WithPayload(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mPayload = std::move(aValue);
    return copy;
  }

  /// Delay of the answer after the end of a run.
  Time AnswerDelay() const { return mFields.mAnswerDelay; }

  friend bool operator==(const SessionTask&, const SessionTask&) = default;
  friend auto operator<=>(const SessionTask&, const SessionTask&) = default;

private:
  explicit SessionTask(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
