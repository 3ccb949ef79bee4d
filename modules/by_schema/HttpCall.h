#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_core/Time.h"
#include "by_schema/Endpoint.h"
#include "by_schema/HttpHeader.h"
#include "by_schema/HttpMethod.h"
#include "by_schema/PeerCheck.h"

namespace by {

/// One call to a server.
class HttpCall
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Endpoint of the server.
    by::Endpoint mEndpoint{};
    /// HTTP method.
    HttpMethod mMethod{};
    /// Path and query.
    std::string mTarget{};
    /// Body as JSON text; empty for none.
    std::string mBody{};
    /// Bearer token; empty for none.
    std::string mBearerToken{};
    /// Timeout of the whole call, including the wait for a connection.
    Time mTimeout{ Time::FromMilliseconds(5000) };
    /// Headers in addition to those that follow from the other fields.
    std::vector<HttpHeader> mHeaders{};
    /// Check of the peer; absent if any peer at the endpoint may receive the call.
    std::optional<by::PeerCheck> mPeerCheck{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  HttpCall() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<HttpCall> Create(Fields aFields);

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Endpoint of the server.
  const by::Endpoint& Endpoint() const { return mFields.mEndpoint; }
  /// @returns a copy of this value with another Endpoint.
  [[nodiscard]] HttpCall WithEndpoint(by::Endpoint aValue) const
  {
    auto copy = *this;
    copy.mFields.mEndpoint = std::move(aValue);
    return copy;
  }

  /// HTTP method.
  HttpMethod Method() const { return mFields.mMethod; }
  /// @returns a copy of this value with another Method.
  [[nodiscard]] HttpCall WithMethod(HttpMethod aValue) const
  {
    auto copy = *this;
    copy.mFields.mMethod = std::move(aValue);
    return copy;
  }

  /// Path and query.
  const std::string& Target() const { return mFields.mTarget; }
  /// @returns a copy of this value with another Target.
  [[nodiscard]] HttpCall WithTarget(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mTarget = std::move(aValue);
    return copy;
  }

  /// Body as JSON text; empty for none.
  const std::string& Body() const { return mFields.mBody; }
  /// @returns a copy of this value with another Body.
  [[nodiscard]] HttpCall WithBody(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mBody = std::move(aValue);
    return copy;
  }

  /// Bearer token; empty for none.
  const std::string& BearerToken() const { return mFields.mBearerToken; }
  /// @returns a copy of this value with another BearerToken.
  [[nodiscard]] HttpCall WithBearerToken(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mBearerToken = std::move(aValue);
    return copy;
  }

  /// Timeout of the whole call, including the wait for a connection.
  Time Timeout() const { return mFields.mTimeout; }

  /// Headers in addition to those that follow from the other fields.
  const std::vector<HttpHeader>& Headers() const { return mFields.mHeaders; }
  /// @returns a copy of this value with another Headers.
  [[nodiscard]] HttpCall WithHeaders(std::vector<HttpHeader> aValue) const
  {
    auto copy = *this;
    copy.mFields.mHeaders = std::move(aValue);
    return copy;
  }

  /// Check of the peer; absent if any peer at the endpoint may receive the call.
  const std::optional<by::PeerCheck>& PeerCheck() const { return mFields.mPeerCheck; }
  /// @returns a copy of this value with another PeerCheck.
  [[nodiscard]] HttpCall WithPeerCheck(std::optional<by::PeerCheck> aValue) const
  {
    auto copy = *this;
    copy.mFields.mPeerCheck = std::move(aValue);
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
