#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_schema/MaintenanceOutcome.h"

namespace by {

/// A maintenance order was answered, or timed out.
class MaintenanceAnswered
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Name of the machine.
    std::string mMachine{};
    /// Number of the wave.
    std::uint64_t mWave{ 0 };
    /// Outcome of the order.
    MaintenanceOutcome mOutcome{};
    /// Epoch of the owner that sent the order.
    std::uint64_t mEpoch{ 0 };

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  MaintenanceAnswered() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<MaintenanceAnswered> Create(Fields aFields)
  {
    return MaintenanceAnswered(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Name of the machine.
  const std::string& Machine() const { return mFields.mMachine; }
  /// @returns a copy of this value with another Machine.
  [[nodiscard]] MaintenanceAnswered WithMachine(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mMachine = std::move(aValue);
    return copy;
  }

  /// Number of the wave.
  std::uint64_t Wave() const { return mFields.mWave; }
  /// @returns a copy of this value with another Wave.
  [[nodiscard]] MaintenanceAnswered WithWave(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mWave = std::move(aValue);
    return copy;
  }

  /// Outcome of the order.
  MaintenanceOutcome Outcome() const { return mFields.mOutcome; }
  /// @returns a copy of this value with another Outcome.
  [[nodiscard]] MaintenanceAnswered WithOutcome(MaintenanceOutcome aValue) const
  {
    auto copy = *this;
    copy.mFields.mOutcome = std::move(aValue);
    return copy;
  }

  /// Epoch of the owner that sent the order.
  std::uint64_t Epoch() const { return mFields.mEpoch; }
  /// @returns a copy of this value with another Epoch.
  [[nodiscard]] MaintenanceAnswered WithEpoch(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mEpoch = std::move(aValue);
    return copy;
  }

  friend bool operator==(const MaintenanceAnswered&, const MaintenanceAnswered&) = default;
  friend auto operator<=>(const MaintenanceAnswered&, const MaintenanceAnswered&) = default;

private:
  explicit MaintenanceAnswered(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
