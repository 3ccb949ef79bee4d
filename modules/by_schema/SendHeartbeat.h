#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_schema/Heartbeat.h"

namespace by {

/// Sends a heartbeat to all other entry nodes.
class SendHeartbeat
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Heartbeat to send.
    by::Heartbeat mHeartbeat{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  SendHeartbeat() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<SendHeartbeat> Create(Fields aFields)
  {
    return SendHeartbeat(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Heartbeat to send.
  const by::Heartbeat& Heartbeat() const { return mFields.mHeartbeat; }
  /// @returns a copy of this value with another Heartbeat.
  [[nodiscard]] SendHeartbeat WithHeartbeat(by::Heartbeat aValue) const
  {
    auto copy = *this;
    copy.mFields.mHeartbeat = std::move(aValue);
    return copy;
  }

  friend bool operator==(const SendHeartbeat&, const SendHeartbeat&) = default;
  friend auto operator<=>(const SendHeartbeat&, const SendHeartbeat&) = default;

private:
  explicit SendHeartbeat(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
