#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_core/Time.h"

namespace by {

/// Only some workers may run a step of such a queue; a service tells which.
class AdvicePolicy
{
public:
  /// The fields by name, for Create().
  struct Fields
  {
    /// Time of one question.
    std::int64_t mDecisionUs{ 0 };
    /// Time for each worker that a question names.
    std::int64_t mWorkerUs{ 0 };
    /// How long a ticket stays valid.
    Time mValidity{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// The value with every field at its default.
  AdvicePolicy() = default;

  /// Builds a value from its fields.
  /// @returns the value, or InvalidArgument naming the field that is out of its bounds.
  static absl::StatusOr<AdvicePolicy> Create(Fields aFields)
  {
    return AdvicePolicy(std::move(aFields));
  }

  /// Copies the fields, to build a changed value from them.
  Fields ToFields() const { return mFields; }

  /// Time of one question.
  std::int64_t DecisionUs() const { return mFields.mDecisionUs; }
  /// @returns this value with another DecisionUs.
  [[nodiscard]] AdvicePolicy WithDecisionUs(std::int64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mDecisionUs = std::move(aValue);
    return copy;
  }

  /// Time for each worker that a question names.
  std::int64_t WorkerUs() const { return mFields.mWorkerUs; }
  /// @returns this value with another WorkerUs.
  [[nodiscard]] AdvicePolicy WithWorkerUs(std::int64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mWorkerUs = std::move(aValue);
    return copy;
  }

  /// How long a ticket stays valid.
  Time Validity() const { return mFields.mValidity; }
  /// @returns this value with another Validity.
  [[nodiscard]] AdvicePolicy WithValidity(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mValidity = std::move(aValue);
    return copy;
  }

  friend bool operator==(const AdvicePolicy&, const AdvicePolicy&) = default;
  friend auto operator<=>(const AdvicePolicy&, const AdvicePolicy&) = default;

private:
  explicit AdvicePolicy(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
