#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_core/Time.h"
#include "by_schema/LogRecord.h"

namespace by {

/// A record with its offset in the log.
class LogEntry
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Offset in the log; offsets have no gaps.
    std::uint64_t mOffset{ 0 };
    /// When the platform accepted the record.
    Time mAt{};
    /// The record.
    LogRecord mRecord{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  LogEntry() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<LogEntry> Create(Fields aFields) { return LogEntry(std::move(aFields)); }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Offset in the log; offsets have no gaps.
  std::uint64_t Offset() const { return mFields.mOffset; }
  /// @returns a copy of this value with another Offset.
  [[nodiscard]] LogEntry WithOffset(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mOffset = std::move(aValue);
    return copy;
  }

  /// When the platform accepted the record.
  Time At() const { return mFields.mAt; }
  /// @returns a copy of this value with another At.
  [[nodiscard]] LogEntry WithAt(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mAt = std::move(aValue);
    return copy;
  }

  /// The record.
  const LogRecord& Record() const { return mFields.mRecord; }
  /// @returns a copy of this value with another Record.
  [[nodiscard]] LogEntry WithRecord(LogRecord aValue) const
  {
    auto copy = *this;
    copy.mFields.mRecord = std::move(aValue);
    return copy;
  }

  friend bool operator==(const LogEntry&, const LogEntry&) = default;
  friend auto operator<=>(const LogEntry&, const LogEntry&) = default;

private:
  explicit LogEntry(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
