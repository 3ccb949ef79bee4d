#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_schema/OperatorReply.h"

namespace by {

/// Sends the reply to an operator's call.
class ReplyOperator
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Reply to send.
    OperatorReply mReply{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  ReplyOperator() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<ReplyOperator> Create(Fields aFields)
  {
    return ReplyOperator(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Reply to send.
  const OperatorReply& Reply() const { return mFields.mReply; }
  /// @returns a copy of this value with another Reply.
  [[nodiscard]] ReplyOperator WithReply(OperatorReply aValue) const
  {
    auto copy = *this;
    copy.mFields.mReply = std::move(aValue);
    return copy;
  }

  friend bool operator==(const ReplyOperator&, const ReplyOperator&) = default;
  friend auto operator<=>(const ReplyOperator&, const ReplyOperator&) = default;

private:
  explicit ReplyOperator(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
