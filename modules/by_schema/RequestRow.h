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
#include "by_schema/Request.h"
#include "by_schema/RequestPhase.h"
#include "by_schema/RequestWaiter.h"

namespace by {

/// A request that this node holds.
class RequestRow
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// The request.
    by::Request mRequest{};
    /// Current phase.
    RequestPhase mPhase{};
    /// Number of the current attempt, from 1.
    std::uint32_t mAttempt{ 0 };
    /// When it arrived at this node.
    Time mArrived{};
    /// Latest start time; the request is refused if it has not started by then.
    Time mStartBy{};
    /// Node that forwarded it to this one; empty if the caller is connected to this node.
    NodeId mOrigin{};
    /// Number of the attempt under which it was forwarded to this node.
    std::uint32_t mOriginAttempt{ 0 };
    /// Node that it was forwarded to, or that was queried.
    NodeId mPeer{};
    /// Identifies the process of that node.
    std::uint64_t mPeerIncarnation{ 0 };
    /// Backend server that it was sent to.
    VmId mVm{};
    /// When it was sent to the backend server; zero before.
    Time mStarted{};
    /// When it is checked next.
    Time mCheckAt{};
    /// Whether the log holds its claim.
    bool mClaimed{ false };
    /// Whether its caller has disconnected.
    bool mAbandoned{ false };
    /// Nodes that it was forwarded to and that returned it.
    std::vector<NodeId> mTried{};
    /// Repeated requests that wait for its answer.
    std::vector<RequestWaiter> mWaiters{};
    /// Request whose answer was queried, if this one is a repeat; empty otherwise.
    RequestId mClaimedBy{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  RequestRow() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<RequestRow> Create(Fields aFields)
  {
    return RequestRow(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// The request.
  const by::Request& Request() const { return mFields.mRequest; }
  /// @returns a copy of this value with another Request.
  [[nodiscard]] RequestRow WithRequest(by::Request aValue) const
  {
    auto copy = *this;
    copy.mFields.mRequest = std::move(aValue);
    return copy;
  }

  /// Current phase.
  RequestPhase Phase() const { return mFields.mPhase; }
  /// @returns a copy of this value with another Phase.
  [[nodiscard]] RequestRow WithPhase(RequestPhase aValue) const
  {
    auto copy = *this;
    copy.mFields.mPhase = std::move(aValue);
    return copy;
  }

  /// Number of the current attempt, from 1.
  std::uint32_t Attempt() const { return mFields.mAttempt; }
  /// @returns a copy of this value with another Attempt.
  [[nodiscard]] RequestRow WithAttempt(std::uint32_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mAttempt = std::move(aValue);
    return copy;
  }

  /// When it arrived at this node.
  Time Arrived() const { return mFields.mArrived; }
  /// @returns a copy of this value with another Arrived.
  [[nodiscard]] RequestRow WithArrived(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mArrived = std::move(aValue);
    return copy;
  }

  /// Latest start time; the request is refused if it has not started by then.
  Time StartBy() const { return mFields.mStartBy; }
  /// @returns a copy of this value with another StartBy.
  [[nodiscard]] RequestRow WithStartBy(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mStartBy = std::move(aValue);
    return copy;
  }

  /// Node that forwarded it to this one; empty if the caller is connected to this node.
  const NodeId& Origin() const { return mFields.mOrigin; }
  /// @returns a copy of this value with another Origin.
  [[nodiscard]] RequestRow WithOrigin(NodeId aValue) const
  {
    auto copy = *this;
    copy.mFields.mOrigin = std::move(aValue);
    return copy;
  }

  /// Number of the attempt under which it was forwarded to this node.
  std::uint32_t OriginAttempt() const { return mFields.mOriginAttempt; }
  /// @returns a copy of this value with another OriginAttempt.
  [[nodiscard]] RequestRow WithOriginAttempt(std::uint32_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mOriginAttempt = std::move(aValue);
    return copy;
  }

  /// Node that it was forwarded to, or that was queried.
  const NodeId& Peer() const { return mFields.mPeer; }
  /// @returns a copy of this value with another Peer.
  [[nodiscard]] RequestRow WithPeer(NodeId aValue) const
  {
    auto copy = *this;
    copy.mFields.mPeer = std::move(aValue);
    return copy;
  }

  /// Identifies the process of that node.
  std::uint64_t PeerIncarnation() const { return mFields.mPeerIncarnation; }
  /// @returns a copy of this value with another PeerIncarnation.
  [[nodiscard]] RequestRow WithPeerIncarnation(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mPeerIncarnation = std::move(aValue);
    return copy;
  }

  /// Backend server that it was sent to.
  const VmId& Vm() const { return mFields.mVm; }
  /// @returns a copy of this value with another Vm.
  [[nodiscard]] RequestRow WithVm(VmId aValue) const
  {
    auto copy = *this;
    copy.mFields.mVm = std::move(aValue);
    return copy;
  }

  /// When it was sent to the backend server; zero before.
  Time Started() const { return mFields.mStarted; }
  /// @returns a copy of this value with another Started.
  [[nodiscard]] RequestRow WithStarted(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mStarted = std::move(aValue);
    return copy;
  }

  /// When it is checked next.
  Time CheckAt() const { return mFields.mCheckAt; }
  /// @returns a copy of this value with another CheckAt.
  [[nodiscard]] RequestRow WithCheckAt(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mCheckAt = std::move(aValue);
    return copy;
  }

  /// Whether the log holds its claim.
  bool Claimed() const { return mFields.mClaimed; }
  /// @returns a copy of this value with another Claimed.
  [[nodiscard]] RequestRow WithClaimed(bool aValue) const
  {
    auto copy = *this;
    copy.mFields.mClaimed = std::move(aValue);
    return copy;
  }

  /// Whether its caller has disconnected.
  bool Abandoned() const { return mFields.mAbandoned; }
  /// @returns a copy of this value with another Abandoned.
  [[nodiscard]] RequestRow WithAbandoned(bool aValue) const
  {
    auto copy = *this;
    copy.mFields.mAbandoned = std::move(aValue);
    return copy;
  }

  /// Nodes that it was forwarded to and that returned it.
  const std::vector<NodeId>& Tried() const { return mFields.mTried; }
  /// @returns a copy of this value with another Tried.
  [[nodiscard]] RequestRow WithTried(std::vector<NodeId> aValue) const
  {
    auto copy = *this;
    copy.mFields.mTried = std::move(aValue);
    return copy;
  }

  /// Repeated requests that wait for its answer.
  const std::vector<RequestWaiter>& Waiters() const { return mFields.mWaiters; }
  /// @returns a copy of this value with another Waiters.
  [[nodiscard]] RequestRow WithWaiters(std::vector<RequestWaiter> aValue) const
  {
    auto copy = *this;
    copy.mFields.mWaiters = std::move(aValue);
    return copy;
  }

  /// Request whose answer was queried, if this one is a repeat; empty otherwise.
  const RequestId& ClaimedBy() const { return mFields.mClaimedBy; }
  /// @returns a copy of this value with another ClaimedBy.
  [[nodiscard]] RequestRow WithClaimedBy(RequestId aValue) const
  {
    auto copy = *this;
    copy.mFields.mClaimedBy = std::move(aValue);
    return copy;
  }

  friend bool operator==(const RequestRow&, const RequestRow&) = default;
  friend auto operator<=>(const RequestRow&, const RequestRow&) = default;

private:
  explicit RequestRow(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
