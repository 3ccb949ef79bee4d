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

/// A LoadCell call ended.
class CellLoaded
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Outcome of the call.
    StoreOutcome mOutcome{};
    /// Epoch of the new owner.
    std::uint64_t mEpoch{ 0 };
    /// All records of the cell; empty unless the call succeeded.
    std::vector<KeyedRecord> mRecords{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  CellLoaded() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<CellLoaded> Create(Fields aFields)
  {
    return CellLoaded(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Outcome of the call.
  StoreOutcome Outcome() const { return mFields.mOutcome; }
  /// @returns a copy of this value with another Outcome.
  [[nodiscard]] CellLoaded WithOutcome(StoreOutcome aValue) const
  {
    auto copy = *this;
    copy.mFields.mOutcome = std::move(aValue);
    return copy;
  }

  /// Epoch of the new owner.
  std::uint64_t Epoch() const { return mFields.mEpoch; }
  /// @returns a copy of this value with another Epoch.
  [[nodiscard]] CellLoaded WithEpoch(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mEpoch = std::move(aValue);
    return copy;
  }

  /// All records of the cell; empty unless the call succeeded.
  const std::vector<KeyedRecord>& Records() const { return mFields.mRecords; }
  /// @returns a copy of this value with another Records.
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
