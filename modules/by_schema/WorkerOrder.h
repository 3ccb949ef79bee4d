#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>
#include <variant>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_schema/PollWorker.h"
#include "by_schema/StartRun.h"
#include "by_schema/StopRun.h"

namespace by {

/// Any order to a worker.
class WorkerOrder
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// The order.
    std::variant<StartRun, StopRun, PollWorker> mBody{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  WorkerOrder() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<WorkerOrder> Create(Fields aFields)
  {
    return WorkerOrder(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// The order.
  const std::variant<StartRun, StopRun, PollWorker>& Body() const { return mFields.mBody; }
  /// @returns a copy of this value with another Body.
  [[nodiscard]] WorkerOrder WithBody(std::variant<StartRun, StopRun, PollWorker> aValue) const
  {
    auto copy = *this;
    copy.mFields.mBody = std::move(aValue);
    return copy;
  }

  friend bool operator==(const WorkerOrder&, const WorkerOrder&) = default;
  friend auto operator<=>(const WorkerOrder&, const WorkerOrder&) = default;

private:
  explicit WorkerOrder(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
