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

/// Sends a start to a worker.
class StartRun
{
public:
  /// The fields by name, for Create().
  struct Fields
  {
    /// The worker.
    std::string mWorker{};
    /// Where it takes orders.
    by::Endpoint mEndpoint{};
    /// The task.
    JobTaskKey mTask{};
    /// The number of the run.
    std::uint32_t mRun{ 0 };
    /// Passed to the task.
    std::string mPayload{};
    /// Until when all tasks there may run, on the worker's clock.
    Time mLeaseUntil{};
    /// The owner's epoch.
    std::uint64_t mEpoch{ 0 };
    /// Where the task resumes; empty for its beginning.
    std::string mCheckpoint{};
    /// The ticket of the step for this worker; empty for none.
    std::string mTicket{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// The value with every field at its default.
  StartRun() = default;

  /// Builds a value from its fields.
  /// @returns the value, or InvalidArgument naming the field that is out of its bounds.
  static absl::StatusOr<StartRun> Create(Fields aFields) { return StartRun(std::move(aFields)); }

  /// Copies the fields, to build a changed value from them.
  Fields ToFields() const { return mFields; }

  /// The worker.
  const std::string& Worker() const { return mFields.mWorker; }
  /// @returns this value with another Worker.
  [[nodiscard]] StartRun WithWorker(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mWorker = std::move(aValue);
    return copy;
  }

  /// Where it takes orders.
  const by::Endpoint& Endpoint() const { return mFields.mEndpoint; }
  /// @returns this value with another Endpoint.
  [[nodiscard]] StartRun WithEndpoint(by::Endpoint aValue) const
  {
    auto copy = *this;
    copy.mFields.mEndpoint = std::move(aValue);
    return copy;
  }

  /// The task.
  const JobTaskKey& Task() const { return mFields.mTask; }
  /// @returns this value with another Task.
  [[nodiscard]] StartRun WithTask(JobTaskKey aValue) const
  {
    auto copy = *this;
    copy.mFields.mTask = std::move(aValue);
    return copy;
  }

  /// The number of the run.
  std::uint32_t Run() const { return mFields.mRun; }
  /// @returns this value with another Run.
  [[nodiscard]] StartRun WithRun(std::uint32_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mRun = std::move(aValue);
    return copy;
  }

  /// Passed to the task.
  const std::string& Payload() const { return mFields.mPayload; }
  /// @returns this value with another Payload.
  [[nodiscard]] StartRun WithPayload(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mPayload = std::move(aValue);
    return copy;
  }

  /// Until when all tasks there may run, on the worker's clock.
  Time LeaseUntil() const { return mFields.mLeaseUntil; }
  /// @returns this value with another LeaseUntil.
  [[nodiscard]] StartRun WithLeaseUntil(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mLeaseUntil = std::move(aValue);
    return copy;
  }

  /// The owner's epoch.
  std::uint64_t Epoch() const { return mFields.mEpoch; }
  /// @returns this value with another Epoch.
  [[nodiscard]] StartRun WithEpoch(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mEpoch = std::move(aValue);
    return copy;
  }

  /// Where the task resumes; empty for its beginning.
  const std::string& Checkpoint() const { return mFields.mCheckpoint; }
  /// @returns this value with another Checkpoint.
  [[nodiscard]] StartRun WithCheckpoint(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mCheckpoint = std::move(aValue);
    return copy;
  }

  /// The ticket of the step for this worker; empty for none.
  const std::string& Ticket() const { return mFields.mTicket; }
  /// @returns this value with another Ticket.
  [[nodiscard]] StartRun WithTicket(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mTicket = std::move(aValue);
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
