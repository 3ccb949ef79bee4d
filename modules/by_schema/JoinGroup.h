#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_core/Time.h"

namespace by {

/// Joins the group of entry nodes, or stays in it.
class JoinGroup
{
public:
  /// The fields by name, for Create().
  struct Fields
  {
    /// The member.
    std::string mMember{};
    /// The generation of the last answer.
    std::uint64_t mGeneration{ 0 };
    /// After this long without a word the cell is given to another member.
    Time mMembershipTtl{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// The value with every field at its default.
  JoinGroup() = default;

  /// Builds a value from its fields.
  /// @returns the value, or InvalidArgument naming the field that is out of its bounds.
  static absl::StatusOr<JoinGroup> Create(Fields aFields) { return JoinGroup(std::move(aFields)); }

  /// Copies the fields, to build a changed value from them.
  Fields ToFields() const { return mFields; }

  /// The member.
  const std::string& Member() const { return mFields.mMember; }
  /// @returns this value with another Member.
  [[nodiscard]] JoinGroup WithMember(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mMember = std::move(aValue);
    return copy;
  }

  /// The generation of the last answer.
  std::uint64_t Generation() const { return mFields.mGeneration; }
  /// @returns this value with another Generation.
  [[nodiscard]] JoinGroup WithGeneration(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mGeneration = std::move(aValue);
    return copy;
  }

  /// After this long without a word the cell is given to another member.
  Time MembershipTtl() const { return mFields.mMembershipTtl; }
  /// @returns this value with another MembershipTtl.
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
