#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>
#include <variant>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_core/Identifier.h"
#include "by_schema/ConfigPublish.h"
#include "by_schema/GangDecision.h"
#include "by_schema/IntentCancel.h"
#include "by_schema/IntentConfirm.h"
#include "by_schema/Plan.h"
#include "by_schema/RackClaim.h"
#include "by_schema/RackRelease.h"
#include "by_schema/RequestClaims.h"
#include "by_schema/Snapshot.h"
#include "by_schema/TaskAssignments.h"
#include "by_schema/TaskReports.h"

namespace by {

/// One record of the log. Its identifier lets readers ignore a record that was appended twice.
class LogRecord
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Identifier of the record, drawn by the writer.
    RecordId mId{};
    /// Node that wrote the record.
    NodeId mWriter{};
    /// Content of the record.
    std::variant<RackClaim,
                 RackRelease,
                 ConfigPublish,
                 Plan,
                 IntentConfirm,
                 IntentCancel,
                 TaskAssignments,
                 TaskReports,
                 GangDecision,
                 RequestClaims,
                 Snapshot>
      mBody{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  LogRecord() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<LogRecord> Create(Fields aFields) { return LogRecord(std::move(aFields)); }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Identifier of the record, drawn by the writer.
  const RecordId& Id() const { return mFields.mId; }
  /// @returns a copy of this value with another Id.
  [[nodiscard]] LogRecord WithId(RecordId aValue) const
  {
    auto copy = *this;
    copy.mFields.mId = std::move(aValue);
    return copy;
  }

  /// Node that wrote the record.
  const NodeId& Writer() const { return mFields.mWriter; }
  /// @returns a copy of this value with another Writer.
  [[nodiscard]] LogRecord WithWriter(NodeId aValue) const
  {
    auto copy = *this;
    copy.mFields.mWriter = std::move(aValue);
    return copy;
  }

  /// Content of the record.
  const std::variant<RackClaim,
                     RackRelease,
                     ConfigPublish,
                     Plan,
                     IntentConfirm,
                     IntentCancel,
                     TaskAssignments,
                     TaskReports,
                     GangDecision,
                     RequestClaims,
                     Snapshot>&
  Body() const
  {
    return mFields.mBody;
  }
  /// @returns a copy of this value with another Body.
  [[nodiscard]] LogRecord WithBody(std::variant<RackClaim,
                                                RackRelease,
                                                ConfigPublish,
                                                Plan,
                                                IntentConfirm,
                                                IntentCancel,
                                                TaskAssignments,
                                                TaskReports,
                                                GangDecision,
                                                RequestClaims,
                                                Snapshot> aValue) const
  {
    auto copy = *this;
    copy.mFields.mBody = std::move(aValue);
    return copy;
  }

  friend bool operator==(const LogRecord&, const LogRecord&) = default;
  friend auto operator<=>(const LogRecord&, const LogRecord&) = default;

private:
  explicit LogRecord(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
