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
#include "by_schema/MaintenanceRecord.h"
#include "by_schema/OccurrenceProgress.h"

namespace by {

/// What the store keeps of a cell, record by record.
class CellRecord
{
public:
  /// The fields by name, for Create().
  struct Fields
  {
    /// The one kind that it is.
    std::variant<Job, OccurrenceProgress, JobOutcome, MaintenanceRecord> mBody{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// The value with every field at its default.
  CellRecord() = default;

  /// Builds a value from its fields.
  /// @returns the value, or InvalidArgument naming the field that is out of its bounds.
  static absl::StatusOr<CellRecord> Create(Fields aFields)
  {
    return CellRecord(std::move(aFields));
  }

  /// Copies the fields, to build a changed value from them.
  Fields ToFields() const { return mFields; }

  /// The one kind that it is.
  const std::variant<Job, OccurrenceProgress, JobOutcome, MaintenanceRecord>& Body() const
  {
    return mFields.mBody;
  }
  /// @returns this value with another Body.
  [[nodiscard]] CellRecord WithBody(
    std::variant<Job, OccurrenceProgress, JobOutcome, MaintenanceRecord> aValue) const
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
