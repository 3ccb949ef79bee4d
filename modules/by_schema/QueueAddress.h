#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

namespace by {

/// Address of one queue.
class QueueAddress
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Host name that callers address.
    std::string mHost{};
    /// Prefix of the paths that callers address.
    std::string mPathPrefix{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  QueueAddress() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<QueueAddress> Create(Fields aFields)
  {
    return QueueAddress(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Host name that callers address.
  const std::string& Host() const { return mFields.mHost; }
  /// @returns a copy of this value with another Host.
  [[nodiscard]] QueueAddress WithHost(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mHost = std::move(aValue);
    return copy;
  }

  /// Prefix of the paths that callers address.
  const std::string& PathPrefix() const { return mFields.mPathPrefix; }
  /// @returns a copy of this value with another PathPrefix.
  [[nodiscard]] QueueAddress WithPathPrefix(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mPathPrefix = std::move(aValue);
    return copy;
  }

  friend bool operator==(const QueueAddress&, const QueueAddress&) = default;
  friend auto operator<=>(const QueueAddress&, const QueueAddress&) = default;

private:
  explicit QueueAddress(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
