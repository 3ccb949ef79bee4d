#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_core/Time.h"

namespace by {

/// Joins the group of entry nodes, or renews the membership in it.
class JoinGroup
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Node that joins: its name and its incarnation, as "NAME/INCARNATION".
    std::string mMember{};
    /// Generation of the group in the last answer; zero before the first.
    std::uint64_t mGeneration{ 0 };
    /// The store removes the member and elects another one if it is not heard from for this long.
    Time mMembershipTtl{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  JoinGroup() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<JoinGroup> Create(Fields aFields) { return JoinGroup(std::move(aFields)); }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Node that joins: its name and its incarnation, as "NAME/INCARNATION".
  const std::string& Member() const { return mFields.mMember; }
  /// @returns a copy of this value with another Member.
  [[nodiscard]] JoinGroup WithMember(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mMember = std::move(aValue);
    return copy;
  }

  /// Generation of the group in the last answer; zero before the first.
  std::uint64_t Generation() const { return mFields.mGeneration; }
  /// @returns a copy of this value with another Generation.
  [[nodiscard]] JoinGroup WithGeneration(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mGeneration = std::move(aValue);
    return copy;
  }

  /// The store removes the member and elects another one if it is not heard from for this long.
  Time MembershipTtl() const { return mFields.mMembershipTtl; }
  /// @returns a copy of this value with another MembershipTtl.
  [[nodiscard]] JoinGroup WithMembershipTtl(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mMembershipTtl = std::move(aValue);
    return copy;
  }

  friend bool operator==(const JoinGroup&, const JoinGroup&) = default;
  friend auto operator<=>(const JoinGroup&, const JoinGroup&) = default;

private:
  explicit JoinGroup(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
