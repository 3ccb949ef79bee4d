#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

namespace by {

/// Takes a machine down for maintenance, which ends all runs on it.
class StartMaintenance
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Name of the machine.
    std::string mMachine{};
    /// Number of the wave.
    std::uint64_t mWave{ 0 };
    /// Epoch of the owner that sends the order.
    std::uint64_t mEpoch{ 0 };

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  StartMaintenance() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<StartMaintenance> Create(Fields aFields)
  {
    return StartMaintenance(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Name of the machine.
  const std::string& Machine() const { return mFields.mMachine; }
  /// @returns a copy of this value with another Machine.
  [[nodiscard]] StartMaintenance WithMachine(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mMachine = std::move(aValue);
    return copy;
  }

  /// Number of the wave.
  std::uint64_t Wave() const { return mFields.mWave; }
  /// @returns a copy of this value with another Wave.
  [[nodiscard]] StartMaintenance WithWave(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mWave = std::move(aValue);
    return copy;
  }

  /// Epoch of the owner that sends the order.
  std::uint64_t Epoch() const { return mFields.mEpoch; }
  /// @returns a copy of this value with another Epoch.
  [[nodiscard]] StartMaintenance WithEpoch(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mEpoch = std::move(aValue);
    return copy;
  }

  friend bool operator==(const StartMaintenance&, const StartMaintenance&) = default;
  friend auto operator<=>(const StartMaintenance&, const StartMaintenance&) = default;

private:
  explicit StartMaintenance(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
