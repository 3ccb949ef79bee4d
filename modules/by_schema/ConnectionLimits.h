#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_core/Time.h"

namespace by {

/// Limits of the connections of callers; zero where the configuration sets none.
class ConnectionLimits
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Largest start line with all fields of a request.
    std::int64_t mHeaderBytes{ 0 };
    /// Largest body of a request.
    std::int64_t mBodyBytes{ 0 };
    /// How long a request's header may take to arrive.
    Time mHeaderTimeout{};
    /// How long a connection may be without a request.
    Time mIdleTimeout{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  ConnectionLimits() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<ConnectionLimits> Create(Fields aFields)
  {
    return ConnectionLimits(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Largest start line with all fields of a request.
  std::int64_t HeaderBytes() const { return mFields.mHeaderBytes; }
  /// @returns a copy of this value with another HeaderBytes.
  [[nodiscard]] ConnectionLimits WithHeaderBytes(std::int64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mHeaderBytes = std::move(aValue);
    return copy;
  }

  /// Largest body of a request.
  std::int64_t BodyBytes() const { return mFields.mBodyBytes; }
  /// @returns a copy of this value with another BodyBytes.
  [[nodiscard]] ConnectionLimits WithBodyBytes(std::int64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mBodyBytes = std::move(aValue);
    return copy;
  }

  /// How long a request's header may take to arrive.
  Time HeaderTimeout() const { return mFields.mHeaderTimeout; }
  /// @returns a copy of this value with another HeaderTimeout.
  [[nodiscard]] ConnectionLimits WithHeaderTimeout(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mHeaderTimeout = std::move(aValue);
    return copy;
  }

  /// How long a connection may be without a request.
  Time IdleTimeout() const { return mFields.mIdleTimeout; }
  /// @returns a copy of this value with another IdleTimeout.
  [[nodiscard]] ConnectionLimits WithIdleTimeout(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mIdleTimeout = std::move(aValue);
    return copy;
  }

  friend bool operator==(const ConnectionLimits&, const ConnectionLimits&) = default;
  friend auto operator<=>(const ConnectionLimits&, const ConnectionLimits&) = default;

private:
  explicit ConnectionLimits(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
