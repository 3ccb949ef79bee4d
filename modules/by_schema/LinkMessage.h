#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>
#include <variant>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_schema/AdviceAnswered.h"
#include "by_schema/CellRequest.h"
#include "by_schema/JobReply.h"
#include "by_schema/LinkHeartbeat.h"
#include "by_schema/LinkHello.h"
#include "by_schema/OwnerLeaving.h"
#include "by_schema/RequestAdvice.h"

namespace by {

/// One message on a link between nodes.
class LinkMessage
{
public:
  /// The fields by name, for Create().
  struct Fields
  {
    /// The one kind that it is.
    std::variant<LinkHello,
                 LinkHeartbeat,
                 CellRequest,
                 JobReply,
                 RequestAdvice,
                 AdviceAnswered,
                 OwnerLeaving>
      mBody{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// The value with every field at its default.
  LinkMessage() = default;

  /// Builds a value from its fields.
  /// @returns the value, or InvalidArgument naming the field that is out of its bounds.
  static absl::StatusOr<LinkMessage> Create(Fields aFields)
  {
    return LinkMessage(std::move(aFields));
  }

  /// Copies the fields, to build a changed value from them.
  Fields ToFields() const { return mFields; }

  /// The one kind that it is.
  const std::variant<LinkHello,
                     LinkHeartbeat,
                     CellRequest,
                     JobReply,
                     RequestAdvice,
                     AdviceAnswered,
                     OwnerLeaving>&
  Body() const
  {
    return mFields.mBody;
  }
  /// @returns this value with another Body.
  [[nodiscard]] LinkMessage WithBody(std::variant<LinkHello,
                                                  LinkHeartbeat,
                                                  CellRequest,
                                                  JobReply,
                                                  RequestAdvice,
                                                  AdviceAnswered,
                                                  OwnerLeaving> aValue) const
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
