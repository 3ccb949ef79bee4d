#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_core/Time.h"
#include "by_schema/Endpoint.h"
#include "by_schema/HttpHeader.h"
#include "by_schema/HttpMethod.h"

namespace by {

/// One call.
class HttpCall
{
public:
  /// The fields by name, for Create().
  struct Fields
  {
    /// The server.
    by::Endpoint mEndpoint{};
    /// The method.
    HttpMethod mMethod{};
    /// Path and query.
    std::string mTarget{};
    /// The body, JSON text; empty for none.
    std::string mBody{};
    /// The bearer token; empty for none.
    std::string mBearerToken{};
    /// Bound on the whole call, waiting for a connection included.
    Time mTimeout{ Time::FromMilliseconds(5000) };
    /// Headers besides those that follow from the other fields.
    std::vector<HttpHeader> mHeaders{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// The value with every field at its default.
  HttpCall() = default;

  /// Builds a value from its fields.
  /// @returns the value, or InvalidArgument naming the field that is out of its bounds.
  static absl::StatusOr<HttpCall> Create(Fields aFields);

  /// Copies the fields, to build a changed value from them.
  Fields ToFields() const { return mFields; }

  /// The server.
  const by::Endpoint& Endpoint() const { return mFields.mEndpoint; }
  /// @returns this value with another Endpoint.
  [[nodiscard]] HttpCall WithEndpoint(by::Endpoint aValue) const
  {
    auto copy = *this;
    copy.mFields.mEndpoint = std::move(aValue);
    return copy;
  }

  /// The method.
  HttpMethod Method() const { return mFields.mMethod; }
  /// @returns this value with another Method.
  [[nodiscard]] HttpCall WithMethod(HttpMethod aValue) const
  {
    auto copy = *this;
    copy.mFields.mMethod = std::move(aValue);
    return copy;
  }

  /// Path and query.
  const std::string& Target() const { return mFields.mTarget; }
  /// @returns this value with another Target.
  [[nodiscard]] HttpCall WithTarget(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mTarget = std::move(aValue);
    return copy;
  }

  /// The body, JSON text; empty for none.
  const std::string& Body() const { return mFields.mBody; }
  /// @returns this value with another Body.
  [[nodiscard]] HttpCall WithBody(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mBody = std::move(aValue);
    return copy;
  }

  /// The bearer token; empty for none.
  const std::string& BearerToken() const { return mFields.mBearerToken; }
  /// @returns this value with another BearerToken.
  [[nodiscard]] HttpCall WithBearerToken(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mBearerToken = std::move(aValue);
    return copy;
  }

  /// Bound on the whole call, waiting for a connection included.
  Time Timeout() const { return mFields.mTimeout; }

  /// Headers besides those that follow from the other fields.
  const std::vector<HttpHeader>& Headers() const { return mFields.mHeaders; }
  /// @returns this value with another Headers.
  [[nodiscard]] HttpCall WithHeaders(std::vector<HttpHeader> aValue) const
  {
    auto copy = *this;
    copy.mFields.mHeaders = std::move(aValue);
    return copy;
  }

  friend bool operator==(const HttpCall&, const HttpCall&) = default;
  friend auto operator<=>(const HttpCall&, const HttpCall&) = default;

private:
  explicit HttpCall(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
