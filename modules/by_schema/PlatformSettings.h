#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_core/Time.h"
#include "by_schema/Endpoint.h"

namespace by {

/// Connection to the platform.
class PlatformSettings
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Endpoint of the platform's log and list of VMs.
    by::Endpoint mEndpoint{};
    /// Timeout of a call.
    Time mCallTimeout{ Time::FromMilliseconds(2000) };
    /// Interval between reads of the list of VMs.
    Time mListInterval{ Time::FromMilliseconds(1000) };
    /// How long a read of the log waits for a new record.
    Time mReadWait{ Time::FromMilliseconds(1000) };
    /// Maximum number of appends to the log that this node makes per second; one append holds up to
    /// 64 records.
    std::int64_t mAppendBudget{ 25 };
    /// How long records are collected before they are appended together.
    Time mBatchInterval{ Time::FromMilliseconds(20) };
    /// How long the platform keeps a record.
    Time mRetention{ Time::FromMilliseconds(3600000) };

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  PlatformSettings() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<PlatformSettings> Create(Fields aFields);

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Endpoint of the platform's log and list of VMs.
  const by::Endpoint& Endpoint() const { return mFields.mEndpoint; }
  /// @returns a copy of this value with another Endpoint.
  [[nodiscard]] PlatformSettings WithEndpoint(by::Endpoint aValue) const
  {
    auto copy = *this;
    copy.mFields.mEndpoint = std::move(aValue);
    return copy;
  }

  /// Timeout of a call.
  Time CallTimeout() const { return mFields.mCallTimeout; }

  /// Interval between reads of the list of VMs.
  Time ListInterval() const { return mFields.mListInterval; }

  /// How long a read of the log waits for a new record.
  Time ReadWait() const { return mFields.mReadWait; }

  /// Maximum number of appends to the log that this node makes per second; one append holds up to
  /// 64 records.
  std::int64_t AppendBudget() const { return mFields.mAppendBudget; }

  /// How long records are collected before they are appended together.
  Time BatchInterval() const { return mFields.mBatchInterval; }

  /// How long the platform keeps a record.
  Time Retention() const { return mFields.mRetention; }

  friend bool operator==(const PlatformSettings&, const PlatformSettings&) = default;
  friend auto operator<=>(const PlatformSettings&, const PlatformSettings&) = default;

private:
  explicit PlatformSettings(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
