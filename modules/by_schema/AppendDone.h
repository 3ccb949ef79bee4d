#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_core/Identifier.h"

namespace by {

/// Records were appended to the log.
class AppendDone
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Identifiers of the records.
    std::vector<RecordId> mRecords{};
    /// Offset of the first record.
    std::uint64_t mFirstOffset{ 0 };

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  AppendDone() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<AppendDone> Create(Fields aFields)
  {
    return AppendDone(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Identifiers of the records.
  const std::vector<RecordId>& Records() const { return mFields.mRecords; }
  /// @returns a copy of this value with another Records.
  [[nodiscard]] AppendDone WithRecords(std::vector<RecordId> aValue) const
  {
    auto copy = *this;
    copy.mFields.mRecords = std::move(aValue);
    return copy;
  }

  /// Offset of the first record.
  std::uint64_t FirstOffset() const { return mFields.mFirstOffset; }
  /// @returns a copy of this value with another FirstOffset.
  [[nodiscard]] AppendDone WithFirstOffset(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mFirstOffset = std::move(aValue);
    return copy;
  }

  friend bool operator==(const AppendDone&, const AppendDone&) = default;
  friend auto operator<=>(const AppendDone&, const AppendDone&) = default;

private:
  explicit AppendDone(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
