#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_schema/LinkMessage.h"

namespace by {

/// Sends a message to a node that opened a link here.
class SendToMember
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
  SendToMember() = default;

  /// Builds a value from its fields.
  /// @returns the value, or InvalidArgument naming the field that is out of its bounds.
  static absl::StatusOr<SendToMember> Create(Fields aFields)
  {
    return SendToMember(std::move(aFields));
  }

  /// Copies the fields, to build a changed value from them.
  Fields ToFields() const { return mFields; }

  /// The node.
  const std::string& Node() const { return mFields.mNode; }
  /// @returns this value with another Node.
  [[nodiscard]] SendToMember WithNode(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mNode = std::move(aValue);
    return copy;
  }

  /// The message.
  const LinkMessage& Message() const { return mFields.mMessage; }
  /// @returns this value with another Message.
  [[nodiscard]] SendToMember WithMessage(LinkMessage aValue) const
  {
    auto copy = *this;
    copy.mFields.mMessage = std::move(aValue);
    return copy;
  }

  friend bool operator==(const SendToMember&, const SendToMember&) = default;
  friend auto operator<=>(const SendToMember&, const SendToMember&) = default;

private:
  explicit SendToMember(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
