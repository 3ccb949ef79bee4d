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
class PlanCommand
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Specification of the intent.
    IntentSpec mSpec{};
    /// File that holds the specification; empty if the options specify it.
    std::string mFile{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  PlanCommand() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<PlanCommand> Create(Fields aFields)
  {
    return PlanCommand(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Specification of the intent.
  const IntentSpec& Spec() const { return mFields.mSpec; }
  /// @returns a copy of this value with another Spec.
  [[nodiscard]] PlanCommand WithSpec(IntentSpec aValue) const
  {
    auto copy = *this;
    copy.mFields.mSpec = std::move(aValue);
    return copy;
  }

  /// File that holds the specification; empty if the options specify it.
  const std::string& File() const { return mFields.mFile; }
  /// @returns a copy of this value with another File.
  [[nodiscard]] PlanCommand WithFile(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mFile = std::move(aValue);
    return copy;
  }

  friend bool operator==(const PlanCommand&, const PlanCommand&) = default;
  friend auto operator<=>(const PlanCommand&, const PlanCommand&) = default;

private:
  explicit PlanCommand(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
