#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

namespace by {

/// Row of the table of run-time estimates, one for each team and kind.
class LengthEstimate
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Number of ended tasks that the estimate is based on.
    std::int64_t mSamples{ 0 };
    /// Moving average of the run time.
    std::int64_t mMeanMicros{ 0 };
    /// Estimate of the 90th percentile of the run time.
    std::int64_t mHighMicros{ 0 };
    /// Moving average of the share of failed runs.
    std::int64_t mFailedPermille{ 0 };
    /// Moving average of the ratio of used to declared resources, at least 1000.
    std::int64_t mUsePermille{ 0 };

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  LengthEstimate() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<LengthEstimate> Create(Fields aFields)
  {
    return LengthEstimate(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Number of ended tasks that the estimate is based on.
  std::int64_t Samples() const { return mFields.mSamples; }
  /// @returns a copy of this value with another Samples.
  [[nodiscard]] LengthEstimate WithSamples(std::int64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mSamples = std::move(aValue);
    return copy;
  }

  /// Moving average of the run time.
  std::int64_t MeanMicros() const { return mFields.mMeanMicros; }
  /// @returns a copy of this value with another MeanMicros.
  [[nodiscard]] LengthEstimate WithMeanMicros(std::int64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mMeanMicros = std::move(aValue);
    return copy;
  }

  /// Estimate of the 90th percentile of the run time.
  std::int64_t HighMicros() const { return mFields.mHighMicros; }
  /// @returns a copy of this value with another HighMicros.
  [[nodiscard]] LengthEstimate WithHighMicros(std::int64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mHighMicros = std::move(aValue);
    return copy;
  }

  /// Moving average of the share of failed runs.
  std::int64_t FailedPermille() const { return mFields.mFailedPermille; }
  /// @returns a copy of this value with another FailedPermille.
  [[nodiscard]] LengthEstimate WithFailedPermille(std::int64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mFailedPermille = std::move(aValue);
    return copy;
  }

  /// Moving average of the ratio of used to declared resources, at least 1000.
  std::int64_t UsePermille() const { return mFields.mUsePermille; }
  /// @returns a copy of this value with another UsePermille.
  [[nodiscard]] LengthEstimate WithUsePermille(std::int64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mUsePermille = std::move(aValue);
    return copy;
  }

  friend bool operator==(const LengthEstimate&, const LengthEstimate&) = default;
  friend auto operator<=>(const LengthEstimate&, const LengthEstimate&) = default;

private:
  explicit LengthEstimate(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
