#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_core/Identifier.h"

namespace by {

/// A caller disconnected before its answer was sent.
class CallerGone
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Identifier of the request.
    RequestId mRequest{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  CallerGone() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<CallerGone> Create(Fields aFields)
  {
    return CallerGone(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Identifier of the request.
  const RequestId& Request() const { return mFields.mRequest; }
  /// @returns a copy of this value with another Request.
  [[nodiscard]] CallerGone WithRequest(RequestId aValue) const
  {
    auto copy = *this;
    copy.mFields.mRequest = std::move(aValue);
    return copy;
  }

  friend bool operator==(const CallerGone&, const CallerGone&) = default;
  friend auto operator<=>(const CallerGone&, const CallerGone&) = default;

private:
  explicit CallerGone(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
