#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

namespace by {

/// A node opened a link here, or its link broke.
class MemberChanged
{
public:
  /// The fields by name, for Create().
  struct Fields
  {
    /// The node.
    std::string mNode{};
    /// Whether it is linked.
    bool mUp{ false };

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// The value with every field at its default.
  MemberChanged() = default;

  /// Builds a value from its fields.
  /// @returns the value, or InvalidArgument naming the field that is out of its bounds.
  static absl::StatusOr<MemberChanged> Create(Fields aFields)
  {
    return MemberChanged(std::move(aFields));
  }

  /// Copies the fields, to build a changed value from them.
  Fields ToFields() const { return mFields; }

  /// The node.
  const std::string& Node() const { return mFields.mNode; }
  /// @returns this value with another Node.
  [[nodiscard]] MemberChanged WithNode(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mNode = std::move(aValue);
    return copy;
  }

  /// Whether it is linked.
  bool Up() const { return mFields.mUp; }
  /// @returns this value with another Up.
  [[nodiscard]] MemberChanged WithUp(bool aValue) const
  {
    auto copy = *this;
    copy.mFields.mUp = std::move(aValue);
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
