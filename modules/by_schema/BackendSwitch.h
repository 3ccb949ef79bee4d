#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

namespace by {

/// Switches that inject faults into one backend server stand-in.
class BackendSwitch
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Factor by which the run time of newly started tasks is multiplied.
    double mSlowFactor{ 1 };
    /// Whether each task fails as soon as it is started.
    bool mFailAll{ false };
    /// Whether calls wait until the server is resumed, while its lease keeps expiring.
    bool mPaused{ false };
    /// Whether connections are refused; the tasks and the lease of the server are lost.
    bool mDead{ false };
    /// Share of its total resources that the server has now; what runs goes on.
    std::uint32_t mCapacityPercent{ 100 };

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  BackendSwitch() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<BackendSwitch> Create(Fields aFields);

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Factor by which the run time of newly started tasks is multiplied.
  double SlowFactor() const { return mFields.mSlowFactor; }
  /// @returns a copy of this value with another SlowFactor.
  [[nodiscard]] BackendSwitch WithSlowFactor(double aValue) const
  {
    auto copy = *this;
    copy.mFields.mSlowFactor = std::move(aValue);
    return copy;
  }

  /// Whether each task fails as soon as it is started.
  bool FailAll() const { return mFields.mFailAll; }
  /// @returns a copy of this value with another FailAll.
  [[nodiscard]] BackendSwitch WithFailAll(bool aValue) const
  {
    auto copy = *this;
    copy.mFields.mFailAll = std::move(aValue);
    return copy;
  }

  /// Whether calls wait until the server is resumed, while its lease keeps expiring.
  bool Paused() const { return mFields.mPaused; }
  /// @returns a copy of this value with another Paused.
  [[nodiscard]] BackendSwitch WithPaused(bool aValue) const
  {
    auto copy = *this;
    copy.mFields.mPaused = std::move(aValue);
    return copy;
  }

  /// Whether connections are refused; the tasks and the lease of the server are lost.
  bool Dead() const { return mFields.mDead; }
  /// @returns a copy of this value with another Dead.
  [[nodiscard]] BackendSwitch WithDead(bool aValue) const
  {
    auto copy = *this;
    copy.mFields.mDead = std::move(aValue);
    return copy;
  }

  /// Share of its total resources that the server has now; what runs goes on.
  std::uint32_t CapacityPercent() const { return mFields.mCapacityPercent; }

  friend bool operator==(const BackendSwitch&, const BackendSwitch&) = default;
  friend auto operator<=>(const BackendSwitch&, const BackendSwitch&) = default;

private:
  explicit BackendSwitch(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
