#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

namespace by {

/// Leaves the group, so that the cell is given away at once.
class LeaveGroup
{
public:
  /// The fields by name, for Create().
  struct Fields
  {
    /// The member.
    std::string mMember{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// The value with every field at its default.
  LeaveGroup() = default;

  /// Builds a value from its fields.
  /// @returns the value, or InvalidArgument naming the field that is out of its bounds.
  static absl::StatusOr<LeaveGroup> Create(Fields aFields)
  {
    return LeaveGroup(std::move(aFields));
  }

  /// Copies the fields, to build a changed value from them.
  Fields ToFields() const { return mFields; }

  /// The member.
  const std::string& Member() const { return mFields.mMember; }
  /// @returns this value with another Member.
  [[nodiscard]] LeaveGroup WithMember(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mMember = std::move(aValue);
    return copy;
  }

  friend bool operator==(const LeaveGroup&, const LeaveGroup&) = default;
  friend auto operator<=>(const LeaveGroup&, const LeaveGroup&) = default;

private:
  explicit LeaveGroup(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
