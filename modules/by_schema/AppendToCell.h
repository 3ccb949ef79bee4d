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
  /// The fields by name, for Create().
  struct Fields
  {
    /// The owner's epoch.
    std::uint64_t mEpoch{ 0 };
    /// Counts the appends of an epoch, from 0.
    std::uint64_t mSequence{ 0 };
    /// The records.
    std::vector<KeyedRecord> mRecords{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// The value with every field at its default.
  AppendToCell() = default;

  /// Builds a value from its fields.
  /// @returns the value, or InvalidArgument naming the field that is out of its bounds.
  static absl::StatusOr<AppendToCell> Create(Fields aFields)
  {
    return AppendToCell(std::move(aFields));
  }

  /// Copies the fields, to build a changed value from them.
  Fields ToFields() const { return mFields; }

  /// The owner's epoch.
  std::uint64_t Epoch() const { return mFields.mEpoch; }
  /// @returns this value with another Epoch.
  [[nodiscard]] AppendToCell WithEpoch(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mEpoch = std::move(aValue);
    return copy;
  }

  /// Counts the appends of an epoch, from 0.
  std::uint64_t Sequence() const { return mFields.mSequence; }
  /// @returns this value with another Sequence.
  [[nodiscard]] AppendToCell WithSequence(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mSequence = std::move(aValue);
    return copy;
  }

  /// The records.
  const std::vector<KeyedRecord>& Records() const { return mFields.mRecords; }
  /// @returns this value with another Records.
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
