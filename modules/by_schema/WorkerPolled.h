#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_schema/OrderOutcome.h"
#include "by_schema/WorkerReport.h"

namespace by {

/// A worker answered a look, or did not.
class WorkerPolled
{
public:
  /// The fields by name, for Create().
  struct Fields
  {
    /// The worker.
    std::string mWorker{};
    /// What became of it.
    OrderOutcome mOutcome{};
    /// The lists; empty unless accepted.
    WorkerReport mReport{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// The value with every field at its default.
  WorkerPolled() = default;

  /// Builds a value from its fields.
  /// @returns the value, or InvalidArgument naming the field that is out of its bounds.
  static absl::StatusOr<WorkerPolled> Create(Fields aFields)
  {
    return WorkerPolled(std::move(aFields));
  }

  /// Copies the fields, to build a changed value from them.
  Fields ToFields() const { return mFields; }

  /// The worker.
  const std::string& Worker() const { return mFields.mWorker; }
  /// @returns this value with another Worker.
  [[nodiscard]] WorkerPolled WithWorker(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mWorker = std::move(aValue);
    return copy;
  }

  /// What became of it.
  OrderOutcome Outcome() const { return mFields.mOutcome; }
  /// @returns this value with another Outcome.
  [[nodiscard]] WorkerPolled WithOutcome(OrderOutcome aValue) const
  {
    auto copy = *this;
    copy.mFields.mOutcome = std::move(aValue);
    return copy;
  }

  /// The lists; empty unless accepted.
  const WorkerReport& Report() const { return mFields.mReport; }
  /// @returns this value with another Report.
  [[nodiscard]] WorkerPolled WithReport(WorkerReport aValue) const
  {
    auto copy = *this;
    copy.mFields.mReport = std::move(aValue);
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
