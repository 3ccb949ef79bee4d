#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_core/Identifier.h"
#include "by_schema/Answer.h"

namespace by {

/// Answer to a forwarded request or to an answer query.
class ForwardedAnswer
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Request that was forwarded, or for which the query was sent.
    RequestId mRequest{};
    /// The answer.
    by::Answer mAnswer{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  ForwardedAnswer() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<ForwardedAnswer> Create(Fields aFields)
  {
    return ForwardedAnswer(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Request that was forwarded, or for which the query was sent.
  const RequestId& Request() const { return mFields.mRequest; }
  /// @returns a copy of this value with another Request.
  [[nodiscard]] ForwardedAnswer WithRequest(RequestId aValue) const
  {
    auto copy = *this;
    copy.mFields.mRequest = std::move(aValue);
    return copy;
  }

  /// The answer.
  const by::Answer& Answer() const { return mFields.mAnswer; }
  /// @returns a copy of this value with another Answer.
  [[nodiscard]] ForwardedAnswer WithAnswer(by::Answer aValue) const
  {
    auto copy = *this;
    copy.mFields.mAnswer = std::move(aValue);
    return copy;
  }

  friend bool operator==(const ForwardedAnswer&, const ForwardedAnswer&) = default;
  friend auto operator<=>(const ForwardedAnswer&, const ForwardedAnswer&) = default;

private:
  explicit ForwardedAnswer(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
