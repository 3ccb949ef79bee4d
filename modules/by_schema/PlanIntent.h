#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_schema/IntentSpec.h"

namespace by {

/// Plans an intent.
class PlanIntent
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Specification of the intent.
    IntentSpec mSpec{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  PlanIntent() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<PlanIntent> Create(Fields aFields)
  {
    return PlanIntent(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Specification of the intent.
  const IntentSpec& Spec() const { return mFields.mSpec; }
  /// @returns a copy of this value with another Spec.
  [[nodiscard]] PlanIntent WithSpec(IntentSpec aValue) const
  {
    auto copy = *this;
    copy.mFields.mSpec = std::move(aValue);
    return copy;
  }

  friend bool operator==(const PlanIntent&, const PlanIntent&) = default;
  friend auto operator<=>(const PlanIntent&, const PlanIntent&) = default;

private:
  explicit PlanIntent(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
