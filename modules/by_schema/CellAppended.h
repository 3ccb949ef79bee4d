#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_schema/StoreOutcome.h"

namespace by {

/// An append ended.
class CellAppended
{
public:
  /// The fields by name, for Create().
  struct Fields
  {
    /// The owner's epoch.
    std::uint64_t mEpoch{ 0 };
    /// The append.
    std::uint64_t mSequence{ 0 };
    /// How it ended.
    StoreOutcome mOutcome{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// The value with every field at its default.
  CellAppended() = default;

  /// Builds a value from its fields.
  /// @returns the value, or InvalidArgument naming the field that is out of its bounds.
  static absl::StatusOr<CellAppended> Create(Fields aFields)
  {
    return CellAppended(std::move(aFields));
  }

  /// Copies the fields, to build a changed value from them.
  Fields ToFields() const { return mFields; }

  /// The owner's epoch.
  std::uint64_t Epoch() const { return mFields.mEpoch; }
  /// @returns this value with another Epoch.
  [[nodiscard]] CellAppended WithEpoch(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mEpoch = std::move(aValue);
    return copy;
  }

  /// The append.
  std::uint64_t Sequence() const { return mFields.mSequence; }
  /// @returns this value with another Sequence.
  [[nodiscard]] CellAppended WithSequence(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mSequence = std::move(aValue);
    return copy;
  }

  /// How it ended.
  StoreOutcome Outcome() const { return mFields.mOutcome; }
  /// @returns this value with another Outcome.
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
