#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_schema/LinkMessage.h"

namespace by {

/// Sends a message to a node that opened a link to this one.
class SendToMember
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Name of the receiving node.
    std::string mNode{};
    /// Message to send.
    LinkMessage mMessage{};
    /// Number of the link to send it over; the message is dropped if that link is over.
    std::uint64_t mLink{ 0 };

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  SendToMember() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<SendToMember> Create(Fields aFields)
  {
    return SendToMember(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Name of the receiving node.
  const std::string& Node() const { return mFields.mNode; }
  /// @returns a copy of this value with another Node.
  [[nodiscard]] SendToMember WithNode(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mNode = std::move(aValue);
    return copy;
  }

  /// Message to send.
  const LinkMessage& Message() const { return mFields.mMessage; }
  /// @returns a copy of this value with another Message.
  [[nodiscard]] SendToMember WithMessage(LinkMessage aValue) const
  {
    auto copy = *this;
    copy.mFields.mMessage = std::move(aValue);
    return copy;
  }

  /// Number of the link to send it over; the message is dropped if that link is over.
  std::uint64_t Link() const { return mFields.mLink; }
  /// @returns a copy of this value with another Link.
  [[nodiscard]] SendToMember WithLink(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mLink = std::move(aValue);
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
