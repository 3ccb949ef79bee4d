#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_schema/KeyedRecord.h"

namespace by {

/// Appends records to the cell's log.
class AppendToCell
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Epoch of the owner that appends.
    std::uint64_t mEpoch{ 0 };
    /// Sequence number of the append within the epoch, from 0.
    std::uint64_t mSequence{ 0 };
    /// Records to append.
    std::vector<KeyedRecord> mRecords{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  AppendToCell() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<AppendToCell> Create(Fields aFields)
  {
    return AppendToCell(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Epoch of the owner that appends.
  std::uint64_t Epoch() const { return mFields.mEpoch; }
  /// @returns a copy of this value with another Epoch.
  [[nodiscard]] AppendToCell WithEpoch(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mEpoch = std::move(aValue);
    return copy;
  }

  /// Sequence number of the append within the epoch, from 0.
  std::uint64_t Sequence() const { return mFields.mSequence; }
  /// @returns a copy of this value with another Sequence.
  [[nodiscard]] AppendToCell WithSequence(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mSequence = std::move(aValue);
    return copy;
  }

  /// Records to append.
  const std::vector<KeyedRecord>& Records() const { return mFields.mRecords; }
  /// @returns a copy of this value with another Records.
  [[nodiscard]] AppendToCell WithRecords(std::vector<KeyedRecord> aValue) const
  {
    auto copy = *this;
    copy.mFields.mRecords = std::move(aValue);
    return copy;
  }

  friend bool operator==(const AppendToCell&, const AppendToCell&) = default;
  friend auto operator<=>(const AppendToCell&, const AppendToCell&) = default;

private:
  explicit AppendToCell(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
