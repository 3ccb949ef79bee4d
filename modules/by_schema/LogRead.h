#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_core/Time.h"
#include "by_schema/LogEntry.h"

namespace by {

/// A part of the log was read.
class LogRead
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Lowest offset that the platform still stores.
    std::uint64_t mFirstAvailable{ 0 };
    /// Offset that the next append will get.
    std::uint64_t mNextOffset{ 0 };
    /// Entries in log order.
    std::vector<LogEntry> mEntries{};
    /// When the read was sent.
    Time mSentAt{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  LogRead() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<LogRead> Create(Fields aFields) { return LogRead(std::move(aFields)); }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Lowest offset that the platform still stores.
  std::uint64_t FirstAvailable() const { return mFields.mFirstAvailable; }
  /// @returns a copy of this value with another FirstAvailable.
  [[nodiscard]] LogRead WithFirstAvailable(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mFirstAvailable = std::move(aValue);
    return copy;
  }

  /// Offset that the next append will get.
  std::uint64_t NextOffset() const { return mFields.mNextOffset; }
  /// @returns a copy of this value with another NextOffset.
  [[nodiscard]] LogRead WithNextOffset(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mNextOffset = std::move(aValue);
    return copy;
  }

  /// Entries in log order.
  const std::vector<LogEntry>& Entries() const { return mFields.mEntries; }
  /// @returns a copy of this value with another Entries.
  [[nodiscard]] LogRead WithEntries(std::vector<LogEntry> aValue) const
  {
    auto copy = *this;
    copy.mFields.mEntries = std::move(aValue);
    return copy;
  }

  /// When the read was sent.
  Time SentAt() const { return mFields.mSentAt; }
  /// @returns a copy of this value with another SentAt.
  [[nodiscard]] LogRead WithSentAt(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mSentAt = std::move(aValue);
    return copy;
  }

  friend bool operator==(const LogRead&, const LogRead&) = default;
  friend auto operator<=>(const LogRead&, const LogRead&) = default;

private:
  explicit LogRead(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
