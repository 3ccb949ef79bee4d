#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_schema/Resources.h"

namespace by {

/// Row of the table of lanes: what runs that came from each.
class LaneRow
{
public:
  /// The fields by name, for Create().
  struct Fields
  {
    /// The room held by its running tasks.
    Resources mReserved{};
    /// Its running tasks.
    std::int64_t mRunning{ 0 };
    /// Moving average of the run time of its tasks.
    std::int64_t mMeanMicros{ 0 };

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// The value with every field at its default.
  LaneRow() = default;

  /// Builds a value from its fields.
  /// @returns the value, or InvalidArgument naming the field that is out of its bounds.
  static absl::StatusOr<LaneRow> Create(Fields aFields) { return LaneRow(std::move(aFields)); }

  /// Copies the fields, to build a changed value from them.
  Fields ToFields() const { return mFields; }

  /// The room held by its running tasks.
  const Resources& Reserved() const { return mFields.mReserved; }
  /// @returns this value with another Reserved.
  [[nodiscard]] LaneRow WithReserved(Resources aValue) const
  {
    auto copy = *this;
    copy.mFields.mReserved = std::move(aValue);
    return copy;
  }

  /// Its running tasks.
  std::int64_t Running() const { return mFields.mRunning; }
  /// @returns this value with another Running.
  [[nodiscard]] LaneRow WithRunning(std::int64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mRunning = std::move(aValue);
    return copy;
  }

  /// Moving average of the run time of its tasks.
  std::int64_t MeanMicros() const { return mFields.mMeanMicros; }
  /// @returns this value with another MeanMicros.
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
