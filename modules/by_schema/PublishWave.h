#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

namespace by {

/// Tells operators how far a wave is.
class PublishWave
{
public:
  /// The fields by name, for Create().
  struct Fields
  {
    /// The wave.
    std::uint64_t mNumber{ 0 };
    /// Whether every machine of it has had its upkeep.
    bool mCompleted{ false };

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// The value with every field at its default.
  PublishWave() = default;

  /// Builds a value from its fields.
  /// @returns the value, or InvalidArgument naming the field that is out of its bounds.
  static absl::StatusOr<PublishWave> Create(Fields aFields)
  {
    return PublishWave(std::move(aFields));
  }

  /// Copies the fields, to build a changed value from them.
  Fields ToFields() const { return mFields; }

  /// The wave.
  std::uint64_t Number() const { return mFields.mNumber; }
  /// @returns this value with another Number.
  [[nodiscard]] PublishWave WithNumber(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mNumber = std::move(aValue);
    return copy;
  }

  /// Whether every machine of it has had its upkeep.
  bool Completed() const { return mFields.mCompleted; }
  /// @returns this value with another Completed.
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
