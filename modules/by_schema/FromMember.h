#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_schema/LinkMessage.h"

namespace by {

/// A message came over a link that another node opened.
class FromMember
{
public:
  /// The fields by name, for Create().
  struct Fields
  {
    /// The node.
    std::string mNode{};
    /// The message.
    LinkMessage mMessage{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// The value with every field at its default.
  FromMember() = default;

  /// Builds a value from its fields.
  /// @returns the value, or InvalidArgument naming the field that is out of its bounds.
  static absl::StatusOr<FromMember> Create(Fields aFields)
  {
    return FromMember(std::move(aFields));
  }

  /// Copies the fields, to build a changed value from them.
  Fields ToFields() const { return mFields; }

  /// The node.
  const std::string& Node() const { return mFields.mNode; }
  /// @returns this value with another Node.
  [[nodiscard]] FromMember WithNode(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mNode = std::move(aValue);
    return copy;
  }

  /// The message.
  const LinkMessage& Message() const { return mFields.mMessage; }
  /// @returns this value with another Message.
  [[nodiscard]] FromMember WithMessage(LinkMessage aValue) const
  {
    auto copy = *this;
    copy.mFields.mMessage = std::move(aValue);
    return copy;
  }

  friend bool operator==(const FromMember&, const FromMember&) = default;
  friend auto operator<=>(const FromMember&, const FromMember&) = default;

private:
  explicit FromMember(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
