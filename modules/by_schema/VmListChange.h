#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_core/Identifier.h"
#include "by_schema/VmDescription.h"

namespace by {

/// A change of the list of VMs.
class VmListChange
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// VMs to add or replace.
    std::vector<VmDescription> mSet{};
    /// VMs to remove.
    std::vector<VmId> mRemove{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  VmListChange() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<VmListChange> Create(Fields aFields)
  {
    return VmListChange(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// VMs to add or replace.
  const std::vector<VmDescription>& Set() const { return mFields.mSet; }
  /// @returns a copy of this value with another Set.
  [[nodiscard]] VmListChange WithSet(std::vector<VmDescription> aValue) const
  {
    auto copy = *this;
    copy.mFields.mSet = std::move(aValue);
    return copy;
  }

  /// VMs to remove.
  const std::vector<VmId>& Remove() const { return mFields.mRemove; }
  /// @returns a copy of this value with another Remove.
  [[nodiscard]] VmListChange WithRemove(std::vector<VmId> aValue) const
  {
    auto copy = *this;
    copy.mFields.mRemove = std::move(aValue);
    return copy;
  }

  friend bool operator==(const VmListChange&, const VmListChange&) = default;
  friend auto operator<=>(const VmListChange&, const VmListChange&) = default;

private:
  explicit VmListChange(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
