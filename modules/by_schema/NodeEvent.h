#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>
#include <variant>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_schema/AppendDone.h"
#include "by_schema/AppendFailed.h"
#include "by_schema/CallerGone.h"
#include "by_schema/CallerSubmitted.h"
#include "by_schema/LeaseAnswered.h"
#include "by_schema/LeaseFailed.h"
#include "by_schema/LogRead.h"
#include "by_schema/LogReadFailed.h"
#include "by_schema/OperatorCall.h"
#include "by_schema/PeerFrame.h"
#include "by_schema/PeerHeartbeat.h"
#include "by_schema/PeerUnreachable.h"
#include "by_schema/TaskAnswered.h"
#include "by_schema/TaskUnanswered.h"
#include "by_schema/Tick.h"
#include "by_schema/VmListRead.h"

namespace by {

/// Any event that a node's control logic handles.
class NodeEvent
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// The event.
    std::variant<Tick,
                 CallerSubmitted,
                 CallerGone,
                 PeerHeartbeat,
                 PeerFrame,
                 PeerUnreachable,
                 LogRead,
                 LogReadFailed,
                 AppendDone,
                 AppendFailed,
                 VmListRead,
                 LeaseAnswered,
                 LeaseFailed,
                 TaskAnswered,
                 TaskUnanswered,
                 OperatorCall>
      mBody{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  NodeEvent() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<NodeEvent> Create(Fields aFields) { return NodeEvent(std::move(aFields)); }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// The event.
  const std::variant<Tick,
                     CallerSubmitted,
                     CallerGone,
                     PeerHeartbeat,
                     PeerFrame,
                     PeerUnreachable,
                     LogRead,
                     LogReadFailed,
                     AppendDone,
                     AppendFailed,
                     VmListRead,
                     LeaseAnswered,
                     LeaseFailed,
                     TaskAnswered,
                     TaskUnanswered,
                     OperatorCall>&
  Body() const
  {
    return mFields.mBody;
  }
  /// @returns a copy of this value with another Body.
  [[nodiscard]] NodeEvent WithBody(std::variant<Tick,
                                                CallerSubmitted,
                                                CallerGone,
                                                PeerHeartbeat,
                                                PeerFrame,
                                                PeerUnreachable,
                                                LogRead,
                                                LogReadFailed,
                                                AppendDone,
                                                AppendFailed,
                                                VmListRead,
                                                LeaseAnswered,
                                                LeaseFailed,
                                                TaskAnswered,
                                                TaskUnanswered,
                                                OperatorCall> aValue) const
  {
    auto copy = *this;
    copy.mFields.mBody = std::move(aValue);
    return copy;
  }

  friend bool operator==(const NodeEvent&, const NodeEvent&) = default;
  friend auto operator<=>(const NodeEvent&, const NodeEvent&) = default;

private:
  explicit NodeEvent(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
