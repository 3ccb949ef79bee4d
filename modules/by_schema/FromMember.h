#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_core/Time.h"
#include "by_schema/LinkMessage.h"

namespace by {

/// A message arrived over a link that another node opened.
class FromMember
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Name of the sending node.
    std::string mNode{};
    /// Message that arrived.
    LinkMessage mMessage{};
    /// When it arrived.
    Time mReceived{};
    /// Number of the link that it arrived over.
    std::uint64_t mLink{ 0 };

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  FromMember() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<FromMember> Create(Fields aFields)
  {
    return FromMember(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Name of the sending node.
  const std::string& Node() const { return mFields.mNode; }
  /// @returns a copy of this value with another Node.
  [[nodiscard]] FromMember WithNode(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mNode = std::move(aValue);
    return copy;
  }

  /// Message that arrived.
  const LinkMessage& Message() const { return mFields.mMessage; }
  /// @returns a copy of this value with another Message.
  [[nodiscard]] FromMember WithMessage(LinkMessage aValue) const
  {
    auto copy = *this;
    copy.mFields.mMessage = std::move(aValue);
    return copy;
  }

  /// When it arrived.
  Time Received() const { return mFields.mReceived; }
  /// @returns a copy of this value with another Received.
  [[nodiscard]] FromMember WithReceived(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mReceived = std::move(aValue);
    return copy;
  }

  /// Number of the link that it arrived over.
  std::uint64_t Link() const { return mFields.mLink; }
  /// @returns a copy of this value with another Link.
  [[nodiscard]] FromMember WithLink(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mLink = std::move(aValue);
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
