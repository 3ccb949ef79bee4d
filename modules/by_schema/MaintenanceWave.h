#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_core/Time.h"

namespace by {

/// A maintenance wave that an operator requested.
class MaintenanceWave
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Number of the wave.
    std::uint64_t mNumber{ 0 };
    /// Names of the machines to be maintained.
    std::vector<std::string> mMachines{};
    /// Time within which all machines must have been maintained.
    Time mWithin{};
    /// Maximum number of machines of the wave that may be down at the same time.
    std::uint32_t mLimit{ 0 };

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  MaintenanceWave() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<MaintenanceWave> Create(Fields aFields);

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Number of the wave.
  std::uint64_t Number() const { return mFields.mNumber; }
  /// @returns a copy of this value with another Number.
  [[nodiscard]] MaintenanceWave WithNumber(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mNumber = std::move(aValue);
    return copy;
  }

  /// Names of the machines to be maintained.
  const std::vector<std::string>& Machines() const { return mFields.mMachines; }
  /// @returns a copy of this value with another Machines.
  [[nodiscard]] MaintenanceWave WithMachines(std::vector<std::string> aValue) const
  {
    auto copy = *this;
    copy.mFields.mMachines = std::move(aValue);
    return copy;
  }

  /// Time within which all machines must have been maintained.
  Time Within() const { return mFields.mWithin; }
  /// @returns a copy of this value with another Within.
  [[nodiscard]] MaintenanceWave WithWithin(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mWithin = std::move(aValue);
    return copy;
  }

  /// Maximum number of machines of the wave that may be down at the same time.
  std::uint32_t Limit() const { return mFields.mLimit; }

  friend bool operator==(const MaintenanceWave&, const MaintenanceWave&) = default;
  friend auto operator<=>(const MaintenanceWave&, const MaintenanceWave&) = default;

private:
  explicit MaintenanceWave(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
