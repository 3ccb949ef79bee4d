#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_core/Identifier.h"

namespace by {

/// Shows one intent with its tasks.
class ShowIntent
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
  ShowIntent() = default;

  /// Builds a value from its fields.
  /// @returns the value, or InvalidArgument naming the field that is out of its bounds.
  static absl::StatusOr<ShowIntent> Create(Fields aFields)
  {
    return ShowIntent(std::move(aFields));
  }

  /// Copies the fields, to build a changed value from them.
  Fields ToFields() const { return mFields; }

  /// The intent.
  const IntentId& Intent() const { return mFields.mIntent; }
  /// @returns this value with another Intent.
  [[nodiscard]] ShowIntent WithIntent(IntentId aValue) const
  {
    auto copy = *this;
    copy.mFields.mIntent = std::move(aValue);
    return copy;
  }

  friend bool operator==(const ShowIntent&, const ShowIntent&) = default;
  friend auto operator<=>(const ShowIntent&, const ShowIntent&) = default;

private:
  explicit ShowIntent(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
