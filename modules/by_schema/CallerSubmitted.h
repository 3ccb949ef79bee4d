#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_schema/Request.h"

namespace by {

/// A caller's complete request was received.
class CallerSubmitted
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// The request, with its identifier and team.
    by::Request mRequest{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  CallerSubmitted() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<CallerSubmitted> Create(Fields aFields)
  {
    return CallerSubmitted(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// The request, with its identifier and team.
  const by::Request& Request() const { return mFields.mRequest; }
  /// @returns a copy of this value with another Request.
  [[nodiscard]] CallerSubmitted WithRequest(by::Request aValue) const
  {
    auto copy = *this;
    copy.mFields.mRequest = std::move(aValue);
    return copy;
  }

  friend bool operator==(const CallerSubmitted&, const CallerSubmitted&) = default;
  friend auto operator<=>(const CallerSubmitted&, const CallerSubmitted&) = default;

private:
  explicit CallerSubmitted(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
