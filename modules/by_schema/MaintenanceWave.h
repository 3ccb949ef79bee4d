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

/// A wave that an operator asked for.
class MaintenanceWave
{
public:
  /// The fields by name, for Create().
  struct Fields
  {
    /// Its number.
    std::uint64_t mNumber{ 0 };
    /// The machines that need upkeep.
    std::vector<std::string> mMachines{};
    /// Time for all of them.
    Time mWithin{};
    /// Machines that may be down for it at once.
    std::uint32_t mLimit{ 0 };

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// The value with every field at its default.
  MaintenanceWave() = default;

  /// Builds a value from its fields.
  /// @returns the value, or InvalidArgument naming the field that is out of its bounds.
  static absl::StatusOr<MaintenanceWave> Create(Fields aFields);

  /// Copies the fields, to build a changed value from them.
  Fields ToFields() const { return mFields; }

  /// Its number.
  std::uint64_t Number() const { return mFields.mNumber; }
  /// @returns this value with another Number.
  [[nodiscard]] MaintenanceWave WithNumber(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mNumber = std::move(aValue);
    return copy;
  }

  /// The machines that need upkeep.
  const std::vector<std::string>& Machines() const { return mFields.mMachines; }
  /// @returns this value with another Machines.
  [[nodiscard]] MaintenanceWave WithMachines(std::vector<std::string> aValue) const
  {
    auto copy = *this;
    copy.mFields.mMachines = std::move(aValue);
    return copy;
  }

  /// Time for all of them.
  Time Within() const { return mFields.mWithin; }
  /// @returns this value with another Within.
  [[nodiscard]] MaintenanceWave WithWithin(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mWithin = std::move(aValue);
    return copy;
  }

  /// Machines that may be down for it at once.
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
