#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_schema/CellRecord.h"

namespace by {

/// A record under its key; the newest of each key is kept.
class KeyedRecord
{
public:
  /// The fields by name, for Create().
  struct Fields
  {
    /// The key.
    std::string mKey{};
    /// Absent to drop the key.
    std::optional<CellRecord> mRecord{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// The value with every field at its default.
  KeyedRecord() = default;

  /// Builds a value from its fields.
  /// @returns the value, or InvalidArgument naming the field that is out of its bounds.
  static absl::StatusOr<KeyedRecord> Create(Fields aFields)
  {
    return KeyedRecord(std::move(aFields));
  }

  /// Copies the fields, to build a changed value from them.
  Fields ToFields() const { return mFields; }

  /// The key.
  const std::string& Key() const { return mFields.mKey; }
  /// @returns this value with another Key.
  [[nodiscard]] KeyedRecord WithKey(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mKey = std::move(aValue);
    return copy;
  }

  /// Absent to drop the key.
  const std::optional<CellRecord>& Record() const { return mFields.mRecord; }
  /// @returns this value with another Record.
  [[nodiscard]] KeyedRecord WithRecord(std::optional<CellRecord> aValue) const
  {
    auto copy = *this;
    copy.mFields.mRecord = std::move(aValue);
    return copy;
  }

  friend bool operator==(const KeyedRecord&, const KeyedRecord&) = default;
  friend auto operator<=>(const KeyedRecord&, const KeyedRecord&) = default;

private:
  explicit KeyedRecord(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
