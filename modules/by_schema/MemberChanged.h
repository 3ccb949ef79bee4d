#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

namespace by {

/// Another node opened a link to this one, or its link was lost.
class MemberChanged
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Name of the other node.
    std::string mNode{};
    /// Whether the link is established.
    bool mUp{ false };
    /// Number of the link, counted by this process; each connection has its own.
    std::uint64_t mLink{ 0 };

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  MemberChanged() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<MemberChanged> Create(Fields aFields)
  {
    return MemberChanged(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Name of the other node.
  const std::string& Node() const { return mFields.mNode; }
  /// @returns a copy of this value with another Node.
  [[nodiscard]] MemberChanged WithNode(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mNode = std::move(aValue);
    return copy;
  }

  /// Whether the link is established.
  bool Up() const { return mFields.mUp; }
  /// @returns a copy of this value with another Up.
  [[nodiscard]] MemberChanged WithUp(bool aValue) const
  {
    auto copy = *this;
    copy.mFields.mUp = std::move(aValue);
    return copy;
  }

  /// Number of the link, counted by this process; each connection has its own.
  std::uint64_t Link() const { return mFields.mLink; }
  /// @returns a copy of this value with another Link.
  [[nodiscard]] MemberChanged WithLink(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mLink = std::move(aValue);
    return copy;
  }

  friend bool operator==(const MemberChanged&, const MemberChanged&) = default;
  friend auto operator<=>(const MemberChanged&, const MemberChanged&) = default;

private:
  explicit MemberChanged(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
