#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_core/Time.h"
#include "by_schema/Endpoint.h"

namespace by {

/// HTTP interface for callers and operators.
class HttpSettings
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Endpoint to listen on.
    Endpoint mListen{};
    /// Largest accepted body of a call.
    std::int64_t mBodyLimit{ 1048576 };
    /// Largest accepted header of a call.
    std::int64_t mHeaderLimit{ 16384 };
    /// Time after which a connection without a complete call is closed.
    Time mIdleTimeout{ Time::FromMilliseconds(30000) };
    /// Maximum number of callers' connections.
    std::int64_t mMaxConnections{ 4096 };
    /// Bearer token of operators.
    std::string mOperatorToken{ "change-me" };

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  HttpSettings() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<HttpSettings> Create(Fields aFields);

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Endpoint to listen on.
  const Endpoint& Listen() const { return mFields.mListen; }
  /// @returns a copy of this value with another Listen.
  [[nodiscard]] HttpSettings WithListen(Endpoint aValue) const
  {
    auto copy = *this;
    copy.mFields.mListen = std::move(aValue);
    return copy;
  }

  /// Largest accepted body of a call.
  std::int64_t BodyLimit() const { return mFields.mBodyLimit; }

  /// Largest accepted header of a call.
  std::int64_t HeaderLimit() const { return mFields.mHeaderLimit; }

  /// Time after which a connection without a complete call is closed.
  Time IdleTimeout() const { return mFields.mIdleTimeout; }

  /// Maximum number of callers' connections.
  std::int64_t MaxConnections() const { return mFields.mMaxConnections; }

  /// Bearer token of operators.
  const std::string& OperatorToken() const { return mFields.mOperatorToken; }

  friend bool operator==(const HttpSettings&, const HttpSettings&) = default;
  friend auto operator<=>(const HttpSettings&, const HttpSettings&) = default;

private:
  explicit HttpSettings(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
