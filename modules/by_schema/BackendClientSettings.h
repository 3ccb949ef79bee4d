#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_core/Time.h"

namespace by {

/// Limits and timeouts of calls to backend servers.
class BackendClientSettings
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Timeout of a lease request.
    Time mLeaseTimeout{ Time::FromMilliseconds(1000) };
    /// Timeout of a start that is answered when its task ends.
    Time mRunTimeout{ Time::FromMilliseconds(3600000) };
    /// Timeout of a start that is answered at once.
    Time mStartTimeout{ Time::FromMilliseconds(3000) };
    /// Timeout of a command.
    Time mCommandTimeout{ Time::FromMilliseconds(2000) };
    /// Maximum number of connections to one server for starts.
    std::int64_t mStartConnections{ 48 };
    /// Maximum number of connections to one server for lease requests.
    std::int64_t mLeaseConnections{ 2 };
    /// Maximum number of connections to one server for commands.
    std::int64_t mCommandConnections{ 4 };

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  BackendClientSettings() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<BackendClientSettings> Create(Fields aFields);

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Timeout of a lease request.
  Time LeaseTimeout() const { return mFields.mLeaseTimeout; }

  /// Timeout of a start that is answered when its task ends.
  Time RunTimeout() const { return mFields.mRunTimeout; }

  /// Timeout of a start that is answered at once.
  Time StartTimeout() const { return mFields.mStartTimeout; }

  /// Timeout of a command.
  Time CommandTimeout() const { return mFields.mCommandTimeout; }

  /// Maximum number of connections to one server for starts.
  std::int64_t StartConnections() const { return mFields.mStartConnections; }

  /// Maximum number of connections to one server for lease requests.
  std::int64_t LeaseConnections() const { return mFields.mLeaseConnections; }

  /// Maximum number of connections to one server for commands.
  std::int64_t CommandConnections() const { return mFields.mCommandConnections; }

  friend bool operator==(const BackendClientSettings&, const BackendClientSettings&) = default;
  friend auto operator<=>(const BackendClientSettings&, const BackendClientSettings&) = default;

private:
  explicit BackendClientSettings(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
