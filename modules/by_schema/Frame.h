#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>
#include <variant>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_core/Identifier.h"
#include "by_schema/AnswerQuery.h"
#include "by_schema/ForwardedAnswer.h"
#include "by_schema/ForwardedCancel.h"
#include "by_schema/ForwardedRequest.h"
#include "by_schema/StateQuery.h"
#include "by_schema/StateTransfer.h"

namespace by {

/// One frame between entry nodes over TCP.
class Frame
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Name of the sender.
    NodeId mFrom{};
    /// Payload of the frame.
    std::variant<ForwardedRequest,
                 ForwardedAnswer,
                 ForwardedCancel,
                 AnswerQuery,
                 StateQuery,
                 StateTransfer>
      mBody{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  Frame() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<Frame> Create(Fields aFields) { return Frame(std::move(aFields)); }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Name of the sender.
  const NodeId& From() const { return mFields.mFrom; }
  /// @returns a copy of this value with another From.
  [[nodiscard]] Frame WithFrom(NodeId aValue) const
  {
    auto copy = *this;
    copy.mFields.mFrom = std::move(aValue);
    return copy;
  }

  /// Payload of the frame.
  const std::variant<ForwardedRequest,
                     ForwardedAnswer,
                     ForwardedCancel,
                     AnswerQuery,
                     StateQuery,
                     StateTransfer>&
  Body() const
  {
    return mFields.mBody;
  }
  /// @returns a copy of this value with another Body.
  [[nodiscard]] Frame WithBody(std::variant<ForwardedRequest,
                                            ForwardedAnswer,
                                            ForwardedCancel,
                                            AnswerQuery,
                                            StateQuery,
                                            StateTransfer> aValue) const
  {
    auto copy = *this;
    copy.mFields.mBody = std::move(aValue);
    return copy;
  }

  friend bool operator==(const Frame&, const Frame&) = default;
  friend auto operator<=>(const Frame&, const Frame&) = default;

private:
  explicit Frame(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
