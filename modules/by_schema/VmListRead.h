#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_schema/VmList.h"

namespace by {

/// The platform's list of VMs was read.
class VmListRead
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// The list.
    VmList mList{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  VmListRead() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<VmListRead> Create(Fields aFields)
  {
    return VmListRead(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// The list.
  const VmList& List() const { return mFields.mList; }
  /// @returns a copy of this value with another List.
  [[nodiscard]] VmListRead WithList(VmList aValue) const
  {
    auto copy = *this;
    copy.mFields.mList = std::move(aValue);
    return copy;
  }

  friend bool operator==(const VmListRead&, const VmListRead&) = default;
  friend auto operator<=>(const VmListRead&, const VmListRead&) = default;

private:
  explicit VmListRead(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
