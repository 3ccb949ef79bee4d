#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_schema/LinkMessage.h"

namespace by {

/// A message arrived from the owner of the cell.
class FromOwner
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Message that arrived.
    LinkMessage mMessage{};
    /// Number of the link that it arrived over.
    std::uint64_t mLink{ 0 };

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  FromOwner() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<FromOwner> Create(Fields aFields) { return FromOwner(std::move(aFields)); }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Message that arrived.
  const LinkMessage& Message() const { return mFields.mMessage; }
  /// @returns a copy of this value with another Message.
  [[nodiscard]] FromOwner WithMessage(LinkMessage aValue) const
  {
    auto copy = *this;
    copy.mFields.mMessage = std::move(aValue);
    return copy;
  }

  /// Number of the link that it arrived over.
  std::uint64_t Link() const { return mFields.mLink; }
  /// @returns a copy of this value with another Link.
  [[nodiscard]] FromOwner WithLink(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mLink = std::move(aValue);
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
