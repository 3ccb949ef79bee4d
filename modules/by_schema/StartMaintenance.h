#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

namespace by {

/// Takes a machine down for its upkeep; all that runs there ends.
class StartMaintenance
{
public:
  /// The fields by name, for Create().
  struct Fields
  {
    /// The machine.
    std::string mMachine{};
    /// The wave.
    std::uint64_t mWave{ 0 };
    /// The owner's epoch.
    std::uint64_t mEpoch{ 0 };

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// The value with every field at its default.
  StartMaintenance() = default;

  /// Builds a value from its fields.
  /// @returns the value, or InvalidArgument naming the field that is out of its bounds.
  static absl::StatusOr<StartMaintenance> Create(Fields aFields)
  {
    return StartMaintenance(std::move(aFields));
  }

  /// Copies the fields, to build a changed value from them.
  Fields ToFields() const { return mFields; }

  /// The machine.
  const std::string& Machine() const { return mFields.mMachine; }
  /// @returns this value with another Machine.
  [[nodiscard]] StartMaintenance WithMachine(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mMachine = std::move(aValue);
    return copy;
  }

  /// The wave.
  std::uint64_t Wave() const { return mFields.mWave; }
  /// @returns this value with another Wave.
  [[nodiscard]] StartMaintenance WithWave(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mWave = std::move(aValue);
    return copy;
  }

  /// The owner's epoch.
  std::uint64_t Epoch() const { return mFields.mEpoch; }
  /// @returns this value with another Epoch.
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
