#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

namespace by {

/// The store accepted the progress of a wave, or did not.
class WavePublished
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Number of the wave.
    std::uint64_t mNumber{ 0 };
    /// Value of PublishWave::Completed() that was to be stored.
    bool mCompleted{ false };
    /// Whether the store accepted it.
    bool mStored{ false };

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  WavePublished() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<WavePublished> Create(Fields aFields)
  {
    return WavePublished(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Number of the wave.
  std::uint64_t Number() const { return mFields.mNumber; }
  /// @returns a copy of this value with another Number.
  [[nodiscard]] WavePublished WithNumber(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mNumber = std::move(aValue);
    return copy;
  }

  /// Value of PublishWave::Completed() that was to be stored.
  bool Completed() const { return mFields.mCompleted; }
  /// @returns a copy of this value with another Completed.
  [[nodiscard]] WavePublished WithCompleted(bool aValue) const
  {
    auto copy = *this;
    copy.mFields.mCompleted = std::move(aValue);
    return copy;
  }

  /// Whether the store accepted it.
  bool Stored() const { return mFields.mStored; }
  /// @returns a copy of this value with another Stored.
  [[nodiscard]] WavePublished WithStored(bool aValue) const
  {
    auto copy = *this;
    copy.mFields.mStored = std::move(aValue);
    return copy;
  }

  friend bool operator==(const WavePublished&, const WavePublished&) = default;
  friend auto operator<=>(const WavePublished&, const WavePublished&) = default;

private:
  explicit WavePublished(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
