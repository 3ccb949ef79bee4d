#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>
#include <variant>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_core/Identifier.h"
#include "by_schema/CancelIntent.h"
#include "by_schema/ConfirmIntent.h"
#include "by_schema/DrainNode.h"
#include "by_schema/ListIntents.h"
#include "by_schema/PlanIntent.h"
#include "by_schema/PublishConfig.h"
#include "by_schema/ShowConfig.h"
#include "by_schema/ShowIntent.h"
#include "by_schema/ShowNodes.h"
#include "by_schema/ShowState.h"

namespace by {

/// An operator's call; its authorization has been checked.
class OperatorCall
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Number that matches the reply to the call.
    std::uint64_t mCall{ 0 };
    /// Team that the caller acts for; empty for the provider's operators.
    TeamId mTeam{};
    /// Random identifier for a new intent or record.
    std::string mFreshId{};
    /// The operation.
    std::variant<PlanIntent,
                 ConfirmIntent,
                 CancelIntent,
                 ShowIntent,
                 ListIntents,
                 PublishConfig,
                 ShowConfig,
                 ShowNodes,
                 ShowState,
                 DrainNode>
      mBody{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  OperatorCall() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<OperatorCall> Create(Fields aFields)
  {
    return OperatorCall(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Number that matches the reply to the call.
  std::uint64_t Call() const { return mFields.mCall; }
  /// @returns a copy of this value with another Call.
  [[nodiscard]] OperatorCall WithCall(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mCall = std::move(aValue);
    return copy;
  }

  /// Team that the caller acts for; empty for the provider's operators.
  const TeamId& Team() const { return mFields.mTeam; }
  /// @returns a copy of this value with another Team.
  [[nodiscard]] OperatorCall WithTeam(TeamId aValue) const
  {
    auto copy = *this;
    copy.mFields.mTeam = std::move(aValue);
    return copy;
  }

  /// Random identifier for a new intent or record.
  const std::string& FreshId() const { return mFields.mFreshId; }
  /// @returns a copy of this value with another FreshId.
  [[nodiscard]] OperatorCall WithFreshId(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mFreshId = std::move(aValue);
    return copy;
  }

  /// The operation.
  const std::variant<PlanIntent,
                     ConfirmIntent,
                     CancelIntent,
                     ShowIntent,
                     ListIntents,
                     PublishConfig,
                     ShowConfig,
                     ShowNodes,
                     ShowState,
                     DrainNode>&
  Body() const
  {
    return mFields.mBody;
  }
  /// @returns a copy of this value with another Body.
  [[nodiscard]] OperatorCall WithBody(std::variant<PlanIntent,
                                                   ConfirmIntent,
                                                   CancelIntent,
                                                   ShowIntent,
                                                   ListIntents,
                                                   PublishConfig,
                                                   ShowConfig,
                                                   ShowNodes,
                                                   ShowState,
                                                   DrainNode> aValue) const
  {
    auto copy = *this;
    copy.mFields.mBody = std::move(aValue);
    return copy;
  }

  friend bool operator==(const OperatorCall&, const OperatorCall&) = default;
  friend auto operator<=>(const OperatorCall&, const OperatorCall&) = default;

private:
  explicit OperatorCall(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
