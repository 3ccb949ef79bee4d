#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_core/Identifier.h"
#include "by_core/Time.h"
#include "by_schema/Endpoint.h"
#include "by_schema/Resources.h"

namespace by {

/// One VM of the backend server stand-in.
class BackendVmSettings
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Identifier of the VM.
    VmId mVm{};
    /// Endpoint to listen on; port 0 lets the operating system choose.
    Endpoint mListen{};
    /// Total resources.
    Resources mCapacity{};
    /// Maximum number of concurrent connections.
    std::int64_t mConnections{ 64 };
    /// Delay of its reports of resource use.
    Time mUsageLag{ Time::FromMilliseconds(1000) };

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  BackendVmSettings() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<BackendVmSettings> Create(Fields aFields);

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Identifier of the VM.
  const VmId& Vm() const { return mFields.mVm; }

  /// Endpoint to listen on; port 0 lets the operating system choose.
  const Endpoint& Listen() const { return mFields.mListen; }
  /// @returns a copy of this value with another Listen.
  [[nodiscard]] BackendVmSettings WithListen(Endpoint aValue) const
  {
    auto copy = *this;
    copy.mFields.mListen = std::move(aValue);
    return copy;
  }

  /// Total resources.
  const Resources& Capacity() const { return mFields.mCapacity; }
  /// @returns a copy of this value with another Capacity.
  [[nodiscard]] BackendVmSettings WithCapacity(Resources aValue) const
  {
    auto copy = *this;
    copy.mFields.mCapacity = std::move(aValue);
    return copy;
  }

  /// Maximum number of concurrent connections.
  std::int64_t Connections() const { return mFields.mConnections; }

  /// Delay of its reports of resource use.
  Time UsageLag() const { return mFields.mUsageLag; }

  friend bool operator==(const BackendVmSettings&, const BackendVmSettings&) = default;
  friend auto operator<=>(const BackendVmSettings&, const BackendVmSettings&) = default;

private:
  explicit BackendVmSettings(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
