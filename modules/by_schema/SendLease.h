#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_core/Identifier.h"
#include "by_schema/Endpoint.h"
#include "by_schema/LeaseRequest.h"

namespace by {

/// Sends a lease request to a backend server.
class SendLease
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// VM of the backend server.
    VmId mVm{};
    /// Endpoint of the backend server.
    by::Endpoint mEndpoint{};
    /// Lease request to send.
    LeaseRequest mRequest{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  SendLease() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<SendLease> Create(Fields aFields) { return SendLease(std::move(aFields)); }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// VM of the backend server.
  const VmId& Vm() const { return mFields.mVm; }
  /// @returns a copy of this value with another Vm.
  [[nodiscard]] SendLease WithVm(VmId aValue) const
  {
    auto copy = *this;
    copy.mFields.mVm = std::move(aValue);
    return copy;
  }

  /// Endpoint of the backend server.
  const by::Endpoint& Endpoint() const { return mFields.mEndpoint; }
  /// @returns a copy of this value with another Endpoint.
  [[nodiscard]] SendLease WithEndpoint(by::Endpoint aValue) const
  {
    auto copy = *this;
    copy.mFields.mEndpoint = std::move(aValue);
    return copy;
  }

  /// Lease request to send.
  const LeaseRequest& Request() const { return mFields.mRequest; }
  /// @returns a copy of this value with another Request.
  [[nodiscard]] SendLease WithRequest(LeaseRequest aValue) const
  {
    auto copy = *this;
    copy.mFields.mRequest = std::move(aValue);
    return copy;
  }

  friend bool operator==(const SendLease&, const SendLease&) = default;
  friend auto operator<=>(const SendLease&, const SendLease&) = default;

private:
  explicit SendLease(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
