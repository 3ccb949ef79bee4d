#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_core/Identifier.h"

namespace by {

/// Confirms a planned intent.
class ConfirmCommand
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Identifier of the intent.
    IntentId mIntent{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  ConfirmCommand() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<ConfirmCommand> Create(Fields aFields)
  {
    return ConfirmCommand(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Identifier of the intent.
  const IntentId& Intent() const { return mFields.mIntent; }
  /// @returns a copy of this value with another Intent.
  [[nodiscard]] ConfirmCommand WithIntent(IntentId aValue) const
  {
    auto copy = *this;
    copy.mFields.mIntent = std::move(aValue);
    return copy;
  }

  friend bool operator==(const ConfirmCommand&, const ConfirmCommand&) = default;
  friend auto operator<=>(const ConfirmCommand&, const ConfirmCommand&) = default;

private:
  explicit ConfirmCommand(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
