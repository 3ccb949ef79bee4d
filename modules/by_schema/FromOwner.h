#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_schema/LinkMessage.h"

namespace by {

/// A message came from the owner.
class FromOwner
{
public:
  /// The fields by name, for Create().
  struct Fields
  {
    /// The message.
    LinkMessage mMessage{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// The value with every field at its default.
  FromOwner() = default;

  /// Builds a value from its fields.
  /// @returns the value, or InvalidArgument naming the field that is out of its bounds.
  static absl::StatusOr<FromOwner> Create(Fields aFields) { return FromOwner(std::move(aFields)); }

  /// Copies the fields, to build a changed value from them.
  Fields ToFields() const { return mFields; }

  /// The message.
  const LinkMessage& Message() const { return mFields.mMessage; }
  /// @returns this value with another Message.
  [[nodiscard]] FromOwner WithMessage(LinkMessage aValue) const
  {
    auto copy = *this;
    copy.mFields.mMessage = std::move(aValue);
    return copy;
  }

  friend bool operator==(const FromOwner&, const FromOwner&) = default;
  friend auto operator<=>(const FromOwner&, const FromOwner&) = default;

private:
  explicit FromOwner(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
