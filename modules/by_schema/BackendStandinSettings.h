#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_schema/BackendVmSettings.h"
#include "by_schema/Endpoint.h"

namespace by {

/// Settings of the backend server stand-in, which runs many VMs in one process.
class BackendStandinSettings
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// The VMs.
    std::vector<BackendVmSettings> mVms{};
    /// Endpoint of the switches and counters of all VMs, including dead ones; port 0 lets the
    /// operating system choose.
    Endpoint mControl{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  BackendStandinSettings() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<BackendStandinSettings> Create(Fields aFields)
  {
    return BackendStandinSettings(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// The VMs.
  const std::vector<BackendVmSettings>& Vms() const { return mFields.mVms; }
  /// @returns a copy of this value with another Vms.
  [[nodiscard]] BackendStandinSettings WithVms(std::vector<BackendVmSettings> aValue) const
  {
    auto copy = *this;
    copy.mFields.mVms = std::move(aValue);
    return copy;
  }

  /// Endpoint of the switches and counters of all VMs, including dead ones; port 0 lets the
  /// operating system choose.
  const Endpoint& Control() const { return mFields.mControl; }
  /// @returns a copy of this value with another Control.
  [[nodiscard]] BackendStandinSettings WithControl(Endpoint aValue) const
  {
    auto copy = *this;
    copy.mFields.mControl = std::move(aValue);
    return copy;
  }

  friend bool operator==(const BackendStandinSettings&, const BackendStandinSettings&) = default;
  friend auto operator<=>(const BackendStandinSettings&, const BackendStandinSettings&) = default;

private:
  explicit BackendStandinSettings(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
