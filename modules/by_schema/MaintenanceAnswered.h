#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_schema/MaintenanceOutcome.h"

namespace by {

/// An order to begin a machine's upkeep was answered, or was given up.
class MaintenanceAnswered
{
public:
  /// The fields by name, for Create().
  struct Fields
  {
    /// The machine.
    std::string mMachine{};
    /// The wave.
    std::uint64_t mWave{ 0 };
    /// What became of it.
    MaintenanceOutcome mOutcome{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// The value with every field at its default.
  MaintenanceAnswered() = default;

  /// Builds a value from its fields.
  /// @returns the value, or InvalidArgument naming the field that is out of its bounds.
  static absl::StatusOr<MaintenanceAnswered> Create(Fields aFields)
  {
    return MaintenanceAnswered(std::move(aFields));
  }

  /// Copies the fields, to build a changed value from them.
  Fields ToFields() const { return mFields; }

  /// The machine.
  const std::string& Machine() const { return mFields.mMachine; }
  /// @returns this value with another Machine.
  [[nodiscard]] MaintenanceAnswered WithMachine(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mMachine = std::move(aValue);
    return copy;
  }

  /// The wave.
  std::uint64_t Wave() const { return mFields.mWave; }
  /// @returns this value with another Wave.
  [[nodiscard]] MaintenanceAnswered WithWave(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mWave = std::move(aValue);
    return copy;
  }

  /// What became of it.
  MaintenanceOutcome Outcome() const { return mFields.mOutcome; }
  /// @returns this value with another Outcome.
  [[nodiscard]] MaintenanceAnswered WithOutcome(MaintenanceOutcome aValue) const
  {
    auto copy = *this;
    copy.mFields.mOutcome = std::move(aValue);
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
