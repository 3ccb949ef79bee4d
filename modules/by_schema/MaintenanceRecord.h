#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

namespace by {

/// Stored before a machine's upkeep is ordered, so that a successor counts the machine as down.
class MaintenanceRecord
{
public:
  /// The fields by name, for Create().
  struct Fields
  {
    /// The wave.
    std::uint64_t mWave{ 0 };
    /// The machine; empty once the whole wave is completed.
    std::string mMachine{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// The value with every field at its default.
  MaintenanceRecord() = default;

  /// Builds a value from its fields.
  /// @returns the value, or InvalidArgument naming the field that is out of its bounds.
  static absl::StatusOr<MaintenanceRecord> Create(Fields aFields)
  {
    return MaintenanceRecord(std::move(aFields));
  }

  /// Copies the fields, to build a changed value from them.
  Fields ToFields() const { return mFields; }

  /// The wave.
  std::uint64_t Wave() const { return mFields.mWave; }
  /// @returns this value with another Wave.
  [[nodiscard]] MaintenanceRecord WithWave(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mWave = std::move(aValue);
    return copy;
  }

  /// The machine; empty once the whole wave is completed.
  const std::string& Machine() const { return mFields.mMachine; }
  /// @returns this value with another Machine.
  [[nodiscard]] MaintenanceRecord WithMachine(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mMachine = std::move(aValue);
    return copy;
  }

  friend bool operator==(const MaintenanceRecord&, const MaintenanceRecord&) = default;
  friend auto operator<=>(const MaintenanceRecord&, const MaintenanceRecord&) = default;

private:
  explicit MaintenanceRecord(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
