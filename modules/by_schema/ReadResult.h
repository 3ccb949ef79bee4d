#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_schema/RawRecord.h"

namespace by {

/// Result of a read of the log.
class ReadResult
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Lowest offset that the platform still stores.
    std::uint64_t mFirstAvailable{ 0 };
    /// Offset that the next append will get.
    std::uint64_t mNextOffset{ 0 };
    /// Records from the requested offset on.
    std::vector<RawRecord> mRecords{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  ReadResult() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<ReadResult> Create(Fields aFields)
  {
    return ReadResult(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Lowest offset that the platform still stores.
  std::uint64_t FirstAvailable() const { return mFields.mFirstAvailable; }
  /// @returns a copy of this value with another FirstAvailable.
  [[nodiscard]] ReadResult WithFirstAvailable(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mFirstAvailable = std::move(aValue);
    return copy;
  }

  /// Offset that the next append will get.
  std::uint64_t NextOffset() const { return mFields.mNextOffset; }
  /// @returns a copy of this value with another NextOffset.
  [[nodiscard]] ReadResult WithNextOffset(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mNextOffset = std::move(aValue);
    return copy;
  }

  /// Records from the requested offset on.
  const std::vector<RawRecord>& Records() const { return mFields.mRecords; }
  /// @returns a copy of this value with another Records.
  [[nodiscard]] ReadResult WithRecords(std::vector<RawRecord> aValue) const
  {
    auto copy = *this;
    copy.mFields.mRecords = std::move(aValue);
    return copy;
  }

  friend bool operator==(const ReadResult&, const ReadResult&) = default;
  friend auto operator<=>(const ReadResult&, const ReadResult&) = default;

private:
  explicit ReadResult(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
