#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>
#include <variant>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_schema/CallerSubmitted.h"
#include "by_schema/HttpReply.h"
#include "by_schema/OperatorCall.h"
#include "by_schema/ReadPage.h"

namespace by {

/// Interpretation of an HTTP call.
class RoutedCall
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Meaning of the call.
    std::variant<HttpReply, ReadPage, CallerSubmitted, OperatorCall> mBody{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  RoutedCall() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<RoutedCall> Create(Fields aFields)
  {
    return RoutedCall(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Meaning of the call.
  const std::variant<HttpReply, ReadPage, CallerSubmitted, OperatorCall>& Body() const
  {
    return mFields.mBody;
  }
  /// @returns a copy of this value with another Body.
  [[nodiscard]] RoutedCall WithBody(
    std::variant<HttpReply, ReadPage, CallerSubmitted, OperatorCall> aValue) const
  {
    auto copy = *this;
    copy.mFields.mBody = std::move(aValue);
    return copy;
  }

  friend bool operator==(const RoutedCall&, const RoutedCall&) = default;
  friend auto operator<=>(const RoutedCall&, const RoutedCall&) = default;

private:
  explicit RoutedCall(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
