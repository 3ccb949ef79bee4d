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

/// Asks a worker for its lists, and renews its lease.
class PollWorker
{
public:
  /// The fields by name, for Create().
  struct Fields
  {
    /// The worker.
    std::string mWorker{};
    /// Where it takes orders.
    by::Endpoint mEndpoint{};
    /// The owner's epoch.
    std::uint64_t mEpoch{ 0 };
    /// Ends up to this number are stored and may be forgotten.
    std::uint64_t mAcknowledged{ 0 };
    /// Until when all tasks there may run, on the worker's clock; absent to leave the lease as it
    /// is.
    std::optional<Time> mLeaseUntil{};
    /// How long the worker may wait for an end before it answers.
    Time mWait{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// The value with every field at its default.
  PollWorker() = default;

  /// Builds a value from its fields.
  /// @returns the value, or InvalidArgument naming the field that is out of its bounds.
  static absl::StatusOr<PollWorker> Create(Fields aFields)
  {
    return PollWorker(std::move(aFields));
  }

  /// Copies the fields, to build a changed value from them.
  Fields ToFields() const { return mFields; }

  /// The worker.
  const std::string& Worker() const { return mFields.mWorker; }
  /// @returns this value with another Worker.
  [[nodiscard]] PollWorker WithWorker(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mWorker = std::move(aValue);
    return copy;
  }

  /// Where it takes orders.
  const by::Endpoint& Endpoint() const { return mFields.mEndpoint; }
  /// @returns this value with another Endpoint.
  [[nodiscard]] PollWorker WithEndpoint(by::Endpoint aValue) const
  {
    auto copy = *this;
    copy.mFields.mEndpoint = std::move(aValue);
    return copy;
  }

  /// The owner's epoch.
  std::uint64_t Epoch() const { return mFields.mEpoch; }
  /// @returns this value with another Epoch.
  [[nodiscard]] PollWorker WithEpoch(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mEpoch = std::move(aValue);
    return copy;
  }

  /// Ends up to this number are stored and may be forgotten.
  std::uint64_t Acknowledged() const { return mFields.mAcknowledged; }
  /// @returns this value with another Acknowledged.
  [[nodiscard]] PollWorker WithAcknowledged(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mAcknowledged = std::move(aValue);
    return copy;
  }

  /// Until when all tasks there may run, on the worker's clock; absent to leave the lease as it is.
  const std::optional<Time>& LeaseUntil() const { return mFields.mLeaseUntil; }
  /// @returns this value with another LeaseUntil.
  [[nodiscard]] PollWorker WithLeaseUntil(std::optional<Time> aValue) const
  {
    auto copy = *this;
    copy.mFields.mLeaseUntil = std::move(aValue);
    return copy;
  }

  /// How long the worker may wait for an end before it answers.
  Time Wait() const { return mFields.mWait; }
  /// @returns this value with another Wait.
  [[nodiscard]] PollWorker WithWait(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mWait = std::move(aValue);
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
