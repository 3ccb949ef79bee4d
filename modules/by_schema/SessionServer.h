#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_core/Time.h"
#include "by_schema/VmDescription.h"

namespace by {

/// One backend server of a session.
class SessionServer
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Description of the server in the platform's list.
    VmDescription mVm{};
    /// One-way delay of calls.
    Time mCallDelay{ Time::FromMilliseconds(2) };

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  SessionServer() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<SessionServer> Create(Fields aFields);

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Description of the server in the platform's list.
  const VmDescription& Vm() const { return mFields.mVm; }
  /// @returns a copy of this value with another Vm.
  [[nodiscard]] SessionServer WithVm(VmDescription aValue) const
  {
    auto copy = *this;
    copy.mFields.mVm = std::move(aValue);
    return copy;
  }

  /// One-way delay of calls.
  Time CallDelay() const { return mFields.mCallDelay; }

  friend bool operator==(const SessionServer&, const SessionServer&) = default;
  friend auto operator<=>(const SessionServer&, const SessionServer&) = default;

private:
  explicit SessionServer(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
