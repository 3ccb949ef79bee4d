#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>
#include <variant>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_schema/AdviceAnswered.h"
#include "by_schema/CellClaim.h"
#include "by_schema/CellRequest.h"
#include "by_schema/ClusterConfig.h"
#include "by_schema/ConfigRequest.h"
#include "by_schema/JobReply.h"
#include "by_schema/LinkHeartbeat.h"
#include "by_schema/LinkHello.h"
#include "by_schema/OwnerLeaving.h"
#include "by_schema/RelayAnswers.h"
#include "by_schema/RelayOrders.h"
#include "by_schema/RequestAdvice.h"

namespace by {

/// One message on a link between two entry nodes.
class LinkMessage
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Payload of the message.
    std::variant<LinkHello,
                 LinkHeartbeat,
                 CellRequest,
                 JobReply,
                 RequestAdvice,
                 AdviceAnswered,
                 OwnerLeaving,
                 RelayOrders,
                 RelayAnswers,
                 CellClaim,
                 ConfigRequest,
                 ClusterConfig>
      mBody{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  LinkMessage() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<LinkMessage> Create(Fields aFields)
  {
    return LinkMessage(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Payload of the message.
  const std::variant<LinkHello,
                     LinkHeartbeat,
                     CellRequest,
                     JobReply,
                     RequestAdvice,
                     AdviceAnswered,
                     OwnerLeaving,
                     RelayOrders,
                     RelayAnswers,
                     CellClaim,
                     ConfigRequest,
                     ClusterConfig>&
  Body() const
  {
    return mFields.mBody;
  }
  /// @returns a copy of this value with another Body.
  [[nodiscard]] LinkMessage WithBody(std::variant<LinkHello,
                                                  LinkHeartbeat,
                                                  CellRequest,
                                                  JobReply,
                                                  RequestAdvice,
                                                  AdviceAnswered,
                                                  OwnerLeaving,
                                                  RelayOrders,
                                                  RelayAnswers,
                                                  CellClaim,
                                                  ConfigRequest,
                                                  ClusterConfig> aValue) const
  {
    auto copy = *this;
    copy.mFields.mBody = std::move(aValue);
    return copy;
  }

  friend bool operator==(const LinkMessage&, const LinkMessage&) = default;
  friend auto operator<=>(const LinkMessage&, const LinkMessage&) = default;

private:
  explicit LinkMessage(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
