#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_core/Identifier.h"
#include "by_schema/Endpoint.h"
#include "by_schema/TaskCommand.h"

namespace by {

/// Sends a command for a running task to a backend server.
class SendCommand
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// VM of the backend server.
    VmId mVm{};
    /// Endpoint of the backend server.
    by::Endpoint mEndpoint{};
    /// Command to send.
    TaskCommand mCommand{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  SendCommand() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<SendCommand> Create(Fields aFields)
  {
    return SendCommand(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// VM of the backend server.
  const VmId& Vm() const { return mFields.mVm; }
  /// @returns a copy of this value with another Vm.
  [[nodiscard]] SendCommand WithVm(VmId aValue) const
  {
    auto copy = *this;
    copy.mFields.mVm = std::move(aValue);
    return copy;
  }

  /// Endpoint of the backend server.
  const by::Endpoint& Endpoint() const { return mFields.mEndpoint; }
  /// @returns a copy of this value with another Endpoint.
  [[nodiscard]] SendCommand WithEndpoint(by::Endpoint aValue) const
  {
    auto copy = *this;
    copy.mFields.mEndpoint = std::move(aValue);
    return copy;
  }

  /// Command to send.
  const TaskCommand& Command() const { return mFields.mCommand; }
  /// @returns a copy of this value with another Command.
  [[nodiscard]] SendCommand WithCommand(TaskCommand aValue) const
  {
    auto copy = *this;
    copy.mFields.mCommand = std::move(aValue);
    return copy;
  }

  friend bool operator==(const SendCommand&, const SendCommand&) = default;
  friend auto operator<=>(const SendCommand&, const SendCommand&) = default;

private:
  explicit SendCommand(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
