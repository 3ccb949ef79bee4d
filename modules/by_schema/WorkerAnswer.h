#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>
#include <variant>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_schema/StartAnswered.h"
#include "by_schema/StopAnswered.h"
#include "by_schema/WorkerPolled.h"

namespace by {

/// Answer to any order to a worker.
class WorkerAnswer
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// The answer.
    std::variant<StartAnswered, StopAnswered, WorkerPolled> mBody{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  WorkerAnswer() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<WorkerAnswer> Create(Fields aFields)
  {
    return WorkerAnswer(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// The answer.
  const std::variant<StartAnswered, StopAnswered, WorkerPolled>& Body() const
  {
    return mFields.mBody;
  }
  /// @returns a copy of this value with another Body.
  [[nodiscard]] WorkerAnswer WithBody(
    std::variant<StartAnswered, StopAnswered, WorkerPolled> aValue) const
  {
    auto copy = *this;
    copy.mFields.mBody = std::move(aValue);
    return copy;
  }

  friend bool operator==(const WorkerAnswer&, const WorkerAnswer&) = default;
  friend auto operator<=>(const WorkerAnswer&, const WorkerAnswer&) = default;

private:
  explicit WorkerAnswer(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
