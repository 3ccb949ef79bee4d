#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

namespace by {

/// How a peer identifies itself before it receives a call. The identity belongs to the connection,
/// so it is requested once for each.
class PeerCheck
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Identity that the peer must have.
    std::string mExpected{};
    /// Path of the call that requests the identity; its method, headers and timeout are those of
    /// the checked call.
    std::string mTarget{};
    /// Body of that call as JSON text.
    std::string mBody{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  PeerCheck() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<PeerCheck> Create(Fields aFields) { return PeerCheck(std::move(aFields)); }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Identity that the peer must have.
  const std::string& Expected() const { return mFields.mExpected; }
  /// @returns a copy of this value with another Expected.
  [[nodiscard]] PeerCheck WithExpected(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mExpected = std::move(aValue);
    return copy;
  }

  /// Path of the call that requests the identity; its method, headers and timeout are those of the
  /// checked call.
  const std::string& Target() const { return mFields.mTarget; }
  /// @returns a copy of this value with another Target.
  [[nodiscard]] PeerCheck WithTarget(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mTarget = std::move(aValue);
    return copy;
  }

  /// Body of that call as JSON text.
  const std::string& Body() const { return mFields.mBody; }
  /// @returns a copy of this value with another Body.
  [[nodiscard]] PeerCheck WithBody(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mBody = std::move(aValue);
    return copy;
  }

  friend bool operator==(const PeerCheck&, const PeerCheck&) = default;
  friend auto operator<=>(const PeerCheck&, const PeerCheck&) = default;

private:
  explicit PeerCheck(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
