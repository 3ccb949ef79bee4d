#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_core/Time.h"
#include "by_schema/Endpoint.h"
#include "by_schema/VmDescription.h"

namespace by {

/// Settings of the platform stand-in.
class PlatformStandinSettings
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Endpoint to listen on; port 0 lets the operating system choose.
    Endpoint mListen{};
    /// Maximum number of records that are accepted per second.
    std::int64_t mAppendRate{ 400 };
    /// How long a record is kept.
    Time mRetention{ Time::FromMilliseconds(3600000) };
    /// Maximum number of records that are kept.
    std::int64_t mRetentionCount{ 1000000 };
    /// Delay of changes in the list of VMs.
    Time mListLag{ Time::FromMilliseconds(500) };
    /// Initial list of VMs.
    std::vector<VmDescription> mVms{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  PlatformStandinSettings() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<PlatformStandinSettings> Create(Fields aFields);

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Endpoint to listen on; port 0 lets the operating system choose.
  const Endpoint& Listen() const { return mFields.mListen; }
  /// @returns a copy of this value with another Listen.
  [[nodiscard]] PlatformStandinSettings WithListen(Endpoint aValue) const
  {
    auto copy = *this;
    copy.mFields.mListen = std::move(aValue);
    return copy;
  }

  /// Maximum number of records that are accepted per second.
  std::int64_t AppendRate() const { return mFields.mAppendRate; }

  /// How long a record is kept.
  Time Retention() const { return mFields.mRetention; }

  /// Maximum number of records that are kept.
  std::int64_t RetentionCount() const { return mFields.mRetentionCount; }

  /// Delay of changes in the list of VMs.
  Time ListLag() const { return mFields.mListLag; }

  /// Initial list of VMs.
  const std::vector<VmDescription>& Vms() const { return mFields.mVms; }
  /// @returns a copy of this value with another Vms.
  [[nodiscard]] PlatformStandinSettings WithVms(std::vector<VmDescription> aValue) const
  {
    auto copy = *this;
    copy.mFields.mVms = std::move(aValue);
    return copy;
  }

  friend bool operator==(const PlatformStandinSettings&, const PlatformStandinSettings&) = default;
  friend auto operator<=>(const PlatformStandinSettings&, const PlatformStandinSettings&) = default;

private:
  explicit PlatformStandinSettings(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
