#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_core/Time.h"
#include "by_schema/OrderOutcome.h"
#include "by_schema/WorkerReport.h"

namespace by {

/// A poll of a worker was answered, or failed.
class WorkerPolled
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Name of the worker.
    std::string mWorker{};
    /// Outcome of the poll.
    OrderOutcome mOutcome{};
    /// Report of the process that answered; empty if none did.
    WorkerReport mReport{};
    /// Number of the order.
    std::uint64_t mNumber{ 0 };
    /// Start time of the process that the poll was for, as the poll named it; the report may be
    /// that of a later one.
    Time mProcessStart{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  WorkerPolled() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<WorkerPolled> Create(Fields aFields)
  {
    return WorkerPolled(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Name of the worker.
  const std::string& Worker() const { return mFields.mWorker; }
  /// @returns a copy of this value with another Worker.
  [[nodiscard]] WorkerPolled WithWorker(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mWorker = std::move(aValue);
    return copy;
  }

  /// Outcome of the poll.
  OrderOutcome Outcome() const { return mFields.mOutcome; }
  /// @returns a copy of this value with another Outcome.
  [[nodiscard]] WorkerPolled WithOutcome(OrderOutcome aValue) const
  {
    auto copy = *this;
    copy.mFields.mOutcome = std::move(aValue);
    return copy;
  }

  /// Report of the process that answered; empty if none did.
  const WorkerReport& Report() const { return mFields.mReport; }
  /// @returns a copy of this value with another Report.
  [[nodiscard]] WorkerPolled WithReport(WorkerReport aValue) const
  {
    auto copy = *this;
    copy.mFields.mReport = std::move(aValue);
    return copy;
  }

  /// Number of the order.
  std::uint64_t Number() const { return mFields.mNumber; }
  /// @returns a copy of this value with another Number.
  [[nodiscard]] WorkerPolled WithNumber(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mNumber = std::move(aValue);
    return copy;
  }

  /// Start time of the process that the poll was for, as the poll named it; the report may be that
  /// of a later one.
  Time ProcessStart() const { return mFields.mProcessStart; }
  /// @returns a copy of this value with another ProcessStart.
  [[nodiscard]] WorkerPolled WithProcessStart(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mProcessStart = std::move(aValue);
    return copy;
  }

  friend bool operator==(const WorkerPolled&, const WorkerPolled&) = default;
  friend auto operator<=>(const WorkerPolled&, const WorkerPolled&) = default;

private:
  explicit WorkerPolled(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
