#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_schema/Resources.h"

namespace by {

/// Row of the table of lanes; counts the running tasks of one lane.
class LaneRow
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Resources held by the running tasks of the lane.
    Resources mReserved{};
    /// Number of running tasks of the lane.
    std::int64_t mRunning{ 0 };
    /// Moving average of the run time of the lane's tasks.
    std::int64_t mMeanMicros{ 0 };

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  LaneRow() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<LaneRow> Create(Fields aFields) { return LaneRow(std::move(aFields)); }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Resources held by the running tasks of the lane.
  const Resources& Reserved() const { return mFields.mReserved; }
  /// @returns a copy of this value with another Reserved.
  [[nodiscard]] LaneRow WithReserved(Resources aValue) const
  {
    auto copy = *this;
    copy.mFields.mReserved = std::move(aValue);
    return copy;
  }

  /// Number of running tasks of the lane.
  std::int64_t Running() const { return mFields.mRunning; }
  /// @returns a copy of this value with another Running.
  [[nodiscard]] LaneRow WithRunning(std::int64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mRunning = std::move(aValue);
    return copy;
  }

  /// Moving average of the run time of the lane's tasks.
  std::int64_t MeanMicros() const { return mFields.mMeanMicros; }
  /// @returns a copy of this value with another MeanMicros.
  [[nodiscard]] LaneRow WithMeanMicros(std::int64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mMeanMicros = std::move(aValue);
    return copy;
  }

  friend bool operator==(const LaneRow&, const LaneRow&) = default;
  friend auto operator<=>(const LaneRow&, const LaneRow&) = default;

private:
  explicit LaneRow(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
