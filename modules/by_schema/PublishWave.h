#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

namespace by {

/// Publishes the progress of a wave to operators.
class PublishWave
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Number of the wave.
    std::uint64_t mNumber{ 0 };
    /// Whether every machine of the wave has been maintained.
    bool mCompleted{ false };

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  PublishWave() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<PublishWave> Create(Fields aFields)
  {
    return PublishWave(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Number of the wave.
  std::uint64_t Number() const { return mFields.mNumber; }
  /// @returns a copy of this value with another Number.
  [[nodiscard]] PublishWave WithNumber(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mNumber = std::move(aValue);
    return copy;
  }

  /// Whether every machine of the wave has been maintained.
  bool Completed() const { return mFields.mCompleted; }
  /// @returns a copy of this value with another Completed.
  [[nodiscard]] PublishWave WithCompleted(bool aValue) const
  {
    auto copy = *this;
    copy.mFields.mCompleted = std::move(aValue);
    return copy;
  }

  friend bool operator==(const PublishWave&, const PublishWave&) = default;
  friend auto operator<=>(const PublishWave&, const PublishWave&) = default;

private:
  explicit PublishWave(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
