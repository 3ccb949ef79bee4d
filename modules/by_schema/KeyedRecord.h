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

/// Record with its key; the store keeps the newest record of each key.
class KeyedRecord
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Key of the record.
    std::string mKey{};
    /// New content; absent to delete the key.
    std::optional<CellRecord> mRecord{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  KeyedRecord() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<KeyedRecord> Create(Fields aFields)
  {
    return KeyedRecord(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Key of the record.
  const std::string& Key() const { return mFields.mKey; }
  /// @returns a copy of this value with another Key.
  [[nodiscard]] KeyedRecord WithKey(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mKey = std::move(aValue);
    return copy;
  }

  /// New content; absent to delete the key.
  const std::optional<CellRecord>& Record() const { return mFields.mRecord; }
  /// @returns a copy of this value with another Record.
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
