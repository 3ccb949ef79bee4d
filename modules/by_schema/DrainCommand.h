#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

namespace by {

/// Starts a node's planned stop.
class DrainCommand
{
public:
  /// The fields by name, for Create().
  struct Fields
  {
    /// Who asks.
    std::string mOperatorName{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// The value with every field at its default.
  DrainCommand() = default;

  /// Builds a value from its fields.
  /// @returns the value, or InvalidArgument naming the field that is out of its bounds.
  static absl::StatusOr<DrainCommand> Create(Fields aFields)
  {
    return DrainCommand(std::move(aFields));
  }

  /// Copies the fields, to build a changed value from them.
  Fields ToFields() const { return mFields; }

  /// Who asks.
  const std::string& OperatorName() const { return mFields.mOperatorName; }
  /// @returns this value with another OperatorName.
  [[nodiscard]] DrainCommand WithOperatorName(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mOperatorName = std::move(aValue);
    return copy;
  }

  friend bool operator==(const DrainCommand&, const DrainCommand&) = default;
  friend auto operator<=>(const DrainCommand&, const DrainCommand&) = default;

private:
  explicit DrainCommand(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
