#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

namespace by {

/// The first message on a link.
class LinkHello
{
public:
  /// The fields by name, for Create().
  struct Fields
  {
    /// The node that opened the link.
    std::string mNode{};
    /// Drawn anew at each start of its process.
    std::uint64_t mIncarnation{ 0 };
    /// The epoch under which it takes the other side for the owner.
    std::uint64_t mEpoch{ 0 };

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// The value with every field at its default.
  LinkHello() = default;

  /// Builds a value from its fields.
  /// @returns the value, or InvalidArgument naming the field that is out of its bounds.
  static absl::StatusOr<LinkHello> Create(Fields aFields) { return LinkHello(std::move(aFields)); }

  /// Copies the fields, to build a changed value from them.
  Fields ToFields() const { return mFields; }

  /// The node that opened the link.
  const std::string& Node() const { return mFields.mNode; }
  /// @returns this value with another Node.
  [[nodiscard]] LinkHello WithNode(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mNode = std::move(aValue);
    return copy;
  }

  /// Drawn anew at each start of its process.
  std::uint64_t Incarnation() const { return mFields.mIncarnation; }
  /// @returns this value with another Incarnation.
  [[nodiscard]] LinkHello WithIncarnation(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mIncarnation = std::move(aValue);
    return copy;
  }

  /// The epoch under which it takes the other side for the owner.
  std::uint64_t Epoch() const { return mFields.mEpoch; }
  /// @returns this value with another Epoch.
  [[nodiscard]] LinkHello WithEpoch(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mEpoch = std::move(aValue);
    return copy;
  }

  friend bool operator==(const LinkHello&, const LinkHello&) = default;
  friend auto operator<=>(const LinkHello&, const LinkHello&) = default;

private:
  explicit LinkHello(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
