#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_core/Identifier.h"
#include "by_core/Time.h"

namespace by {

/// Reply to an HTTP call.
class HttpReply
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// HTTP status code.
    std::int64_t mStatus{ 200 };
    /// Media type of the body.
    std::string mContentType{ "application/json" };
    /// Complete body.
    std::string mBody{};
    /// Request that is answered; empty for operators' calls.
    RequestId mRequest{};
    /// Delay after which the caller should retry; zero for no advice.
    Time mRetryAfter{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  HttpReply() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<HttpReply> Create(Fields aFields) { return HttpReply(std::move(aFields)); }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// HTTP status code.
  std::int64_t Status() const { return mFields.mStatus; }
  /// @returns a copy of this value with another Status.
  [[nodiscard]] HttpReply WithStatus(std::int64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mStatus = std::move(aValue);
    return copy;
  }

  /// Media type of the body.
  const std::string& ContentType() const { return mFields.mContentType; }
  /// @returns a copy of this value with another ContentType.
  [[nodiscard]] HttpReply WithContentType(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mContentType = std::move(aValue);
    return copy;
  }

  /// Complete body.
  const std::string& Body() const { return mFields.mBody; }
  /// @returns a copy of this value with another Body.
  [[nodiscard]] HttpReply WithBody(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mBody = std::move(aValue);
    return copy;
  }

  /// Request that is answered; empty for operators' calls.
  const RequestId& Request() const { return mFields.mRequest; }
  /// @returns a copy of this value with another Request.
  [[nodiscard]] HttpReply WithRequest(RequestId aValue) const
  {
    auto copy = *this;
    copy.mFields.mRequest = std::move(aValue);
    return copy;
  }

  /// Delay after which the caller should retry; zero for no advice.
  Time RetryAfter() const { return mFields.mRetryAfter; }
  /// @returns a copy of this value with another RetryAfter.
  [[nodiscard]] HttpReply WithRetryAfter(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mRetryAfter = std::move(aValue);
    return copy;
  }

  friend bool operator==(const HttpReply&, const HttpReply&) = default;
  friend auto operator<=>(const HttpReply&, const HttpReply&) = default;

private:
  explicit HttpReply(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
