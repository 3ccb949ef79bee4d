#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

namespace by {

/// Amounts of the resources that a VM offers or a task requests.
class Resources
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Processor time.
    std::int64_t mCpuMillis{ 0 };
    /// Memory.
    std::int64_t mMemoryMb{ 0 };
    /// Number of accelerators.
    std::int64_t mAccelerators{ 0 };
    /// Number of task slots.
    std::int64_t mSlots{ 0 };

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  Resources() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<Resources> Create(Fields aFields) { return Resources(std::move(aFields)); }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Processor time.
  std::int64_t CpuMillis() const { return mFields.mCpuMillis; }
  /// @returns a copy of this value with another CpuMillis.
  [[nodiscard]] Resources WithCpuMillis(std::int64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mCpuMillis = std::move(aValue);
    return copy;
  }

  /// Memory.
  std::int64_t MemoryMb() const { return mFields.mMemoryMb; }
  /// @returns a copy of this value with another MemoryMb.
  [[nodiscard]] Resources WithMemoryMb(std::int64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mMemoryMb = std::move(aValue);
    return copy;
  }

  /// Number of accelerators.
  std::int64_t Accelerators() const { return mFields.mAccelerators; }
  /// @returns a copy of this value with another Accelerators.
  [[nodiscard]] Resources WithAccelerators(std::int64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mAccelerators = std::move(aValue);
    return copy;
  }

  /// Number of task slots.
  std::int64_t Slots() const { return mFields.mSlots; }
  /// @returns a copy of this value with another Slots.
  [[nodiscard]] Resources WithSlots(std::int64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mSlots = std::move(aValue);
    return copy;
  }

  friend bool operator==(const Resources&, const Resources&) = default;
  friend auto operator<=>(const Resources&, const Resources&) = default;

private:
  explicit Resources(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
