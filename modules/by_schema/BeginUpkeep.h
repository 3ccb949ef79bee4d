#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

namespace by {

/// Takes a machine down for its upkeep; all that runs there ends.
class BeginUpkeep
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
  BeginUpkeep() = default;

  /// Builds a value from its fields.
  /// @returns the value, or InvalidArgument naming the field that is out of its bounds.
  static absl::StatusOr<BeginUpkeep> Create(Fields aFields)
  {
    return BeginUpkeep(std::move(aFields));
  }

  /// Copies the fields, to build a changed value from them.
  Fields ToFields() const { return mFields; }

  /// The machine.
  const std::string& Machine() const { return mFields.mMachine; }
  /// @returns this value with another Machine.
  [[nodiscard]] BeginUpkeep WithMachine(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mMachine = std::move(aValue);
    return copy;
  }

  /// The wave.
  std::uint64_t Wave() const { return mFields.mWave; }
  /// @returns this value with another Wave.
  [[nodiscard]] BeginUpkeep WithWave(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mWave = std::move(aValue);
    return copy;
  }

  /// The owner's epoch.
  std::uint64_t Epoch() const { return mFields.mEpoch; }
  /// @returns this value with another Epoch.
  [[nodiscard]] BeginUpkeep WithEpoch(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mEpoch = std::move(aValue);
    return copy;
  }

  friend bool operator==(const BeginUpkeep&, const BeginUpkeep&) = default;
  friend auto operator<=>(const BeginUpkeep&, const BeginUpkeep&) = default;

private:
  explicit BeginUpkeep(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
