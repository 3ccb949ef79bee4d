#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_schema/Answer.h"

namespace by {

/// Sends the answer to a caller.
class AnswerCaller
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// The complete answer.
    by::Answer mAnswer{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  AnswerCaller() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<AnswerCaller> Create(Fields aFields)
  {
    return AnswerCaller(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// The complete answer.
  const by::Answer& Answer() const { return mFields.mAnswer; }
  /// @returns a copy of this value with another Answer.
  [[nodiscard]] AnswerCaller WithAnswer(by::Answer aValue) const
  {
    auto copy = *this;
    copy.mFields.mAnswer = std::move(aValue);
    return copy;
  }

  friend bool operator==(const AnswerCaller&, const AnswerCaller&) = default;
  friend auto operator<=>(const AnswerCaller&, const AnswerCaller&) = default;

private:
  explicit AnswerCaller(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
