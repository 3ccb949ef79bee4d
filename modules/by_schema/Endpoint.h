#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

namespace by {

/// An IP address and a port.
class Endpoint
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// IP address in text form.
    std::string mAddress{};
    /// Port number.
    std::int64_t mPort{ 0 };

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  Endpoint() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<Endpoint> Create(Fields aFields);

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// IP address in text form.
  const std::string& Address() const { return mFields.mAddress; }
  /// @returns a copy of this value with another Address.
  [[nodiscard]] Endpoint WithAddress(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mAddress = std::move(aValue);
    return copy;
  }

  /// Port number.
  std::int64_t Port() const { return mFields.mPort; }

  friend bool operator==(const Endpoint&, const Endpoint&) = default;
  friend auto operator<=>(const Endpoint&, const Endpoint&) = default;

private:
  explicit Endpoint(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
