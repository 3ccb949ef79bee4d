#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_core/Time.h"

namespace by {

/// Limits of an HTTP client.
class HttpClientSettings
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Maximum number of connections to one endpoint.
    std::int64_t mMaxConnections{ 64 };
    /// Maximum number of calls to one endpoint that wait for a connection.
    std::int64_t mMaxWaiting{ 10000 };
    /// Largest accepted body of a response.
    std::int64_t mResponseLimit{ 67108864 };
    /// Time after which an unused connection is closed.
    Time mIdleTimeout{ Time::FromMilliseconds(5000) };

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  HttpClientSettings() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<HttpClientSettings> Create(Fields aFields);

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Maximum number of connections to one endpoint.
  std::int64_t MaxConnections() const { return mFields.mMaxConnections; }

  /// Maximum number of calls to one endpoint that wait for a connection.
  std::int64_t MaxWaiting() const { return mFields.mMaxWaiting; }

  /// Largest accepted body of a response.
  std::int64_t ResponseLimit() const { return mFields.mResponseLimit; }

  /// Time after which an unused connection is closed.
  Time IdleTimeout() const { return mFields.mIdleTimeout; }

  friend bool operator==(const HttpClientSettings&, const HttpClientSettings&) = default;
  friend auto operator<=>(const HttpClientSettings&, const HttpClientSettings&) = default;

private:
  explicit HttpClientSettings(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
