#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

namespace by {

/// The store took a wave's state, or did not.
class WavePublished
{
public:
  /// The fields by name, for Create().
  struct Fields
  {
    /// The wave.
    std::uint64_t mNumber{ 0 };
    /// What was to be shown.
    bool mCompleted{ false };
    /// Whether the store holds it.
    bool mStored{ false };

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// The value with every field at its default.
  WavePublished() = default;

  /// Builds a value from its fields.
  /// @returns the value, or InvalidArgument naming the field that is out of its bounds.
  static absl::StatusOr<WavePublished> Create(Fields aFields)
  {
    return WavePublished(std::move(aFields));
  }

  /// Copies the fields, to build a changed value from them.
  Fields ToFields() const { return mFields; }

  /// The wave.
  std::uint64_t Number() const { return mFields.mNumber; }
  /// @returns this value with another Number.
  [[nodiscard]] WavePublished WithNumber(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mNumber = std::move(aValue);
    return copy;
  }

  /// What was to be shown.
  bool Completed() const { return mFields.mCompleted; }
  /// @returns this value with another Completed.
  [[nodiscard]] WavePublished WithCompleted(bool aValue) const
  {
    auto copy = *this;
    copy.mFields.mCompleted = std::move(aValue);
    return copy;
  }

  /// Whether the store holds it.
  bool Stored() const { return mFields.mStored; }
  /// @returns this value with another Stored.
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
