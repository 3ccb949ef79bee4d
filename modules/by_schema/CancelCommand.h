#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_core/Identifier.h"

namespace by {

/// Cancels an intent.
class CancelCommand
{
public:
  /// The fields by name, for Create().
  struct Fields
  {
    /// The intent.
    IntentId mIntent{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// The value with every field at its default.
  CancelCommand() = default;

  /// Builds a value from its fields.
  /// @returns the value, or InvalidArgument naming the field that is out of its bounds.
  static absl::StatusOr<CancelCommand> Create(Fields aFields)
  {
    return CancelCommand(std::move(aFields));
  }

  /// Copies the fields, to build a changed value from them.
  Fields ToFields() const { return mFields; }

  /// The intent.
  const IntentId& Intent() const { return mFields.mIntent; }
  /// @returns this value with another Intent.
  [[nodiscard]] CancelCommand WithIntent(IntentId aValue) const
  {
    auto copy = *this;
    copy.mFields.mIntent = std::move(aValue);
    return copy;
  }

  friend bool operator==(const CancelCommand&, const CancelCommand&) = default;
  friend auto operator<=>(const CancelCommand&, const CancelCommand&) = default;

private:
  explicit CancelCommand(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
