#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_core/Identifier.h"
#include "by_schema/Endpoint.h"
#include "by_schema/TaskStart.h"

namespace by {

/// Sends a start to a backend server.
class SendStart
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// VM of the backend server.
    VmId mVm{};
    /// Endpoint of the backend server.
    by::Endpoint mEndpoint{};
    /// Start to send.
    TaskStart mStart{};
    /// Whether the call is answered only when the task ends; otherwise at once.
    bool mWaitForEnd{ false };

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  SendStart() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<SendStart> Create(Fields aFields) { return SendStart(std::move(aFields)); }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// VM of the backend server.
  const VmId& Vm() const { return mFields.mVm; }
  /// @returns a copy of this value with another Vm.
  [[nodiscard]] SendStart WithVm(VmId aValue) const
  {
    auto copy = *this;
    copy.mFields.mVm = std::move(aValue);
    return copy;
  }

  /// Endpoint of the backend server.
  const by::Endpoint& Endpoint() const { return mFields.mEndpoint; }
  /// @returns a copy of this value with another Endpoint.
  [[nodiscard]] SendStart WithEndpoint(by::Endpoint aValue) const
  {
    auto copy = *this;
    copy.mFields.mEndpoint = std::move(aValue);
    return copy;
  }

  /// Start to send.
  const TaskStart& Start() const { return mFields.mStart; }
  /// @returns a copy of this value with another Start.
  [[nodiscard]] SendStart WithStart(TaskStart aValue) const
  {
    auto copy = *this;
    copy.mFields.mStart = std::move(aValue);
    return copy;
  }

  /// Whether the call is answered only when the task ends; otherwise at once.
  bool WaitForEnd() const { return mFields.mWaitForEnd; }
  /// @returns a copy of this value with another WaitForEnd.
  [[nodiscard]] SendStart WithWaitForEnd(bool aValue) const
  {
    auto copy = *this;
    copy.mFields.mWaitForEnd = std::move(aValue);
    return copy;
  }

  friend bool operator==(const SendStart&, const SendStart&) = default;
  friend auto operator<=>(const SendStart&, const SendStart&) = default;

private:
  explicit SendStart(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
