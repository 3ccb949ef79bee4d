#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_schema/WorkerAnswer.h"

namespace by {

/// Answers of workers to relayed orders.
class RelayAnswers
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Answers, each with the number of its order.
    std::vector<WorkerAnswer> mAnswers{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  RelayAnswers() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<RelayAnswers> Create(Fields aFields)
  {
    return RelayAnswers(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Answers, each with the number of its order.
  const std::vector<WorkerAnswer>& Answers() const { return mFields.mAnswers; }
  /// @returns a copy of this value with another Answers.
  [[nodiscard]] RelayAnswers WithAnswers(std::vector<WorkerAnswer> aValue) const
  {
    auto copy = *this;
    copy.mFields.mAnswers = std::move(aValue);
    return copy;
  }

  friend bool operator==(const RelayAnswers&, const RelayAnswers&) = default;
  friend auto operator<=>(const RelayAnswers&, const RelayAnswers&) = default;

private:
  explicit RelayAnswers(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
