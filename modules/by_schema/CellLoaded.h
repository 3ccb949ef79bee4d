#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_schema/KeyedRecord.h"
#include "by_schema/StoreOutcome.h"

namespace by {

/// The cell was read, or could not be.
class CellLoaded
{
public:
  /// The fields by name, for Create().
  struct Fields
  {
    /// How it ended.
    StoreOutcome mOutcome{};
    /// The owner's epoch.
    std::uint64_t mEpoch{ 0 };
    /// All records.
    std::vector<KeyedRecord> mRecords{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// The value with every field at its default.
  CellLoaded() = default;

  /// Builds a value from its fields.
  /// @returns the value, or InvalidArgument naming the field that is out of its bounds.
  static absl::StatusOr<CellLoaded> Create(Fields aFields)
  {
    return CellLoaded(std::move(aFields));
  }

  /// Copies the fields, to build a changed value from them.
  Fields ToFields() const { return mFields; }

  /// How it ended.
  StoreOutcome Outcome() const { return mFields.mOutcome; }
  /// @returns this value with another Outcome.
  [[nodiscard]] CellLoaded WithOutcome(StoreOutcome aValue) const
  {
    auto copy = *this;
    copy.mFields.mOutcome = std::move(aValue);
    return copy;
  }

  /// The owner's epoch.
  std::uint64_t Epoch() const { return mFields.mEpoch; }
  /// @returns this value with another Epoch.
  [[nodiscard]] CellLoaded WithEpoch(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mEpoch = std::move(aValue);
    return copy;
  }

  /// All records.
  const std::vector<KeyedRecord>& Records() const { return mFields.mRecords; }
  /// @returns this value with another Records.
  [[nodiscard]] CellLoaded WithRecords(std::vector<KeyedRecord> aValue) const
  {
    auto copy = *this;
    copy.mFields.mRecords = std::move(aValue);
    return copy;
  }

  friend bool operator==(const CellLoaded&, const CellLoaded&) = default;
  friend auto operator<=>(const CellLoaded&, const CellLoaded&) = default;

private:
  explicit CellLoaded(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
