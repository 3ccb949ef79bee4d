#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_schema/StoreOutcome.h"

namespace by {

/// An append to the cell's log ended.
class CellAppended
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Epoch of the owner that appended.
    std::uint64_t mEpoch{ 0 };
    /// Sequence number of the append within the epoch.
    std::uint64_t mSequence{ 0 };
    /// Outcome of the append.
    StoreOutcome mOutcome{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  CellAppended() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<CellAppended> Create(Fields aFields)
  {
    return CellAppended(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Epoch of the owner that appended.
  std::uint64_t Epoch() const { return mFields.mEpoch; }
  /// @returns a copy of this value with another Epoch.
  [[nodiscard]] CellAppended WithEpoch(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mEpoch = std::move(aValue);
    return copy;
  }

  /// Sequence number of the append within the epoch.
  std::uint64_t Sequence() const { return mFields.mSequence; }
  /// @returns a copy of this value with another Sequence.
  [[nodiscard]] CellAppended WithSequence(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mSequence = std::move(aValue);
    return copy;
  }

  /// Outcome of the append.
  StoreOutcome Outcome() const { return mFields.mOutcome; }
  /// @returns a copy of this value with another Outcome.
  [[nodiscard]] CellAppended WithOutcome(StoreOutcome aValue) const
  {
    auto copy = *this;
    copy.mFields.mOutcome = std::move(aValue);
    return copy;
  }

  friend bool operator==(const CellAppended&, const CellAppended&) = default;
  friend auto operator<=>(const CellAppended&, const CellAppended&) = default;

private:
  explicit CellAppended(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
