#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_core/Time.h"
#include "by_schema/Endpoint.h"

namespace by {

/// Requests a worker's report and renews its lease.
class PollWorker
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Name of the worker.
    std::string mWorker{};
    /// Endpoint at which the worker accepts orders.
    by::Endpoint mEndpoint{};
    /// Epoch of the owner that polls.
    std::uint64_t mEpoch{ 0 };
    /// Ends up to this number are stored; the worker may delete them.
    std::uint64_t mAcknowledged{ 0 };
    /// New expiry of the lease under which all tasks of the worker run, on the worker's clock;
    /// absent to leave the lease unchanged.
    std::optional<Time> mLeaseUntil{};
    /// How long the worker may wait for the end of a run before it answers.
    Time mWait{};
    /// Number of the order: the epoch of its owner in the upper 32 bits; the lower ones are zero if
    /// the owner sends the order itself.
    std::uint64_t mNumber{ 0 };
    /// Start time of the worker's process that the order is for, since 1970; no other process
    /// receives the order. Zero if any may.
    Time mProcessStart{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  PollWorker() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<PollWorker> Create(Fields aFields)
  {
    return PollWorker(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Name of the worker.
  const std::string& Worker() const { return mFields.mWorker; }
  /// @returns a copy of this value with another Worker.
  [[nodiscard]] PollWorker WithWorker(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mWorker = std::move(aValue);
    return copy;
  }

  /// Endpoint at which the worker accepts orders.
  const by::Endpoint& Endpoint() const { return mFields.mEndpoint; }
  /// @returns a copy of this value with another Endpoint.
  [[nodiscard]] PollWorker WithEndpoint(by::Endpoint aValue) const
  {
    auto copy = *this;
    copy.mFields.mEndpoint = std::move(aValue);
    return copy;
  }

  /// Epoch of the owner that polls.
  std::uint64_t Epoch() const { return mFields.mEpoch; }
  /// @returns a copy of this value with another Epoch.
  [[nodiscard]] PollWorker WithEpoch(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mEpoch = std::move(aValue);
    return copy;
  }

  /// Ends up to this number are stored; the worker may delete them.
  std::uint64_t Acknowledged() const { return mFields.mAcknowledged; }
  /// @returns a copy of this value with another Acknowledged.
  [[nodiscard]] PollWorker WithAcknowledged(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mAcknowledged = std::move(aValue);
    return copy;
  }

  /// New expiry of the lease under which all tasks of the worker run, on the worker's clock; absent
  /// to leave the lease unchanged.
  const std::optional<Time>& LeaseUntil() const { return mFields.mLeaseUntil; }
  /// @returns a copy of this value with another LeaseUntil.
  [[nodiscard]] PollWorker WithLeaseUntil(std::optional<Time> aValue) const
  {
    auto copy = *this;
    copy.mFields.mLeaseUntil = std::move(aValue);
    return copy;
  }

  /// How long the worker may wait for the end of a run before it answers.
  Time Wait() const { return mFields.mWait; }
  /// @returns a copy of this value with another Wait.
  [[nodiscard]] PollWorker WithWait(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mWait = std::move(aValue);
    return copy;
  }

  /// Number of the order: the epoch of its owner in the upper 32 bits; the lower ones are zero if
  /// the owner sends the order itself.
  std::uint64_t Number() const { return mFields.mNumber; }
  /// @returns a copy of this value with another Number.
  [[nodiscard]] PollWorker WithNumber(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mNumber = std::move(aValue);
    return copy;
  }

  /// Start time of the worker's process that the order is for, since 1970; no other process
  /// receives the order. Zero if any may.
  Time ProcessStart() const { return mFields.mProcessStart; }
  /// @returns a copy of this value with another ProcessStart.
  [[nodiscard]] PollWorker WithProcessStart(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mProcessStart = std::move(aValue);
    return copy;
  }

  friend bool operator==(const PollWorker&, const PollWorker&) = default;
  friend auto operator<=>(const PollWorker&, const PollWorker&) = default;

private:
  explicit PollWorker(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
