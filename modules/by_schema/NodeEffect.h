#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>
#include <variant>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_schema/AnswerCaller.h"
#include "by_schema/AppendRecords.h"
#include "by_schema/ConfigInForce.h"
#include "by_schema/Exit.h"
#include "by_schema/Note.h"
#include "by_schema/ReadLog.h"
#include "by_schema/ReplyOperator.h"
#include "by_schema/SendCommand.h"
#include "by_schema/SendFrame.h"
#include "by_schema/SendHeartbeat.h"
#include "by_schema/SendLease.h"
#include "by_schema/SendStart.h"
#include "by_schema/SetReady.h"

namespace by {

/// Any effect that a node's control logic requests.
class NodeEffect
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// The effect.
    std::variant<AnswerCaller,
                 SendFrame,
                 SendHeartbeat,
                 AppendRecords,
                 SendLease,
                 SendStart,
                 SendCommand,
                 ReplyOperator,
                 Exit,
                 ReadLog,
                 SetReady,
                 ConfigInForce,
                 Note>
      mBody{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  NodeEffect() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<NodeEffect> Create(Fields aFields)
  {
    return NodeEffect(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// The effect.
  const std::variant<AnswerCaller,
                     SendFrame,
                     SendHeartbeat,
                     AppendRecords,
                     SendLease,
                     SendStart,
                     SendCommand,
                     ReplyOperator,
                     Exit,
                     ReadLog,
                     SetReady,
                     ConfigInForce,
                     Note>&
  Body() const
  {
    return mFields.mBody;
  }
  /// @returns a copy of this value with another Body.
  [[nodiscard]] NodeEffect WithBody(std::variant<AnswerCaller,
                                                 SendFrame,
                                                 SendHeartbeat,
                                                 AppendRecords,
                                                 SendLease,
                                                 SendStart,
                                                 SendCommand,
                                                 ReplyOperator,
                                                 Exit,
                                                 ReadLog,
                                                 SetReady,
                                                 ConfigInForce,
                                                 Note> aValue) const
  {
    auto copy = *this;
    copy.mFields.mBody = std::move(aValue);
    return copy;
  }

  friend bool operator==(const NodeEffect&, const NodeEffect&) = default;
  friend auto operator<=>(const NodeEffect&, const NodeEffect&) = default;

private:
  explicit NodeEffect(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
