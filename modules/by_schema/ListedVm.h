#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_core/Time.h"
#include "by_schema/VmDescription.h"

namespace by {

/// A VM of the platform's list.
class ListedVm
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Last description of the VM; its state is leaving once the list no longer contains it.
    VmDescription mDescription{};
    /// Whether the last list contained it.
    bool mListed{ false };
    /// When it disappeared from the list; zero while it is listed.
    Time mMissingSince{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  ListedVm() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<ListedVm> Create(Fields aFields) { return ListedVm(std::move(aFields)); }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Last description of the VM; its state is leaving once the list no longer contains it.
  const VmDescription& Description() const { return mFields.mDescription; }
  /// @returns a copy of this value with another Description.
  [[nodiscard]] ListedVm WithDescription(VmDescription aValue) const
  {
    auto copy = *this;
    copy.mFields.mDescription = std::move(aValue);
    return copy;
  }

  /// Whether the last list contained it.
  bool Listed() const { return mFields.mListed; }
  /// @returns a copy of this value with another Listed.
  [[nodiscard]] ListedVm WithListed(bool aValue) const
  {
    auto copy = *this;
    copy.mFields.mListed = std::move(aValue);
    return copy;
  }

  /// When it disappeared from the list; zero while it is listed.
  Time MissingSince() const { return mFields.mMissingSince; }
  /// @returns a copy of this value with another MissingSince.
  [[nodiscard]] ListedVm WithMissingSince(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mMissingSince = std::move(aValue);
    return copy;
  }

  friend bool operator==(const ListedVm&, const ListedVm&) = default;
  friend auto operator<=>(const ListedVm&, const ListedVm&) = default;

private:
  explicit ListedVm(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
