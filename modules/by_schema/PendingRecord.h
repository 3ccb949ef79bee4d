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

/// A record that is to be appended to the log.
class PendingRecord
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// The record.
    LogRecord mRecord{};
    /// When the record is discarded if it has not been appended.
    Time mExpires{};
    /// Whether an attempt whose answer was lost may have appended it.
    bool mMayBeAppended{ false };

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  PendingRecord() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<PendingRecord> Create(Fields aFields)
  {
    return PendingRecord(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// The record.
  const LogRecord& Record() const { return mFields.mRecord; }
  /// @returns a copy of this value with another Record.
  [[nodiscard]] PendingRecord WithRecord(LogRecord aValue) const
  {
    auto copy = *this;
    copy.mFields.mRecord = std::move(aValue);
    return copy;
  }

  /// When the record is discarded if it has not been appended.
  Time Expires() const { return mFields.mExpires; }
  /// @returns a copy of this value with another Expires.
  [[nodiscard]] PendingRecord WithExpires(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mExpires = std::move(aValue);
    return copy;
  }

  /// Whether an attempt whose answer was lost may have appended it.
  bool MayBeAppended() const { return mFields.mMayBeAppended; }
  /// @returns a copy of this value with another MayBeAppended.
  [[nodiscard]] PendingRecord WithMayBeAppended(bool aValue) const
  {
    auto copy = *this;
    copy.mFields.mMayBeAppended = std::move(aValue);
    return copy;
  }

  friend bool operator==(const PendingRecord&, const PendingRecord&) = default;
  friend auto operator<=>(const PendingRecord&, const PendingRecord&) = default;

private:
  explicit PendingRecord(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
