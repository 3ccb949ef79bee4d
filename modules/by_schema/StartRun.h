#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_core/Time.h"
#include "by_schema/Endpoint.h"
#include "by_schema/JobTaskKey.h"

namespace by {

/// Orders a worker to start a run.
class StartRun
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Name of the worker.
    std::string mWorker{};
    /// Endpoint at which the worker accepts orders.
    by::Endpoint mEndpoint{};
    /// Task to run.
    JobTaskKey mTask{};
    /// Number of the run.
    std::uint32_t mRun{ 0 };
    /// Opaque data of the job, passed to the task.
    std::string mPayload{};
    /// Expiry of the lease under which all tasks of the worker run, on the worker's clock.
    Time mLeaseUntil{};
    /// Epoch of the owner that sends the order.
    std::uint64_t mEpoch{ 0 };
    /// Checkpoint from which the task resumes; empty to start from the beginning.
    std::string mCheckpoint{};
    /// Ticket that permits this worker to run the step; empty if none is needed.
    std::string mTicket{};
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
  StartRun() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<StartRun> Create(Fields aFields) { return StartRun(std::move(aFields)); }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Name of the worker.
  const std::string& Worker() const { return mFields.mWorker; }
  /// @returns a copy of this value with another Worker.
  [[nodiscard]] StartRun WithWorker(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mWorker = std::move(aValue);
    return copy;
  }

  /// Endpoint at which the worker accepts orders.
  const by::Endpoint& Endpoint() const { return mFields.mEndpoint; }
  /// @returns a copy of this value with another Endpoint.
  [[nodiscard]] StartRun WithEndpoint(by::Endpoint aValue) const
  {
    auto copy = *this;
    copy.mFields.mEndpoint = std::move(aValue);
    return copy;
  }

  /// Task to run.
  const JobTaskKey& Task() const { return mFields.mTask; }
  /// @returns a copy of this value with another Task.
  [[nodiscard]] StartRun WithTask(JobTaskKey aValue) const
  {
    auto copy = *this;
    copy.mFields.mTask = std::move(aValue);
    return copy;
  }

  /// Number of the run.
  std::uint32_t Run() const { return mFields.mRun; }
  /// @returns a copy of this value with another Run.
  [[nodiscard]] StartRun WithRun(std::uint32_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mRun = std::move(aValue);
    return copy;
  }

  /// Opaque data of the job, passed to the task.
  const std::string& Payload() const { return mFields.mPayload; }
  /// @returns a copy of this value with another Payload.
  [[nodiscard]] StartRun WithPayload(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mPayload = std::move(aValue);
    return copy;
  }

  /// Expiry of the lease under which all tasks of the worker run, on the worker's clock.
  Time LeaseUntil() const { return mFields.mLeaseUntil; }
  /// @returns a copy of this value with another LeaseUntil.
  [[nodiscard]] StartRun WithLeaseUntil(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mLeaseUntil = std::move(aValue);
    return copy;
  }

  /// Epoch of the owner that sends the order.
  std::uint64_t Epoch() const { return mFields.mEpoch; }
  /// @returns a copy of this value with another Epoch.
  [[nodiscard]] StartRun WithEpoch(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mEpoch = std::move(aValue);
    return copy;
  }

  /// Checkpoint from which the task resumes; empty to start from the beginning.
  const std::string& Checkpoint() const { return mFields.mCheckpoint; }
  /// @returns a copy of this value with another Checkpoint.
  [[nodiscard]] StartRun WithCheckpoint(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mCheckpoint = std::move(aValue);
    return copy;
  }

  /// Ticket that permits this worker to run the step; empty if none is needed.
  const std::string& Ticket() const { return mFields.mTicket; }
  /// @returns a copy of this value with another Ticket.
  [[nodiscard]] StartRun WithTicket(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mTicket = std::move(aValue);
    return copy;
  }

  /// Number of the order: the epoch of its owner in the upper 32 bits; the lower ones are zero if
  /// the owner sends the order itself.
  std::uint64_t Number() const { return mFields.mNumber; }
  /// @returns a copy of this value with another Number.
  [[nodiscard]] StartRun WithNumber(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mNumber = std::move(aValue);
    return copy;
  }

  /// Start time of the worker's process that the order is for, since 1970; no other process
  /// receives the order. Zero if any may.
  Time ProcessStart() const { return mFields.mProcessStart; }
  /// @returns a copy of this value with another ProcessStart.
  [[nodiscard]] StartRun WithProcessStart(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mProcessStart = std::move(aValue);
    return copy;
  }

  friend bool operator==(const StartRun&, const StartRun&) = default;
  friend auto operator<=>(const StartRun&, const StartRun&) = default;

private:
  explicit StartRun(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
