#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>
#include <variant>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_schema/Job.h"
#include "by_schema/JobOutcome.h"
#include "by_schema/JobTeam.h"
#include "by_schema/MaintenanceRecord.h"
#include "by_schema/OccurrenceProgress.h"
#include "by_schema/TaskCrashes.h"
#include "by_schema/TaskLapses.h"
#include "by_schema/TaskRecord.h"

namespace by {

/// One record of a cell in the store.
class CellRecord
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// The record.
    std::variant<Job,
                 OccurrenceProgress,
                 JobOutcome,
                 MaintenanceRecord,
                 TaskRecord,
                 TaskCrashes,
                 TaskLapses,
                 JobTeam>
      mBody{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  CellRecord() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<CellRecord> Create(Fields aFields)
  {
    return CellRecord(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// The record.
  const std::variant<Job,
                     OccurrenceProgress,
                     JobOutcome,
                     MaintenanceRecord,
                     TaskRecord,
                     TaskCrashes,
                     TaskLapses,
                     JobTeam>&
  Body() const
  {
    return mFields.mBody;
  }
  /// @returns a copy of this value with another Body.
  [[nodiscard]] CellRecord WithBody(std::variant<Job,
                                                 OccurrenceProgress,
                                                 JobOutcome,
                                                 MaintenanceRecord,
                                                 TaskRecord,
                                                 TaskCrashes,
                                                 TaskLapses,
                                                 JobTeam> aValue) const
  {
    auto copy = *this;
    copy.mFields.mBody = std::move(aValue);
    return copy;
  }

  friend bool operator==(const CellRecord&, const CellRecord&) = default;
  friend auto operator<=>(const CellRecord&, const CellRecord&) = default;

private:
  explicit CellRecord(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
