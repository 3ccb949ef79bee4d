#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_schema/OrderOutcome.h"
#include "by_schema/WorkerLists.h"

namespace by {

/// A worker answered a look, or did not.
class WorkerLooked
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
    WorkerLists mLists{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// The value with every field at its default.
  WorkerLooked() = default;

  /// Builds a value from its fields.
  /// @returns the value, or InvalidArgument naming the field that is out of its bounds.
  static absl::StatusOr<WorkerLooked> Create(Fields aFields)
  {
    return WorkerLooked(std::move(aFields));
  }

  /// Copies the fields, to build a changed value from them.
  Fields ToFields() const { return mFields; }

  /// The worker.
  const std::string& Worker() const { return mFields.mWorker; }
  /// @returns this value with another Worker.
  [[nodiscard]] WorkerLooked WithWorker(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mWorker = std::move(aValue);
    return copy;
  }

  /// What became of it.
  OrderOutcome Outcome() const { return mFields.mOutcome; }
  /// @returns this value with another Outcome.
  [[nodiscard]] WorkerLooked WithOutcome(OrderOutcome aValue) const
  {
    auto copy = *this;
    copy.mFields.mOutcome = std::move(aValue);
    return copy;
  }

  /// The lists; empty unless accepted.
  const WorkerLists& Lists() const { return mFields.mLists; }
  /// @returns this value with another Lists.
  [[nodiscard]] WorkerLooked WithLists(WorkerLists aValue) const
  {
    auto copy = *this;
    copy.mFields.mLists = std::move(aValue);
    return copy;
  }

  friend bool operator==(const WorkerLooked&, const WorkerLooked&) = default;
  friend auto operator<=>(const WorkerLooked&, const WorkerLooked&) = default;

private:
  explicit WorkerLooked(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
