#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_schema/LogRecord.h"

namespace by {

/// Appends records to the platform's log.
class AppendRecords
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Records to append, all or none.
    std::vector<LogRecord> mRecords{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  AppendRecords() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<AppendRecords> Create(Fields aFields)
  {
    return AppendRecords(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Records to append, all or none.
  const std::vector<LogRecord>& Records() const { return mFields.mRecords; }
  /// @returns a copy of this value with another Records.
  [[nodiscard]] AppendRecords WithRecords(std::vector<LogRecord> aValue) const
  {
    auto copy = *this;
    copy.mFields.mRecords = std::move(aValue);
    return copy;
  }

  friend bool operator==(const AppendRecords&, const AppendRecords&) = default;
  friend auto operator<=>(const AppendRecords&, const AppendRecords&) = default;

private:
  explicit AppendRecords(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
