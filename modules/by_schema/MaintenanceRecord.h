#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

namespace by {

/// Record that is stored before a maintenance order is sent, so that a successor of the owner
/// counts the machine as down.
class MaintenanceRecord
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Number of the wave.
    std::uint64_t mWave{ 0 };
    /// Name of the machine; empty once the whole wave is complete.
    std::string mMachine{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  MaintenanceRecord() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<MaintenanceRecord> Create(Fields aFields)
  {
    return MaintenanceRecord(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Number of the wave.
  std::uint64_t Wave() const { return mFields.mWave; }
  /// @returns a copy of this value with another Wave.
  [[nodiscard]] MaintenanceRecord WithWave(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mWave = std::move(aValue);
    return copy;
  }

  /// Name of the machine; empty once the whole wave is complete.
  const std::string& Machine() const { return mFields.mMachine; }
  /// @returns a copy of this value with another Machine.
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
