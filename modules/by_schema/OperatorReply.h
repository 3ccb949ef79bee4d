#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>
#include <variant>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_schema/ConfigStatus.h"
#include "by_schema/Done.h"
#include "by_schema/IntentList.h"
#include "by_schema/IntentStatus.h"
#include "by_schema/NodeList.h"
#include "by_schema/Plan.h"
#include "by_schema/ReplyCode.h"
#include "by_schema/StateDump.h"

namespace by {

/// Reply to an operator's call.
class OperatorReply
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Number of the call.
    std::uint64_t mCall{ 0 };
    /// Result of the call.
    ReplyCode mCode{};
    /// Cause in one sentence if the call was not carried out.
    std::string mDetail{};
    /// Result to show.
    std::variant<Done, Plan, IntentStatus, IntentList, ConfigStatus, NodeList, StateDump> mBody{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  OperatorReply() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<OperatorReply> Create(Fields aFields)
  {
    return OperatorReply(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Number of the call.
  std::uint64_t Call() const { return mFields.mCall; }
  /// @returns a copy of this value with another Call.
  [[nodiscard]] OperatorReply WithCall(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mCall = std::move(aValue);
    return copy;
  }

  /// Result of the call.
  ReplyCode Code() const { return mFields.mCode; }
  /// @returns a copy of this value with another Code.
  [[nodiscard]] OperatorReply WithCode(ReplyCode aValue) const
  {
    auto copy = *this;
    copy.mFields.mCode = std::move(aValue);
    return copy;
  }

  /// Cause in one sentence if the call was not carried out.
  const std::string& Detail() const { return mFields.mDetail; }
  /// @returns a copy of this value with another Detail.
  [[nodiscard]] OperatorReply WithDetail(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mDetail = std::move(aValue);
    return copy;
  }

  /// Result to show.
  const std::variant<Done, Plan, IntentStatus, IntentList, ConfigStatus, NodeList, StateDump>&
  Body() const
  {
    return mFields.mBody;
  }
  /// @returns a copy of this value with another Body.
  [[nodiscard]] OperatorReply WithBody(
    std::variant<Done, Plan, IntentStatus, IntentList, ConfigStatus, NodeList, StateDump> aValue)
    const
  {
    auto copy = *this;
    copy.mFields.mBody = std::move(aValue);
    return copy;
  }

  friend bool operator==(const OperatorReply&, const OperatorReply&) = default;
  friend auto operator<=>(const OperatorReply&, const OperatorReply&) = default;

private:
  explicit OperatorReply(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
