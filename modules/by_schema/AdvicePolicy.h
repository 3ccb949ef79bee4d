#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_core/Time.h"

namespace by {

/// Policy of a queue whose steps only some workers may run; an external advice service decides
/// which.
class AdvicePolicy
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Base duration of one advice query.
    std::int64_t mDecisionUs{ 0 };
    /// Additional duration for each worker that a query names.
    std::int64_t mWorkerUs{ 0 };
    /// How long a ticket stays valid.
    Time mValidity{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  AdvicePolicy() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<AdvicePolicy> Create(Fields aFields)
  {
    return AdvicePolicy(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Base duration of one advice query.
  std::int64_t DecisionUs() const { return mFields.mDecisionUs; }
  /// @returns a copy of this value with another DecisionUs.
  [[nodiscard]] AdvicePolicy WithDecisionUs(std::int64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mDecisionUs = std::move(aValue);
    return copy;
  }

  /// Additional duration for each worker that a query names.
  std::int64_t WorkerUs() const { return mFields.mWorkerUs; }
  /// @returns a copy of this value with another WorkerUs.
  [[nodiscard]] AdvicePolicy WithWorkerUs(std::int64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mWorkerUs = std::move(aValue);
    return copy;
  }

  /// How long a ticket stays valid.
  Time Validity() const { return mFields.mValidity; }
  /// @returns a copy of this value with another Validity.
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
