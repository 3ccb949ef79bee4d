#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_core/Identifier.h"

namespace by {

/// Cancels a forwarded request whose caller has disconnected.
class ForwardedCancel
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Identifier of the request.
    RequestId mRequest{};
    /// Number of the attempt under which it was forwarded.
    std::uint32_t mAttempt{ 0 };

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  ForwardedCancel() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<ForwardedCancel> Create(Fields aFields)
  {
    return ForwardedCancel(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Identifier of the request.
  const RequestId& Request() const { return mFields.mRequest; }
  /// @returns a copy of this value with another Request.
  [[nodiscard]] ForwardedCancel WithRequest(RequestId aValue) const
  {
    auto copy = *this;
    copy.mFields.mRequest = std::move(aValue);
    return copy;
  }

  /// Number of the attempt under which it was forwarded.
  std::uint32_t Attempt() const { return mFields.mAttempt; }
  /// @returns a copy of this value with another Attempt.
  [[nodiscard]] ForwardedCancel WithAttempt(std::uint32_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mAttempt = std::move(aValue);
    return copy;
  }

  friend bool operator==(const ForwardedCancel&, const ForwardedCancel&) = default;
  friend auto operator<=>(const ForwardedCancel&, const ForwardedCancel&) = default;

private:
  explicit ForwardedCancel(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
