#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_core/Identifier.h"
#include "by_core/Time.h"

namespace by {

/// Requests the lease on all capacity of a backend server, or renews it.
class LeaseRequest
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Entry node that owns the rack.
    NodeId mOwner{};
    /// Epoch of the owner for the rack.
    std::uint64_t mEpoch{ 0 };
    /// Duration of the lease, counted from the receipt of the request.
    Time mTtl{};
    /// Whether the answer must list all tasks.
    bool mWantInventory{ false };
    /// Ended tasks whose end the owner has recorded; the server deletes them.
    std::vector<std::string> mAcknowledged{};
    /// The server ignores the request after this time; zero for no limit.
    Time mNotAfter{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  LeaseRequest() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<LeaseRequest> Create(Fields aFields);

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Entry node that owns the rack.
  const NodeId& Owner() const { return mFields.mOwner; }
  /// @returns a copy of this value with another Owner.
  [[nodiscard]] LeaseRequest WithOwner(NodeId aValue) const
  {
    auto copy = *this;
    copy.mFields.mOwner = std::move(aValue);
    return copy;
  }

  /// Epoch of the owner for the rack.
  std::uint64_t Epoch() const { return mFields.mEpoch; }
  /// @returns a copy of this value with another Epoch.
  [[nodiscard]] LeaseRequest WithEpoch(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mEpoch = std::move(aValue);
    return copy;
  }

  /// Duration of the lease, counted from the receipt of the request.
  Time Ttl() const { return mFields.mTtl; }

  /// Whether the answer must list all tasks.
  bool WantInventory() const { return mFields.mWantInventory; }
  /// @returns a copy of this value with another WantInventory.
  [[nodiscard]] LeaseRequest WithWantInventory(bool aValue) const
  {
    auto copy = *this;
    copy.mFields.mWantInventory = std::move(aValue);
    return copy;
  }

  /// Ended tasks whose end the owner has recorded; the server deletes them.
  const std::vector<std::string>& Acknowledged() const { return mFields.mAcknowledged; }
  /// @returns a copy of this value with another Acknowledged.
  [[nodiscard]] LeaseRequest WithAcknowledged(std::vector<std::string> aValue) const
  {
    auto copy = *this;
    copy.mFields.mAcknowledged = std::move(aValue);
    return copy;
  }

  /// The server ignores the request after this time; zero for no limit.
  Time NotAfter() const { return mFields.mNotAfter; }
  /// @returns a copy of this value with another NotAfter.
  [[nodiscard]] LeaseRequest WithNotAfter(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mNotAfter = std::move(aValue);
    return copy;
  }

  friend bool operator==(const LeaseRequest&, const LeaseRequest&) = default;
  friend auto operator<=>(const LeaseRequest&, const LeaseRequest&) = default;

private:
  explicit LeaseRequest(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
