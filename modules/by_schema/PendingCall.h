#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_core/Identifier.h"
#include "by_core/Time.h"

namespace by {

/// An operator's call that waits until the log shows its record.
class PendingCall
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Number of the call.
    std::uint64_t mCall{ 0 };
    /// Identifier of the record that carries the change.
    RecordId mRecord{};
    /// When the call is answered with ReplyCode::Unknown.
    Time mDeadline{};
    /// Intent that the call concerns; empty for the configuration.
    IntentId mIntent{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  PendingCall() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<PendingCall> Create(Fields aFields)
  {
    return PendingCall(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Number of the call.
  std::uint64_t Call() const { return mFields.mCall; }
  /// @returns a copy of this value with another Call.
  [[nodiscard]] PendingCall WithCall(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mCall = std::move(aValue);
    return copy;
  }

  /// Identifier of the record that carries the change.
  const RecordId& Record() const { return mFields.mRecord; }
  /// @returns a copy of this value with another Record.
  [[nodiscard]] PendingCall WithRecord(RecordId aValue) const
  {
    auto copy = *this;
    copy.mFields.mRecord = std::move(aValue);
    return copy;
  }

  /// When the call is answered with ReplyCode::Unknown.
  Time Deadline() const { return mFields.mDeadline; }
  /// @returns a copy of this value with another Deadline.
  [[nodiscard]] PendingCall WithDeadline(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mDeadline = std::move(aValue);
    return copy;
  }

  /// Intent that the call concerns; empty for the configuration.
  const IntentId& Intent() const { return mFields.mIntent; }
  /// @returns a copy of this value with another Intent.
  [[nodiscard]] PendingCall WithIntent(IntentId aValue) const
  {
    auto copy = *this;
    copy.mFields.mIntent = std::move(aValue);
    return copy;
  }

  friend bool operator==(const PendingCall&, const PendingCall&) = default;
  friend auto operator<=>(const PendingCall&, const PendingCall&) = default;

private:
  explicit PendingCall(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
