#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

namespace by {

/// One HTTP call as it was received.
class IncomingCall
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// HTTP method, such as GET.
    std::string mMethod{};
    /// Path and query.
    std::string mTarget{};
    /// Value of the Authorization header.
    std::string mAuthorization{};
    /// Complete body.
    std::string mBody{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  IncomingCall() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<IncomingCall> Create(Fields aFields)
  {
    return IncomingCall(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// HTTP method, such as GET.
  const std::string& Method() const { return mFields.mMethod; }
  /// @returns a copy of this value with another Method.
  [[nodiscard]] IncomingCall WithMethod(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mMethod = std::move(aValue);
    return copy;
  }

  /// Path and query.
  const std::string& Target() const { return mFields.mTarget; }
  /// @returns a copy of this value with another Target.
  [[nodiscard]] IncomingCall WithTarget(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mTarget = std::move(aValue);
    return copy;
  }

  /// Value of the Authorization header.
  const std::string& Authorization() const { return mFields.mAuthorization; }
  /// @returns a copy of this value with another Authorization.
  [[nodiscard]] IncomingCall WithAuthorization(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mAuthorization = std::move(aValue);
    return copy;
  }

  /// Complete body.
  const std::string& Body() const { return mFields.mBody; }
  /// @returns a copy of this value with another Body.
  [[nodiscard]] IncomingCall WithBody(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mBody = std::move(aValue);
    return copy;
  }

  friend bool operator==(const IncomingCall&, const IncomingCall&) = default;
  friend auto operator<=>(const IncomingCall&, const IncomingCall&) = default;

private:
  explicit IncomingCall(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
