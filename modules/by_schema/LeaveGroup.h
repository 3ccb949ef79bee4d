#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

namespace by {

/// Leaves the group of entry nodes, so that the store elects another owner at once.
class LeaveGroup
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Node that leaves: its name and its incarnation, as in JoinGroup.
    std::string mMember{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  LeaveGroup() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<LeaveGroup> Create(Fields aFields)
  {
    return LeaveGroup(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Node that leaves: its name and its incarnation, as in JoinGroup.
  const std::string& Member() const { return mFields.mMember; }
  /// @returns a copy of this value with another Member.
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
