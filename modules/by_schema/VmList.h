#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_schema/VmDescription.h"

namespace by {

/// The platform's list of VMs; it lags behind the actual state.
class VmList
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// All VMs that the platform knows.
    std::vector<VmDescription> mVms{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  VmList() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<VmList> Create(Fields aFields) { return VmList(std::move(aFields)); }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// All VMs that the platform knows.
  const std::vector<VmDescription>& Vms() const { return mFields.mVms; }
  /// @returns a copy of this value with another Vms.
  [[nodiscard]] VmList WithVms(std::vector<VmDescription> aValue) const
  {
    auto copy = *this;
    copy.mFields.mVms = std::move(aValue);
    return copy;
  }

  friend bool operator==(const VmList&, const VmList&) = default;
  friend auto operator<=>(const VmList&, const VmList&) = default;

private:
  explicit VmList(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
